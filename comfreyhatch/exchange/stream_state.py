"""One streamed request: its attempts, and how far its answer has come."""

from collections.abc import Callable
from statistics import median

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.stall import StallLimits, stalled
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.exchange.attempts import MAX_REFUSED_ATTEMPTS, MAX_UNREACHABLE_ATTEMPTS
from comfreyhatch.exchange.events import event_id
from comfreyhatch.exchange.scheduler import SlotLease

MAX_GAPS = 40
TIME_TO_ANSWER_S = 0.02


class StreamState:
    """Attempts of one streamed request and how far its answer has come.

    Attributes:
        job: The request.
        tried: Endpoints that it was sent to and that are no use for it now.
        sent: Attempts, refused ones included.
        running: Attempts that may have run.
        unreachable: Attempts for which no connection could be opened.
        model_index: Model that is asked, by its place among the route's.
        last_event_id: Last event that the caller holds.
        begun: Whether the caller has the head of the answer.
        events: Events passed on.
        gaps_s: Pauses before the events of the present attempt, without its first.
        last_piece_at: Monotonic time of the last events; None before the first.
        broken: Endpoints whose attempt broke and that have not been looked at since.
        slow: Whether the present attempt was slow to begin.
        endpoint_id: Endpoint of the present attempt.
        lease: Slot of the present attempt; None when it has been given back.
        error: How the last failed attempt ended.
        limits: Longest waits for what comes next.
        interrupt: Ends the present wait.
        waiting_since: Monotonic time since which nothing has come.
    """

    __slots__ = (
        "begun",
        "broken",
        "endpoint_id",
        "error",
        "events",
        "gaps_s",
        "interrupt",
        "job",
        "last_event_id",
        "last_piece_at",
        "limits",
        "model_index",
        "lease",
        "running",
        "sent",
        "slow",
        "tried",
        "unreachable",
        "waiting_since",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.tried: set[str] = set()
        self.sent = 0
        self.running = 0
        self.unreachable = 0
        self.model_index = 0
        self.last_event_id = job.exchange.last_event_id
        self.begun = False
        self.broken: list[EndpointTracker] = []
        self.events = 0
        self.gaps_s: list[float] = []
        self.last_piece_at: float | None = None
        self.slow = False
        self.endpoint_id = ""
        self.lease: SlotLease | None = None
        self.error: ComfreyhatchError | None = None
        self.limits = StallLimits(float("inf"), float("inf"))
        self.interrupt: Callable[[], object] = _nothing
        self.waiting_since = job.arrived

    @property
    def model(self) -> str:
        """Model to run; empty when the caller's choice stands."""
        models = self.job.route.models
        return models[self.model_index] if models else ""

    def take(self, lease: SlotLease) -> None:
        """Note that the request goes to an endpoint."""
        self.lease = lease
        self.endpoint_id = lease.endpoint.record.endpoint_id
        self.tried.add(self.endpoint_id)
        self.sent += 1
        self.running += 1

    def begin_events(self) -> None:
        """Forget the pauses of the attempt before."""
        self.gaps_s.clear()
        self.last_piece_at = None

    def note_events(self, count: int, now: float) -> None:
        """Note that events came together."""
        self.events += count
        if self.last_piece_at is not None and len(self.gaps_s) < MAX_GAPS:
            self.gaps_s += [(now - self.last_piece_at) / count] * count
        self.last_piece_at = now

    def pace_s(self, least: int) -> float | None:
        """Return the usual pause before an event; None while fewer than `least` are known.

        The median: a prompt that the engine reads in between holds up one event, a slow engine
        all of them.
        """
        return median(self.gaps_s) if len(self.gaps_s) >= least else None

    def attempt_left(self, now: float) -> bool:
        """Return whether the rules of the route leave the request another attempt."""
        route = self.job.route
        if (
            now >= self.job.deadline - TIME_TO_ANSWER_S
            or self.unreachable > MAX_UNREACHABLE_ATTEMPTS
        ):
            return False
        if self.sent - self.unreachable > route.max_attempts + MAX_REFUSED_ATTEMPTS:
            return False
        if self.running and not route.repeatable:
            return False
        return self.running < route.max_attempts

    def stalled(self, now: float) -> bool:
        """Return whether the answer that comes now has stalled."""
        if self.lease is None:
            return False
        silent_s = now - self.lease.endpoint.last_received_at
        return stalled(self.limits, now - self.waiting_since, silent_s)

    def is_new(self, event: bytes) -> bool:
        """Return whether the caller lacks an event, and note that it gets it."""
        number = event_id(event)
        if number is None:
            return True
        if self.last_event_id is not None and number <= self.last_event_id:
            return False
        self.last_event_id = number
        return True


def _nothing() -> None:
    """Interrupt nothing."""
