"""What this daemon believes of one endpoint: work under way, health, cold start."""

from comfreyhatch.decisions.cold_rate import ColdRate
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import ReportedLoad

EJECT_FIRST_S = 0.5
EJECT_LONGEST_S = 4.0
FAILURES_TO_EJECT = 2
SPEED_WEIGHT = 0.2
FAILURE_WEIGHT = 0.1
LOAD_LIFE_S = 1.5


class EndpointState:
    """Mutable state of one endpoint; its decisions take the present time.

    Attributes:
        record: What the registry says.
        in_flight: Requests of this daemon under way there.
        cold_until: Monotonic time until which it counts as cold.
        ejected_until: Monotonic time until which it gets no work after failures.
        failure_share: Moving share of its answers that failed.
        slowness: Moving ratio of its answer times to the usual ones; 1 is usual.
        gone_at: Monotonic time at which its record vanished; None while it is listed.
    """

    __slots__ = (
        "_cold_rate",
        "_others",
        "_others_at",
        "_strikes",
        "cold_until",
        "ejected_until",
        "failure_share",
        "gone_at",
        "in_flight",
        "misdirected",
        "record",
        "slowness",
        "work_left",
    )

    def __init__(self, record: EndpointRecord, now: float) -> None:
        self.record = record
        self.in_flight = 0
        self.work_left = 0.0
        self.cold_until = now + record.cold_left_s
        self.ejected_until = 0.0
        self.failure_share = 0.0
        self.slowness = 1.0
        self.gone_at: float | None = None
        self.misdirected = False
        self._cold_rate = ColdRate()
        self._others = 0.0
        self._others_at = 0.0
        self._strikes = 0

    def renew(self, record: EndpointRecord, now: float) -> None:
        """Take a newer record; a new start of the endpoint forgets what was known."""
        restarted = record.born_ms != self.record.born_ms
        self.record = record
        self.gone_at = None
        self.misdirected = False
        if restarted or record.cold_left_s > 0:
            self.cold_until = now + record.cold_left_s
        if restarted:
            self.ejected_until = 0.0
            self._strikes = 0
            self.failure_share = 0.0
            self.slowness = 1.0

    def note_cold(self, cold_s: float, now: float) -> None:
        """Take in how long the endpoint says it stays cold."""
        self.cold_until = max(self.cold_until, now + cold_s)

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take in the endpoint's own load; what is not ours is others' work."""
        self._others = max(0.0, load.running + load.waiting - self.in_flight)
        self._others_at = now

    def note_success(self) -> None:
        """Count an answer."""
        self._strikes = 0
        self.ejected_until = 0.0
        self.failure_share *= 1 - FAILURE_WEIGHT

    def note_failed_answer(self) -> None:
        """Count an answer that reports a failure; the endpoint is alive."""
        self._strikes = 0
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)

    def note_time(self, ratio: float) -> None:
        """Take in an answer's time as a ratio to the usual one."""
        self.slowness += SPEED_WEIGHT * (min(ratio, 10.0) - self.slowness)

    def note_broken(self, now: float, unreachable: bool) -> None:
        """Count a lost answer or, with `unreachable`, a connection that could not be opened."""
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        self._strikes += FAILURES_TO_EJECT if unreachable else 1
        excess = self._strikes - FAILURES_TO_EJECT
        if excess >= 0:
            pause_s = min(EJECT_LONGEST_S, EJECT_FIRST_S * 2 ** (excess // FAILURES_TO_EJECT))
            self.ejected_until = now + pause_s

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint counts as cold."""
        return now < self.cold_until

    def cold_ready(self, per_s: float, now: float) -> bool:
        """Return whether the cold endpoint may get a request of this daemon now."""
        return self._cold_rate.ready(per_s, now)

    def take_cold(self, per_s: float, now: float) -> None:
        """Count a request sent to the cold endpoint."""
        self._cold_rate.take(per_s, now)

    def running(self, now: float) -> float:
        """Return the requests believed to run there, of this daemon and of others."""
        fresh = now - self._others_at < LOAD_LIFE_S
        return self.in_flight + (self._others if fresh else 0.0)
