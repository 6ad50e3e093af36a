"""Rate limit for a cold endpoint: all daemons together stay within its rate."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.cold_rate import ColdRateLimiter, daemon_cold_rate

OVERLOAD_FACTOR = 1.5
SLACK = 5.0
TICK_S = 0.01


@given(st.integers(1, 90), st.floats(2.0, 40.0))
def test_requests_in_each_second_stay_within_the_limit(daemons: int, per_s: float) -> None:
    names = [f"d{n}" for n in range(daemons)]
    buckets = {name: ColdRateLimiter() for name in names}
    rates = {
        name: daemon_cold_rate("e", name, names, per_s, OVERLOAD_FACTOR, SLACK) for name in names
    }
    sent: list[float] = []
    for tick in range(200):
        now = 100 + tick * TICK_S
        for name, bucket in buckets.items():
            if rates[name] and bucket.may_send(rates[name], now):
                bucket.record(rates[name], now)
                sent.append(now)
    for at in sent:
        assert sum(at <= other < at + 1.0 for other in sent) <= per_s * OVERLOAD_FACTOR + SLACK


def test_only_a_few_daemons_of_a_large_fleet_send_to_a_cold_endpoint() -> None:
    names = [f"d{n}" for n in range(83)]
    senders = [
        name
        for name in names
        if daemon_cold_rate("e", name, names, 13.0, OVERLOAD_FACTOR, SLACK) > 0
    ]
    assert len(senders) == 8


def test_bucket_fills_with_time() -> None:
    bucket = ColdRateLimiter()
    assert bucket.may_send(2.0, 10.0)
    bucket.record(2.0, 10.0)
    assert not bucket.may_send(2.0, 10.4)
    assert bucket.may_send(2.0, 10.5)


def test_daemon_that_may_not_send_to_a_cold_endpoint_sends_nothing() -> None:
    # Each daemon started with a full bucket: 26 of 83 sent one request each to an endpoint that
    # had just registered, where seven were selected.
    limiter = ColdRateLimiter()
    assert not limiter.may_send(0.0, 10.0)
    assert limiter.may_send(0.5, 10.0)


def test_a_fleet_that_learns_of_a_cold_endpoint_at_once_stays_within_its_bound() -> None:
    daemons = [f"d{number}" for number in range(83)]
    sent = 0
    for daemon in daemons:
        per_s = daemon_cold_rate("e1", daemon, daemons, 12.0, 1.5, 5.0)
        limiter = ColdRateLimiter()
        for tick in range(100):
            if limiter.may_send(per_s, tick / 100):
                limiter.record(per_s, tick / 100)
                sent += 1
    assert 0 < sent <= 12.0 * 1.5 + 5.0
