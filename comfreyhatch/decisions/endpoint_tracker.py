"""What this daemon believes of one endpoint: work under way, health, cold start."""

from math import pow

from comfreyhatch.decisions.cold_rate import ColdRateLimiter
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import ReportedLoad

FIRST_EJECTION_S = 0.5
MAX_EJECTION_DOUBLINGS = 3
FAILURES_TO_EJECT = 2
FAILURE_SMOOTHING = 0.1
LOAD_REPORT_MAX_AGE_S = 1.5
DELAY_HALF_LIFE_S = 1.0


class EndpointTracker:
    """Mutable state of one endpoint; its decisions take the present time.

    Attributes:
        record: What the registry says.
        in_flight: Requests of this daemon under way there.
        cold_until: Monotonic time until which it counts as cold.
        ejected_until: Monotonic time until which it gets no work after failures.
        failure_share: Moving share of its answers that failed.
        pending_s: Engine time of this daemon's requests there that wait for their first event.
        last_received_at: Monotonic time of the last byte from it.
        removed_at: Monotonic time at which its record vanished; None while it is listed.
    """

    __slots__ = (
        "_cold_rate_limiter",
        "_delay_at",
        "_delay_s",
        "_other_load",
        "_other_load_at",
        "_consecutive_failures",
        "cold_until",
        "ejected_until",
        "failure_share",
        "removed_at",
        "in_flight",
        "last_received_at",
        "misdirected",
        "pending_s",
        "record",
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
        self._cold_rate_limiter = ColdRateLimiter()
        self._other_load = 0.0
        self._other_load_at = 0.0
        self._consecutive_failures = 0
        self._delay_s = 0.0
        self._delay_at = now

    def update_record(self, record: EndpointRecord, now: float) -> None:
        """Take a newer record; a new start of the endpoint forgets what was known."""
        restarted = record.born_ms != self.record.born_ms
        self.record = record
        self.removed_at = None
        self.misdirected = False
        if restarted or record.cold_left_s > 0:
            self.cold_until = now + record.cold_left_s
        if restarted:
            self.ejected_until = 0.0
            self._consecutive_failures = 0
            self.failure_share = 0.0
            self._delay_s = 0.0

    def record_cold(self, cold_s: float, now: float) -> None:
        """Take in how long the endpoint says it stays cold."""
        self.cold_until = max(self.cold_until, now + cold_s)

    def record_load(self, load: ReportedLoad, now: float) -> None:
        """Take in the endpoint's own load; what is not ours is others' work."""
        self._other_load = max(0.0, load.running + load.waiting - self.in_flight)
        self._other_load_at = now

    def record_success(self) -> None:
        """Count an answer."""
        self._consecutive_failures = 0
        self.ejected_until = 0.0
        self.failure_share *= 1 - FAILURE_SMOOTHING

    def record_failed_answer(self) -> None:
        """Count an answer that reports a failure; the endpoint is alive."""
        self._consecutive_failures = 0
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_delay(self, delay_s: float, now: float) -> None:
        """Take in how long a request waited there behind other work."""
        self._delay_s = max(0.0, delay_s)
        self._delay_at = now

    def delay_s(self, now: float) -> float:
        """Return how long a new request would wait behind other work, in seconds."""
        age_s = now - self._delay_at
        return max(self.pending_s, self._delay_s * pow(0.5, age_s / DELAY_HALF_LIFE_S))

    def record_connection_failure(self, now: float, unreachable: bool) -> None:
        """Count a lost answer or, with `unreachable`, a connection that could not be opened."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)
        self._consecutive_failures += FAILURES_TO_EJECT if unreachable else 1
        excess = self._consecutive_failures - FAILURES_TO_EJECT
        if excess >= 0:
            doublings = min(excess // FAILURES_TO_EJECT, MAX_EJECTION_DOUBLINGS)
            self.ejected_until = now + FIRST_EJECTION_S * 2**doublings

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint counts as cold."""
        return now < self.cold_until

    def may_send_cold(self, per_s: float, now: float) -> bool:
        """Return whether the cold endpoint may get a request of this daemon now."""
        return self._cold_rate_limiter.may_send(per_s, now)

    def record_cold_request(self, per_s: float, now: float) -> None:
        """Count a request sent to the cold endpoint."""
        self._cold_rate_limiter.record(per_s, now)

    def running(self, now: float) -> float:
        """Return the requests believed to run there, of this daemon and of others."""
        fresh = now - self._other_load_at < LOAD_REPORT_MAX_AGE_S
        return self.in_flight + (self._other_load if fresh else 0.0)
