"""The exchange of members between zones, carried by delegates of each zone."""

import asyncio
from collections.abc import Callable, Iterable
from time import time

from comfreyhatch.daemon.members.peer_messages import ZoneHeartbeat, ZonesQuery, ZonesReply
from comfreyhatch.decisions.membership import (
    Roster,
    ZoneReport,
    counterpart_delegate,
    delegates,
    members_digest,
    other_zones_digest,
)
from comfreyhatch.errors import PeerError
from comfreyhatch.ports.peers import Member, PeerBus, View

ASK_TIMEOUT_S = 1.0
MS_PER_S = 1000


class ZoneSync:
    """Tells other zones of this one and fetches their reports."""

    def __init__(
        self,
        bus: PeerBus,
        roster: Roster,
        detect_pause: Callable[[], float],
        changed: Callable[[], None],
    ) -> None:
        """Create the exchange of a daemon.

        Args:
            bus: Peer bus; handlers are registered on it.
            roster: Roster to keep the reports in.
            detect_pause: Notices a pause and returns the present monotonic time.
            changed: Called when a report changed the view.
        """
        self._bus = bus
        self._roster = roster
        self._notice_pause = detect_pause
        self._changed = changed
        self._fetching: dict[str, asyncio.Task[None]] = {}
        bus.on_message(ZoneHeartbeat, self._take_beat)
        bus.on_message(ZonesQuery, self._answer)

    async def send_beats(self, view: View, listed: Iterable[Member]) -> None:
        """Tell one delegate of each other zone of the own zone, if this daemon is a delegate."""
        rank = delegate_rank(self._roster)
        if rank is None:
            return
        own = self._roster.own
        digest = members_digest(self._roster.own_report(0).members)
        members = list(view.member_by_id.values())
        known = {member.zone for member in members}
        members += [member for member in listed if member.zone not in known]
        address_by_id = {member.instance_id: member.control for member in members}
        for zone in sorted({member.zone for member in members} - {own.zone}):
            foreign = delegates(members, zone)
            if foreign:
                target = counterpart_delegate(rank, foreign)
                self._bus.learn(target, address_by_id[target])
                await self._bus.send(target, ZoneHeartbeat(own.zone, digest, own.control))

    def take_members(self, zone: str, members: tuple[Member, ...], now: float) -> None:
        """Take in the members of another zone that a greeting told."""
        self._roster.record_zone_contact(zone, now)
        if self._roster.merge_report(ZoneReport(zone, _stamp(), members), now):
            self._changed()

    def compare(self, delegate: str, digest: int, now: float) -> None:
        """Compare the own reports of other zones with those of a delegate of the own zone."""
        reports = self._roster.report_by_zone
        if digest != other_zones_digest(reports.values()):
            self._fetch(delegate, own=False)
            return
        for zone, report in reports.items():
            self._roster.refresh_zone(zone, members_digest(report.members), now)

    async def _take_beat(self, sender: str, beat: ZoneHeartbeat) -> None:
        now = self._notice_pause()
        self._bus.learn(sender, beat.control)
        self._roster.record_zone_contact(beat.zone, now)
        if not self._roster.refresh_zone(beat.zone, beat.digest, now):
            self._fetch(sender, own=True)

    async def _answer(self, sender: str, query: ZonesQuery) -> ZonesReply:
        now = self._notice_pause()
        if query.own:
            return ZonesReply((self._roster.own_report(_stamp()),))
        have = query.digest_by_zone
        reports = self._roster.recent_direct_reports(now)
        same = tuple(r.zone for r in reports if have.get(r.zone) == members_digest(r.members))
        return ZonesReply(tuple(r for r in reports if r.zone not in same), same)

    def _fetch(self, peer: str, own: bool) -> None:
        if peer not in self._fetching:
            task = asyncio.get_running_loop().create_task(self._fetch_reports(peer, own))
            self._fetching[peer] = task
            task.add_done_callback(lambda _: self._fetching.pop(peer))

    async def _fetch_reports(self, peer: str, own: bool) -> None:
        digests = {z: members_digest(r.members) for z, r in self._roster.report_by_zone.items()}
        query = ZonesQuery(own, {} if own else digests)
        try:
            reply = await self._bus.request(peer, query, ZonesReply, ASK_TIMEOUT_S)
        except PeerError:
            return
        now = self._notice_pause()
        for zone in reply.same:
            self._roster.refresh_zone(zone, digests.get(zone, 0), now)
        changes = [self._roster.merge_report(report, now) for report in reply.reports]
        if any(changes):
            self._changed()


def delegate_rank(roster: Roster) -> int | None:
    """Return the place of this daemon among its zone's delegates, or None."""
    names = delegates(roster.zone_members(), roster.own.zone)
    own_id = roster.own.instance_id
    return names.index(own_id) if own_id in names else None


def _stamp() -> int:
    return int(time() * MS_PER_S)
