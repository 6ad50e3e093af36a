"""Gaps between the events of a streamed answer."""

import pytest

from comfreyhatch.exchange.stream_state import MAX_GAPS, StreamState
from tests.exchange_values import job


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
