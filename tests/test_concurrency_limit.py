"""Concurrency limits of endpoints: load reports, slow start and decreases."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.concurrency_limit import (
    LATENCY_FLOOR_S,
    REPORT_MAX_AGE_S,
    LimitState,
    SlotOutcome,
    after_peer_decrease,
    after_report,
    after_request,
    current_limit,
)
from comfreyhatch.ports.engine import LoadReport


def report(limit: int, age_s: float = 0.0) -> LoadReport:
    return LoadReport("engine-1", 0, 0, limit, cold=False, age_s=age_s)


def served(state: LimitState, count: int, now: float, first_token_s: float = 0.1) -> LimitState:
    for _ in range(count):
        state = after_request(state, SlotOutcome.OK, first_token_s, now)
    return state


EVENTS = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.one_of(st.builds(report, st.integers(0, 20), st.floats(0, 8))),
        st.sampled_from(SlotOutcome),
        st.none() | st.floats(0.01, 9),
    ),
    max_size=30,
)


@given(EVENTS)
def test_limit_never_exceeds_that_of_a_recent_report(
    events: list[tuple[float, LoadReport, SlotOutcome, float | None]],
) -> None:
    state, now = LimitState(), 0.0
    newest: tuple[float, int] = (float("-inf"), 1)
    for step, load, outcome, latency in events:
        now += step
        state = after_report(state, load, now)
        newest = max(newest, (now - load.age_s, load.bears), key=lambda pair: pair[0])
        before = current_limit(state, now)
        state = after_request(state, outcome, latency, now)
        if now - newest[0] <= REPORT_MAX_AGE_S:
            assert current_limit(state, now) <= newest[1]
        if outcome is SlotOutcome.COLD:
            assert current_limit(state, now) <= 1
        elif outcome in (SlotOutcome.REFUSED, SlotOutcome.FAILED):
            assert current_limit(state, now) <= max(1, before / 2)


def test_slow_start_from_one_adds_one_slot_for_each_window_of_successes() -> None:
    state = LimitState()
    limits = [current_limit(state, 0.0)]
    for _ in range(30):
        state = served(state, 1, 0.0)
        limits.append(current_limit(state, 0.0))
    assert limits[0] == 1 and limits == sorted(limits)
    assert limits[-1] == 7


def test_expired_report_restarts_slow_start() -> None:
    state = after_report(LimitState(), report(16), 0.0)
    assert current_limit(state, REPORT_MAX_AGE_S) == 16
    assert current_limit(state, REPORT_MAX_AGE_S + 0.1) == 1


def test_window_does_not_grow_while_the_last_report_precedes_the_decrease() -> None:
    state = after_report(LimitState(), report(16), 0.0)
    reduced = served(after_request(state, SlotOutcome.REFUSED, None, 1.0), 50, 1.5)
    assert current_limit(reduced, 1.5) == 8
    reported = served(after_report(reduced, report(12), 2.0), 50, 2.0)
    assert current_limit(reported, 2.0) == 12


def test_report_forwarded_by_a_peer_does_not_end_slow_start() -> None:
    state = after_report(LimitState(), report(16), 0.0)
    reduced = after_request(state, SlotOutcome.COLD, None, 1.0)
    forwarded = after_report(reduced, report(1, age_s=1.0), 1.2)
    assert current_limit(after_report(forwarded, report(16, age_s=0.9), 1.3), 1.3) == 1


@pytest.mark.parametrize("outcome", [SlotOutcome.REFUSED, SlotOutcome.COLD, SlotOutcome.FAILED])
def test_lagging_report_does_not_undo_a_decrease(outcome: SlotOutcome) -> None:
    state = after_report(LimitState(), report(16), 0.0)
    reduced = after_request(state, outcome, None, 1.0)
    limit = current_limit(reduced, 1.0)
    assert limit == (1 if outcome is SlotOutcome.COLD else 8)
    assert current_limit(after_report(reduced, report(16), 2.0), 2.0) == limit
    recovered = after_report(reduced, report(16), 1.1 + REPORT_MAX_AGE_S)
    assert current_limit(recovered, 1.1 + REPORT_MAX_AGE_S) == 16


def test_latency_jump_halves_the_limit_and_normal_latency_does_not() -> None:
    state = served(after_report(LimitState(), report(16), 0.0), 20, 0.0)
    assert current_limit(state, 0.0) == 16
    jumped = after_request(state, SlotOutcome.OK, 1.0, 0.0)
    assert current_limit(jumped, 0.0) == 8


def test_older_report_may_lower_but_not_raise_the_limit() -> None:
    state = after_report(LimitState(), report(8), 10.0)
    assert current_limit(after_report(state, report(16, age_s=1.0), 10.0), 10.0) == 8
    assert current_limit(after_report(state, report(2, age_s=1.0), 10.0), 10.0) == 2
    assert current_limit(after_report(state, report(2, age_s=9.0), 10.0), 10.0) == 8


def test_decrease_reported_by_a_peer_holds_against_lagging_reports() -> None:
    state = after_report(LimitState(), report(16), 0.0)
    reduced = after_peer_decrease(state, 2, 1.0)
    assert current_limit(after_report(reduced, report(16), 1.5), 1.5) == 2
    assert after_peer_decrease(reduced, 4, 2.0) is reduced


def test_only_latency_above_the_floor_counts_as_a_jump() -> None:
    state = served(after_report(LimitState(), report(16), 0.0), 20, 0.0, first_token_s=0.005)
    assert current_limit(served(state, 1, 0.0, first_token_s=LATENCY_FLOOR_S), 0.0) == 16
    assert current_limit(served(state, 1, 0.0, first_token_s=2 * LATENCY_FLOOR_S), 0.0) == 8
