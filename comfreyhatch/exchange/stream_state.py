"""State of one streamed request: its attempts and the progress of its answer."""

from collections.abc import Callable
from statistics import median

from comfreyhatch.decisions.attempt_account import (
    MAX_REFUSED_ATTEMPTS,
    AttemptAccount,
    CountedAttempt,
)
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.request_arrivals import AttemptArrival, RequestArrivals
from comfreyhatch.decisions.stall import StallLimits, stalled
from comfreyhatch.domain.exchange import AnswerHead, Job
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendRefusedError,
    ComfreyhatchError,
    EndpointUnreachableError,
)
from comfreyhatch.exchange.crash_guard import GuardedAttempt
from comfreyhatch.exchange.events import event_id, has_content
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.slot_lease import SlotLease

MAX_GAPS = 40
# Reserved before the deadline; no attempt is started with less time left.
DEADLINE_MARGIN_S = 0.02


class StreamState:
    """Attempts of one streamed request and the progress of its answer.

    Attributes:
        job: The request.
        account: Counts the attempts.
        counted: The current attempt in that account; None before the first.
        arrivals: Arrivals of the attempts.
        arrival: Arrival of the current attempt; None before the first.
        excluded_ids: Endpoints that the next attempt leaves out.
        attempt: The current attempt, as it is followed for crashes; None before the first.
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
        endpoint_by_broken: Endpoints of broken attempts that have not been probed since.
        observed: The current attempt as evidence on its version; None before the first.
        endpoint_id: Endpoint of the current attempt.
        lease: Slot of the current attempt; None once its answer was closed.
        is_replacing: Whether an attempt that might have been answered was given up for the next
            one, and no endpoint has answered since.
        max_silent_s: Silence from which endpoints are avoided until one answers, in seconds; None
            unless an attempt was given up because its endpoint was silent.
        error: Error of the last failed attempt; None if that attempt got an answer.
        stall_limits: Longest waits for the next event.
        interrupt: Ends the current wait.
        idle_since: Monotonic time at which the last new event came or the wait began.
        awaits_caller: Whether the caller has yet to take events; nothing is read meanwhile.
        held_s: Longest time for which the caller held the current attempt up so, in seconds.
    """

    __slots__ = (
        "account",
        "arrival",
        "arrivals",
        "attempt",
        "attempt_events",
        "attempt_relayed",
        "awaits_caller",
        "consecutive",
        "counted",
        "endpoint_by_broken",
        "endpoint_id",
        "error",
        "events_relayed",
        "excluded_ids",
        "gaps_s",
        "head",
        "held_s",
        "idle_since",
        "interrupt",
        "is_replacing",
        "job",
        "last_event_id",
        "last_events_at",
        "lease",
        "max_silent_s",
        "model_index",
        "observed",
        "resumable",
        "stall_limits",
    )

    def __init__(self, job: Job) -> None:
        max_attempts = job.route.max_attempts
        self.job = job
        self.account = AttemptAccount(max_attempts, max_attempts + MAX_REFUSED_ATTEMPTS)
        self.counted: CountedAttempt | None = None
        self.arrivals = RequestArrivals()
        self.arrival: AttemptArrival | None = None
        self.excluded_ids: set[str] = set()
        self.attempt: GuardedAttempt | None = None
        self.model_index = 0
        self.last_event_id = job.exchange.last_event_id
        self.consecutive = True
        self.resumable = True
        self.attempt_relayed = False
        self.head: AnswerHead | None = None
        self.endpoint_by_broken: dict[CountedAttempt, EndpointTracker] = {}
        self.events_relayed = 0
        self.attempt_events = 0
        self.gaps_s: list[float] = []
        self.last_events_at: float | None = None
        self.observed: ObservedAttempt | None = None
        self.endpoint_id = ""
        self.lease: SlotLease | None = None
        self.is_replacing = False
        self.max_silent_s: float | None = None
        self.error: ComfreyhatchError | None = None
        self.stall_limits = StallLimits(float("inf"), float("inf"))
        self.interrupt: Callable[[], object] = _no_interrupt
        self.idle_since = job.arrived
        self.awaits_caller = False
        self.held_s = 0.0

    @property
    def model(self) -> str:
        """Model to request; empty when the caller's choice is passed through."""
        models = self.job.route.models
        return models[self.model_index] if models else ""

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer was returned to the caller."""
        return self.head is not None

    @property
    def may_run_again(self) -> bool:
        """Whether another attempt may run though an earlier one has, whatever that ended with."""
        return self.job.route.repeatable and self.resumable

    @property
    def waits_until_deadline(self) -> bool:
        """Whether the request waits for an endpoint until its deadline, rather than being refused.

        Its caller has part of the answer, or an answer was given up on its behalf.
        """
        return self.head_sent or self.is_replacing

    def may_follow(self, head: AnswerHead) -> bool:
        """Return whether an answer may go on with the one that the caller has part of, if any."""
        if self.head is None:
            return True
        return (head.status, head.media_type) == (self.head.status, self.head.media_type)

    def start_attempt(
        self, lease: SlotLease, attempt: GuardedAttempt, observed: ObservedAttempt
    ) -> None:
        """Count an attempt at the endpoint of a lease."""
        self.lease = lease
        self.observed = observed
        self.attempt = attempt
        self.endpoint_id = lease.endpoint.record.endpoint_id
        self.account.note_placed()
        self.arrival = self.arrivals.begin()

    def count_failure(self, endpoint: EndpointTracker, error: BaseException) -> None:
        """Take the current attempt off the account, or keep it as one that may have run."""
        assert self.counted is not None
        if isinstance(error, EndpointUnreachableError):
            self.account.end_unreachable(self.counted)
        elif isinstance(error, BackendRefusedError):
            self.account.end_not_run(self.counted)
        else:
            self.endpoint_by_broken[self.counted] = endpoint

    def reset_attempt(self) -> None:
        """Discard the event count and gaps of the previous attempt."""
        self.gaps_s.clear()
        self.last_events_at = None
        self.attempt_events = 0
        self.attempt_relayed = False
        self.held_s = 0.0

    def begin_delivery(self) -> None:
        """Note that events are handed to the caller, and nothing is read until it has them."""
        self.awaits_caller = True

    def end_delivery(self, began_at: float, now: float) -> None:
        """Note that the caller has taken the events that it was given at a time, in seconds."""
        held_s = now - began_at
        self.awaits_caller = False
        self.held_s = max(self.held_s, held_s)
        # Only this time is left out: bytes that are no progress must not put off a stall.
        self.idle_since += held_s

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

        Attempts that did not run count only until the stream waits until its deadline: from then
        on, they don't end it.
        """
        if self.time_left_s(now) <= 0:
            return False
        if not self.account.allows_another(self.may_run_again):
            return False
        return self.waits_until_deadline or not self.account.failed_often

    def time_left_s(self, now: float) -> float:
        """Return the time in which another attempt may still begin, in seconds."""
        return self.job.deadline - DEADLINE_MARGIN_S - now

    def is_stalled(self, now: float) -> bool:
        """Return whether the current attempt exceeds its stall limits.

        One whose caller reads slowly does not: its endpoint is not read meanwhile.
        """
        if self.lease is None or self.awaits_caller:
            return False
        silent_s = now - self.lease.endpoint.last_received_at
        return stalled(self.stall_limits, self.waited_s(now), silent_s)

    def may_stall(self, now: float) -> bool:
        """Return whether the current attempt's endpoint has been silent for a part of the limit."""
        if self.lease is None or self.awaits_caller:
            return False
        silent_s = now - self.lease.endpoint.last_received_at
        return min(self.waited_s(now), silent_s) >= self.stall_limits.responsive_s

    def waited_s(self, now: float) -> float:
        """Return the time since the last new event came or the wait began, in seconds."""
        return now - self.idle_since

    def endpoint_is_silent(self, now: float) -> bool:
        """Return whether the current attempt's endpoint is silent."""
        if self.lease is None:
            return False
        return now - self.lease.endpoint.last_received_at >= self.stall_limits.silent_s

    @property
    def path_is_lost(self) -> bool:
        """Whether the current attempt's endpoint accepts no new connection."""
        return self.lease is not None and self.lease.endpoint.lost_at is not None

    @property
    def is_relayed(self) -> bool:
        """Whether another daemon was asked to send the current attempt."""
        return self.arrival is not None and self.arrival.is_relayed

    def give_up_attempt(self, max_silent_s: float | None) -> None:
        """Note that an attempt that might have been answered is given up for the next one.

        Args:
            max_silent_s: Silence from which endpoints are avoided, in seconds; None for no bound.
        """
        self.is_replacing = True
        self.max_silent_s = max_silent_s

    def note_answered(self) -> None:
        """Note that an endpoint has answered the current attempt."""
        self.is_replacing = False
        self.max_silent_s = None

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
            raise AnswerBrokenError(
                f"the stream goes on with event {number} behind {last}",
                failure=Failure(FailureKind.INVALID),
            )
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
            raise AnswerBrokenError(
                "the stream goes on with an event without an id",
                failure=Failure(FailureKind.INVALID),
            )
        self.resumable = False
        self.attempt_relayed = True
        return True


def _no_interrupt() -> None:
    """Do nothing; the interrupt before the first wait."""
