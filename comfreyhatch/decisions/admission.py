"""Bounded admission queue, ordered by priority and deadline, with reserved slots.

Critical requests may use the reserved slots; all other requests may not.
"""

from random import Random

from msgspec import Struct

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 30.0
# Largest random addition, as a share of the delay.
RETRY_AFTER_JITTER = 0.5
# Weight of the newest sample in the moving mean of the service time.
SERVICE_TIME_SMOOTHING = 0.1


class Ticket(Struct, frozen=True):
    """A request that waits for a slot.

    Attributes:
        number: Sequence number in order of arrival; unique.
        critical: Whether the request may use reserved slots.
        priority: 0 to 9; a higher priority is served first.
        deadline: Time by which the request must be answered, in seconds.
        service_s: Minimum time that the request needs once it runs, in seconds.
    """

    number: int
    critical: bool
    priority: int
    deadline: float
    service_s: float = 0.0

    def rank(self) -> tuple[bool, int, float, int]:
        """Return the sort key: critical requests, then priority, then the earliest deadline."""
        return (not self.critical, -self.priority, self.deadline, self.number)


class OfferResult(Struct, frozen=True):
    """Result of offering a ticket to the queue.

    Attributes:
        admitted: Whether the ticket was queued.
        displaced: Ticket of lower rank that was removed to make room.
        reason: Why the ticket was refused; empty if it was admitted.
    """

    admitted: bool
    displaced: Ticket | None = None
    reason: str = ""


class AdmissionQueue:
    """Waiting tickets and the number of slots in use.

    Invariants: at most `max_waiting` tickets wait. Requests that aren't critical never take the
    last `reserved` slots. A critical request is refused only when critical requests fill the
    queue or when its deadline leaves too little time to run.
    """

    def __init__(self, slots: int, reserved: int, max_waiting: int) -> None:
        """Create an empty queue.

        Args:
            slots: Requests that may run at once.
            reserved: Slots that only critical requests may use.
            max_waiting: Maximum number of waiting tickets.
        """
        self.slots = slots
        self.reserved = reserved
        self.max_waiting = max_waiting
        self.running_critical = 0
        self.running_noncritical = 0
        self.mean_service_s = 1.0
        self._waiting: dict[int, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self.running_critical + self.running_noncritical

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Queue a ticket if it can start in time and there is room or a ticket of lower rank.

        Args:
            ticket: The ticket.
            now: Present time, in seconds, on the clock of the deadlines.
        """
        if now + self._expected_wait(ticket) + ticket.service_s > ticket.deadline:
            return OfferResult(False, reason="the deadline cannot be met")
        displaced = None
        if len(self._waiting) >= self.max_waiting:
            displaced = max(self._waiting.values(), key=Ticket.rank)
            if displaced.rank()[:2] <= ticket.rank()[:2]:
                return OfferResult(False, reason="the queue is full")
            del self._waiting[displaced.number]
        self._waiting[ticket.number] = ticket
        return OfferResult(True, displaced)

    def start_next(self) -> Ticket | None:
        """Remove the first ticket and take a slot for it.

        Returns:
            The ticket; None if none waits or there is no slot for the first one.
        """
        ticket = min(self._waiting.values(), key=Ticket.rank, default=None)
        if ticket is None or not self.has_slot(ticket.critical):
            return None
        del self._waiting[ticket.number]
        self._add_running(ticket.critical, 1)
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets that can no longer be answered in time."""
        late = [t for t in self._waiting.values() if now + t.service_s > t.deadline]
        for ticket in late:
            del self._waiting[ticket.number]
        return late

    def withdraw(self, number: int) -> bool:
        """Remove a waiting ticket whose caller disconnected; return whether it was queued."""
        return self._waiting.pop(number, None) is not None

    def finish(self, critical: bool, took_s: float) -> None:
        """Free a slot and update the mean service time.

        Args:
            critical: Whether the request was critical.
            took_s: How long the slot was in use, in seconds.
        """
        self._add_running(critical, -1)
        self.mean_service_s += SERVICE_TIME_SMOOTHING * (took_s - self.mean_service_s)

    def has_slot(self, critical: bool) -> bool:
        """Return whether a request may start now."""
        if self.running >= self.slots:
            return False
        return critical or self.running_noncritical < self.slots - self.reserved

    def retry_after_s(self, rng: Random) -> float:
        """Return the delay after which a refused caller should retry, with jitter."""
        expected = self.mean_service_s * (len(self._waiting) + 1) / max(1, self.slots)
        base = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, expected))
        return base * (1 + RETRY_AFTER_JITTER * rng.random())

    def _expected_wait(self, ticket: Ticket) -> float:
        """Return the expected time until the ticket gets a slot, in seconds.

        The result is 0 for critical requests, so that an estimate never gets them refused.
        """
        if ticket.critical or self.has_slot(False):
            return 0.0
        usable = self.slots - self.reserved
        if usable <= 0:
            return float("inf")
        ahead = sum(1 for t in self._waiting.values() if t.rank() < ticket.rank())
        return self.mean_service_s * (ahead + 0.5) / usable

    def _add_running(self, critical: bool, change: int) -> None:
        if critical:
            self.running_critical += change
        else:
            self.running_noncritical += change
