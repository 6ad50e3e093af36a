"""Refuses requests with prompt parts that crash endpoints, and learns these parts."""

import logging
from collections.abc import Callable, Iterable
from random import Random

from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.decisions.crashing_parts import BLOCK_S, CrashingParts
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.part_report import PartReport, ReportKind
from comfreyhatch.errors import PromptBlockedError
from comfreyhatch.exchange.delayed_replies import DelayedReplies
from comfreyhatch.exchange.peer_reports import PeerReports

MAX_LOGGED_PARTS = 8

log = logging.getLogger("comfreyhatch.parts")


class PartGuard:
    """Learns which prompt parts crash endpoints, from this daemon's attempts and from others.

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
        self._parts = CrashingParts()
        self._reports = reports
        self._replies = DelayedReplies(self._reply, lambda: len(known_daemons()), rng)
        reports.subscribe(PartReport, self.learn)
        self._refused = Counter(
            "comfreyhatch_prompts_blocked",
            "Requests refused for prompt parts that crash endpoints.",
            registry=registry,
        )
        self._crashes = Counter(
            "comfreyhatch_endpoint_crashes",
            "Crashes of endpoints that had just begun answers of this daemon.",
            registry=registry,
        )

    def refusal(self, job: Job, now: float) -> PromptBlockedError | None:
        """Return the error for a request whose parts crash endpoints; None for others."""
        blocked = self._blocked_parts(job, now)
        if blocked is None:
            return None
        self._refused.inc()
        self._publish(self._parts.note_refused(blocked, now), now)
        return PromptBlockedError(
            f"endpoints crash on prompts with {_shown(blocked)}", retry_after_s=BLOCK_S
        )

    def blocks(self, job: Job, now: float) -> bool:
        """Return whether a request would be refused."""
        return self._blocked_parts(job, now) is not None

    def _blocked_parts(self, job: Job, now: float) -> frozenset[str] | None:
        return self._parts.blocked_parts(job.exchange.shared_part_ids, self._tries, now)

    def note_sent(self, job: Job, now: float) -> None:
        """Note that a request is sent to an endpoint."""
        self._parts.note_sent(job.exchange.shared_part_ids, now)

    def note_begun(self, job: Job, endpoint: EndpointTracker, now: float) -> None:
        """Note that the head of an answer has come."""
        parts = job.exchange.shared_part_ids
        self._parts.note_begun(job.exchange.request_id, endpoint.start, parts, now)

    def note_sound(self, job: Job, endpoint: EndpointTracker, now: float) -> None:
        """Note that an answer has gone well beyond its beginning."""
        parts = job.exchange.shared_part_ids
        found = self._parts.note_sound(job.exchange.request_id, endpoint.start, parts, now)
        self._publish(found, now)

    def has_candidates(self, start: str, broke_at: float) -> bool:
        """Return whether an endpoint had just begun answers when its connections broke."""
        return self._parts.has_candidates(start, broke_at)

    def note_crash(self, start: str, broke_at: float, now: float) -> None:
        """Note that an endpoint has crashed whose connections broke at a time."""
        before = set(self._parts.blocks)
        found = self._parts.note_crash(start, broke_at, now)
        for report in found:
            self._crashes.inc()
            log.warning(
                "event=endpoint_crashed endpoint=%s parts=%s", start, _shown(report.part_ids)
            )
        self._publish(found, now)
        self._log_blocks(before)

    def learn(self, report: PartReport, now: float) -> None:
        """Learn from a report of another daemon."""
        before = set(self._parts.blocks)
        if report.kind is ReportKind.SOUND:
            self._replies.drop(report.part_ids)
        self._replies.add(self._parts.merge(report, now))
        self._log_blocks(before)

    def _reply(self, part_ids: list[str], now: float) -> None:
        self._publish(self._parts.sound_reports(part_ids, now), now)

    def _publish(self, found: list[PartReport], now: float) -> None:
        self._reports.publish(found, now)
        for report in found:
            if report.kind is ReportKind.SOUND:
                log.info("event=parts_sound parts=%s", _shown(report.part_ids))

    def _log_blocks(self, before: set[frozenset[str]]) -> None:
        for blocked in self._parts.blocks:
            if blocked not in before:
                log.warning("event=parts_blocked parts=%s", _shown(blocked))

    def _tries(self, blocked: frozenset[str]) -> bool:
        """Return whether this daemon is the one that lets a request through as a trial."""
        daemons = self._known_daemons() | {self._instance}
        return rendezvous_order("/".join(sorted(blocked)), daemons)[0] == self._instance


def _shown(part_ids: Iterable[str]) -> str:
    return ",".join(sorted(part_ids)[:MAX_LOGGED_PARTS])
