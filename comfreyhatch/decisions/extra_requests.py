"""Budget of further arrivals at a service: retries, hedges and calls to a second model.

Answers the load of a failing service, where repeats feed on themselves. Each daemon keeps its
own part; the parts add up to the fleet's budget without a message between daemons.
"""

from collections import deque

SAFETY = 0.85


class ExtraRequestBudget:
    """Counts first and further arrivals in a sliding window."""

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Create a budget.

        Args:
            window_s: Length of the window, in seconds.
            ratio: Further arrivals for each request of the window.
            slack: Further arrivals beside that, for this daemon alone.
        """
        self._window_s = window_s
        self._ratio = ratio * SAFETY
        self.slack = slack
        self._requests: deque[float] = deque()
        self._extra: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def remaining(self, now: float) -> float:
        """Return how many further arrivals are allowed now."""
        self._expire(now)
        return self._ratio * len(self._requests) + self.slack * SAFETY - len(self._extra)

    def remaining_share(self, now: float) -> float:
        """Return what is left as a share of what the window allows, 0 to 1."""
        left = self.remaining(now)
        whole = left + len(self._extra)
        return max(0.0, left / whole) if whole > 0 else 0.0

    def take(self, now: float) -> bool:
        """Return whether a further arrival is allowed, and count it."""
        if self.remaining(now) < 1:
            return False
        self._extra.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
        while self._extra and self._extra[0] < oldest:
            self._extra.popleft()
