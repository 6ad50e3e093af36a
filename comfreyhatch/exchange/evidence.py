"""Counts what became of attempts, as evidence on the versions of a roll-out."""

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.slowness import BaselineTimes
from comfreyhatch.decisions.version_trial import add_outcomes
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import Evidence, VersionOutcomes
from comfreyhatch.exchange.view import FleetView


class EvidenceCollector:
    """Evidence of this daemon by service, for the order in force."""

    def __init__(self, daemon: str, view: FleetView) -> None:
        self._daemon = daemon
        self._view = view
        self._evidence_by_service: dict[str, Evidence] = {}
        self._first_by_route: dict[str, BaselineTimes] = {}
        self._pace_by_model: dict[tuple[str, str], BaselineTimes] = {}

    def evidence(self, service: str) -> Evidence | None:
        """Return what this daemon has counted during the order in force."""
        order = self._view.order(service)
        held = self._evidence_by_service.get(service)
        if order is None or held is None or held.order_revision != order.revision:
            return None
        return held

    def record_answer(
        self, job: Job, endpoint: EndpointTracker, good: bool, effort: float, now: float
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
        usual = self._first_by_route.setdefault(job.route.name, BaselineTimes())
        slow = good and self._slow(usual, endpoint, effort, now)
        if good:
            self._note_usual(usual, endpoint, effort, now)
        self._count(job, endpoint, VersionOutcomes(1, int(not good), int(slow)))
        return slow

    def record_event_gap(
        self,
        job: Job,
        endpoint: EndpointTracker,
        model: str,
        pace_s: float,
        ended: bool,
        now: float,
    ) -> bool:
        """Count a stream as slow if its events come too slowly; only whole ones tell the usual.

        Args:
            job: The request.
            endpoint: Who answers.
            model: Model that answers; empty when the caller's choice stands.
            pace_s: Usual pause before an event after the first.
            ended: Whether the stream is whole.
            now: Monotonic time in seconds.

        Returns:
            Whether it counts as slow.
        """
        usual = self._pace_by_model.setdefault(
            (job.service, model), BaselineTimes(load_dominated=True)
        )
        slow = self._slow(usual, endpoint, pace_s, now)
        if ended:
            self._note_usual(usual, endpoint, pace_s, now)
        if slow:
            self._count(job, endpoint, VersionOutcomes(0, 0, 1))
        return slow

    def _slow(
        self, usual: BaselineTimes, endpoint: EndpointTracker, value: float, now: float
    ) -> bool:
        if self._view.cold(endpoint, now):
            return False
        return usual.is_slow(value, endpoint.running(now), now)

    def _note_usual(
        self, usual: BaselineTimes, endpoint: EndpointTracker, value: float, now: float
    ) -> None:
        """Take in what is usual of the version that is being replaced."""
        order = self._view.order(endpoint.record.service)
        replaced = order is None or endpoint.record.version != order.version
        if replaced and not self._view.cold(endpoint, now):
            usual.add(value, endpoint.running(now), now)

    def _count(self, job: Job, endpoint: EndpointTracker, outcome: VersionOutcomes) -> None:
        order = self._view.order(job.service)
        if order is None or self._view.final_state(job.service) is not None:
            return
        held = self.evidence(job.service)
        if held is None:
            held = Evidence(job.service, order.revision, self._daemon, {}, {})
            self._evidence_by_service[job.service] = held
        target = endpoint.record.version == order.version
        by_route = held.target_by_route if target else held.other_by_route
        by_route[job.route.name] = add_outcomes(
            by_route.get(job.route.name, VersionOutcomes()), outcome
        )
