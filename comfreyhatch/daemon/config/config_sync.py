"""The task that keeps the configuration in force newest, and makes changes."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.config.change_log import ChangeLog
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.daemon.members.peer_messages import (
    HeadNotice,
    HeadQuery,
    HeadReply,
    RecordsQuery,
    RecordsReply,
)
from comfreyhatch.decisions.configuration import (
    RELAYS_PER_ZONE,
    ConfigTiming,
    DispatchIntent,
    Freshness,
    adopt,
    freshness,
    may_serve_while_cut_off,
    must_poll,
    newest,
)
from comfreyhatch.decisions.membership import delegates, incarnation_digest_of
from comfreyhatch.decisions.rendezvous import tree_children
from comfreyhatch.domain.change import ChangeRecord
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import PeerError, PlatformError, RefusedError
from comfreyhatch.ports.peers import PeerBus

KEPT_RECORDS = 256
RECORDS_PER_NOTICE = 16
ASKED_PEERS = 6
ATTEMPTS = 2
RETRY_AFTER_S = 1.0

log = logging.getLogger("comfreyhatch.configuration")


class _Clock(Struct, frozen=True):
    """Lower bound of own clock minus a peer's clock, and when it was measured."""

    clock_id: int
    offset_s: float
    measured_at: float


class ConfigSync:
    """Holds the configuration in force."""

    def __init__(
        self,
        changes: ChangeLog,
        bus: PeerBus,
        membership: Membership,
        timing: ConfigTiming | None = None,
        clock: Callable[[], float] = monotonic,
        rng: Random | None = None,
    ) -> None:
        """Create the configuration sync of a daemon.

        Args:
            changes: The change log of the platform.
            bus: Peer bus; handlers are registered on it.
            membership: MembershipView of the live daemons.
            timing: Times.
            clock: Monotonic seconds.
            rng: Chooses the peers to ask.
        """
        self.config = FleetConfig()
        self.timing = timing or ConfigTiming()
        self._changes = changes
        self._bus = bus
        self._membership = membership
        self._clock = clock
        self._rng = rng or Random()
        self._records: deque[ChangeRecord] = deque(maxlen=KEPT_RECORDS)
        self._confirmed_at: float | None = None
        self._failed_at: float | None = None
        self._polled_at: float | None = None
        self._noticed_at: float | None = None
        self._noticed_revision = 0
        self._snapshot_checked = 0
        self._loaded = False
        self._last_notice_by_origin: dict[str, HeadNotice] = {}
        self._clock_by_origin: dict[str, _Clock] = {}
        self._confirming: asyncio.Task[None] | None = None
        self._on_change: list[Callable[[FleetConfig], None]] = []
        bus.on_message(HeadNotice, self._take_notice)
        bus.on_message(HeadQuery, self._answer_head)
        bus.on_message(RecordsQuery, self._answer_records)

    @property
    def ready(self) -> bool:
        """Whether there is a configuration and it was compared with platform or peers."""
        return self._loaded and self.config.revision > 0

    def on_change(self, callback: Callable[[FleetConfig], None]) -> None:
        """Call back with each new configuration."""
        self._on_change.append(callback)

    def freshness(self, now: float) -> Freshness:
        """Return whether the configuration may be acted on at a monotonic time."""
        return freshness(self._confirmed_at, self._failed_at, now, self.timing)

    def require_fresh(self, now: float) -> None:
        """Refuse to dispatch on a configuration that has to be confirmed first.

        Raises:
            RefusedError: If it has to be confirmed; nothing was sent.
        """
        if self.freshness(now) is Freshness.MUST_CONFIRM:
            raise RefusedError(
                "the configuration has to be confirmed first",
                ResultCode.CUT_OFF,
                retry_after_s=RETRY_AFTER_S,
            )

    async def latest(self) -> FleetConfig:
        """Return the configuration to decide on, confirmed if need be and possible."""
        if self.freshness(self._clock()) is Freshness.MUST_CONFIRM:
            await self.confirm()
        return self.config

    async def authorize_dispatch(self, intent: DispatchIntent) -> FleetConfig:
        """Return the configuration to dispatch on, confirmed if need be.

        The caller has to dispatch without waiting for anything in between.

        Raises:
            RefusedError: If the daemon is cut off and may not serve this; it has not run.
        """
        state = self.freshness(self._clock())
        for _ in range(ATTEMPTS):
            if state is not Freshness.MUST_CONFIRM:
                break
            state = await self.confirm()
        self.require_fresh(self._clock())
        if state is Freshness.CUT_OFF and not may_serve_while_cut_off(self.config, intent):
            raise RefusedError(
                "this zone is cut off and may not start this work",
                ResultCode.CUT_OFF,
                retry_after_s=RETRY_AFTER_S,
            )
        return self.config

    async def confirm(self) -> Freshness:
        """Ask platform and peers for the newest revision; one attempt serves all waiting."""
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.get_running_loop().create_task(self._poll())
        await asyncio.shield(self._confirming)
        return self.freshness(self._clock())

    async def run(self) -> None:
        """Keep the configuration newest until cancelled."""
        while True:
            try:
                await self.tick()
            except Exception:
                log.exception("event=configuration_tick_failed")
            await asyncio.sleep(self.timing.tick_s)

    async def tick(self) -> None:
        """Poll and tell the zone, if that is due."""
        now = self._clock()
        rank = self._rank()
        if not must_poll(rank, self._confirmed_at, self._polled_at, now, self.timing):
            return
        await self.confirm()
        if rank < RELAYS_PER_ZONE and self.freshness(self._clock()) is Freshness.FRESH:
            await self._tell_zone()

    async def catch_up(self) -> None:
        """Adopt all accepted changes of the platform's log.

        Raises:
            PlatformError: If the platform does not answer.
        """
        if not self._loaded:
            self._adopt_config(await self._changes.load())
        self._adopt(await self._changes.records_after(self.config.revision))
        self._loaded = True

    async def announce(self) -> None:
        """Adopt a change that this daemon has just made, and tell the zone."""
        try:
            await self.catch_up()
        except PlatformError as error:
            log.warning("event=change_not_read_back reason=%r", str(error))
            return
        await self._tell_zone()

    def records_after(self, revision: int) -> list[ChangeRecord]:
        """Return the changes after a revision that are still kept."""
        return [record for record in self._records if record.revision > revision]

    async def _poll(self) -> None:
        """Read the head from the platform, or else ask peers."""
        started = self._clock()
        self._polled_at = started
        first = not self._loaded
        try:
            await self._read_head(started)
        except (PlatformError, TimeoutError) as error:
            log.warning("event=head_unavailable reason=%r; asking peers", str(error))
            first = True
        if first:
            await self._ask_peers()
        now = self._clock()
        # An attempt that took longer went through a pause and says nothing about the links.
        if (
            self.freshness(now) is not Freshness.FRESH
            and now - started <= self.timing.max_attempt_s
        ):
            self._failed_at = now

    async def _read_head(self, started: float) -> None:
        known = self.config.revision
        async with asyncio.timeout(self.timing.platform_timeout_s if self._loaded else None):
            head = await self._changes.head()
            if head > known:
                await self.catch_up()
        if head < known or head > self.config.revision:
            raise PlatformError(f"the change log ends at {head}, this daemon is at {known}")
        self._loaded = True
        self._set_confirmed(started)
        if self._rank() == 0 and self.config.revision > self._snapshot_checked:
            revision = self.config.revision
            await self._changes.store_snapshot(self.config)
            self._snapshot_checked = revision

    async def _ask_peers(self) -> None:
        """Take the newest configuration of some peers of this and other zones."""
        started = self._clock()
        peers = self._peers_to_ask()
        replies = await asyncio.gather(*(self.ask_head(peer) for peer in peers))
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                continue
            if reply.revision > self.config.revision:
                await self._fetch_records(peer)
            if reply.revision > self.config.revision:
                continue
            self._loaded = True
            if reply.age_s is not None:
                self._set_confirmed(started - reply.age_s)

    def _peers_to_ask(self) -> list[str]:
        own = self._membership.own
        members = list(self._membership.view.member_by_id.values())
        near = [i for i in self._membership.relay_order if i != own.instance_id]
        zones = sorted({member.zone for member in members} - {own.zone})
        self._rng.shuffle(zones)
        far = [i for zone in zones for i in delegates(members, zone)]
        return near[:RELAYS_PER_ZONE] + far[: ASKED_PEERS - RELAYS_PER_ZONE]

    async def ask_head(self, peer: str) -> HeadReply | None:
        """Return a peer's revision and its age, or None if it does not answer."""
        try:
            return await self._bus.request(peer, HeadQuery(), HeadReply, self.timing.ask_timeout_s)
        except PeerError:
            return None

    async def _fetch_records(self, peer: str) -> None:
        query = RecordsQuery(self.config.revision)
        try:
            reply = await self._bus.request(peer, query, RecordsReply, self.timing.ask_timeout_s)
        except PeerError:
            return
        if reply.config:
            self._adopt_config(reply.config)
        self._adopt(reply.records)

    async def _tell_zone(self) -> None:
        """Send a notice through the zone if there is news or the last is old."""
        now = self._clock()
        is_news = self.config.revision > self._noticed_revision
        recent = (
            self._noticed_at is not None and now - self._noticed_at < self.timing.notice_interval_s
        )
        if self._confirmed_at is None or (recent and not is_news):
            return
        count = min(RECORDS_PER_NOTICE, self.config.revision - self._noticed_revision)
        own = self._membership.own
        notice = HeadNotice(
            own.instance_id,
            incarnation_digest_of(own),
            self._confirmed_at,
            self.config.revision,
            tuple(self._records)[-count:] if is_news else (),
        )
        self._noticed_at = now
        self._noticed_revision = self.config.revision
        await self._pass_on(notice)

    async def _pass_on(self, notice: HeadNotice) -> None:
        own_id = self._membership.own.instance_id
        others = (i for i in self._membership.relay_order if i != notice.origin)
        for child in tree_children([notice.origin, *others], own_id, self.timing.fan_out):
            await self._bus.send(child, notice)

    async def _take_notice(self, sender: str, notice: HeadNotice) -> None:
        self._membership.detect_pause()
        last = self._last_notice_by_origin.get(notice.origin)
        if last and last.clock_id == notice.clock_id and _is_known(notice, last):
            return
        self._last_notice_by_origin[notice.origin] = notice
        await self._pass_on(notice)
        self._adopt(notice.records)
        if notice.revision > self.config.revision:
            await self._fetch_records(notice.origin)
        offset_s = await self._clock_offset_s(notice)
        if offset_s is not None and notice.revision <= self.config.revision:
            self._set_confirmed(notice.read_at + offset_s)

    async def _clock_offset_s(self, notice: HeadNotice) -> float | None:
        """Return a lower bound of own clock minus the origin's clock.

        A notice may have waited in a buffer while this process was paused, so its time of
        arrival says nothing; the origin's clock read within a round trip bounds its age.
        """
        started = self._clock()
        known = self._clock_by_origin.get(notice.origin)
        oldest = started - self.timing.clock_offset_max_age_s
        if known and known.clock_id == notice.clock_id and known.measured_at > oldest:
            return known.offset_s
        reply = await self.ask_head(notice.origin)
        if reply is None or reply.clock_id != notice.clock_id:
            return None
        offset_s = started - reply.clock
        self._clock_by_origin[notice.origin] = _Clock(notice.clock_id, offset_s, started)
        return offset_s

    async def _answer_head(self, sender: str, query: HeadQuery) -> HeadReply:
        now = self._membership.detect_pause()
        age_s = None if self._confirmed_at is None else now - self._confirmed_at
        clock_id = incarnation_digest_of(self._membership.own)
        return HeadReply(self.config.revision, age_s, clock_id, now)

    async def _answer_records(self, sender: str, query: RecordsQuery) -> RecordsReply:
        records = self.records_after(query.after)
        if records and records[0].revision == query.after + 1:
            return RecordsReply(tuple(records))
        return RecordsReply((), self.config if self.config.revision > query.after else None)

    def _adopt(self, records: Iterable[ChangeRecord]) -> None:
        new = [record for record in records if record.revision > self.config.revision]
        config = adopt(self.config, new)
        self._records.extend(record for record in new if record.revision <= config.revision)
        self._replace(config)

    def _adopt_config(self, config: FleetConfig) -> None:
        if config.revision > self.config.revision:
            self._records.clear()
        self._replace(newest(self.config, config))

    def _replace(self, config: FleetConfig) -> None:
        if config.revision == self.config.revision:
            return
        log.info("event=configuration_adopted revision=%d", config.revision)
        self.config = config
        self._membership.set_revision(config.revision)
        for callback in self._on_change:
            callback(config)

    def _rank(self) -> int:
        return self._membership.relay_order.index(self._membership.own.instance_id)

    def _set_confirmed(self, confirmed_at: float) -> None:
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at


def _is_known(notice: HeadNotice, last: HeadNotice) -> bool:
    return notice.read_at <= last.read_at and notice.revision <= last.revision
