"""State of one streamed request: its attempts and the progress of its answer."""

from collections.abc import Callable
from statistics import median

from comfreyhatch.decisions.attempt_account import MAX_REFUSED_ATTEMPTS, MAX_UNREACHABLE_ATTEMPTS
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.stall import StallLimits, stalled
from comfreyhatch.domain.exchange import AnswerHead, Job
from comfreyhatch.errors import AnswerBrokenError, ComfreyhatchError
from comfreyhatch.exchange.crash_guard import GuardedAttempt
from comfreyhatch.exchange.events import event_id, has_content
from comfreyhatch.exchange.scheduler import SlotLease

MAX_GAPS = 40
# Reserved before the deadline; no attempt is started with less time left.
DEADLINE_MARGIN_S = 0.02


class StreamState:
    """Attempts of one streamed request and the progress of its answer.

    Attributes:
        job: The request.
        excluded_ids: Endpoints that the next attempt leaves out.
        attempt: The current attempt, as it is followed for crashes; None before the first.
        attempted_ids: Endpoints of all attempts.
        attempts: Number of attempts, refused ones included.
        possible_runs: Number of attempts that may have run, wherever.
        counted_runs: The same without those whose endpoint has stopped since, as the route's limit
            counts them.
        unreachable_attempts: Number of attempts whose connection could not be opened.
        model_index: Index of the requested model among the route's models.
        last_event_id: Id of the last event that the caller has received; None before the first.
        consecutive: Whether each event so far had the id after the one before.
        resumable: Whether an engine can be told where to go on: no event without an id was relayed.
        attempt_relayed: Whether an event of the current attempt was relayed.
        head: Head of the answer that was returned to the caller; None before.
        events_relayed: Number of events with content relayed to the caller.
        attempt_events: Number of those from the current attempt.
        gaps_s: Gaps between the events of the current attempt, in seconds.
        last_events_at: Monotonic time of the current attempt's last events; None before the first.
        broken_endpoints: Endpoints of broken attempts that have not been probed since.
        slow: Whether the current attempt was counted as slow; None while it was not compared.
        endpoint_id: Endpoint of the current attempt.
        fresh_connection: Whether the current attempt needs a new connection, since an earlier one
            was sent to its endpoint. A late copy of that attempt's answer has the same id.
        lease: Slot of the current attempt; None once its answer was closed.
        error: Error of the last failed attempt; None if that attempt got an answer.
        stall_limits: Longest waits for the next event.
        interrupt: Ends the current wait.
        idle_since: Monotonic time at which the last new event came or the wait began.
    """

    __slots__ = (
        "attempt",
        "attempt_events",
        "attempt_relayed",
        "attempted_ids",
        "attempts",
        "broken_endpoints",
        "consecutive",
        "counted_runs",
        "endpoint_id",
        "error",
        "events_relayed",
        "excluded_ids",
        "fresh_connection",
        "gaps_s",
        "head",
        "idle_since",
        "interrupt",
        "job",
        "last_event_id",
        "last_events_at",
        "lease",
        "model_index",
        "possible_runs",
        "resumable",
        "slow",
        "stall_limits",
        "unreachable_attempts",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.excluded_ids: set[str] = set()
        self.attempt: GuardedAttempt | None = None
        self.attempted_ids: set[str] = set()
        self.attempts = 0
        self.possible_runs = 0
        self.counted_runs = 0
        self.unreachable_attempts = 0
        self.model_index = 0
        self.last_event_id = job.exchange.last_event_id
        self.consecutive = True
        self.resumable = True
        self.attempt_relayed = False
        self.head: AnswerHead | None = None
        self.broken_endpoints: list[EndpointTracker] = []
        self.events_relayed = 0
        self.attempt_events = 0
        self.gaps_s: list[float] = []
        self.last_events_at: float | None = None
        self.slow: bool | None = None
        self.endpoint_id = ""
        self.fresh_connection = False
        self.lease: SlotLease | None = None
        self.error: ComfreyhatchError | None = None
        self.stall_limits = StallLimits(float("inf"), float("inf"))
        self.interrupt: Callable[[], object] = _no_interrupt
        self.idle_since = job.arrived

    @property
    def model(self) -> str:
        """Model to request; empty when the caller's choice is passed through."""
        models = self.job.route.models
        return models[self.model_index] if models else ""

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer was returned to the caller."""
        return self.head is not None

    def may_follow(self, head: AnswerHead) -> bool:
        """Return whether an answer may go on with the one that the caller has part of, if any."""
        if self.head is None:
            return True
        return (head.status, head.media_type) == (self.head.status, self.head.media_type)

    def start_attempt(self, lease: SlotLease, attempt: GuardedAttempt) -> None:
        """Count an attempt at the endpoint of a lease."""
        self.lease = lease
        self.attempt = attempt
        self.endpoint_id = lease.endpoint.record.endpoint_id
        self.fresh_connection = self.endpoint_id in self.attempted_ids
        self.attempted_ids.add(self.endpoint_id)
        self.attempts += 1
        self.possible_runs += 1
        self.counted_runs += 1

    def reset_attempt(self) -> None:
        """Discard the event count and gaps of the previous attempt."""
        self.gaps_s.clear()
        self.last_events_at = None
        self.attempt_events = 0
        self.attempt_relayed = False

    def record_events(self, count: int, now: float) -> None:
        """Count events that were received together; they share the gap before them."""
        self.events_relayed += count
        self.attempt_events += count
        if self.last_events_at is not None and len(self.gaps_s) < MAX_GAPS:
            self.gaps_s += [(now - self.last_events_at) / count] * count
        self.last_events_at = now

    def median_gap_s(self, min_gaps: int) -> float | None:
        """Return the median gap between events; None with fewer than `min_gaps` gaps.

        The median, because an engine that reads another prompt in between delays one event, while
        a slow engine delays all of them.
        """
        return median(self.gaps_s) if len(self.gaps_s) >= min_gaps else None

    def may_attempt(self, now: float) -> bool:
        """Return whether deadline and attempt limits allow another attempt.

        Attempts that did not run count only until the caller has part of the answer: from then on,
        only the deadline ends the stream.
        """
        route = self.job.route
        if now >= self.job.deadline - DEADLINE_MARGIN_S:
            return False
        if self.possible_runs and not (route.repeatable and self.resumable):
            return False
        if self.counted_runs >= route.max_attempts:
            return False
        return self.head_sent or not self.failed_often

    @property
    def failed_often(self) -> bool:
        """Whether more attempts than usual could not connect or were refused."""
        refused_limit = self.job.route.max_attempts + MAX_REFUSED_ATTEMPTS
        return (
            self.unreachable_attempts > MAX_UNREACHABLE_ATTEMPTS
            or self.attempts - self.unreachable_attempts > refused_limit
        )

    def is_stalled(self, now: float) -> bool:
        """Return whether the current attempt exceeds its stall limits."""
        if self.lease is None:
            return False
        silent_s = now - self.lease.endpoint.last_received_at
        return stalled(self.stall_limits, now - self.idle_since, silent_s)

    def accept_event(self, event: bytes) -> bool:
        """Return whether to relay an event, and remember its id.

        An event whose id the caller has already received is a duplicate. Events without an id are
        relayed, but a resumed stream does not begin with one: it may be an error of the engine.

        Raises:
            AnswerBrokenError: If a resumed stream does not go on behind the last event.
        """
        number = event_id(event)
        if number is None:
            return self._accept_without_id(event)
        last = self.last_event_id
        if last is not None and number <= last:
            return False
        follows = last is None or number == last + 1
        if self._is_resuming and self.consecutive and not follows:
            raise AnswerBrokenError(f"the stream goes on with event {number} behind {last}")
        self.consecutive = self.consecutive and follows
        self.last_event_id = number
        self.attempt_relayed = True
        return True

    @property
    def _is_resuming(self) -> bool:
        """Whether the current attempt has yet to show that it goes on behind the last event."""
        return self.last_event_id is not None and not self.attempt_relayed

    def _accept_without_id(self, event: bytes) -> bool:
        if not has_content(event):
            return True
        if self._is_resuming:
            raise AnswerBrokenError("the stream goes on with an event without an id")
        self.resumable = False
        self.attempt_relayed = True
        return True


def _no_interrupt() -> None:
    """Do nothing; the interrupt before the first wait."""
