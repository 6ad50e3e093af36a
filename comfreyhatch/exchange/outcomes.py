"""Counts what became of attempts, as evidence on the versions of a roll-out."""

from comfreyhatch.decisions.endpoint_state import EndpointState
from comfreyhatch.decisions.retries import LatencyWindow
from comfreyhatch.decisions.version_trial import plus
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import Evidence, VersionOutcomes
from comfreyhatch.exchange.view import FleetView

SLOW_FACTOR = 4.0
SLOW_LEAST_S = 0.15
SLOW_QUANTILE = 0.9


class Outcomes:
    """Evidence of this daemon by service, for the order in force."""

    def __init__(self, daemon: str, view: FleetView) -> None:
        self._daemon = daemon
        self._view = view
        self._evidence_by_service: dict[str, Evidence] = {}
        self._usual_by_route: dict[str, LatencyWindow] = {}

    def evidence(self, service: str) -> Evidence | None:
        """Return what this daemon has counted during the order in force."""
        order = self._view.order(service)
        held = self._evidence_by_service.get(service)
        if order is None or held is None or held.order_revision != order.revision:
            return None
        return held

    def note_answer(
        self, job: Job, endpoint: EndpointState, good: bool, took_s: float, cold: bool = False
    ) -> None:
        """Count an answer.

        Args:
            job: The request.
            endpoint: Who answered.
            good: Whether it was a success.
            took_s: Time to the answer or to the first event of a stream.
            cold: Whether the endpoint was cold, when slow answers are usual.
        """
        usual = self._usual_by_route.setdefault(job.route.name, LatencyWindow())
        limit_s = usual.quantile(SLOW_QUANTILE)
        slow = good and not cold and limit_s is not None
        slow = slow and took_s > max(SLOW_LEAST_S, SLOW_FACTOR * (limit_s or 0.0))
        order = self._view.order(job.service)
        target = order is not None and endpoint.record.version == order.version
        if good and not target and not cold:
            usual.add(took_s)
        self._count(job, endpoint, VersionOutcomes(1, int(not good), int(slow)))

    def note_failure(self, job: Job, endpoint: EndpointState) -> None:
        """Count an answer that turned bad after its head."""
        self._count(job, endpoint, VersionOutcomes(0, 1, 0))

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
