"""Retry budget, hedging delay and exponential back-off."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.retries import (
    MAX_BACKOFF_S,
    MIN_QUANTILE_SAMPLES,
    RETRY_BURST,
    RETRY_SHARE,
    RetryBudget,
    SampleWindow,
    backoff_s,
    hedge_delay_s,
)


@given(st.lists(st.booleans(), max_size=400))
def test_retries_never_exceed_their_share(events: list[bool]) -> None:
    budget = RetryBudget()
    requests = retries = 0
    for is_request in events:
        if is_request:
            budget.request_started()
            requests += 1
        else:
            retries += budget.take()
        assert retries <= RETRY_BURST + RETRY_SHARE * requests + 1e-6


def test_unused_retry_budget_is_capped() -> None:
    budget = RetryBudget()
    for _ in range(1000):
        budget.request_started()
    assert sum(budget.take() for _ in range(100)) == RETRY_BURST


@given(st.lists(st.floats(0, 10), min_size=1, max_size=120), st.floats(0, 1))
def test_window_returns_the_quantile_of_the_most_recent_samples(
    times: list[float], share: float
) -> None:
    window = SampleWindow(samples=50)
    for seconds in times:
        window.add(seconds)
    recent = sorted(times[-50:])
    assert len(window) == len(recent)
    found = window.quantile(share)
    if len(recent) < MIN_QUANTILE_SAMPLES:
        assert found is None
    else:
        assert found == recent[min(len(recent) - 1, int(share * len(recent)))]


def test_only_idempotent_requests_are_hedged_after_a_high_latency_quantile() -> None:
    window = SampleWindow()
    assert hedge_delay_s(True, window) is None
    for number in range(100):
        window.add(number / 100)
    assert hedge_delay_s(True, window) == 0.95
    assert hedge_delay_s(False, window) is None


def test_backoff_grows_with_jitter_up_to_a_limit() -> None:
    rng = Random(2)
    first = [backoff_s(1, rng) for _ in range(200)]
    later = [backoff_s(20, rng) for _ in range(200)]
    assert len(set(first)) == 200
    assert max(first) < 0.05 < max(later) <= MAX_BACKOFF_S
