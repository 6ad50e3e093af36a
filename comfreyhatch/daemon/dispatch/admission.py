"""The gate before the zone's slots: requests wait here in order of priority and deadline."""

import asyncio
from collections.abc import Callable
from itertools import count
from math import ceil
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.admission import AdmissionQueue, Ticket
from comfreyhatch.errors import RefusedError

EXPIRY_CHECK_INTERVAL_S = 0.1


class Admission(Struct, frozen=True):
    """Leave to run one request."""

    critical: bool
    started_at: float


class AdmissionController:
    """Admits work of one kind; owns its queue.

    Work that is given up on is answered at once, with the time to come back.
    """

    def __init__(
        self, slot_count: Callable[[], int], max_waiting: int, reserved_percent: int, rng: Random
    ) -> None:
        """Create a gate.

        Args:
            slots: Number of slots that this daemon has now.
            max_waiting: Requests that may wait.
            reserved_percent: Part of the slots kept for critical work.
            rng: Seeded source of the jitter.
        """
        self._slot_count = slot_count
        self._reserved_percent = reserved_percent
        self._queue = AdmissionQueue(0, 0, max_waiting)
        self._rng = rng
        self._ticket_numbers = count(1)
        self._future_by_number: dict[int, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._queue.waiting

    def has_free_slot(self, critical: bool) -> bool:
        """Return whether a request would get a slot at once."""
        self._update_slots()
        return self._queue.waiting == 0 and self._queue.has_slot(critical)

    async def acquire(self, critical: bool, priority: int, deadline: float) -> Admission:
        """Wait for a slot.

        Args:
            critical: Whether reserved slots may be used.
            priority: 0 to 9.
            deadline: Monotonic time by which the answer is wanted, in seconds.

        Raises:
            RefusedError: If it cannot run in time or makes way for more urgent work.
        """
        now = monotonic()
        self._update_slots()
        ticket = Ticket(next(self._ticket_numbers), critical, priority, deadline)
        result = self._queue.offer(ticket, now)
        if result.displaced:
            self._reject(result.displaced, "more urgent work came")
        if not result.admitted:
            raise self._refusal(result.reason)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[ticket.number] = future
        self._serve_queue()
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(ticket, future)
            raise
        finally:
            self._future_by_number.pop(ticket.number, None)
        return Admission(critical, monotonic())

    def release(self, admitted: Admission) -> None:
        """Give the slot back."""
        self._queue.finish(admitted.critical, monotonic() - admitted.started_at)
        self._serve_queue()

    def _withdraw(self, ticket: Ticket, future: asyncio.Future[None]) -> None:
        """Give up the place, or the slot if it was given already."""
        waited = self._queue.withdraw(ticket.number)
        if not waited and not future.cancelled() and future.exception() is None:
            self._queue.finish(ticket.critical, self._queue.mean_service_s)
        self._serve_queue()

    def _update_slots(self) -> None:
        slots = self._slot_count()
        self._queue.slots = slots
        # At least one slot stays open to all work, however few there are.
        self._queue.reserved = max(0, min(slots - 1, ceil(slots * self._reserved_percent / 100)))

    def _serve_queue(self) -> None:
        """Start what has a slot, refuse what is late, and come back while work waits."""
        self._update_slots()
        for late in self._queue.expire(monotonic()):
            self._reject(late, "the deadline cannot be met")
        while ticket := self._queue.start_next():
            future = self._future_by_number.get(ticket.number)
            if future is None or future.done():
                self._queue.finish(ticket.critical, self._queue.mean_service_s)
                continue
            future.set_result(None)
        if self._queue.waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(EXPIRY_CHECK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._serve_queue()

    def _reject(self, ticket: Ticket, reason: str) -> None:
        future = self._future_by_number.get(ticket.number)
        if future and not future.done():
            future.set_exception(self._refusal(reason))

    def _refusal(self, reason: str) -> RefusedError:
        retry_after_s = self._queue.retry_after_s(self._rng)
        return RefusedError(
            f"no capacity in time: {reason}", ResultCode.OVERLOADED, retry_after_s=retry_after_s
        )
