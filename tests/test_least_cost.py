"""Order of the queue by cost to callers, displacement, and refusal of what would be late."""

import pytest

from comfreyhatch.decisions.least_cost import (
    Lane,
    WaitingWork,
    can_start_in_time,
    decide_admission,
    late_works,
    reserved_slots,
    serving_order,
    start_by,
)

NOW = 100.0


def work(number: int, **changes: object) -> WaitingWork:
    values: dict[str, object] = {
        "rank": 1,
        "route_rank": 1,
        "work_s": 0.1,
        "start_by": NOW + 0.3,
    }
    return WaitingWork(number, **{**values, **changes})  # type: ignore[arg-type]


def decide(newcomer: WaitingWork, *waiting: WaitingWork, slots: float = 1.0, capacity: int = 256):
    return decide_admission(newcomer, waiting, slots, capacity, NOW)


def test_order_is_by_what_a_delay_costs() -> None:
    """Guards against requests with time to spare, or long ones, going before those without."""
    order = [
        work(9, rank=3, resumes=True),
        work(8, rank=2, lane=Lane.BELOW_FLOOR),
        work(7, rank=0, start_by=NOW + 0.01),
        work(6, booked_at=NOW - 0.2, start_by=NOW + 3),
        work(5, booked_at=NOW - 0.1),
        work(4, work_s=0.05),
        work(3),
        work(2, work_s=0.2),
        work(1, start_by=NOW + 3),
        work(0, rank=0, lane=Lane.OVER_SHARE),
    ]
    assert serving_order(reversed(order), 1.0, NOW) == order


def test_part_of_a_slot_serves_a_part_as_fast() -> None:
    """Guards against counting 18 slots of 59 daemons as one slot each: calls of 90 ms (target
    0.4 s) behind two others then wait 0.59 s, not 0.18 s.
    """
    assert can_start_in_time(0.18, 1.0, NOW + 0.3, NOW)
    assert not can_start_in_time(0.18, 18 / 59, NOW + 0.3, NOW)
    assert can_start_in_time(0.09, 18 / 59, NOW + 0.3, NOW)


def test_request_has_to_start_early_enough_for_its_work() -> None:
    assert start_by(NOW, 0.4, NOW + 3, 0.09, 0.09) == pytest.approx(NOW + 0.265)
    assert start_by(NOW, 4.0, NOW + 20, 0.01, 2.0) == pytest.approx(NOW + 3.6)
    assert start_by(NOW, 4.0, NOW + 3, 0.01, 2.0) == pytest.approx(NOW + 1.0)


def test_late_newcomer_displaces_what_costs_less() -> None:
    """Guards against urgent calls that are refused while others wait that cost less."""
    waiting = work(1, rank=2, work_s=0.2, start_by=NOW + 0.01)
    decision = decide(work(3, rank=1, work_s=0.8, start_by=NOW + 0.1), waiting)
    assert decision.admitted and decision.displaced == {1}
    assert decision.displaced_cost < decision.cost


def test_newcomer_of_equal_cost_displaces_nobody() -> None:
    """Guards against refusing a caller that waits for one that just came, with nothing gained."""
    waiting = [work(n, work_s=0.25) for n in (1, 2)]
    decision = decide(work(3, work_s=0.15), *waiting)
    assert not decision.admitted and not decision.displaced
    assert decide(work(3, rank=0, work_s=0.15), *waiting).displaced == {2}


def test_long_newcomer_does_not_displace_several_short_ones() -> None:
    """Guards against a prompt of 12,000 tokens that takes the time of many short ones."""
    waiting = [work(n, work_s=0.05) for n in range(5)]
    assert not decide(
        work(9, rank=0, work_s=1.0, booked_at=NOW), *waiting, work(8, rank=0)
    ).displaced


def test_full_queue_refuses_the_least_costly() -> None:
    waiting = [work(1, rank=2), work(2, rank=1)]
    decision = decide(work(3, rank=0), *waiting, slots=10.0, capacity=2)
    assert decision.admitted and decision.displaced == {1}
    assert not decide(work(3, rank=2), *waiting, slots=10.0, capacity=2).admitted


def test_resumed_streams_are_not_displaced() -> None:
    """Guards against cut streams: callers have part of their answers already."""
    waiting = [work(n, rank=3, resumes=True, work_s=5.0) for n in (1, 2)]
    assert not decide(work(3, rank=0), *waiting).admitted
    assert not decide(work(3, rank=0), *waiting, slots=100.0, capacity=2).admitted
    assert late_works(waiting, 1.0, NOW + 9) == []
    assert decide(work(3, resumes=True, start_by=NOW + 3), *waiting).admitted


def test_request_that_cannot_be_in_time_is_refused_before_its_time() -> None:
    """Guards against waits until the deadline for what is known to be late."""
    works = [work(n, work_s=0.25) for n in range(3)]
    assert [w.number for w in late_works(works, 1.0, NOW)] == [2]
    assert [w.number for w in late_works(works, 1.0, NOW + 0.31)] == [0, 1, 2]


def test_less_urgent_requests_leave_slots_to_those_that_ask() -> None:
    """Guards against reserves for nobody: slots are only kept for ranks that asked lately."""
    asking = [0, 1, 2]
    assert [reserved_slots(work(1, rank=r), asking, 18) for r in range(3)] == [0, 1, 2]
    assert reserved_slots(work(1, rank=2), [2], 18) == 0
    assert reserved_slots(work(1, rank=2), asking, 1) == 0
    assert reserved_slots(work(1, rank=0, lane=Lane.OVER_SHARE), [0], 18) == 2
    assert reserved_slots(work(1, rank=2, lane=Lane.BELOW_FLOOR), asking, 18) == 0
    assert reserved_slots(work(1, rank=2, booked_at=NOW), asking, 18) == 1
