"""Spending limits: reservations against slices of a customer's daily budget.

Each daemon takes a slice of the budget from the shared table and reserves the maximum cost of a
request from its slice before the request is dispatched. A slice that is already taken can be
spent while the table is unavailable.
"""

from collections.abc import Sequence

from msgspec import Struct

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.request import ChatMessage, ChatRequest
from comfreyhatch.domain.version import Version, cost_micros

# Tokens counted for the chat format around each message.
MESSAGE_OVERHEAD_TOKENS = 8
# Time that a slice should last: slices are doubled below it and halved above twice the time.
TARGET_SLICE_S = 300.0
FIRST_SLICE_REQUESTS = 8
# The largest slice is the daemon's even part of the remaining budget divided by this number.
MAX_SLICE_DIVISOR = 4
# The smallest slice is the largest one divided by this number. Slices for a few requests left a
# daemon that had just started without money in an outage of the table.
MIN_SLICE_DIVISOR = 4
# Part of the daily budget that all daemons together may spend in an outage under "cheapest".
CHEAPEST_BUDGET_DIVISOR = 10


class Reservation(Struct, frozen=True):
    """Money reserved for a request.

    Attributes:
        customer: Customer that pays.
        day: Day of the budget.
        cost_micros: Amount reserved.
        in_outage: Whether the amount counts against the outage allowance instead of the slice.
        cheapest_only: Whether only the cheapest version may serve the request.
    """

    customer: str
    day: str
    cost_micros: int
    in_outage: bool = False
    cheapest_only: bool = False


class BudgetLedger:
    """One daemon's account of a customer's budget for one day.

    Spending never exceeds the granted slices plus the outage allowance.
    """

    def __init__(self) -> None:
        self.granted_micros = 0
        self.spent_micros = 0
        self.reserved_micros = 0
        self.outage_spent_micros = 0
        self.outage_reserved_micros = 0
        self._slice_micros = 0
        self._taken_at = 0.0

    @property
    def available_micros(self) -> int:
        """Granted amount that is neither spent nor reserved; spending in an outage counts too."""
        used = self.spent_micros + self.reserved_micros + self.outage_spent_micros
        return self.granted_micros - used

    def reserve(self, cost_micros: int) -> bool:
        """Reserve an amount of the slice; return False if too little is left."""
        if cost_micros > self.available_micros:
            return False
        self.reserved_micros += cost_micros
        return True

    def reserve_in_outage(self, cost_micros: int, allowance_micros: int) -> bool:
        """Reserve an amount of the outage allowance; return False if too little is left."""
        used = self.outage_spent_micros + self.outage_reserved_micros
        if used + cost_micros > allowance_micros:
            return False
        self.outage_reserved_micros += cost_micros
        return True

    def settle(self, reservation: Reservation, cost_micros: int) -> None:
        """Replace a reservation by the actual cost of the request."""
        if reservation.in_outage:
            self.outage_reserved_micros -= reservation.cost_micros
            self.outage_spent_micros += cost_micros
            return
        self.reserved_micros -= reservation.cost_micros
        self.spent_micros += cost_micros

    def next_slice_micros(
        self, need_micros: int, remaining_micros: int, members: int, now: float
    ) -> int:
        """Return the size of the next slice; 0 if the remaining budget is below the need.

        Args:
            need_micros: Minimum size of the slice.
            remaining_micros: Part of the budget that no daemon has taken.
            members: Number of daemons that share the budget.
            now: Monotonic time, in seconds.
        """
        if need_micros > remaining_micros:
            return 0
        largest = remaining_micros // (MAX_SLICE_DIVISOR * max(1, members))
        desired = max(self._desired_micros(need_micros, now), largest // MIN_SLICE_DIVISOR)
        return max(need_micros, min(desired, largest))

    def grant(self, slice_micros: int, now: float) -> None:
        """Add a slice that was taken at a monotonic time, in seconds."""
        self.granted_micros += slice_micros
        self._slice_micros = slice_micros
        self._taken_at = now

    def _desired_micros(self, need_micros: int, now: float) -> int:
        """Return the size of a slice that lasts for about the target duration."""
        if not self._slice_micros:
            return need_micros * FIRST_SLICE_REQUESTS
        lasted_s = now - self._taken_at
        if lasted_s < TARGET_SLICE_S:
            return self._slice_micros * 2
        return self._slice_micros // 2 if lasted_s > 2 * TARGET_SLICE_S else self._slice_micros


def outage_allowance_micros(contract: Contract, members: int) -> int:
    """Return the amount that one daemon may spend in a day while the budget can't be read.

    Args:
        contract: Contract of the customer.
        members: Number of live daemons, as far as this daemon knows.
    """
    match contract.on_budget_unknown:
        case "cap":
            return contract.outage_cap_micros
        case "cheapest":
            return contract.budget_micros // (CHEAPEST_BUDGET_DIVISOR * max(1, members))
    return 0


def all_but_cheapest(allowed: Sequence[Version], call: ChatRequest) -> frozenset[str]:
    """Return the ids of all allowed versions except the cheapest one that fits the request."""
    wanted = [v for v in allowed if call.model in ("", v.model, v.version_id)] or list(allowed)
    cheapest = min(wanted, key=lambda v: max_cost_micros(v, call.messages, call.max_tokens))
    return frozenset(v.version_id for v in allowed if v is not cheapest)


def max_cost_micros(version: Version, messages: Sequence[ChatMessage], max_tokens: int) -> int:
    """Return the maximum cost of an answer.

    The prompt is counted in bytes, since each token has at least one byte.
    """
    sizes = [len(m.content.encode()) + MESSAGE_OVERHEAD_TOKENS for m in messages]
    return cost_micros(version, sum(sizes), max_tokens)
