"""When a streamed answer is given up."""

import pytest

from comfreyhatch.decisions.stall import first_event_limits, gap_limits, stalled


@pytest.mark.parametrize(
    ("waited_s", "silent_s", "given_up"),
    [
        (0.5, 9.0, False),  # asked a moment ago
        (0.9, 0.9, True),  # nothing heard since
        (2.0, 0.1, False),  # busy: it sends to others
        (2.5, 0.1, True),  # alive, but this one hangs
    ],
)
def test_pause_between_events(waited_s: float, silent_s: float, given_up: bool) -> None:
    assert stalled(gap_limits(1.2), waited_s, silent_s) is given_up


def test_busy_engine_is_not_left_before_its_usual_time() -> None:
    # A queue of long prompts: the usual time of five requests in a hundred is two seconds.
    limits = first_event_limits(aim_s=3.0, typical_s=2.0)
    assert not stalled(limits, 4.5, 0.1)
    assert not stalled(limits, 4.5, 4.5)
    assert stalled(limits, 8.0, 0.1)


def test_silent_engine_is_left_early_when_answers_are_usually_quick() -> None:
    assert stalled(first_event_limits(aim_s=3.0, typical_s=0.2), 1.3, 1.3)


def test_unknown_usual_time_falls_back_on_the_aim() -> None:
    limits = first_event_limits(aim_s=2.0, typical_s=None)
    assert not stalled(limits, 1.9, 1.9)
    assert stalled(limits, 2.0, 2.0)
