"""Retry budget, hedging delay and exponential back-off."""

from bisect import insort
from collections import deque
from random import Random

# Retries and hedged requests allowed per request, and the burst allowed beyond that share.
RETRY_SHARE = 0.1
RETRY_BURST = 3.0
WINDOW_SAMPLES = 256
MIN_QUANTILE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
MIN_HEDGE_DELAY_S = 0.02
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Retry budget: token bucket that each request fills and each retry or hedge drains."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def request_started(self) -> None:
        """Add the fraction of a token that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take a token for a retry or hedge; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SampleWindow:
    """Sliding window of the most recent samples, with their quantiles."""

    def __init__(
        self, samples: int = WINDOW_SAMPLES, min_samples: int = MIN_QUANTILE_SAMPLES
    ) -> None:
        """Create a window without samples.

        Args:
            samples: Number of samples that are kept.
            min_samples: Number of samples from which quantiles are known.
        """
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._samples = samples
        self._min_samples = min_samples

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, value: float) -> None:
        """Add a sample; the oldest is dropped when the window is full."""
        self._recent.append(value)
        insort(self._sorted, value)
        if len(self._recent) > self._samples:
            self._sorted.remove(self._recent.popleft())

    def quantile(self, share: float) -> float | None:
        """Return a quantile, or None while there are too few samples.

        Args:
            share: Which quantile, 0 to 1.
        """
        if len(self._sorted) < self._min_samples:
            return None
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


def hedge_delay_s(idempotent: bool, latencies: SampleWindow) -> float | None:
    """Return the delay before a hedged request, in seconds; None if there must be none.

    Args:
        idempotent: Whether the request may be executed twice.
        latencies: Recent answer times of such requests, in seconds.
    """
    latency_s = latencies.quantile(HEDGE_QUANTILE)
    if not idempotent or latency_s is None:
        return None
    return max(MIN_HEDGE_DELAY_S, latency_s)


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the delay before a retry, in seconds: exponential back-off with full jitter.

    Args:
        attempt: Number of attempts made so far, from 1.
        rng: Random source of the jitter.
    """
    limit_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * float(2 ** (attempt - 1)))
    return rng.random() * limit_s
