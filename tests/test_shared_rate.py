"""Rate of an endpoint that all daemons share: together they stay within its bound."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.shared_rate import (
    MIN_NAMED_PER_S,
    NAMED_OVER,
    NAMED_SLACK,
    NAMED_WINDOW_S,
    PERMIT_LIFE_S,
    EndpointRate,
    RateBound,
    RateBucket,
    cold_bound,
    lower_bound,
    named_bound,
    senders_of,
)

OVERLOAD_FACTOR = 1.5
SLACK = 5.0
TICK_S = 0.01


def greedy_times(bound: RateBound, daemons: int, length_s: float) -> list[float]:
    """Return when requests are sent if each daemon sends whenever its part allows."""
    names = [f"d{n}" for n in range(daemons)]
    senders = senders_of("e", names, bound)
    part_per_s = {name: bound.per_s / len(senders) if name in senders else 0.0 for name in names}
    rates = {name: EndpointRate() for name in names}
    sent: list[float] = []
    for tick in range(int(length_s / TICK_S)):
        now = 100 + tick * TICK_S
        for name, rate in rates.items():
            if rate.may_send(part_per_s[name], now):
                rate.take(part_per_s[name], now)
                sent.append(now)
    return sent


def most_within(times: list[float], window_s: float) -> int:
    return max(sum(at <= other < at + window_s for other in times) for at in times)


@given(st.integers(1, 90), st.floats(2.0, 40.0))
def test_requests_to_a_cold_endpoint_stay_within_the_limit_in_each_second(
    daemons: int, per_s: float
) -> None:
    sent = greedy_times(cold_bound(per_s, OVERLOAD_FACTOR, SLACK), daemons, 2.0)
    assert most_within(sent, 1.0) <= per_s * OVERLOAD_FACTOR + SLACK


@pytest.mark.parametrize("daemons", [1, 6, 65, 420])
@pytest.mark.parametrize("per_s", [0.0, 0.3, 1.0, 2.8, 40.0])
def test_named_limit_is_kept_and_used(daemons: int, per_s: float) -> None:
    sent = greedy_times(named_bound(per_s), daemons, 20.0)
    assert most_within(sent, NAMED_WINDOW_S) <= NAMED_OVER * per_s * NAMED_WINDOW_S + NAMED_SLACK
    assert len(sent) >= 0.7 * per_s * 20.0


def test_endpoint_that_takes_nothing_gets_a_request_now_and_then() -> None:
    assert named_bound(0.0).per_s == MIN_NAMED_PER_S


def test_lower_of_two_bounds_counts() -> None:
    assert lower_bound(RateBound(2.0, 4), RateBound(9.0, 3)) == RateBound(2.0, 3)


def test_only_a_few_daemons_of_a_large_fleet_send_to_a_cold_endpoint() -> None:
    names = [f"d{n}" for n in range(83)]
    assert len(senders_of("e", names, cold_bound(13.0, OVERLOAD_FACTOR, SLACK))) == 8


def test_bucket_fills_with_time() -> None:
    bucket = RateBucket()
    assert bucket.wait_s(2.0, 10.0) == 0.0
    bucket.take(2.0, 10.0)
    assert bucket.wait_s(2.0, 10.4) == pytest.approx(0.1)
    assert bucket.wait_s(2.0, 10.5) == 0.0


def test_tokens_are_reserved_one_after_the_other() -> None:
    bucket = RateBucket()
    assert [bucket.reserve(2.0, 1.0, 10.0) for _ in range(4)] == [0.0, 0.5, 1.0, None]
    assert bucket.wait_s(2.0, 10.0) == 1.5


def test_daemon_that_may_not_send_to_a_cold_endpoint_sends_nothing() -> None:
    # Each daemon started with a full bucket: 26 of 83 sent one request each to an endpoint that
    # had just registered, where seven were selected.
    rate = EndpointRate()
    assert not rate.may_send(0.0, 10.0)
    assert rate.may_send(0.5, 10.0)


def test_permit_is_used_once_and_not_before_nor_long_after_its_time() -> None:
    rate = EndpointRate()
    rate.add_permit(10.5)
    rate.add_permit(10.5)
    assert not rate.may_send(0.0, 10.4)
    assert rate.may_send(0.0, 10.5)
    rate.take(0.0, 10.5)
    assert rate.permits(10.5) == 1
    assert not rate.may_send(0.0, 10.5 + 2 * PERMIT_LIFE_S)


def test_a_fleet_that_learns_of_a_cold_endpoint_at_once_stays_within_its_bound() -> None:
    sent = greedy_times(cold_bound(12.0, 1.5, 5.0), 83, 1.0)
    assert 0 < len(sent) <= 12.0 * 1.5 + 5.0
