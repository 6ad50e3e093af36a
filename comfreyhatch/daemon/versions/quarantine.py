"""Tests the versions that replace others, and quarantines those that have regressed."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from time import time

from msgspec import Struct

from comfreyhatch.daemon.members.evidence_peers import evidence_peers
from comfreyhatch.decisions.regression import (
    OutcomeCounts,
    OutcomeDigest,
    Outcomes,
    VersionKey,
    find_regression,
    growth_blocker,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import Version, VersionState
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.peers import MembershipView, PeerBus

# Interval at which evidence is sent and versions are tested.
EVIDENCE_INTERVAL_S = 1.0
# Shortest interval when a bad outcome or new evidence of a peer triggers a test.
MIN_EVIDENCE_INTERVAL_S = 0.05
# A notice goes to all daemons at once; it is repeated to some, since messages may be lost.
NOTICE_INTERVAL_S = 5.0
MAX_ENTRIES_PER_DIGEST = 12
# Notices that are stored; the oldest is dropped.
MAX_NOTICES = 256

log = logging.getLogger("comfreyhatch.quarantine")


class QuarantineNotice(Struct, frozen=True, tag="quarantine-notice"):
    """Message to peers that a version is in quarantine.

    Attributes:
        key: The version and its trial.
        grounds: Result of the test, as text.
        found_by: Instance id of the daemon whose test failed the version.
    """

    key: VersionKey
    grounds: str
    found_by: str


class Quarantine:
    """Keeps the versions in quarantine; a version there gets no new work.

    The evidence and the notices go from daemon to daemon, so quarantine works while the platform is
    down. A version leaves quarantine only by a change of configuration: it is withdrawn, or
    declared with a higher trial.
    """

    def __init__(
        self,
        incarnation: str,
        own_id: str,
        config: Callable[[], FleetConfig],
        view: Callable[[], MembershipView],
        bus: PeerBus | None = None,
        enabled: bool = True,
        withdraw: Callable[[str, str], Awaitable[None]] | None = None,
        clock: Callable[[], float] = time,
    ) -> None:
        """Create the quarantine of a daemon.

        Args:
            incarnation: Incarnation of this daemon.
            own_id: Instance id of this daemon.
            config: Returns the configuration in force.
            view: Returns the live daemons.
            bus: Peer bus; without one, only this daemon's own evidence counts.
            enabled: Whether a version that fails its test is quarantined, and whether notices of
                peers count. Without quarantine the daemon serves as a baseline for comparison.
            withdraw: Withdraws a version under an edit id; used for contracts with
                `auto_withdraw`.
            clock: Returns the time in seconds since the epoch.
        """
        self.outcome_counts = OutcomeCounts(incarnation)
        self.notice_by_key: dict[VersionKey, QuarantineNotice] = {}
        self._own_id = own_id
        self._config = config
        self._view = view
        self._bus = bus
        self._enabled = enabled
        self._withdraw = withdraw
        self._clock = clock
        self._evidence_added = asyncio.Event()
        self._notices_sent_at = 0.0
        if bus:
            bus.on_message(OutcomeDigest, self._handle_digest)
            bus.on_message(QuarantineNotice, self._handle_notice)

    def quarantined(self) -> frozenset[str]:
        """Return the ids of the versions in quarantine."""
        versions = self._config().version_by_id
        return frozenset(
            key.version_id
            for key in self.notice_by_key
            if key.version_id in versions and versions[key.version_id].trial <= key.trial
        )

    def record_outcomes(self, version: Version, outcomes: Outcomes) -> None:
        """Count outcomes of a version.

        A bad outcome of a version that replaces another triggers sending of evidence and a test.
        """
        key = VersionKey(version.version_id, version.trial)
        self.outcome_counts.add(key, outcomes, self._clock())
        if version.replaces and (outcomes.errors or outcomes.slow or outcomes.low):
            self._evidence_added.set()

    def growth_blocker(self, version_id: str) -> str:
        """Return why the roll-out share of a version may not grow now; empty if it may."""
        version = self._config().version_by_id.get(version_id)
        if version is None or version.state is not VersionState.ACTIVE:
            return "the version is not active"
        if version_id in self.quarantined():
            return "the version is in quarantine"
        key = VersionKey(version_id, version.trial)
        now = self._clock()
        return growth_blocker(self.outcome_counts.by_bucket(key, now), now)

    async def run(self) -> None:
        """Send evidence, test versions and repeat notices until cancelled."""
        while True:
            try:
                async with asyncio.timeout(EVIDENCE_INTERVAL_S):
                    await self._evidence_added.wait()
            except TimeoutError:
                pass
            self._evidence_added.clear()
            await self.tick()
            await asyncio.sleep(MIN_EVIDENCE_INTERVAL_S)

    async def tick(self) -> None:
        """Send new evidence, test versions, and repeat notices if due."""
        await self._send_evidence()
        for version in self._versions_under_test():
            await self._test(version)
        if self.notice_by_key and self._clock() - self._notices_sent_at >= NOTICE_INTERVAL_S:
            self._notices_sent_at = self._clock()
            for notice in self.notice_by_key.values():
                await self._send(evidence_peers(self._own_id, self._view()), notice)

    def _versions_under_test(self) -> list[Version]:
        """Return the versions to test: those that replace another and may get work."""
        quarantined = self.quarantined()
        return [
            version
            for version in self._config().version_by_id.values()
            if version.replaces
            and version.state is not VersionState.WITHDRAWN
            and version.version_id not in quarantined
        ]

    async def _send_evidence(self) -> None:
        """Send the counts of the versions under test, and of those they replace, to some peers."""
        versions = self._config().version_by_id
        keys = set()
        for version in self._versions_under_test():
            keys.add(VersionKey(version.version_id, version.trial))
            replaced = versions.get(version.replaces)
            if replaced:
                keys.add(VersionKey(replaced.version_id, replaced.trial))
        digest = self.outcome_counts.digest(frozenset(keys), MAX_ENTRIES_PER_DIGEST)
        if digest:
            await self._send(evidence_peers(self._own_id, self._view()), digest)

    async def _test(self, version: Version) -> None:
        """Test a version against the one that it replaces; quarantine it if it fails."""
        now = self._clock()
        replaced = self._config().version_by_id.get(version.replaces)
        reference = Outcomes()
        if replaced:
            reference = self.outcome_counts.total(
                VersionKey(replaced.version_id, replaced.trial), now
            )
        key = VersionKey(version.version_id, version.trial)
        regression = find_regression(self.outcome_counts.by_bucket(key, now), reference)
        if regression is None or not self._enabled:
            return
        notice = QuarantineNotice(key, regression.describe(), self._own_id)
        self._add_notice(notice)
        peers = [peer for peer in self._view().member_by_id if peer != self._own_id]
        await self._send(peers, notice)
        await self._auto_withdraw(version)

    async def _auto_withdraw(self, version: Version) -> None:
        """Withdraw a version if the contract of a customer that may use it says so."""
        contracts = self._config().contract_by_customer.values()
        is_required = any(
            contract.auto_withdraw and contract.allows(version.model, version.version_id)
            for contract in contracts
        )
        if not is_required or self._withdraw is None:
            return
        # All daemons use the same edit id, so the version is withdrawn once.
        edit_id = f"auto-withdraw/{version.version_id}/{version.trial}"
        try:
            await self._withdraw(version.version_id, edit_id)
        except ComfreyhatchError as error:
            log.warning(
                "event=auto_withdraw_failed version=%s reason=%r; it remains in quarantine",
                version.version_id,
                str(error),
            )

    def _add_notice(self, notice: QuarantineNotice) -> None:
        """Store and log a notice, unless the version is in quarantine already."""
        if notice.key in self.notice_by_key:
            return
        while len(self.notice_by_key) >= MAX_NOTICES:
            del self.notice_by_key[next(iter(self.notice_by_key))]
        self.notice_by_key[notice.key] = notice
        log.warning(
            "event=version_quarantined version=%s trial=%d found_by=%s grounds=%r",
            notice.key.version_id,
            notice.key.trial,
            notice.found_by,
            notice.grounds,
        )

    async def _send(self, peers: list[str], message: Struct) -> None:
        """Send a message to peers, if there is a bus."""
        if self._bus is None:
            return
        for peer in peers:
            await self._bus.send(peer, message)

    async def _handle_digest(self, sender: str, digest: OutcomeDigest) -> None:
        self.outcome_counts.merge(digest)
        self._evidence_added.set()

    async def _handle_notice(self, sender: str, notice: QuarantineNotice) -> None:
        if self._enabled:
            self._add_notice(notice)
