"""Gaps between the events of a streamed answer."""

import pytest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.stall import StallLimits
from comfreyhatch.exchange.slot_lease import SlotLease
from comfreyhatch.exchange.stream_state import MAX_GAPS, StreamState
from tests.exchange_values import job, record


def stream_with(*arrivals: tuple[int, float]) -> StreamState:
    stream = StreamState(job())
    stream.reset_attempt()
    for count, at in arrivals:
        stream.record_events(count, at)
    return stream


def test_median_gap_is_none_with_too_few_gaps() -> None:
    assert stream_with((1, 0.0), (1, 0.1)).median_gap_s(min_gaps=2) is None


def test_one_long_gap_does_not_change_the_median() -> None:
    stream = stream_with((1, 0.0), (1, 0.1), (1, 0.2), (1, 0.9), (1, 1.0))
    assert stream.median_gap_s(min_gaps=4) == pytest.approx(0.1)


def test_events_received_together_share_the_gap_before_them() -> None:
    stream = stream_with((1, 0.0), (4, 0.4))
    assert stream.events_relayed == 5
    assert stream.median_gap_s(min_gaps=4) == pytest.approx(0.1)


def test_reset_discards_gaps_but_not_the_event_count() -> None:
    stream = stream_with((1, 0.0), (1, 0.1))
    stream.reset_attempt()
    stream.record_events(1, 5.0)
    assert stream.median_gap_s(min_gaps=1) is None
    assert stream.events_relayed == 3


def test_number_of_gaps_is_bounded() -> None:
    stream = stream_with(*((1, float(at)) for at in range(10 * MAX_GAPS)))
    assert len(stream.gaps_s) == MAX_GAPS


def test_stream_of_a_caller_that_reads_slowly_does_not_count_as_stalled() -> None:
    # The endpoint is not read while the caller has yet to take events; the stream was moved to
    # another endpoint, which had to read the prompt in again.
    stream = StreamState(job())
    stream.lease = SlotLease(EndpointTracker(record("e1"), 0.0), job(), 0.0, 0.0)
    stream.stall_limits = StallLimits(silent_s=0.5, alive_s=2.0)
    stream.idle_since = 10.0
    stream.begin_delivery()
    assert not stream.is_stalled(14.0) and not stream.may_stall(14.0)
    stream.end_delivery(10.0, 14.0)
    assert stream.held_s == 4.0
    assert not stream.is_stalled(14.3)
    assert stream.is_stalled(14.6)


def test_delivery_of_bytes_that_are_no_progress_does_not_put_off_a_stall() -> None:
    # Comments that an endpoint sends now and then would keep a stalled stream there for ever.
    stream = StreamState(job())
    stream.lease = SlotLease(EndpointTracker(record("e1"), 0.0), job(), 0.0, 0.0)
    stream.stall_limits = StallLimits(silent_s=0.5, alive_s=2.0)
    stream.idle_since = 10.0
    for at in (10.5, 11.0, 11.5, 12.0):
        stream.begin_delivery()
        stream.end_delivery(at, at + 0.001)
    assert stream.is_stalled(12.1)
