"""Carries out roll-outs: publishes evidence, and stores the next step when it is due."""

import asyncio
import logging
from math import inf

from msgspec.structs import replace

from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.decisions.trial_evidence import (
    PooledEvidence,
    awaited_evidence_interval_s,
    failures_text,
    pool_evidence,
    should_publish_evidence,
)
from comfreyhatch.decisions.trial_shares import EVIDENCE_DELAY_S, Exposure
from comfreyhatch.decisions.version_comparison import Comparison, compare_versions
from comfreyhatch.decisions.version_trial import (
    VersionsReady,
    is_completion_due,
    is_share_planned,
    next_trial_record,
)
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutRecord,
    VersionOutcomes,
)
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.periodic import PeriodicTask
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory

CHECK_INTERVAL_S = 0.2
MS_PER_S = 1000.0
# Interval at which the answers of a completed version are looked at.
SERVICE_CHECK_INTERVAL_S = 5.0
# A roll-out counts as undecided this long after its completion was due; the write takes its time.
UNDECIDED_DELAY_MS = 500
# Delay of a step for each daemon that is ahead in the order of succession. If the store refuses the
# first daemons in that order, a step is stored late by this much for each of them.
TAKEOVER_DELAY_S = 0.12

log = logging.getLogger("comfreyhatch.trials")


