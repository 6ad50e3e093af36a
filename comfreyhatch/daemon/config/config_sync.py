"""Keeps this daemon's configuration current from the change log and from peers."""

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

# Change records kept in memory, to answer peers that are behind.
MAX_CACHED_RECORDS = 256
MAX_RECORDS_PER_NOTICE = 16
# Peers that are asked for their head, relays of this zone included.
MAX_QUERIED_PEERS = 6
# A second attempt is needed if the process was paused during the first: that one counts neither
# as a confirmation nor as a failure.
MAX_CONFIRM_ATTEMPTS = 2
# Retry-After of requests refused because the configuration is not confirmed.
RETRY_AFTER_S = 1.0

log = logging.getLogger("comfreyhatch.configuration")


class _ClockOffset(Struct, frozen=True):
    """Lower bound of own clock minus a peer's clock, and when it was determined.

    Attributes:
        clock_id: Digest of the incarnation of the peer whose clock was read.
        offset_s: Lower bound of the difference, in seconds.
        measured_at: Own monotonic time of the measurement.
    """

    clock_id: int
    offset_s: float
    measured_at: float


class ConfigSync:
    """Keeps the configuration in force current.

    The first daemon in a zone's relay order polls the head of the platform's change log and sends
    notices through the zone along a tree. If notices fail to arrive, the second one polls and
    notifies instead, and a little later the other daemons poll for themselves. A daemon that
    can't read the platform asks peers.

    Attributes:
        config: The configuration in force at this daemon; its revision never decreases.
        timing: Intervals, timeouts and the lease of a confirmation.
    """

    def __init__(
        self,
        change_log: ChangeLog,
        bus: PeerBus,
        membership: Membership,
        timing: ConfigTiming | None = None,
        clock: Callable[[], float] = monotonic,
        rng: Random | None = None,
    ) -> None:
        """Create the configuration sync of a daemon.

        Args:
            change_log: Change log of the platform.
            bus: Peer bus; handlers are registered on it.
            membership: Provides the view of the live daemons and the relay order.
            timing: Intervals and timeouts; None takes the defaults.
            clock: Monotonic seconds.
            rng: Random source for the choice of peers to ask; None takes an unseeded one.
        """
        self.config = FleetConfig()
        self.timing = timing or ConfigTiming()
        self._change_log = change_log
        self._bus = bus
        self._membership = membership
        self._clock = clock
        self._rng = rng or Random()
        self._cached_records: deque[ChangeRecord] = deque(maxlen=MAX_CACHED_RECORDS)
        self._confirmed_at: float | None = None
        self._failed_at: float | None = None
        self._polled_at: float | None = None
        self._notified_at: float | None = None
        self._notified_revision = 0
        self._snapshot_checked_revision = 0
        self._loaded = False
        self._last_notice_by_origin: dict[str, HeadNotice] = {}
        self._clock_offset_by_origin: dict[str, _ClockOffset] = {}
        self._confirmation: asyncio.Task[None] | None = None
        self._on_change: list[Callable[[FleetConfig], None]] = []
        bus.on_message(HeadNotice, self._on_notice)
        bus.on_message(HeadQuery, self._on_head_query)
        bus.on_message(RecordsQuery, self._on_records_query)

    @property
    def ready(self) -> bool:
        """Whether there is a configuration that was compared with the platform or a peer."""
        return self._loaded and self.config.revision > 0

    def on_change(self, callback: Callable[[FleetConfig], None]) -> None:
        """Register a callback that is called with each new configuration."""
        self._on_change.append(callback)

    def freshness(self, now: float) -> Freshness:
        """Return the freshness of the configuration at a monotonic time."""
        return freshness(self._confirmed_at, self._failed_at, now, self.timing)

    def require_fresh(self, now: float) -> None:
        """Refuse to dispatch while the configuration has to be confirmed first.

        Raises:
            RefusedError: If the configuration has to be confirmed; nothing was sent.
        """
        if self.freshness(now) is Freshness.MUST_CONFIRM:
            raise RefusedError(
                "the configuration must be confirmed before requests are dispatched",
                ResultCode.CUT_OFF,
                retry_after_s=RETRY_AFTER_S,
            )

    async def latest(self) -> FleetConfig:
        """Return the configuration, after an attempt to confirm it if its lease has expired."""
        if self.freshness(self._clock()) is Freshness.MUST_CONFIRM:
            await self.confirm()
        return self.config

    async def authorize_dispatch(self, intent: DispatchIntent) -> FleetConfig:
        """Return the configuration to dispatch a request on, confirmed if its lease has expired.

        The caller must dispatch without awaiting anything in between, as the configuration may
        be outdated after a wait.

        Raises:
            RefusedError: If the configuration can't be confirmed, or if the daemon is cut off
                and may not serve this request; the request has not run.
        """
        state = self.freshness(self._clock())
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            if state is not Freshness.MUST_CONFIRM:
                break
            state = await self.confirm()
        self.require_fresh(self._clock())
        if state is Freshness.CUT_OFF and not may_serve_while_cut_off(self.config, intent):
            raise RefusedError(
                "this zone is cut off and may not start this request",
                ResultCode.CUT_OFF,
                retry_after_s=RETRY_AFTER_S,
            )
        return self.config

    async def confirm(self) -> Freshness:
        """Ask platform and peers for the newest revision; concurrent callers share one attempt."""
        if self._confirmation is None or self._confirmation.done():
            self._confirmation = asyncio.get_running_loop().create_task(self._poll())
        await asyncio.shield(self._confirmation)
        return self.freshness(self._clock())

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        while True:
            try:
                await self.tick()
            except Exception:
                log.exception("event=configuration_tick_failed")
            await asyncio.sleep(self.timing.tick_s)

    async def tick(self) -> None:
        """Poll the head if a poll is due; a relay then notifies its zone."""
        now = self._clock()
        rank = self._relay_rank()
        if not must_poll(rank, self._confirmed_at, self._polled_at, now, self.timing):
            return
        await self.confirm()
        if rank < RELAYS_PER_ZONE and self.freshness(self._clock()) is Freshness.FRESH:
            await self._notify_zone()

    async def catch_up(self) -> None:
        """Adopt all changes committed to the change log.

        Raises:
            PlatformError: If the platform does not answer.
        """
        if not self._loaded:
            self._adopt_config(await self._change_log.load())
        self._adopt(await self._change_log.records_after(self.config.revision))
        self._loaded = True

    async def publish_committed(self) -> None:
        """Adopt a change that this daemon has just committed and notify the zone."""
        try:
            await self.catch_up()
        except PlatformError as error:
            log.warning("event=change_not_read_back reason=%r", str(error))
            return
        await self._notify_zone()

    def cached_records_after(self, revision: int) -> list[ChangeRecord]:
        """Return the cached changes after a revision, in order."""
        return [record for record in self._cached_records if record.revision > revision]

    async def _poll(self) -> None:
        """Read the head of the change log; ask peers if that fails or nothing was loaded yet."""
        started = self._clock()
        self._polled_at = started
        ask_peers = not self._loaded
        try:
            await self._read_head(started)
        except (PlatformError, TimeoutError) as error:
            log.warning("event=head_unavailable reason=%r; asking peers", str(error))
            ask_peers = True
        if ask_peers:
            await self._query_peers()
        now = self._clock()
        # A longer attempt includes a pause of this process and is no evidence of a failed network.
        if (
            self.freshness(now) is not Freshness.FRESH
            and now - started <= self.timing.max_attempt_s
        ):
            self._failed_at = now

    async def _read_head(self, started: float) -> None:
        known = self.config.revision
        async with asyncio.timeout(self.timing.platform_timeout_s if self._loaded else None):
            head = await self._change_log.head()
            if head > known:
                await self.catch_up()
        if head < known or head > self.config.revision:
            raise PlatformError(f"the change log ends at {head}, this daemon is at {known}")
        self._loaded = True
        self._set_confirmed(started)
        if self._relay_rank() == 0 and self.config.revision > self._snapshot_checked_revision:
            revision = self.config.revision
            await self._change_log.store_snapshot(self.config)
            self._snapshot_checked_revision = revision

    async def _query_peers(self) -> None:
        """Adopt the newest configuration and confirmation of some peers of this and other zones."""
        started = self._clock()
        peers = self._peers_to_query()
        replies = await asyncio.gather(*(self.query_head(peer) for peer in peers))
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

    def _peers_to_query(self) -> list[str]:
        own = self._membership.own
        members = list(self._membership.view.member_by_id.values())
        own_zone = [i for i in self._membership.relay_order if i != own.instance_id]
        zones = sorted({member.zone for member in members} - {own.zone})
        self._rng.shuffle(zones)
        other_zones = [i for zone in zones for i in delegates(members, zone)]
        return own_zone[:RELAYS_PER_ZONE] + other_zones[: MAX_QUERIED_PEERS - RELAYS_PER_ZONE]

    async def query_head(self, peer: str) -> HeadReply | None:
        """Return a peer's revision and the age of its confirmation; None without an answer."""
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

    async def _notify_zone(self) -> None:
        """Send a notice through the zone for a new revision, or if the last notice is old."""
        now = self._clock()
        is_new_revision = self.config.revision > self._notified_revision
        recent = (
            self._notified_at is not None
            and now - self._notified_at < self.timing.notice_interval_s
        )
        if self._confirmed_at is None or (recent and not is_new_revision):
            return
        count = min(MAX_RECORDS_PER_NOTICE, self.config.revision - self._notified_revision)
        own = self._membership.own
        notice = HeadNotice(
            own.instance_id,
            incarnation_digest_of(own),
            self._confirmed_at,
            self.config.revision,
            tuple(self._cached_records)[-count:] if is_new_revision else (),
        )
        self._notified_at = now
        self._notified_revision = self.config.revision
        await self._relay_notice(notice)

    async def _relay_notice(self, notice: HeadNotice) -> None:
        own_id = self._membership.own.instance_id
        receivers = (i for i in self._membership.relay_order if i != notice.origin)
        for child in tree_children([notice.origin, *receivers], own_id, self.timing.fan_out):
            await self._bus.send(child, notice)

    async def _on_notice(self, sender: str, notice: HeadNotice) -> None:
        self._membership.detect_pause()
        last = self._last_notice_by_origin.get(notice.origin)
        if last and last.clock_id == notice.clock_id and _is_outdated(notice, last):
            return
        self._last_notice_by_origin[notice.origin] = notice
        await self._relay_notice(notice)
        self._adopt(notice.records)
        if notice.revision > self.config.revision:
            await self._fetch_records(notice.origin)
        offset_s = await self._clock_offset_s(notice)
        if offset_s is not None and notice.revision <= self.config.revision:
            self._set_confirmed(notice.read_at + offset_s)

    async def _clock_offset_s(self, notice: HeadNotice) -> float | None:
        """Return a lower bound of own clock minus the origin's clock; None if it is unknown.

        The arrival time of a notice can't be used, because the notice may have waited in a
        buffer while this process was paused. Reading the origin's clock in a round trip that
        starts now bounds the age of the notice instead.
        """
        started = self._clock()
        known = self._clock_offset_by_origin.get(notice.origin)
        oldest = started - self.timing.clock_offset_max_age_s
        if known and known.clock_id == notice.clock_id and known.measured_at > oldest:
            return known.offset_s
        reply = await self.query_head(notice.origin)
        if reply is None or reply.clock_id != notice.clock_id:
            return None
        offset_s = started - reply.clock
        self._clock_offset_by_origin[notice.origin] = _ClockOffset(
            notice.clock_id, offset_s, started
        )
        return offset_s

    async def _on_head_query(self, sender: str, query: HeadQuery) -> HeadReply:
        now = self._membership.detect_pause()
        age_s = None if self._confirmed_at is None else now - self._confirmed_at
        clock_id = incarnation_digest_of(self._membership.own)
        return HeadReply(self.config.revision, age_s, clock_id, now)

    async def _on_records_query(self, sender: str, query: RecordsQuery) -> RecordsReply:
        records = self.cached_records_after(query.after)
        if records and records[0].revision == query.after + 1:
            return RecordsReply(tuple(records))
        return RecordsReply((), self.config if self.config.revision > query.after else None)

    def _adopt(self, records: Iterable[ChangeRecord]) -> None:
        new = [record for record in records if record.revision > self.config.revision]
        config = adopt(self.config, new)
        self._cached_records.extend(record for record in new if record.revision <= config.revision)
        self._replace(config)

    def _adopt_config(self, config: FleetConfig) -> None:
        if config.revision > self.config.revision:
            self._cached_records.clear()
        self._replace(newest(self.config, config))

    def _replace(self, config: FleetConfig) -> None:
        if config.revision == self.config.revision:
            return
        log.info("event=configuration_adopted revision=%d", config.revision)
        self.config = config
        self._membership.set_revision(config.revision)
        for callback in self._on_change:
            callback(config)

    def _relay_rank(self) -> int:
        return self._membership.relay_order.index(self._membership.own.instance_id)

    def _set_confirmed(self, confirmed_at: float) -> None:
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at


def _is_outdated(notice: HeadNotice, last: HeadNotice) -> bool:
    return notice.read_at <= last.read_at and notice.revision <= last.revision
