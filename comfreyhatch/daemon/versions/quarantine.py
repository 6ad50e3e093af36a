"""The task that tests versions in service and keeps bad ones from new work."""

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
from comfreyhatch.ports.peers import PeerBus, View

SHARE_INTERVAL_S = 1.0
URGENT_INTERVAL_S = 0.05
REPEAT_INTERVAL_S = 5.0
ENTRIES_PER_DIGEST = 12
MAX_QUARANTINES = 256

log = logging.getLogger("comfreyhatch.quarantine")


class QuarantineNotice(Struct, frozen=True, tag="quarantine-notice"):
    """Tells peers that a version gets no new work.

    Attributes:
        key: The version and its trial.
        grounds: Result of the test.
        found_by: Daemon that found it.
    """

    key: VersionKey
    grounds: str
    found_by: str


class Quarantine:
    """Holds the versions in quarantine; needs no platform.

    A version leaves quarantine only by configuration: withdrawn, or declared with a higher
    trial.
    """

    def __init__(
        self,
        incarnation: str,
        own_id: str,
        config: Callable[[], FleetConfig],
        view: Callable[[], View],
        bus: PeerBus | None = None,
        enabled: bool = True,
        withdraw: Callable[[str, str], Awaitable[None]] | None = None,
        clock: Callable[[], float] = time,
    ) -> None:
        """Create the task's state.

        Args:
            incarnation: Incarnation of this daemon.
            own_id: Instance id of this daemon.
            config: Configuration in force.
            view: Live daemons.
            bus: Peer bus; None keeps evidence to this daemon.
            enabled: Whether a failed test has a consequence; a baseline without.
            withdraw: Withdraws a version with an edit id, for contracts that ask for it.
            clock: Seconds since the epoch.
        """
        self.book = OutcomeCounts(incarnation)
        self.notice_by_key: dict[VersionKey, QuarantineNotice] = {}
        self._own_id = own_id
        self._config = config
        self._view = view
        self._bus = bus
        self._enabled = enabled
        self._withdraw = withdraw
        self._clock = clock
        self._urgent = asyncio.Event()
        self._repeated = 0.0
        if bus:
            bus.on_message(OutcomeDigest, self._take_digest)
            bus.on_message(QuarantineNotice, self._take_notice)

    def quarantined(self) -> frozenset[str]:
        """Return the version ids that get no new work."""
        versions = self._config().version_by_id
        return frozenset(
            key.version_id
            for key in self.notice_by_key
            if key.version_id in versions and versions[key.version_id].trial <= key.trial
        )

    def add(self, version: Version, outcomes: Outcomes) -> None:
        """Count outcomes of a version; a bad one is shared and judged at once."""
        key = VersionKey(version.version_id, version.trial)
        self.book.add(key, outcomes, self._clock())
        if version.replaces and (outcomes.errors or outcomes.slow or outcomes.low):
            self._urgent.set()

    def growth_blocker(self, version_id: str) -> str:
        """Return why the roll-out of a version may not grow now; empty if it may."""
        version = self._config().version_by_id.get(version_id)
        if version is None or version.state is not VersionState.ACTIVE:
            return "the version is not active"
        if version_id in self.quarantined():
            return "the version is in quarantine"
        key = VersionKey(version_id, version.trial)
        now = self._clock()
        return growth_blocker(self.book.by_bucket(key, now), now)

    async def run(self) -> None:
        """Share evidence, judge, and repeat notices until cancelled."""
        while True:
            try:
                async with asyncio.timeout(SHARE_INTERVAL_S):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            self._urgent.clear()
            await self.tick()
            await asyncio.sleep(URGENT_INTERVAL_S)

    async def tick(self) -> None:
        """Share and judge once."""
        await self._share()
        for version in self._under_test():
            await self._judge(version)
        if self.notice_by_key and self._clock() - self._repeated >= REPEAT_INTERVAL_S:
            self._repeated = self._clock()
            for notice in self.notice_by_key.values():
                await self._send(evidence_peers(self._own_id, self._view()), notice)

    def _under_test(self) -> list[Version]:
        """Return the versions that replace another and take work."""
        quarantined = self.quarantined()
        return [
            version
            for version in self._config().version_by_id.values()
            if version.replaces
            and version.state is not VersionState.WITHDRAWN
            and version.version_id not in quarantined
        ]

    async def _share(self) -> None:
        versions = self._config().version_by_id
        keys = set()
        for version in self._under_test():
            keys.add(VersionKey(version.version_id, version.trial))
            replaced = versions.get(version.replaces)
            if replaced:
                keys.add(VersionKey(replaced.version_id, replaced.trial))
        digest = self.book.digest(frozenset(keys), ENTRIES_PER_DIGEST)
        if digest:
            await self._send(evidence_peers(self._own_id, self._view()), digest)

    async def _judge(self, version: Version) -> None:
        now = self._clock()
        replaced = self._config().version_by_id.get(version.replaces)
        reference = Outcomes()
        if replaced:
            reference = self.book.total(VersionKey(replaced.version_id, replaced.trial), now)
        key = VersionKey(version.version_id, version.trial)
        verdict = find_regression(self.book.by_bucket(key, now), reference)
        if verdict is None or not self._enabled:
            return
        notice = QuarantineNotice(key, verdict.describe(), self._own_id)
        self._adopt(notice)
        everyone = [peer for peer in self._view().member_by_id if peer != self._own_id]
        await self._send(everyone, notice)
        await self._withdraw_if_asked(version)

    async def _withdraw_if_asked(self, version: Version) -> None:
        contracts = self._config().contract_by_customer.values()
        asked = any(
            contract.auto_withdraw and contract.allows(version.model, version.version_id)
            for contract in contracts
        )
        if not asked or self._withdraw is None:
            return
        # The edit id is the same at all daemons, so that the version is withdrawn once.
        edit_id = f"auto-withdraw/{version.version_id}/{version.trial}"
        try:
            await self._withdraw(version.version_id, edit_id)
        except ComfreyhatchError as error:
            log.warning(
                "event=auto_withdraw_failed version=%s reason=%r; quarantine stays",
                version.version_id,
                str(error),
            )

    def _adopt(self, notice: QuarantineNotice) -> None:
        if notice.key in self.notice_by_key:
            return
        while len(self.notice_by_key) >= MAX_QUARANTINES:
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
        if self._bus is None:
            return
        for peer in peers:
            await self._bus.send(peer, message)

    async def _take_digest(self, sender: str, digest: OutcomeDigest) -> None:
        self.book.merge(digest)
        self._urgent.set()

    async def _take_notice(self, sender: str, notice: QuarantineNotice) -> None:
        if self._enabled:
            self._adopt(notice)