class RolloutController:
    """Controls roll-outs together with the other daemons, without an elected leader.

    Every daemon may store the next step; a conditional write lets only one succeed. All daemons
    compute the same order of succession by rendezvous hashing. The first stores a due step at
    once and each later one after a further `TAKEOVER_DELAY_S`, so that usually one write is made.

    After the store has come back from an older copy, the furthest state that a daemon holds is
    stored again before any step is taken.

    Attributes:
        steps_stored_again: Number of states that this daemon has stored again.
    """

    def __init__(
        self,
        deployment: Deployment,
        directory: Directory,
        view: FleetView,
        evidence: EvidenceCollector,
    ) -> None:
        """Create a controller that is not started yet.

        Args:
            deployment: Settings.
            directory: Stores evidence and steps.
            view: Current state of the fleet.
            evidence: Evidence collected by this daemon.
        """
        self._deployment = deployment
        self._directory = directory
        self._view = view
        self._evidence_collector = evidence
        self._published: dict[str, Evidence] = {}
        self._published_at = 0.0
        self._due_since: dict[str, float] = {}
        self._bad_order_by_service: dict[str, RolloutOrder] = {}
        self._undecided_order_by_service: dict[str, RolloutOrder] = {}
        self._failing_order_by_service: dict[str, RolloutOrder] = {}
        self._service_checked_at: dict[str, float] = {}
        self._exposure = Exposure(deployment.bounds.expose_share, deployment.bounds.expose_slack)
        self.steps_stored_again = 0
        self._task = PeriodicTask("roll-outs", CHECK_INTERVAL_S, self._check)

    def start(self) -> None:
        """Start to check roll-outs periodically."""
        self._task.start()

    async def stop(self) -> None:
        """Stop the periodic check; other daemons continue the roll-outs."""
        await self._task.stop()

    def undecided_count(self) -> int:
        """Return the number of roll-outs that go on beyond the time of their completion."""
        return sum(
            self._view.final_state(service) is None and self._view.order(service) is not None
            for service in self._undecided_order_by_service
        )

    def failing_count(self) -> int:
        """Return the number of completed roll-outs whose version fails in service."""
        return sum(
            self._view.is_same_order(failing, order)
            for service, failing in self._failing_order_by_service.items()
            if (order := self._view.order(service)) is not None
        )

    def is_bad_version(self, order: RolloutOrder) -> bool:
        """Return whether this daemon has found the target version of an order to be bad."""
        bad = self._bad_order_by_service.get(order.service)
        return bad is not None and self._view.is_same_order(bad, order)

    async def store_evidence_again(self) -> int | None:
        """Store the published evidence that the store has lost.

        Returns:
            Number of records stored; None if the records of the store's generation are not known
            yet or a write was not acknowledged.
        """
        records = self._view.records
        if records is None or records.generation != self._view.generation:
            return None
        count = 0
        for service, published in list(self._published.items()):
            listed = records.evidence_by_key.get(f"{service}/{self._deployment.instance}")
            current = self._evidence_collector.evidence(service)
            if current is None or listed == published or self._view.final_state(service):
                continue
            copy = _copy_of(current)
            if not await self._directory.put_evidence(copy):
                return None
            self._published[service] = copy
            count += 1
        return count

    async def await_lost_steps(self) -> int | None:
        """Return the number of states stored again since the last call.

        None while the store's records are not known yet, or lost states are to be stored yet.
        """
        operations = self._view.operations
        records = self._view.records
        if operations is None or records is None or records.generation != self._view.generation:
            return None
        if any(self._view.lost_trial(service) for service in operations.order_by_service):
            return None
        count, self.steps_stored_again = self.steps_stored_again, 0
        return count

    async def _check(self) -> None:
        operations = self._view.operations
        if operations is None or self._view.records is None:
            return
        self._evidence_collector.record_late(asyncio.get_running_loop().time())
        for order in list(operations.order_by_service.values()):
            if self._view.final_state(order.service) is None:
                await self._publish_evidence(order)
                await self._advance(order)
            else:
                self._note_failing_in_service(order, asyncio.get_running_loop().time())
                if not await self._store_again(order):
                    self._due_since.pop(order.service, None)

    async def _publish_evidence(self, order: RolloutOrder) -> None:
        now = asyncio.get_running_loop().time()
        evidence = self._evidence_collector.evidence(order.service)
        if evidence is None or not evidence.target_by_route:
            return
        copy = _copy_of(evidence)
        if not should_publish_evidence(
            self._published.get(order.service),
            copy,
            now - self._published_at,
            self._awaited_interval_s(order, now),
        ):
            return
        self._published_at = now
        if await self._directory.put_evidence(copy):
            self._published[order.service] = copy

    def _awaited_interval_s(self, order: RolloutOrder, now: float) -> float | None:
        """Return the interval of good outcomes once share and verdict wait for them; else None."""
        trial = self._stored_trial(order.service)
        if trial is None or trial.order_revision != order.revision:
            return None
        ahead_ms = int(EVIDENCE_DELAY_S * MS_PER_S)
        if not is_share_planned(order, trial, self._view.store_ms(now) + ahead_ms):
            return None
        return awaited_evidence_interval_s(len(self._view.daemons()))

    async def _advance(self, order: RolloutOrder) -> None:
        """Store the next step of a roll-out once it is due and this daemon's delay has passed."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        comparison = compare_versions(pool_evidence(self._fleet_evidence(order)))
        self._note_fault(order, comparison.fault)
        self._note_undecided(order, comparison, now)
        if await self._store_again(order) or not self._view.can_step(order.service):
            return
        step = next_trial_record(
            order,
            self._stored_trial(order.service),
            comparison,
            self._exposure,
            self._versions_ready(order, now),
            self._view.store_ms(now),
        )
        if step is None:
            self._due_since.pop(order.service, None)
            return
        if self._is_due(order, now) and await self._store_step(step):
            _log_evidence(order, comparison.pooled)

    def _note_undecided(self, order: RolloutOrder, comparison: Comparison, now: float) -> None:
        """Log once that a roll-out goes on beyond the time of its completion."""
        trial = self._stored_trial(order.service)
        if trial is None or trial.order_revision != order.revision or not comparison.unknown:
            return
        known = self._undecided_order_by_service.get(order.service)
        if known is not None and self._view.is_same_order(known, order):
            return
        if is_completion_due(order, trial, self._view.store_ms(now) - UNDECIDED_DELAY_MS):
            self._undecided_order_by_service[order.service] = order
            log.warning(
                "event=rollout_undecided service=%s version=%s reason=%r",
                order.service,
                order.version,
                comparison.unknown,
            )

    def _note_failing_in_service(self, order: RolloutOrder, now: float) -> None:
        """Log once that a version fails after its completion more than the replaced one did."""
        known = self._failing_order_by_service.get(order.service)
        if known is not None and self._view.is_same_order(known, order):
            return
        if now < self._service_checked_at.get(order.service, -inf) + SERVICE_CHECK_INTERVAL_S:
            return
        self._service_checked_at[order.service] = now
        found = self._evidence_collector.evidence_since_completion(order.service)
        fault = compare_versions(pool_evidence([found])).fault if found else ""
        if fault:
            self._failing_order_by_service[order.service] = order
            log.error(
                "event=completed_version_fails service=%s version=%s reason=%r",
                order.service,
                order.version,
                fault,
            )

    def _note_fault(self, order: RolloutOrder, fault: str) -> None:
        if not fault or self.is_bad_version(order):
            return
        self._bad_order_by_service[order.service] = order
        log.warning(
            "event=version_distrusted service=%s version=%s reason=%r",
            order.service,
            order.version,
            fault,
        )

    async def _store_again(self, order: RolloutOrder) -> bool:
        """Store the state that the store has lost, once it is this daemon's turn.

        Returns:
            Whether a state has been lost.
        """
        lost = self._view.lost_trial(order.service)
        if lost is None:
            return False
        if self._is_due(order, asyncio.get_running_loop().time()):
            self.steps_stored_again += await self._store_step(lost)
        return True

    def _is_due(self, order: RolloutOrder, now: float) -> bool:
        """Return whether this daemon's delay since the first sight of a due step has passed."""
        since = self._due_since.setdefault(order.service, now)
        return now - since >= self._succession_rank(order) * TAKEOVER_DELAY_S

    async def _store_step(self, step: RolloutRecord) -> bool:
        stored = await self._directory.put_rollout(step)
        log.info(
            "event=rollout_step service=%s version=%s state=%s share=%.2f stored=%s reason=%r",
            step.service,
            step.version,
            step.state.value,
            step.share,
            stored,
            step.reason,
        )
        loop = asyncio.get_running_loop()
        self._due_since.pop(step.service, None)
        found = await self._directory.records(self._view.records, 0.0)
        self._view.apply_records(found, loop.time())
        return stored

    def _stored_trial(self, service: str) -> RolloutRecord | None:
        records = self._view.records
        return records.trial_by_service.get(service) if records else None

    def _fleet_evidence(self, order: RolloutOrder) -> list[Evidence]:
        """Return the published evidence of other daemons and the current one of this daemon."""
        records = self._view.records
        stored = records.evidence_by_key.values() if records else ()
        found = [
            e
            for e in stored
            if e.service == order.service
            and e.order_revision == order.revision
            and e.daemon != self._deployment.instance
        ]
        own = self._evidence_collector.evidence(order.service)
        return [*found, own] if own else found

    def _versions_ready(self, order: RolloutOrder, now: float) -> VersionsReady:
        trackers = self._view.trackers_by_service.get(order.service, ())
        available = [t for t in trackers if self._view.available(t, now)]
        of_target = [t for t in available if t.record.version == order.version]
        return VersionsReady(
            target=any(not self._view.cold(t, now) for t in of_target),
            replaced=len(available) > len(of_target),
        )

    def _succession_rank(self, order: RolloutOrder) -> int:
        """Return this daemon's place in the order of succession, from 0; at most 5."""
        daemons = self._view.daemons() | {self._deployment.instance}
        ranked = rendezvous_order(f"{order.service}/{order.revision}", daemons)
        return min(ranked.index(self._deployment.instance), 5)


