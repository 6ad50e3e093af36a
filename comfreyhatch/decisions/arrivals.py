"""Budget of further arrivals at a service: retries, hedges and calls to a second model.

Answers the load of a failing service, where repeats feed on themselves. Each daemon keeps its
own part; the parts add up to the fleet's budget without a message between daemons.
"""

from collections import deque

SAFETY = 0.85


class ArrivalBudget:
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
        self._further: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def left(self, now: float) -> float:
        """Return how many further arrivals are allowed now."""
        self._expire(now)
        return self._ratio * len(self._requests) + self.slack * SAFETY - len(self._further)

    def share_left(self, now: float) -> float:
        """Return what is left as a share of what the window allows, 0 to 1."""
        left = self.left(now)
        whole = left + len(self._further)
        return max(0.0, left / whole) if whole > 0 else 0.0

    def take(self, now: float) -> bool:
        """Return whether a further arrival is allowed, and count it."""
        if self.left(now) < 1:
            return False
        self._further.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
        while self._further and self._further[0] < oldest:
            self._further.popleft()
