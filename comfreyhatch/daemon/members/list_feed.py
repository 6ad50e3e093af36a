"""Distributes the instance list in a zone: a relay reads it, notices carry the changes.

Only the zone's first relay reads the list from the platform. It sends the changes down a tree of
the zone's daemons. A delta names the digest of the state that it applies to; a daemon that missed a
notice has another state, and fetches the whole list from the relay, page by page.
"""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic

from msgspec import Struct

from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.daemon.members.peer_messages import ListNotice, ListPage, ListQuery
from comfreyhatch.decisions.configuration import RELAYS_PER_ZONE, ConfigTiming, must_poll
from comfreyhatch.decisions.listing import ListDelta
from comfreyhatch.decisions.rendezvous import tree_children
from comfreyhatch.domain.instance import Instance
from comfreyhatch.errors import PeerError
from comfreyhatch.ports.peers import PeerBus

ROWS_PER_PAGE = 500
# A notice with more changes carries the digest alone, and the receivers fetch the list.
MAX_ROWS_PER_NOTICE = 500
PAGE_TIMEOUT_S = 1.0

log = logging.getLogger("comfreyhatch.directory")


class FeedTiming(Struct, frozen=True):
    """Intervals of the feed.

    Attributes:
        poll: Intervals at which the list is read from the platform, the silence after which a
            daemon without notices reads it, and the fan-out of the tree of notices.
        notice_interval_s: Interval of a relay's notices while nothing changes.
        announce_interval_s: Interval at which this daemon announces itself to the platform.
        tick_s: Interval of the loop that checks these times.
    """

    poll: ConfigTiming = ConfigTiming(
        poll_interval_s=1.0, relay_timeout_s=4.0, fallback_poll_interval_s=2.0
    )
    notice_interval_s: float = 2.0
    announce_interval_s: float = 30.0
    tick_s: float = 0.25


class ListFeed:
    """Keeps the instance directory current.

    The first relay of the zone reads the list from the platform; the other daemons follow its
    notices, and read the list themselves when no notice arrives for some time.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        bus: PeerBus,
        membership: Membership,
        timing: FeedTiming | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the feed of a daemon.

        Args:
            directory: Copy of the list to keep current.
            bus: Peer bus on which the message handlers are registered.
            membership: Live daemons and the zone's relay order.
            timing: Intervals.
            clock: Returns monotonic time in seconds.
        """
        self._directory = directory
        self._bus = bus
        self._membership = membership
        self._timing = timing or FeedTiming()
        self._clock = clock
        self._confirmed_at: float | None = None
        self._polled_at: float | None = None
        self._notified_at: float | None = None
        self._announced_at: float | None = None
        self._last_read_at_by_origin: dict[str, float] = {}
        bus.on_message(ListNotice, self._handle_notice)
        bus.on_message(ListQuery, self._handle_query)

    async def run(self) -> None:
        """Keep the directory current until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(self._timing.tick_s)

    async def tick(self) -> None:
        """Announce this daemon, read the list and notify the zone, each if it is due."""
        now = self._clock()
        announced_at = self._announced_at
        if announced_at is None or now - announced_at >= self._timing.announce_interval_s:
            self._announced_at = now if await self._directory.announce() else None
        rank = self._membership.relay_order.index(self._membership.own.instance_id)
        if not must_poll(rank, self._confirmed_at, self._polled_at, now, self._timing.poll):
            return
        self._polled_at = now
        delta = await self._directory.read()
        if delta is None:
            return
        self._confirmed_at = now
        if rank < RELAYS_PER_ZONE:
            await self._notify_zone(delta, now)

    async def _notify_zone(self, delta: ListDelta, now: float) -> None:
        """Send a notice through the zone if the list changed or the last notice is old."""
        has_changes = delta.base_digest != delta.new_digest
        recently_notified = (
            self._notified_at is not None
            and now - self._notified_at < self._timing.notice_interval_s
        )
        if recently_notified and not has_changes:
            return
        self._notified_at = now
        if len(delta.rows) + len(delta.removed) > MAX_ROWS_PER_NOTICE:
            delta = ListDelta(delta.new_digest, delta.new_digest)
        await self._forward(ListNotice(self._membership.own.instance_id, now, delta))

    async def _handle_notice(self, sender: str, notice: ListNotice) -> None:
        """Forward a notice and apply its changes; a notice received before is dropped."""
        now = self._membership.detect_pause()
        if self._last_read_at_by_origin.get(notice.origin) == notice.read_at:
            return
        self._last_read_at_by_origin[notice.origin] = notice.read_at
        await self._forward(notice)
        if self._directory.update(notice.delta) or await self._fetch_list(notice.origin):
            self._confirmed_at = now

    async def _fetch_list(self, peer: str) -> bool:
        """Fetch the whole list from a peer, page by page; return whether that succeeded."""
        rows: list[Instance] = []
        while True:
            query = ListQuery(rows[-1].instance_id if rows else "")
            try:
                page = await self._bus.request(peer, query, ListPage, PAGE_TIMEOUT_S)
            except PeerError as error:
                log.warning("event=list_not_fetched peer=%s reason=%r", peer, str(error))
                return False
            rows += page.rows
            if len(page.rows) < ROWS_PER_PAGE:
                break
        self._directory.set_rows(rows)
        return True

    async def _handle_query(self, sender: str, query: ListQuery) -> ListPage:
        """Return the page of the list that a peer requests."""
        rows = self._directory.row_by_id
        ids = sorted(i for i in rows if i > query.after_id)[:ROWS_PER_PAGE]
        return ListPage(tuple(rows[i] for i in ids))

    async def _forward(self, notice: ListNotice) -> None:
        """Send a notice to this daemon's children in the tree whose root is its origin."""
        order = [notice.origin, *(i for i in self._membership.relay_order if i != notice.origin)]
        own_id = self._membership.own.instance_id
        for child in tree_children(order, own_id, self._timing.poll.fan_out):
            await self._bus.send(child, notice)
