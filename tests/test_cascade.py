"""Model cascade: the escalation threshold under changing load and budget."""

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.cascade import (
    CascadeState,
    engine_contention,
    escalates,
    escalation_threshold,
)

IDLE = CascadeState(
    rank=0, load=0.05, delay_s=0.0, larger_s=0.2, aim_s=3.0, spent_s=0.1, budget_left=1.0
)


def threshold_with(**change: float) -> float:
    """Return the threshold in the idle state with some changes."""
    state = replace(IDLE, **change)
    return escalation_threshold(state, engine_contention(state))


def test_answer_of_low_confidence_is_escalated_on_idle_engines() -> None:
    assert escalates(30, IDLE)
    assert not escalates(90, IDLE)
    assert not escalates(None, IDLE)


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
def test_nothing_is_escalated_without_budget_time_or_free_slots(change: dict[str, float]) -> None:
    assert threshold_with(**change) == 0.0


def test_threshold_falls_with_queueing_delay_and_load() -> None:
    by_delay = [threshold_with(delay_s=delay) for delay in (0.0, 0.5, 1.0, 2.0)]
    by_load = [threshold_with(load=load) for load in (0.1, 0.4, 0.6, 0.9)]
    assert by_delay == sorted(by_delay, reverse=True) and by_delay[0] > by_delay[-1]
    assert by_load == sorted(by_load, reverse=True) and by_load[0] > by_load[-1]


def test_urgent_routes_have_a_higher_threshold() -> None:
    assert threshold_with() > threshold_with(rank=2)


def test_long_prompt_is_escalated_while_engines_are_idle() -> None:
    # Guards against a threshold that falls with the prompt's own time on idle engines: answers of
    # confidence 34 to 58 to long prompts were kept (site trackline-th, scenario quiet-1).
    long = replace(IDLE, larger_s=1.97, spent_s=0.3, load=0.08)
    assert escalates(34, long)
    assert not escalates(34, replace(long, load=0.3, delay_s=0.26))
    assert escalates(34, replace(IDLE, load=0.3, delay_s=0.26, larger_s=0.1))


def test_target_of_zero_escalates_nothing_and_raises_nothing() -> None:
    # The division by the target raised an error after an endpoint had answered: the caller was told
    # that its request had not run.
    assert not escalates(0, replace(IDLE, aim_s=0.0))
