"""Budget of extra requests: retries, hedged requests and calls to a second model.

The budget bounds the load that repeated requests add to a failing service, which would
otherwise cause further failures and further retries. Each daemon spends its own part; the parts
add up to the budget of the fleet without coordination between daemons.
"""

from collections import deque

# Share of the configured ratio and slack that a daemon uses.
SAFETY_FACTOR = 0.85


class ExtraRequestBudget:
    """Counts requests of callers and extra requests to one service in a sliding window.

    An extra request that can't be sent at once is reserved: it counts from then on, and takes its
    place in the window when it is sent.
    """

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Create a budget.

        Args:
            window_s: Length of the window, in seconds.
            ratio: Extra requests allowed for each caller's request in the window.
            slack: Extra requests allowed in addition, for this daemon alone.
        """
        self._window_s = window_s
        self._ratio = ratio * SAFETY_FACTOR
        self.slack = slack
        self._requests: deque[float] = deque()
        self._extra: deque[float] = deque()
        self._reserved = 0

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def remaining(self, now: float) -> float:
        """Return how many extra requests are allowed now."""
        self._expire(now)
        return self._ratio * len(self._requests) + self.slack * SAFETY_FACTOR - self._taken

    def remaining_share(self, now: float) -> float:
        """Return the unspent share of the window's budget, 0 to 1."""
        remaining = self.remaining(now)
        total = remaining + self._taken
        return max(0.0, remaining / total) if total > 0 else 0.0

    def take(self, now: float) -> bool:
        """Spend one extra request if the budget allows it; return whether it does."""
        if self.remaining(now) < 1:
            return False
        self._extra.append(now)
        return True

    def reserve(self, now: float) -> bool:
        """Reserve one extra request if the budget allows it; return whether it does."""
        if self.remaining(now) < 1:
            return False
        self._reserved += 1
        return True

    def spend_reserved(self, now: float) -> None:
        """Count a reserved extra request that is sent now."""
        self._reserved -= 1
        self._extra.append(now)

    def return_reserved(self) -> None:
        """Give back a reserved extra request that is not sent."""
        self._reserved -= 1

    @property
    def _taken(self) -> int:
        return len(self._extra) + self._reserved

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
        while self._extra and self._extra[0] < oldest:
            self._extra.popleft()
