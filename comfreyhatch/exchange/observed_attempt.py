"""An attempt as evidence on the version of its endpoint."""

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job


class ObservedAttempt:
    """An attempt from its sending on; counts once as an answer, and once as a bad one.

    Attributes:
        job: The request.
        endpoint: Endpoint that it was sent to.
        sent_at: Monotonic time at which it was sent, in seconds.
        is_counted: Whether it counts among the answers of its version.
        is_bad: Whether it counts as failed or slow.
        is_counted_in_service: Whether it counts among those of a version whose roll-out is
            completed.
    """

    __slots__ = ("endpoint", "is_bad", "is_counted", "is_counted_in_service", "job", "sent_at")

    def __init__(self, job: Job, endpoint: EndpointTracker, sent_at: float) -> None:
        self.job = job
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.is_counted = False
        self.is_bad = False
        self.is_counted_in_service = False
