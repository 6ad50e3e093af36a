"""Refuses requests that crash endpoints, and learns which do."""

import logging
from collections.abc import Callable, Iterable
from random import Random

from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.decisions.crashing_requests import Attempt, CrashingRequests
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.part_report import ReportKind
from comfreyhatch.domain.request_report import RequestReport
from comfreyhatch.errors import RequestBlockedError
from comfreyhatch.exchange.delayed_replies import DelayedReplies
from comfreyhatch.exchange.peer_reports import PeerReports

# Callers of a blocked request are told to come back after this time.
BLOCKED_RETRY_AFTER_S = 30.0
MAX_LOGGED_REQUESTS = 8

log = logging.getLogger("comfreyhatch.crashes")


class RequestGuard:
    """Learns which requests crash endpoints, from this daemon's attempts and from others.

    Its reports go to the other daemons, and theirs come here, by `PeerReports`.
    """

    def __init__(
        self,
        instance: str,
        known_daemons: Callable[[], set[str]],
        registry: CollectorRegistry,
        reports: PeerReports,
        rng: Random,
    ) -> None:
        """Create a guard that knows nothing.

        Args:
            instance: Name of this daemon.
            known_daemons: Returns the names of all known daemons.
            registry: Registry of the metrics.
            reports: Carries reports to and from other daemons.
            rng: Seeded source of the delays of answers to other daemons.
        """
        self._instance = instance
        self._known_daemons = known_daemons
        self._requests = CrashingRequests()
        self._reports = reports
        self._replies = DelayedReplies(self._reply, lambda: len(known_daemons()), rng)
        reports.subscribe(RequestReport, self.learn)
        self._refused = Counter(
            "comfreyhatch_requests_blocked",
            "Requests refused since endpoints crash on them.",
            registry=registry,
        )

    def refusal(self, job: Job, now: float) -> RequestBlockedError | None:
        """Return the error for a request that crashes endpoints; None for others."""
        if not self.blocks(job, now):
            return None
        self._refused.inc()
        self._publish(self._requests.note_refused(job.identity, now), now)
        return RequestBlockedError(
            f"endpoints crash on request {job.identity_text}",
            retry_after_s=BLOCKED_RETRY_AFTER_S,
        )

    def blocks(self, job: Job, now: float) -> bool:
        """Return whether a request would be refused."""
        return self._requests.is_blocked(job.identity, self._turn, now)

    def suspects(self, job: Job) -> bool:
        """Return whether an endpoint has crashed that may have been running a request."""
        return self._requests.crashes(job.identity) > 0

    def begin(self, job: Job, endpoint: EndpointTracker, now: float) -> Attempt:
        """Note that a request is sent to an endpoint; its attempt has to be ended."""
        self._publish(self._requests.note_sent(job.identity, now), now)
        return self._requests.begin(job.identity, endpoint.start, now)

    def end_complete(self, attempt: Attempt, now: float) -> None:
        """Note that an attempt got a complete answer, or has gone well beyond its beginning."""
        self._requests.discard(attempt)
        self._publish(self._requests.note_complete(attempt.request, now), now)

    def end_not_run(self, attempt: Attempt) -> None:
        """Note that an attempt was not run."""
        self._requests.discard(attempt)

    def end_unknown(self, attempt: Attempt, now: float) -> None:
        """Note that an attempt has ended and may still be run; nothing if it was ended before."""
        self._requests.leave(attempt, now)

    def has_candidates(self, start: str) -> bool:
        """Return whether an endpoint may have been running requests of this daemon."""
        return self._requests.has_candidates(start)

    def note_crash(self, start: str, broke_at: float, now: float) -> None:
        """Note that an endpoint has crashed whose connections broke at a time."""
        self._publish(self._requests.note_crash(start, broke_at, now), now)

    def learn(self, report: RequestReport, now: float) -> None:
        """Learn from a report of another daemon."""
        if report.kind is ReportKind.SOUND:
            self._replies.drop(report.requests)
        self._replies.add(self._requests.merge(report, now))

    def _reply(self, requests: list[bytes], now: float) -> None:
        self._publish(self._requests.complete_reports(requests, now), now)

    def _publish(self, found: list[RequestReport], now: float) -> None:
        self._reports.publish(found, now)
        for report in found:
            if report.kind is ReportKind.CRASHED:
                log.warning(
                    "event=endpoint_crashed endpoint=%s requests=%s",
                    report.endpoint,
                    _shown(report.requests),
                )
            elif report.kind is ReportKind.BLOCKED:
                log.warning(
                    "event=request_blocked request=%s trials=%d",
                    _shown(report.requests),
                    report.trials,
                )
            else:
                log.info("event=request_cleared request=%s", _shown(report.requests))

    def _turn(self, request: bytes, trials: int) -> int:
        """Return this daemon's place in the order in which a trial may be made."""
        daemons = self._known_daemons() | {self._instance}
        return rendezvous_order(f"{request.hex()}/{trials}", daemons).index(self._instance)


def _shown(requests: Iterable[bytes]) -> str:
    return ",".join(sorted(request.hex() for request in requests)[:MAX_LOGGED_REQUESTS])
