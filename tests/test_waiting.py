"""Queue of waiting requests: order, longest waits and Retry-After."""

from random import Random

import pytest

from comfreyhatch.decisions.waiting import (
    MAX_RETRY_AFTER_S,
    ReturnTimes,
    ServiceTime,
    Waiter,
    max_wait_s,
    retry_after_s,
)
from tests.exchange_values import job

NOW = 100.0


def waiter(number: int, **changes: object) -> Waiter:
    values: dict[str, object] = {
        "resumes": False,
        "rank": 1,
        "route_rank": 1,
        "due_at": NOW + 1,
        "refuse_at": NOW + 1,
    }
    return Waiter(number, **{**values, **changes})  # type: ignore[arg-type]


def test_order_is_resumed_then_rank_then_on_time_then_due_time() -> None:
    order = [
        waiter(9, resumes=True, rank=3),
        waiter(8, rank=0),
        waiter(7, route_rank=0),
        waiter(6, due_at=NOW + 0.5),
        waiter(2),
        waiter(5),
        waiter(1, due_at=NOW - 1),
    ]
    assert sorted(order, key=lambda w: w.sort_key(NOW)) == order


def test_longest_wait_leaves_time_to_meet_the_target_time() -> None:
    assert max_wait_s(job(aim_s=1.0, arrived=NOW), False, NOW) == 0.6
    assert max_wait_s(job(aim_s=1.0, arrived=NOW - 2), False, NOW) == 0.0


def test_resumed_stream_may_wait_after_its_target_time() -> None:
    assert max_wait_s(job(aim_s=1.0, arrived=NOW - 2), True, NOW) == 3.0


def test_expected_wait_follows_the_service_time() -> None:
    service_time = ServiceTime()
    service_time.add(2.0)
    assert service_time.expected_wait_s(6, 3) == 4.0


def test_retry_after_is_spread_and_within_the_time_left() -> None:
    rng = Random(1)
    times = [retry_after_s(1.0, 20.0, rng) for _ in range(50)]
    assert min(times) >= 1.0 and max(times) <= 1.5
    assert len({round(t, 2) for t in times}) > 20
    assert max(retry_after_s(60.0, 1.0, rng) for _ in range(50)) <= 0.3


def test_refused_callers_come_back_one_after_the_other() -> None:
    returns = ReturnTimes()
    assert [returns.book(0.5, 0.2, 10.0) for _ in range(3)] == pytest.approx([0.5, 0.7, 0.9])
    assert returns.book(0.5, 0.2, 20.0) == pytest.approx(0.5)


def test_times_to_come_back_are_bounded() -> None:
    returns = ReturnTimes()
    assert max(returns.book(0.0, 1.0, 10.0) for _ in range(1000)) <= MAX_RETRY_AFTER_S
