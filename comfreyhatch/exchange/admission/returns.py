"""Refusals of one service with a booked time to come back, and callers that do."""

from random import Random

from comfreyhatch.decisions.return_bookings import Return, ReturnBookings
from comfreyhatch.decisions.waiting import MIN_RETRY_AFTER_S
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.admission.pending import PendingRequest, workspace_of


class ServiceReturns:
    """Books the returns of refused callers, and knows them again."""

    def __init__(self, rng: Random) -> None:
        """Create it without bookings.

        Args:
            rng: Seeded source of the jitter of told times.
        """
        self._bookings = ReturnBookings(rng)

    def is_awaited(self, job: Job, now: float) -> bool:
        """Return whether refused callers of other workspaces are still to come back."""
        return self._bookings.is_awaited(workspace_of(job), now)

    def take(self, job: Job, now: float) -> tuple[Return, float | None]:
        """Return whether a request comes back from a refusal, and its booked time if it has one."""
        key = (workspace_of(job), job.identity)
        return self._bookings.take(key, job.exchange.request_id, now)

    def refuse(
        self, pending: PendingRequest, waiting_s: float, slots: float, now: float
    ) -> RefusedError:
        """Return the error for a request, with the time at which there is room for it.

        Args:
            pending: The request.
            waiting_s: Work that waits, in seconds.
            slots: Slots that serve it.
            now: Monotonic time in seconds.
        """
        job = pending.job
        message = f"the requests that wait for {job.service} leave no room in time"
        drain_s = waiting_s / slots
        if pending.work.resumes:
            # Its caller is not told to come back: the daemon itself tries again.
            return RefusedError(message, retry_after_s=max(MIN_RETRY_AFTER_S, drain_s))
        booking = self._bookings.book(
            (workspace_of(job), job.identity),
            job.exchange.request_id,
            job.route.name,
            pending.work.work_s,
            drain_s,
            slots,
            job.deadline - pending.work.work_s,
            now,
        )
        return RefusedError(message, retry_after_s=booking.at - now)
