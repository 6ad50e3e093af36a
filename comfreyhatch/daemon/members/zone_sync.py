"""Synchronises the member lists of zones through the delegates of each zone.

A delegate sends the digest of its zone's members to one delegate of each other zone, which fetches
the members if the digest differs. The heartbeats of a delegate to its own zone carry a digest of
its reports of other zones, and the zone's daemons fetch the reports if that digest differs.
"""

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
from comfreyhatch.ports.peers import Member, MembershipView, PeerBus

REPORTS_TIMEOUT_S = 1.0
MS_PER_S = 1000


class ZoneSync:
    """Sends the digest of the own zone to other zones, and fetches their member lists."""

    def __init__(
        self,
        bus: PeerBus,
        roster: Roster,
        detect_pause: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        """Create the synchronisation of a daemon.

        Args:
            bus: Peer bus on which the message handlers are registered.
            roster: Roster that keeps the reports.
            detect_pause: Checks for a pause of the process; returns monotonic time in seconds.
            on_change: Called when a report has changed the view.
        """
        self._bus = bus
        self._roster = roster
        self._detect_pause = detect_pause
        self._on_change = on_change
        self._fetch_by_peer: dict[str, asyncio.Task[None]] = {}
        bus.on_message(ZoneHeartbeat, self._handle_heartbeat)
        bus.on_message(ZonesQuery, self._handle_query)

    async def send_heartbeats(self, view: MembershipView, listed: Iterable[Member]) -> None:
        """Send a heartbeat to a delegate of each other zone, if this daemon is itself a delegate.

        Args:
            view: Live daemons.
            listed: Daemons of the instance list; used for zones without a daemon in the view.
        """
        rank = delegate_rank(self._roster)
        if rank is None:
            return
        own = self._roster.own
        digest = members_digest(self._roster.own_report(0).members)
        members = list(view.member_by_id.values())
        known_zones = {member.zone for member in members}
        members += [member for member in listed if member.zone not in known_zones]
        address_by_id = {member.instance_id: member.control for member in members}
        for zone in sorted({member.zone for member in members} - {own.zone}):
            zone_delegates = delegates(members, zone)
            if zone_delegates:
                target = counterpart_delegate(rank, zone_delegates)
                self._bus.set_address(target, address_by_id[target])
                await self._bus.send(target, ZoneHeartbeat(own.zone, digest, own.control))

    def merge_members(self, zone: str, members: tuple[Member, ...], now: float) -> None:
        """Store the members of another zone, as received from one of its daemons."""
        self._roster.record_zone_contact(zone, now)
        if self._roster.merge_report(ZoneReport(zone, _unix_ms(), members), now):
            self._on_change()

    def compare_digest(self, delegate: str, digest: int, now: float) -> None:
        """Compare the reports of other zones with those of a delegate of the own zone.

        Equal reports are refreshed; if the digest differs, the delegate's reports are fetched.

        Args:
            delegate: Instance id of the delegate.
            digest: Digest of the delegate's reports.
            now: Monotonic time in seconds.
        """
        reports = self._roster.report_by_zone
        if digest != other_zones_digest(reports.values()):
            self._fetch(delegate, own_zone_only=False)
            return
        for zone, report in reports.items():
            self._roster.refresh_zone(zone, members_digest(report.members), now)

    async def _handle_heartbeat(self, sender: str, heartbeat: ZoneHeartbeat) -> None:
        """Refresh the sender's zone; fetch its members if the digest differs."""
        now = self._detect_pause()
        self._bus.set_address(sender, heartbeat.control)
        self._roster.record_zone_contact(heartbeat.zone, now)
        if not self._roster.refresh_zone(heartbeat.zone, heartbeat.digest, now):
            self._fetch(sender, own_zone_only=True)

    async def _handle_query(self, sender: str, query: ZonesQuery) -> ZonesReply:
        """Return the reports that a delegate or a peer of the zone requests."""
        now = self._detect_pause()
        if query.own_zone_only:
            return ZonesReply((self._roster.own_report(_unix_ms()),))
        known_digests = query.digest_by_zone
        reports = self._roster.recent_direct_reports(now)
        unchanged = tuple(
            r.zone for r in reports if known_digests.get(r.zone) == members_digest(r.members)
        )
        return ZonesReply(tuple(r for r in reports if r.zone not in unchanged), unchanged)

    def _fetch(self, peer: str, own_zone_only: bool) -> None:
        """Start to fetch reports from a peer, unless a fetch from it is running."""
        if peer not in self._fetch_by_peer:
            task = asyncio.get_running_loop().create_task(self._fetch_reports(peer, own_zone_only))
            self._fetch_by_peer[peer] = task
            task.add_done_callback(lambda _: self._fetch_by_peer.pop(peer))

    async def _fetch_reports(self, peer: str, own_zone_only: bool) -> None:
        """Request reports from a peer and merge them into the roster."""
        digests = {z: members_digest(r.members) for z, r in self._roster.report_by_zone.items()}
        query = ZonesQuery(own_zone_only, {} if own_zone_only else digests)
        try:
            reply = await self._bus.request(peer, query, ZonesReply, REPORTS_TIMEOUT_S)
        except PeerError:
            return
        now = self._detect_pause()
        for zone in reply.unchanged:
            self._roster.refresh_zone(zone, digests.get(zone, 0), now)
        changes = [self._roster.merge_report(report, now) for report in reply.reports]
        if any(changes):
            self._on_change()


def delegate_rank(roster: Roster) -> int | None:
    """Return the index of this daemon among its zone's delegates; None if it is no delegate."""
    names = delegates(roster.zone_members(), roster.own.zone)
    own_id = roster.own.instance_id
    return names.index(own_id) if own_id in names else None


def _unix_ms() -> int:
    return int(time() * MS_PER_S)
