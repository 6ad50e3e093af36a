"""Admission control: queues requests by priority and deadline until a slot is free."""

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
    """A slot granted to one request.

    Attributes:
        critical: Whether the request may use reserved slots.
        started_at: Monotonic time of the grant, in seconds.
    """

    critical: bool
    started_at: float


class AdmissionController:
    """Admits requests of one kind to a limited number of slots and queues the rest.

    A request that cannot run before its deadline, or that is displaced from a full queue, is
    refused at once with a retry-after time.
    """

    def __init__(
        self, slot_count: Callable[[], int], max_waiting: int, reserved_percent: int, rng: Random
    ) -> None:
        """Create a controller with an empty queue.

        Args:
            slot_count: Returns the number of slots that this daemon may use now.
            max_waiting: Maximum number of queued requests.
            reserved_percent: Percentage of the slots reserved for critical requests.
            rng: Seeded source of the jitter in retry-after times.
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
        """Number of queued requests."""
        return self._queue.waiting

    def has_free_slot(self, critical: bool) -> bool:
        """Return whether a request would get a slot without waiting."""
        self._update_slots()
        return self._queue.waiting == 0 and self._queue.has_slot(critical)

    async def acquire(self, critical: bool, priority: int, deadline: float) -> Admission:
        """Wait for a slot.

        Args:
            critical: Whether the request may use reserved slots.
            priority: 0 to 9; higher goes first.
            deadline: Monotonic time by which the request must be answered, in seconds.

        Returns:
            The grant, to be handed to `release`.

        Raises:
            RefusedError: If the queue is full, the deadline cannot be met, or a request of
                higher priority displaces this one from the queue. The request has not run.
        """
        now = monotonic()
        self._update_slots()
        ticket = Ticket(next(self._ticket_numbers), critical, priority, deadline)
        result = self._queue.offer(ticket, now)
        if result.displaced:
            self._reject(result.displaced, "displaced by a request of higher priority")
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

    def release(self, admission: Admission) -> None:
        """Free the slot of a request that has ended."""
        self._queue.finish(admission.critical, monotonic() - admission.started_at)
        self._serve_queue()

    def _withdraw(self, ticket: Ticket, future: asyncio.Future[None]) -> None:
        """Remove a cancelled request from the queue, or free its slot if it got one already."""
        waited = self._queue.withdraw(ticket.number)
        if not waited and not future.cancelled() and future.exception() is None:
            # The request has not run, so the mean service time is left unchanged.
            self._queue.finish(ticket.critical, self._queue.mean_service_s)
        self._serve_queue()

    def _update_slots(self) -> None:
        slots = self._slot_count()
        self._queue.slots = slots
        # At least one slot is not reserved: with a single slot, as at an engine in cold start, a
        # reserve rounded up would admit critical requests only.
        self._queue.reserved = max(0, min(slots - 1, ceil(slots * self._reserved_percent / 100)))

    def _serve_queue(self) -> None:
        """Refuse late requests, start those that get a slot, and schedule the next check."""
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
            f"overloaded: {reason}", ResultCode.OVERLOADED, retry_after_s=retry_after_s
        )
