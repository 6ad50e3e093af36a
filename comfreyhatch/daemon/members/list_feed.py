"""The task that brings the instance list to all daemons of a zone through its relays."""

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

PAGE_ROWS = 500
ROWS_PER_NOTICE = 500
ASK_TIMEOUT_S = 1.0

log = logging.getLogger("comfreyhatch.directory")


class FeedTiming(Struct, frozen=True):
    """Times of the feed.

    Attributes:
        poll: Which daemon reads the list when; the first relay always does.
        notice_s: Interval of a relay's notices without news.
        announce_s: Interval of the announcements of this daemon.
        tick_s: Interval of the loop.
    """

    poll: ConfigTiming = ConfigTiming(
        poll_interval_s=1.0, relay_timeout_s=4.0, fallback_poll_interval_s=2.0
    )
    notice_s: float = 2.0
    announce_s: float = 30.0
    tick_s: float = 0.25


class ListFeed:
    """Reads the list if this daemon is its zone's first relay, else takes its notices."""

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
            directory: Keeps the list.
            bus: Peer bus; handlers are registered on it.
            membership: View of the live daemons.
            timing: Times.
            clock: Monotonic seconds.
        """
        self._directory = directory
        self._bus = bus
        self._membership = membership
        self._timing = timing or FeedTiming()
        self._clock = clock
        self._heard_at: float | None = None
        self._polled_at: float | None = None
        self._noticed_at: float | None = None
        self._announced_at: float | None = None
        self._last_read_at_by_origin: dict[str, float] = {}
        bus.on_message(ListNotice, self._take_notice)
        bus.on_message(ListQuery, self._answer_page)

    async def run(self) -> None:
        """Keep the list until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(self._timing.tick_s)

    async def tick(self) -> None:
        """Announce this daemon, read the list and tell the zone, as far as it is due."""
        now = self._clock()
        announced_at = self._announced_at
        if announced_at is None or now - announced_at >= self._timing.announce_s:
            self._announced_at = now if await self._directory.announce() else None
        rank = self._membership.relay_order.index(self._membership.own.instance_id)
        if not must_poll(rank, self._heard_at, self._polled_at, now, self._timing.poll):
            return
        self._polled_at = now
        delta = await self._directory.read()
        if delta is None:
            return
        self._heard_at = now
        if rank < RELAYS_PER_ZONE:
            await self._tell_zone(delta, now)

    async def _tell_zone(self, delta: ListDelta, now: float) -> None:
        is_news = delta.base_digest != delta.new_digest
        recent = self._noticed_at is not None and now - self._noticed_at < self._timing.notice_s
        if recent and not is_news:
            return
        self._noticed_at = now
        if len(delta.rows) + len(delta.removed) > ROWS_PER_NOTICE:
            delta = ListDelta(delta.new_digest, delta.new_digest)
        await self._pass_on(ListNotice(self._membership.own.instance_id, now, delta))

    async def _take_notice(self, sender: str, notice: ListNotice) -> None:
        now = self._membership.detect_pause()
        if self._last_read_at_by_origin.get(notice.origin) == notice.read_at:
            return
        self._last_read_at_by_origin[notice.origin] = notice.read_at
        await self._pass_on(notice)
        if self._directory.take_delta(notice.delta) or await self._fetch(notice.origin):
            self._heard_at = now

    async def _fetch(self, peer: str) -> bool:
        """Take in the whole list of a peer, page by page; return whether it is complete."""
        rows: list[Instance] = []
        while True:
            query = ListQuery(rows[-1].instance_id if rows else "")
            try:
                page = await self._bus.request(peer, query, ListPage, ASK_TIMEOUT_S)
            except PeerError as error:
                log.warning("event=list_not_fetched peer=%s reason=%r", peer, str(error))
                return False
            rows += page.rows
            if len(page.rows) < PAGE_ROWS:
                break
        self._directory.take_rows(rows)
        return True

    async def _answer_page(self, sender: str, query: ListQuery) -> ListPage:
        rows = self._directory.row_by_id
        ids = sorted(i for i in rows if i > query.after)[:PAGE_ROWS]
        return ListPage(tuple(rows[i] for i in ids))

    async def _pass_on(self, notice: ListNotice) -> None:
        order = [notice.origin, *(i for i in self._membership.relay_order if i != notice.origin)]
        own_id = self._membership.own.instance_id
        for child in tree_children(order, own_id, self._timing.poll.fan_out):
            await self._bus.send(child, notice)
