"""An attempt as evidence on the version of its endpoint."""

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job


class ObservedAttempt:
    """An attempt from its sending on; counts once as an answer, and as slow or as failed.

    Attributes:
        job: The request.
        endpoint: Endpoint that it was sent to.
        sent_at: Monotonic time at which it was sent, in seconds.
        is_counted: Whether it counts among the answers of its version.
        is_slow: Whether it counts as slow.
        is_failed: Whether it counts as failed.
        is_counted_in_service: Whether it counts among those of a version whose roll-out is
            completed.
        is_late: Whether its answer was found late before it came, which is judged later.
        is_lost: Whether its answer was lost, which is judged later.
        has_failed_before: Whether an earlier attempt of the request has failed on the same version:
            a request that fails wherever it is sent counts once.
    """

    __slots__ = (
        "endpoint",
        "has_failed_before",
        "is_counted",
        "is_counted_in_service",
        "is_failed",
        "is_late",
        "is_lost",
        "is_slow",
        "job",
        "sent_at",
    )

    def __init__(
        self,
        job: Job,
        endpoint: EndpointTracker,
        sent_at: float,
        earlier: "ObservedAttempt | None" = None,
    ) -> None:
        self.job = job
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.is_counted = False
        self.is_slow = False
        self.is_failed = False
        self.is_counted_in_service = False
        self.is_late = False
        self.is_lost = False
        self.has_failed_before = (
            earlier is not None
            and earlier.has_failed
            and earlier.endpoint.record.version == endpoint.record.version
        )

    @property
    def is_bad(self) -> bool:
        """Whether it counts as slow or as failed."""
        return self.is_slow or self.is_failed

    @property
    def has_failed(self) -> bool:
        """Whether this attempt, or an earlier one on the same version, has failed or was slow."""
        return self.is_bad or self.is_late or self.is_lost or self.has_failed_before
