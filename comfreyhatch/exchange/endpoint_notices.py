"""What endpoints announce in their answers: that they leave, want to rest, or are brittle."""

import logging

from comfreyhatch.decisions.brittle import refused_pause_s
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import AnswerHead
from comfreyhatch.domain.full_report import FullReport
from comfreyhatch.domain.leaving_report import LeavingReport
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.view import FleetView

log = logging.getLogger("comfreyhatch.notices")


class EndpointNotices:
    """Notes announcements of endpoints, and tells other daemons of them where that helps."""

    def __init__(self, view: FleetView, reports: PeerReports) -> None:
        """Create it.

        Args:
            view: Current state of the fleet.
            reports: Carries reports to and from other daemons.
        """
        self._view = view
        self._reports = reports
        reports.subscribe(LeavingReport, self.learn_leaving)
        reports.subscribe(FullReport, self.learn_full)

    def note_answer(self, endpoint: EndpointTracker, head: AnswerHead, now: float) -> None:
        """Learn from the head of an endpoint's own answer."""
        if head.leaving and endpoint.leaving_since is None:
            self._note_leaving(endpoint, now, "answer")
            self._reports.publish([LeavingReport(endpoint.start)], now)
        if head.brittle_per_s is not None or head.has_receipt:
            self._note_brittle(endpoint, head.brittle_per_s)
        if head.brittle_per_s is not None and head.refused:
            self._note_full(endpoint, head.brittle_per_s, now)
        if head.rest_s is not None:
            endpoint.record_rest(head.rest_s, now)
            log.info("event=endpoint_resting endpoint=%s for_s=%.2f", endpoint.start, head.rest_s)

    def learn_leaving(self, report: LeavingReport, now: float) -> None:
        """Learn from another daemon that an endpoint is leaving; not if it has started anew."""
        endpoint = self._endpoint(report.start)
        if endpoint is not None and endpoint.leaving_since is None:
            self._note_leaving(endpoint, now - report.age_s, "report")

    def learn_full(self, report: FullReport, now: float) -> None:
        """Learn from a report of another daemon that a brittle endpoint has no room."""
        endpoint = self._endpoint(report.start)
        if endpoint is not None:
            endpoint.record_rest(report.pause_s - report.age_s, now)

    def _endpoint(self, start: str) -> EndpointTracker | None:
        """Return an endpoint by its start; None if it is unknown or has started anew."""
        endpoint = self._view.tracker_by_id.get(start.rpartition("/")[0])
        return endpoint if endpoint is not None and endpoint.start == start else None

    def _note_brittle(self, endpoint: EndpointTracker, per_s: float | None) -> None:
        if endpoint.brittle_per_s != per_s:
            endpoint.brittle_per_s = per_s
            shown = "none" if per_s is None else f"{per_s:g}"
            log.info("event=endpoint_brittle endpoint=%s refusals_per_s=%s", endpoint.start, shown)

    def _note_full(self, endpoint: EndpointTracker, per_s: float, now: float) -> None:
        pause_s = refused_pause_s(per_s, max(1, len(self._view.daemons())))
        if now >= endpoint.resting_until:
            self._reports.publish([FullReport(endpoint.start, pause_s)], now)
        endpoint.record_rest(pause_s, now)

    def _note_leaving(self, endpoint: EndpointTracker, since: float, source: str) -> None:
        endpoint.leaving_since = since
        log.info("event=endpoint_leaving endpoint=%s source=%s", endpoint.start, source)
