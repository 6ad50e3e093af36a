"""Pauses between the events of a streamed request."""

import pytest

from comfreyhatch.exchange.stream_state import MAX_GAPS, StreamState
from tests.exchange_values import job


def run_with(*pieces: tuple[int, float]) -> StreamState:
    run = StreamState(job())
    run.reset_gaps()
    for count, at in pieces:
        run.record_events(count, at)
    return run


def test_pace_is_unknown_while_events_are_few() -> None:
    assert run_with((1, 0.0), (1, 0.1)).median_gap_s(min_gaps=2) is None


def test_one_long_pause_does_not_make_a_pace() -> None:
    run = run_with((1, 0.0), (1, 0.1), (1, 0.2), (1, 0.9), (1, 1.0))
    assert run.median_gap_s(min_gaps=4) == pytest.approx(0.1)


def test_events_that_come_together_share_the_pause_before_them() -> None:
    run = run_with((1, 0.0), (4, 0.4))
    assert run.events_relayed == 5
    assert run.median_gap_s(min_gaps=4) == pytest.approx(0.1)


def test_attempt_that_goes_on_starts_with_no_pauses() -> None:
    run = run_with((1, 0.0), (1, 0.1))
    run.reset_gaps()
    run.record_events(1, 5.0)
    assert run.median_gap_s(min_gaps=1) is None
    assert run.events_relayed == 3


def test_pauses_kept_are_bounded() -> None:
    run = run_with(*((1, float(at)) for at in range(10 * MAX_GAPS)))
    assert len(run.gaps_s) == MAX_GAPS
