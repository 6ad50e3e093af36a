"""Retry budget, hedging delay and spacing of retries."""

from bisect import insort
from collections import deque
from random import Random

RETRY_SHARE = 0.1
RETRY_BURST = 3.0
WINDOW_SAMPLES = 256
MIN_QUANTILE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
MIN_HEDGE_DELAY_S = 0.02
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Allows retries and hedges up to a share of the requests, plus a small burst."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def request_started(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Return whether another attempt is allowed, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SampleWindow:
    """The last answer times of one kind of call."""

    def __init__(self, samples: int = WINDOW_SAMPLES) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._samples = samples

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Note the time of an answer."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > self._samples:
            self._sorted.remove(self._recent.popleft())

    def quantile(self, share: float) -> float | None:
        """Return a quantile, or None while samples are few."""
        if len(self._sorted) < MIN_QUANTILE_SAMPLES:
            return None
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


def hedge_delay_s(idempotent: bool, latencies: SampleWindow) -> float | None:
    """Return after what time a second attempt may start beside the first; None for never."""
    usual = latencies.quantile(HEDGE_QUANTILE)
    if not idempotent or usual is None:
        return None
    return max(MIN_HEDGE_DELAY_S, usual)


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the time before a retry: exponential, with full jitter.

    Args:
        attempt: Number of attempts made so far, from 1.
        rng: Seeded source of the jitter.
    """
    limit_s = min(MAX_BACKOFF_S, BACKOFF_S * float(2 ** (attempt - 1)))
    return rng.random() * limit_s
