"""Stall detection for streamed answers."""

import pytest

from comfreyhatch.decisions.stall import first_event_limits, gap_limits, stalled


@pytest.mark.parametrize(
    ("waited_s", "silent_s", "expected"),
    [
        (0.5, 9.0, False),  # sent a moment ago
        (0.9, 0.9, True),  # the endpoint is silent
        (2.0, 0.1, False),  # the endpoint is busy: it sends to other requests
        (2.5, 0.1, True),  # the endpoint is alive, but this request hangs
    ],
)
def test_stall_between_events(waited_s: float, silent_s: float, expected: bool) -> None:
    assert stalled(gap_limits(1.2), waited_s, silent_s) is expected


def test_stream_of_a_busy_engine_stalls_only_well_after_its_typical_time() -> None:
    # Long prompts are queued: five requests in a hundred take two seconds or more.
    limits = first_event_limits(aim_s=3.0, typical_s=2.0)
    assert not stalled(limits, 4.5, 0.1)
    assert not stalled(limits, 4.5, 4.5)
    assert stalled(limits, 8.0, 0.1)


def test_stream_of_a_silent_engine_stalls_early_when_answers_are_typically_fast() -> None:
    assert stalled(first_event_limits(aim_s=3.0, typical_s=0.2), 1.3, 1.3)


def test_target_time_is_the_limit_while_the_typical_time_is_unknown() -> None:
    limits = first_event_limits(aim_s=2.0, typical_s=None)
    assert not stalled(limits, 1.9, 1.9)
    assert stalled(limits, 2.0, 2.0)
