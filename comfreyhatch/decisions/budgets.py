"""Decides on spending: reservations against slices of a budget, and the size of slices."""

from collections.abc import Sequence

from msgspec import Struct

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.request import ChatMessage, ChatRequest
from comfreyhatch.domain.version import Version, cost_micros

MESSAGE_OVERHEAD_TOKENS = 8
SLICE_LIFE_S = 300.0
FIRST_SLICE_REQUESTS = 8
SLICES_LEFT_A_MEMBER = 4
SLICES_A_SHARE = 4
CHEAPEST_BUDGET_DIVISOR = 10


class Reservation(Struct, frozen=True):
    """Money held for a request.

    Attributes:
        customer: Customer that pays.
        day: Day of the budget.
        cost_micros: Amount held.
        in_outage: Whether it is held outside the slice, because no other could be taken.
        cheapest_only: Whether only the cheapest version may be used.
    """

    customer: str
    day: str
    cost_micros: int
    in_outage: bool = False
    cheapest_only: bool = False


class BudgetLedger:
    """One daemon's account of a customer's budget of a day.

    Spending never exceeds what was granted, but for the outage allowance.
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
        """What may still be reserved of the slice; spending in an outage is owed to it."""
        used = self.spent_micros + self.reserved_micros + self.outage_spent_micros
        return self.granted_micros - used

    def reserve(self, cost_micros: int) -> bool:
        """Hold an amount of the slice; return whether it is there."""
        if cost_micros > self.available_micros:
            return False
        self.reserved_micros += cost_micros
        return True

    def reserve_in_outage(self, cost_micros: int, allowance_micros: int) -> bool:
        """Hold an amount of the outage allowance; return whether it is there."""
        used = self.outage_spent_micros + self.outage_reserved_micros
        if used + cost_micros > allowance_micros:
            return False
        self.outage_reserved_micros += cost_micros
        return True

    def settle(self, reservation: Reservation, cost_micros: int) -> None:
        """Replace an amount held by what the request cost."""
        if reservation.in_outage:
            self.outage_reserved_micros -= reservation.cost_micros
            self.outage_spent_micros += cost_micros
            return
        self.reserved_micros -= reservation.cost_micros
        self.spent_micros += cost_micros

    def next_slice_micros(
        self, need_micros: int, remaining_micros: int, members: int, now: float
    ) -> int:
        """Return the size of the slice to take next; 0 if the budget does not suffice.

        Args:
            need_micros: Least size that is of use.
            remaining_micros: What is left of the budget.
            members: Daemons that share it.
            now: Monotonic time, in seconds.
        """
        if need_micros > remaining_micros:
            return 0
        share = remaining_micros // (SLICES_LEFT_A_MEMBER * max(1, members))
        usual = max(self._usual_micros(need_micros, now), share // SLICES_A_SHARE)
        return max(need_micros, min(usual, share))

    def grant(self, slice_micros: int, now: float) -> None:
        """Add a slice that was taken at a monotonic time, in seconds."""
        self.granted_micros += slice_micros
        self._slice_micros = slice_micros
        self._taken_at = now

    def _usual_micros(self, need_micros: int, now: float) -> int:
        """Return the size that lasts for about the life of a slice."""
        if not self._slice_micros:
            return need_micros * FIRST_SLICE_REQUESTS
        lasted_s = now - self._taken_at
        if lasted_s < SLICE_LIFE_S:
            return self._slice_micros * 2
        return self._slice_micros // 2 if lasted_s > 2 * SLICE_LIFE_S else self._slice_micros


def outage_allowance_micros(contract: Contract, members: int) -> int:
    """Return what one daemon may spend in a day while the budget cannot be read.

    Args:
        contract: Contract of the customer.
        members: Daemons that this one knows to be live.
    """
    match contract.on_budget_unknown:
        case "cap":
            return contract.outage_cap_micros
        case "cheapest":
            return contract.budget_micros // (CHEAPEST_BUDGET_DIVISOR * max(1, members))
    return 0


def all_but_cheapest(allowed: Sequence[Version], call: ChatRequest) -> frozenset[str]:
    """Return all allowed versions but the cheapest that a request may use."""
    wanted = [v for v in allowed if call.model in ("", v.model, v.version_id)] or list(allowed)
    cheapest = min(wanted, key=lambda v: max_cost_micros(v, call.messages, call.max_tokens))
    return frozenset(v.version_id for v in allowed if v is not cheapest)


def max_cost_micros(version: Version, messages: Sequence[ChatMessage], max_tokens: int) -> int:
    """Return the most that an answer may cost; no token is shorter than a byte."""
    sizes = [len(m.content.encode()) + MESSAGE_OVERHEAD_TOKENS for m in messages]
    return cost_micros(version, sum(sizes), max_tokens)
