"""Bounded queue by priority and deadline, with slots reserved for critical work."""

from random import Random

from msgspec import Struct

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 30.0
RETRY_AFTER_JITTER = 0.5
SERVICE_TIME_SMOOTHING = 0.1


class Ticket(Struct, frozen=True):
    """A request that waits for a slot.

    Attributes:
        number: Order of arrival; unique.
        critical: Whether it may use reserved slots.
        priority: 0 to 9; higher goes first.
        deadline: Time by which it must be answered, in seconds.
        service_s: Least time that it needs once it runs.
    """

    number: int
    critical: bool
    priority: int
    deadline: float
    service_s: float = 0.0

    def rank(self) -> tuple[bool, int, float, int]:
        """Return the sort key: critical work, then priority, then the earliest deadline."""
        return (not self.critical, -self.priority, self.deadline, self.number)


class OfferResult(Struct, frozen=True):
    """What became of a ticket offered to the queue, and of another that it displaced."""

    admitted: bool
    displaced: Ticket | None = None
    reason: str = ""


class AdmissionQueue:
    """Tickets that wait, and the slots in use.

    Invariants: at most `max_waiting` tickets wait; other work never takes the last `reserved`
    slots; critical work is refused only when critical work alone fills the queue or its
    own deadline leaves too little time to run.
    """

    def __init__(self, slots: int, reserved: int, max_waiting: int) -> None:
        self.slots = slots
        self.reserved = reserved
        self.max_waiting = max_waiting
        self.running_critical = 0
        self.running_noncritical = 0
        self.mean_service_s = 1.0
        self._waiting: dict[int, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Number of tickets that wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self.running_critical + self.running_noncritical

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Queue a ticket, refuse it, or displace a lesser one for it.

        Returns:
            A refusal at once when the ticket cannot start in time.
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
        """Start the first ticket that may have a slot."""
        ticket = min(self._waiting.values(), key=Ticket.rank, default=None)
        if ticket is None or not self.has_slot(ticket.critical):
            return None
        del self._waiting[ticket.number]
        self._count(ticket.critical, 1)
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return tickets that can no longer be answered in time."""
        late = [t for t in self._waiting.values() if now + t.service_s > t.deadline]
        for ticket in late:
            del self._waiting[ticket.number]
        return late

    def withdraw(self, number: int) -> bool:
        """Remove a waiting ticket whose caller left; return whether it was there."""
        return self._waiting.pop(number, None) is not None

    def finish(self, critical: bool, took_s: float) -> None:
        """Free a slot and learn from the time that it was held."""
        self._count(critical, -1)
        self.mean_service_s += SERVICE_TIME_SMOOTHING * (took_s - self.mean_service_s)

    def has_slot(self, critical: bool) -> bool:
        """Return whether a slot is free for a kind of work."""
        if self.running >= self.slots:
            return False
        return critical or self.running_noncritical < self.slots - self.reserved

    def retry_after_s(self, rng: Random) -> float:
        """Return when a refused caller should come back, with jitter."""
        expected = self.mean_service_s * (len(self._waiting) + 1) / max(1, self.slots)
        base = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, expected))
        return base * (1 + RETRY_AFTER_JITTER * rng.random())

    def _expected_wait(self, ticket: Ticket) -> float:
        """Return the expected time until the ticket gets a slot.

        An estimate is no reason to refuse critical work.
        """
        if ticket.critical or self.has_slot(False):
            return 0.0
        usable = self.slots - self.reserved
        if usable <= 0:
            return float("inf")
        ahead = sum(1 for t in self._waiting.values() if t.rank() < ticket.rank())
        return self.mean_service_s * (ahead + 0.5) / usable

    def _count(self, critical: bool, change: int) -> None:
        if critical:
            self.running_critical += change
        else:
            self.running_noncritical += change