def _log_evidence(order: RolloutOrder, pooled: PooledEvidence) -> None:
    """Log the outcomes by route on which a step was decided, and how answers failed."""
    log.info(
        "event=rollout_failures service=%s version=%s failures=%r other_failures=%r",
        order.service,
        order.version,
        failures_text(pooled.target_by_failure),
        failures_text(pooled.other_by_failure),
    )
    for route in sorted(pooled.target_by_route | pooled.other_by_route):
        target = pooled.target_by_route.get(route, VersionOutcomes())
        other = pooled.other_by_route.get(route, VersionOutcomes())
        log.info(
            "event=rollout_evidence service=%s version=%s route=%s answers=%d failures=%d slow=%d"
            " other_answers=%d other_failures=%d other_slow=%d",
            order.service,
            order.version,
            route,
            target.answers,
            target.failures,
            target.slow,
            other.answers,
            other.failures,
            other.slow,
        )


def _copy_of(evidence: Evidence) -> Evidence:
    """Return a copy that does not change with later answers."""
    return replace(
        evidence,
        target_by_route=dict(evidence.target_by_route),
        other_by_route=dict(evidence.other_by_route),
        target_by_endpoint={r: dict(found) for r, found in evidence.target_by_endpoint.items()},
        target_by_failure=dict(evidence.target_by_failure),
        other_by_failure=dict(evidence.other_by_failure),
    )
