"""Counts what became of attempts, as evidence on the versions of a roll-out."""

from comfreyhatch.decisions.endpoint_state import EndpointState
from comfreyhatch.decisions.slowness import UsualTimes
from comfreyhatch.decisions.version_trial import plus
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import Evidence, VersionOutcomes
from comfreyhatch.exchange.view import FleetView

IDLE_RUNNING = 3


class Outcomes:
    """Evidence of this daemon by service, for the order in force."""

    def __init__(self, daemon: str, view: FleetView) -> None:
        self._daemon = daemon
        self._view = view
        self._evidence_by_service: dict[str, Evidence] = {}
        self._first_by_route: dict[str, UsualTimes] = {}
        self._pace_by_route: dict[str, UsualTimes] = {}

    def evidence(self, service: str) -> Evidence | None:
        """Return what this daemon has counted during the order in force."""
        order = self._view.order(service)
        held = self._evidence_by_service.get(service)
        if order is None or held is None or held.order_revision != order.revision:
            return None
        return held

    def note_answer(
        self, job: Job, endpoint: EndpointState, good: bool, effort: float, now: float
    ) -> bool:
        """Count an answer.

        Args:
            job: The request.
            endpoint: Who answered.
            good: Whether it was a success.
            effort: Time to the answer, or to the first event of a stream, for each unit of work.
            now: Monotonic time in seconds.

        Returns:
            Whether it counts as slow.
        """
        usual = self._first_by_route.setdefault(job.route.name, UsualTimes())
        slow = good and self._judge(usual, endpoint, effort, now)
        self._count(job, endpoint, VersionOutcomes(1, int(not good), int(slow)))
        return slow

    def note_pace(self, job: Job, endpoint: EndpointState, pace_s: float, now: float) -> None:
        """Count a stream that has ended and was not slow to begin.

        Args:
            job: The request.
            endpoint: Who answered.
            pace_s: Time for each event after the first.
            now: Monotonic time in seconds.
        """
        usual = self._pace_by_route.setdefault(job.route.name, UsualTimes())
        if self._judge(usual, endpoint, pace_s, now):
            self._count(job, endpoint, VersionOutcomes(0, 0, 1))

    def _judge(self, usual: UsualTimes, endpoint: EndpointState, value: float, now: float) -> bool:
        """Return whether an answer is slow; those of the replaced version set what is usual."""
        if self._view.cold(endpoint, now):
            return False
        slow = usual.is_slow(value, now, endpoint.running(now) <= IDLE_RUNNING)
        order = self._view.order(endpoint.record.service)
        if order is None or endpoint.record.version != order.version:
            usual.note(value, now)
        return slow

    def _count(self, job: Job, endpoint: EndpointState, outcome: VersionOutcomes) -> None:
        order = self._view.order(job.service)
        if order is None or self._view.finished(job.service) is not None:
            return
        held = self.evidence(job.service)
        if held is None:
            held = Evidence(job.service, order.revision, self._daemon, {}, {})
            self._evidence_by_service[job.service] = held
        target = endpoint.record.version == order.version
        by_route = held.target_by_route if target else held.other_by_route
        by_route[job.route.name] = plus(by_route.get(job.route.name, VersionOutcomes()), outcome)
