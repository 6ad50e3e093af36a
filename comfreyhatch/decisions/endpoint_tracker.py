"""One endpoint as this daemon sees it: load, ejection after failures and cold start."""

from math import inf, pow

from comfreyhatch.decisions.shared_rate import EndpointRate
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import ReportedLoad

FIRST_EJECTION_S = 0.5
# Without this bound 2**doublings overflows after about 2,000 failures in a row.
MAX_EJECTION_DOUBLINGS = 3
FAILURES_TO_EJECT = 2
# Time until this daemon should have read itself that an endpoint is withdrawn.
WITHDRAWN_EJECTION_S = 2.0
# Weight of the newest answer in the moving share of failed answers.
FAILURE_SMOOTHING = 0.1
LOAD_REPORT_MAX_AGE_S = 1.5
# The same for endpoints that answer load probes: these are asked again before a placement.
SAMPLED_REPORT_MAX_AGE_S = 0.5
DELAY_HALF_LIFE_S = 1.0
# Weight of the newest report in the moving pace: neighbours' work changes a report many times a
# second, while a slow instance stays slow.
PACE_SMOOTHING = 0.2
# Reported paces beyond these bounds are taken for the bound.
MIN_PACE = 0.1
MAX_PACE = 20.0
# Time for which an endpoint that was left as silent gets no request, doubling with each request
# that is left there, too.
FIRST_SILENT_PAUSE_S = 0.25
MAX_SILENT_PAUSE_S = 4.0


