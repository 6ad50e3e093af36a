"""A request's hold on one slot of an endpoint."""

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job


class SlotLease:
    """A request's hold on one slot of an endpoint; counts there until it is released.

    Attributes:
        endpoint: Endpoint of the slot.
        job: Request that holds it.
        started: Monotonic time at which it was acquired.
        running_before: Requests that ran on the endpoint then, as far as known.
        first_s: Work until the first event that was expected, in seconds; 0 if unknown.
        is_pinned: Whether the session of the request is pinned to the endpoint's version.
        charged_s: Work that its workspace was charged with, in seconds; 0 if it was not.
    """

    __slots__ = (
        "_pending_s",
        "charged_s",
        "endpoint",
        "first_s",
        "is_pinned",
        "job",
        "running_before",
        "started",
    )

    def __init__(self, endpoint: EndpointTracker, job: Job, work_s: float, now: float) -> None:
        self.endpoint = endpoint
        self.job = job
        self.started = now
        self.running_before = endpoint.running(now)
        self.first_s = 0.0
        self.charged_s = 0.0
        self.is_pinned = False
        self._pending_s = work_s
        if not endpoint.in_flight:
            endpoint.busy_since = now
        endpoint.in_flight += 1
        endpoint.pending_s += work_s

    def note_answer_started(self) -> None:
        """Stop counting the request as work that the endpoint has not started to answer."""
        self.endpoint.pending_s = max(0.0, self.endpoint.pending_s - self._pending_s)
        self._pending_s = 0.0

    def free(self) -> None:
        """Remove the request from the counts of the endpoint."""
        self.note_answer_started()
        self.endpoint.in_flight -= 1
