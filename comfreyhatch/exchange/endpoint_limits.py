"""Limits that endpoints name in their answers: learned, logged and told to other daemons."""

import logging

from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.named_limits import NamedLimits
from comfreyhatch.domain.exchange import AnswerHead
from comfreyhatch.domain.limit_report import LimitReport
from comfreyhatch.exchange.peer_reports import PeerReports

log = logging.getLogger("comfreyhatch.limits")


class EndpointLimits:
    """Limits that this daemon knows of, by its answers and by reports of other daemons."""

    def __init__(self, reports: PeerReports, registry: CollectorRegistry) -> None:
        """Create it without limits.

        Args:
            reports: Carries reports to and from other daemons.
            registry: Registry of the metrics.
        """
        self._reports = reports
        self._limits = NamedLimits()
        reports.subscribe(LimitReport, self.learn)
        add_gauge(
            registry, "endpoint_limits", "Endpoints that name a limit.", lambda: len(self._limits)
        )

    def per_s(self, endpoint: EndpointTracker) -> float | None:
        """Return the limit of an endpoint in requests a second; None if it names none."""
        return self._limits.per_s(endpoint.start) if len(self._limits) else None

    def note_answer(
        self, endpoint: EndpointTracker, head: AnswerHead, sent_at: float, now: float
    ) -> None:
        """Learn from the head of an endpoint's own answer.

        A refusal may name a limit, but only an answer to a request that has run may end it.

        Args:
            endpoint: The endpoint.
            head: The head.
            sent_at: Monotonic time at which the request was sent.
            now: Present monotonic time.
        """
        per_s = head.limit_per_s
        if head.limit_unreadable:
            log.warning("event=limit_unreadable endpoint=%s", endpoint.start)
            return
        if per_s is None and (not head.has_receipt or not len(self._limits)):
            return
        before = self.per_s(endpoint)
        if self._limits.observe(endpoint.start, per_s, sent_at, now):
            self._reports.publish([LimitReport(endpoint.start, per_s)], now)
        _log_change(endpoint.start, before, self.per_s(endpoint), "answer")

    def learn(self, report: LimitReport, now: float) -> None:
        """Learn from a report of another daemon."""
        before = self._limits.per_s(report.start)
        if self._limits.merge(report.start, report.per_s, now - report.age_s, now):
            _log_change(report.start, before, report.per_s, "report")


def _log_change(start: str, before: float | None, after: float | None, source: str) -> None:
    if after == before:
        return
    if after is None:
        log.info("event=limit_ended endpoint=%s source=%s", start, source)
    else:
        log.info("event=limit_named endpoint=%s per_s=%g source=%s", start, after, source)