class EndpointTracker:
    """Mutable state of one endpoint; times are monotonic, in seconds.

    Attributes:
        record: The endpoint's record in the registry.
        in_flight: Number of this daemon's requests that run on the endpoint.
        cold_until: Time until which the endpoint counts as cold.
        ejected_until: Time until which the endpoint gets no requests after failures.
        failure_share: Moving share of failures among its answers.
        pending_s: Engine time of this daemon's requests that wait for their first event.
        last_received_at: Time of the last head or new event received from the endpoint.
        resting_until: Time until which it wants no requests from this daemon.
        removed_at: Time at which its record left the registry; None while it is listed.
        misdirected: Whether another endpoint answered at its address.
        rate: This daemon's part of the endpoint's rate while that is bounded.
        brittle_per_s: Refusals in a second beyond which it falls over; None if it is not brittle.
        busy_since: Time from which at least one of this daemon's requests has run on it.
        leaving_since: Time at which it said that it is leaving; None if it has not.
        left_silent_at: Time at which a request was last left there since nothing came.
        awaits_probe: Whether a probe waits for its answer, sent as a request was left there.
        lost_at: Time at which connections to it began to fail; None while they can be opened.
        answers_probes: Whether it has answered a load probe with a report of its load.
        reports_pace: Whether it tells how long work takes there.
        pace: Moving time that work takes there, as a multiple of the usual time.
        reported_at: Time of its last load report.
        reported_load: Requests that ran or waited there by that report.
        reported_waiting: Those of them that waited.
        probe_missed_at: Time at which it left a load probe unanswered.
    """

    __slots__ = (
        "_delay_at",
        "_delay_s",
        "_other_load",
        "_other_load_at",
        "_silent_pause_s",
        "_consecutive_failures",
        "_withdrawn_until",
        "answers_probes",
        "awaits_probe",
        "brittle_per_s",
        "busy_since",
        "cold_until",
        "ejected_until",
        "failure_share",
        "removed_at",
        "resting_until",
        "in_flight",
        "last_received_at",
        "leaving_since",
        "left_silent_at",
        "lost_at",
        "misdirected",
        "pace",
        "pending_s",
        "probe_missed_at",
        "rate",
        "record",
        "reported_at",
        "reported_load",
        "reported_waiting",
        "reports_pace",
    )

    def __init__(self, record: EndpointRecord, now: float) -> None:
        self.record = record
        self.in_flight = 0
        self.pending_s = 0.0
        self.last_received_at = now
        self.cold_until = now + record.cold_left_s
        self.ejected_until = 0.0
        self.failure_share = 0.0
        self.removed_at: float | None = None
        self.misdirected = False
        self.rate = EndpointRate()
        self.busy_since = now
        self.leaving_since: float | None = None
        self.resting_until = 0.0
        self.brittle_per_s: float | None = None
        self.left_silent_at = -inf
        self.awaits_probe = False
        self._silent_pause_s = FIRST_SILENT_PAUSE_S
        self.lost_at: float | None = None
        self.answers_probes = False
        self.reports_pace = False
        self.pace = 1.0
        self.reported_at = -inf
        self.reported_load = 0
        self.reported_waiting = 0
        self.probe_missed_at = -inf
        self._other_load = 0.0
        self._other_load_at = 0.0
        self._consecutive_failures = 0
        self._withdrawn_until = 0.0
        self._delay_s = 0.0
        self._delay_at = now

    @property
    def start(self) -> str:
        """The endpoint with its start; after a restart it is another one."""
        return f"{self.record.endpoint_id}/{self.record.born_ms}"

    def update_record(self, record: EndpointRecord, now: float) -> None:
        """Replace the record; a restart of the endpoint resets its failures and its delay."""
        restarted = record.born_ms != self.record.born_ms
        self.record = record
        self.removed_at = None
        self.misdirected = False
        if restarted or record.cold_left_s > 0:
            self.cold_until = now + record.cold_left_s
        if restarted:
            self.left_silent_at = -inf
            self.lost_at = None
            self.leaving_since = None
            self.resting_until = 0.0
            self.brittle_per_s = None
            self.ejected_until = 0.0
            self._withdrawn_until = 0.0
            self._consecutive_failures = 0
            self.failure_share = 0.0
            self._delay_s = 0.0
            self.pace = 1.0
            self.reported_at = -inf
            self.probe_missed_at = -inf

    def record_cold(self, cold_s: float, now: float) -> None:
        """Record the reported remaining time of the cold start, in seconds."""
        self.cold_until = max(self.cold_until, now + cold_s)

    def record_load(self, load: ReportedLoad, now: float, asked: bool = False) -> None:
        """Record a reported load; the part that isn't this daemon's belongs to other daemons.

        Where the pace is reported, the load changes many times a second: only a report that was
        asked for is recent enough to place by.

        Args:
            load: The report.
            now: Monotonic time, in seconds.
            asked: Whether it answers a load probe.
        """
        self.answers_probes = self.answers_probes or asked
        if load.pace is not None:
            weight = PACE_SMOOTHING if self.reports_pace else 1.0
            reported = min(MAX_PACE, max(MIN_PACE, load.pace))
            self.pace += weight * (reported - self.pace)
            self.reports_pace = True
        if load.running is None or (self.reports_pace and not self.answers_probes):
            return
        self.reported_waiting = load.waiting or 0
        self.reported_load = load.running + self.reported_waiting
        self._other_load = max(0.0, self.reported_load - self.in_flight)
        self._other_load_at = now
        self.reported_at = now

    def record_success(self) -> None:
        """Count the head of a successful answer."""
        self.failure_share *= 1 - FAILURE_SMOOTHING

    def record_failed_answer(self) -> None:
        """Count the head of an answer that reports a failure."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_complete_answer(self) -> None:
        """Count an answer that was read to its end, or dropped on purpose; ends an ejection.

        A head alone does not: an endpoint in trouble may send good heads and no complete answer.
        """
        self._consecutive_failures = 0
        self.end_ejection()

    def record_delay(self, delay_s: float, now: float) -> None:
        """Record how long a request queued at the endpoint, in seconds."""
        self._delay_s = max(0.0, delay_s)
        self._delay_at = now

    def delay_s(self, now: float) -> float:
        """Return the expected queueing delay of a new request, in seconds.

        The last recorded delay decays by half every `DELAY_HALF_LIFE_S`. The engine time of this
        daemon's waiting requests is the lower bound.
        """
        age_s = now - self._delay_at
        return max(self.pending_s, self._delay_s * pow(0.5, age_s / DELAY_HALF_LIFE_S))

    def record_connection_failure(self, now: float, unreachable: bool) -> None:
        """Count a connection failure and eject the endpoint after several in a row.

        Args:
            now: Monotonic time, in seconds.
            unreachable: Whether the connection could not be opened, which counts as
                `FAILURES_TO_EJECT` failures; otherwise it broke before the answer was complete.
        """
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)
        self._consecutive_failures += FAILURES_TO_EJECT if unreachable else 1
        excess = self._consecutive_failures - FAILURES_TO_EJECT
        if excess >= 0:
            doublings = min(excess // FAILURES_TO_EJECT, MAX_EJECTION_DOUBLINGS)
            until = now + FIRST_EJECTION_S * 2**doublings
            self.ejected_until = max(until, self._withdrawn_until)

    def end_ejection(self) -> None:
        """End an ejection after failures, but not that of a withdrawn endpoint."""
        self.ejected_until = self._withdrawn_until

    def record_rest(self, rest_s: float, now: float) -> None:
        """Give the endpoint no requests for a time that it has named, in seconds."""
        self.resting_until = max(self.resting_until, now + rest_s)

    def record_withdrawn(self, now: float) -> None:
        """Give the endpoint no requests for a time, as another daemon knows that it is leaving."""
        self._withdrawn_until = now + WITHDRAWN_EJECTION_S
        self.ejected_until = max(self.ejected_until, self._withdrawn_until)

    def note_left_silent(self, sent_at: float, now: float) -> None:
        """Note that a request is left here as nothing has come, or sent elsewhere, too.

        Args:
            sent_at: Monotonic time at which it was sent, in seconds.
            now: Monotonic time, in seconds.
        """
        if not self.is_left_silent:
            self._silent_pause_s = FIRST_SILENT_PAUSE_S
        elif sent_at > self.left_silent_at:
            self._silent_pause_s = min(MAX_SILENT_PAUSE_S, 2 * self._silent_pause_s)
        self.left_silent_at = now

    @property
    def is_left_silent(self) -> bool:
        """Whether nothing has come since a request was left here as nothing had come."""
        return self.left_silent_at > self.last_received_at

    def is_avoided(self, max_silent_s: float, now: float) -> bool:
        """Return whether requests go elsewhere if they can, as it is silent.

        Once a request was left here, and a probe was answered if it is probed, one request at a
        time, after a pause, finds out whether it answers again.

        Args:
            max_silent_s: Silence while requests run from which it is avoided, in seconds.
            now: Monotonic time, in seconds.
        """
        if self.is_left_silent:
            paused_until = self.left_silent_at + self._silent_pause_s
            return self.in_flight > 0 or self.awaits_probe or now < paused_until
        return self.silent_s(now) >= max_silent_s

    def silent_s(self, now: float) -> float:
        """Return for how long nothing has come while requests run on it, in seconds; 0 if none.

        Once a request was given up there for silence, it counts as silent until something comes.
        """
        if self.is_left_silent:
            return now - self.last_received_at
        if not self.in_flight:
            return 0.0
        return now - max(self.last_received_at, self.busy_since)

    def was_heard(self, max_silent_s: float, now: float) -> bool:
        """Return whether the endpoint is usable, and something has come from it lately.

        Args:
            max_silent_s: Silence from which it counts as silent, in seconds.
            now: Monotonic time, in seconds.
        """
        return self.responds(max_silent_s, now) and now - self.last_received_at < max_silent_s

    def responds(self, max_silent_s: float, now: float) -> bool:
        """Return whether the endpoint is not ejected, and may respond; see `may_respond`."""
        return now >= self.ejected_until and self.may_respond(max_silent_s, now)

    def may_respond(self, max_silent_s: float, now: float) -> bool:
        """Return whether the endpoint is within reach and not known to be silent.

        Nothing is known of an endpoint on which no request of this daemon runs.

        Args:
            max_silent_s: Silence from which it counts as silent, in seconds.
            now: Monotonic time, in seconds.
        """
        return self.lost_at is None and self.silent_s(now) < max_silent_s

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is in cold start."""
        return now < self.cold_until

    def running(self, now: float) -> float:
        """Return the estimated number of requests of all daemons that run on the endpoint."""
        max_age_s = SAMPLED_REPORT_MAX_AGE_S if self.answers_probes else LOAD_REPORT_MAX_AGE_S
        fresh = now - self._other_load_at < max_age_s
        return self.in_flight + (self._other_load if fresh else 0.0)

    def has_waiting(self, now: float) -> bool:
        """Return whether requests waited there by a recent answer to a load probe."""
        fresh = now - self.reported_at < SAMPLED_REPORT_MAX_AGE_S
        return self.answers_probes and fresh and self.reported_waiting > 0
