"""Which model answers, as load and budget change."""

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.cascade import (
    CascadeState,
    engine_contention,
    escalates,
    escalation_threshold,
)

QUIET = CascadeState(
    rank=0, load=0.05, delay_s=0.0, larger_s=0.2, aim_s=3.0, spent_s=0.1, budget_left=1.0
)


def threshold_with(**change: float) -> float:
    """Return the threshold in the quiet state with some changes."""
    state = replace(QUIET, **change)
    return escalation_threshold(state, engine_contention(state))


def test_doubtful_answer_is_asked_again_on_a_quiet_day() -> None:
    assert escalates(30, QUIET)
    assert not escalates(90, QUIET)
    assert not escalates(None, QUIET)


@pytest.mark.parametrize(
    "change",
    [
        {"budget_left": 0.1},
        {"delay_s": 3.0},
        {"spent_s": 2.9},
        {"load": 1.0},
        {"larger_s": 3.0},
    ],
)
def test_nothing_is_asked_again_without_budget_time_or_room(change: dict[str, float]) -> None:
    assert threshold_with(**change) == 0.0


def test_threshold_falls_as_work_waits_and_slots_fill() -> None:
    by_delay = [threshold_with(delay_s=delay) for delay in (0.0, 0.5, 1.0, 2.0)]
    by_load = [threshold_with(load=load) for load in (0.1, 0.4, 0.6, 0.9)]
    assert by_delay == sorted(by_delay, reverse=True) and by_delay[0] > by_delay[-1]
    assert by_load == sorted(by_load, reverse=True) and by_load[0] > by_load[-1]


def test_urgent_routes_are_worth_more_of_the_engines() -> None:
    assert threshold_with() > threshold_with(rank=2)


def test_long_prompt_gets_the_larger_model_while_nobody_else_needs_the_engine() -> None:
    # From trackline-th quiet-1: answers of confidence 34 to 58 were kept on engines that idled.
    long = replace(QUIET, larger_s=1.97, spent_s=0.3, load=0.08)
    assert escalates(34, long)
    assert not escalates(34, replace(long, load=0.3, delay_s=0.26))
    assert escalates(34, replace(QUIET, load=0.3, delay_s=0.26, larger_s=0.1))
