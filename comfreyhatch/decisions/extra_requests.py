"""Budget of extra requests: retries, hedged requests and calls to a second model.

The budget bounds the load that repeated requests add to a failing service, which would
otherwise cause further failures and further retries. Each daemon spends its own part; the parts
add up to the budget of the fleet without coordination between daemons.

An extra request is reserved as it is decided, and counts until the window has passed since it has
surely arrived. Those that wait for a slot, or unread at a silent endpoint, would otherwise arrive
together with as many later ones.
"""

from collections import deque
from math import inf

# Share of the configured ratio and slack that a daemon uses.
SAFETY_FACTOR = 0.85


class ExtraRequest:
    """An extra request that is reserved in a budget until it has arrived or is given back."""

    __slots__ = ("_budget",)

    def __init__(self, budget: "ExtraRequestBudget") -> None:
        self._budget: ExtraRequestBudget | None = budget

    def note_arrived(self, now: float) -> None:
        """Count the request in the window from now on, as no later arrival is expected."""
        self._end(now)

    def release(self) -> None:
        """Give the request back, unless it has arrived."""
        self._end(None)

    def _end(self, arrived_at: float | None) -> None:
        if self._budget is not None:
            self._budget.end_reserved(self, arrived_at)
            self._budget = None


class ExtraRequestBudget:
    """Counts requests of callers and extra requests to one service in a sliding window.

    An extra request is reserved: it counts from then on, and takes its place in the window when it
    has surely arrived.

    Attributes:
        slack: Extra requests allowed in a window in addition to the ratio, for this daemon alone.
        held_share: Share of the budget that is left to what a former process sent, 0 to 1.
    """

    def __init__(
        self, window_s: float, ratio: float, slack: float, slack_from: float = -inf
    ) -> None:
        """Create a budget.

        Args:
            window_s: Length of the window, in seconds.
            ratio: Extra requests allowed for each caller's request in the window.
            slack: Extra requests allowed in addition, for this daemon alone.
            slack_from: Monotonic time in seconds from which these are allowed: an earlier run of
                this daemon's process may have used them up to a window before.
        """
        self._window_s = window_s
        self._ratio = ratio * SAFETY_FACTOR
        self.slack = slack
        self.held_share = 0.0
        self._slack_from = slack_from
        self._requests: deque[float] = deque()
        self._extra: deque[float] = deque()
        # Oldest first.
        self._reserved_at: dict[ExtraRequest, float] = {}

    def record_request(self, came_at: float) -> None:
        """Count a caller's request from the time on at which it came, in seconds.

        That of a request that was read late lies before those of others.
        """
        place = len(self._requests)
        while place and self._requests[place - 1] > came_at:
            place -= 1
        self._requests.insert(place, came_at)

    def remaining(self, now: float) -> float:
        """Return how many extra requests are allowed now."""
        self._expire(now)
        slack = self.slack * SAFETY_FACTOR if now >= self._slack_from else 0.0
        allowed = (1 - self.held_share) * (self._ratio * len(self._requests) + slack)
        return allowed - len(self._extra) - self.reserved

    @property
    def reserved(self) -> int:
        """Number of extra requests that are reserved and have not arrived, as far as is known."""
        return len(self._reserved_at)

    def oldest_reserved_s(self, now: float) -> float:
        """Return for how long the oldest of these has been reserved, in seconds; 0 without any."""
        return now - next(iter(self._reserved_at.values()), now)

    def remaining_share(self, now: float) -> float:
        """Return the unspent share of the window's budget, 0 to 1."""
        remaining = self.remaining(now)
        total = remaining + len(self._extra) + self.reserved
        return max(0.0, remaining / total) if total > 0 else 0.0

    def bears_unheard(self, since: float = -inf) -> bool:
        """Return whether one more may be reserved for a service that may be silent.

        What waits there arrives when it goes on. Beyond the slack, only requests that come in the
        same window allow it, and there may be none. A single one finds out whether it answers.

        Args:
            since: Monotonic time in seconds at which something came from it; what was reserved
                before is not counted.
        """
        unheard = 0
        for reserved_at in reversed(self._reserved_at.values()):
            if reserved_at < since:
                break
            unheard += 1
        return unheard + 1 <= max(1.0, self.slack * SAFETY_FACTOR)

    def reserve(self, now: float) -> ExtraRequest | None:
        """Return an extra request that is going to be sent; None if the budget allows none."""
        if self.remaining(now) < 1:
            return None
        extra = ExtraRequest(self)
        self._reserved_at[extra] = now
        return extra

    def take(self, now: float) -> bool:
        """Spend one extra request that is sent at once; return whether the budget allows it."""
        extra = self.reserve(now)
        if extra is not None:
            extra.note_arrived(now)
        return extra is not None

    def end_reserved(self, extra: ExtraRequest, arrived_at: float | None) -> None:
        """End a reservation; called by the extra request itself.

        Args:
            extra: The extra request.
            arrived_at: Monotonic time in seconds by which it has arrived; None if it was not sent.
        """
        del self._reserved_at[extra]
        if arrived_at is not None:
            self._extra.append(arrived_at)

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
        while self._extra and self._extra[0] < oldest:
            self._extra.popleft()
