"""Membership: live daemons of the local zone by heartbeat, those of other zones by report.

A zone's delegates exchange reports with the delegates of other zones. Digests of the member lists
show which reports have to be fetched.
"""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh32_intdigest, xxh64_intdigest

from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.ports.peers import Member, MembershipView

# Fewest heartbeats sent to a peer within the peer timeout.
MIN_HEARTBEATS_PER_TIMEOUT = 2.4
DELEGATES_PER_ZONE = 2
DELEGATE_KEY = "delegate"


class MembershipTiming(Struct, frozen=True):
    """Intervals and timeouts of the membership protocol.

    Attributes:
        timeout_s: Silence after which a peer of the zone is removed from the view.
        min_interval_s: Shortest interval between heartbeats to one peer.
        heartbeats_per_s: Rate of heartbeats to all peers together; exceeded in a zone so large
            that a peer would get too few heartbeats within the timeout.
        zone_interval_s: Interval of the messages between delegates of two zones.
        zone_timeout_s: Silence after which a zone is removed from the view.
        pause_s: Standstill of the event loop that counts as a pause of the process.
        tick_s: Interval of the loop that checks these times.
    """

    timeout_s: float = 6.0
    min_interval_s: float = 0.5
    heartbeats_per_s: float = 12.0
    zone_interval_s: float = 3.0
    zone_timeout_s: float = 10.0
    pause_s: float = 2.0
    tick_s: float = 0.25


class ZoneReport(Struct, frozen=True, array_like=True):
    """The members of a zone, as reported by one of its delegates.

    Attributes:
        zone: The zone.
        stamp: Orders reports of a zone; a report with a lower stamp is ignored.
        members: Live members; empty after the zone timed out.
    """

    zone: str
    stamp: int
    members: tuple[Member, ...]


class PeerState(Struct):
    """A live peer of the zone.

    Attributes:
        member: Its latest member record.
        last_seen_at: Monotonic time of its last message, in seconds.
        view_digest: Digest of the zone's members in its last heartbeat; 0 before the first.
    """

    member: Member
    last_seen_at: float
    view_digest: int = 0


class Roster:
    """Live daemons of the local zone and the reported daemons of other zones.

    In all methods `now` is monotonic time in seconds.
    """

    def __init__(self, own: Member, timing: MembershipTiming) -> None:
        self.own = own
        self._timing = timing
        self.peer_by_id: dict[str, PeerState] = {}
        self.report_by_zone: dict[str, ZoneReport] = {}
        self._refreshed_at_by_zone: dict[str, float] = {}
        self._contacted_at_by_zone: dict[str, float] = {}

    def add(self, member: Member, now: float) -> bool:
        """Add or refresh a member of the local zone; return whether the view changed."""
        if member.instance_id == self.own.instance_id or member.zone != self.own.zone:
            return False
        known = self.peer_by_id.get(member.instance_id)
        if known and known.member == member:
            known.last_seen_at = now
            return False
        self.peer_by_id[member.instance_id] = PeerState(member, now)
        return True

    def handle_heartbeat(
        self, instance_id: str, incarnation_digest: int, revision: int, view_digest: int, now: float
    ) -> bool:
        """Process a heartbeat.

        Args:
            instance_id: Its sender.
            incarnation_digest: Digest of the sender's incarnation and leaving flag.
            revision: Revision of the configuration in force at the sender.
            view_digest: Digest of the zone's members as the sender sees them.
            now: Monotonic time in seconds.

        Returns:
            False if the sender is unknown or has changed, so that its member record is needed.
        """
        peer = self.peer_by_id.get(instance_id)
        if peer is None or incarnation_digest != incarnation_digest_of(peer.member):
            return False
        peer.last_seen_at = now
        peer.view_digest = view_digest
        if peer.member.revision != revision:
            peer.member = replace(peer.member, revision=revision)
        return True

    def remove(self, instance_id: str) -> bool:
        """Remove a peer that has left; return whether it was in the roster."""
        return self.peer_by_id.pop(instance_id, None) is not None

    def expire(self, now: float) -> list[str]:
        """Remove peers and zones that timed out; return their names."""
        oldest = now - self._timing.timeout_s
        peers = [i for i, peer in self.peer_by_id.items() if peer.last_seen_at < oldest]
        for instance_id in peers:
            del self.peer_by_id[instance_id]
        oldest_zone = now - self._timing.zone_timeout_s
        zones = [
            zone
            for zone, refreshed_at in self._refreshed_at_by_zone.items()
            if refreshed_at < oldest_zone and self.report_by_zone[zone].members
        ]
        for zone in zones:
            self.report_by_zone[zone] = ZoneReport(zone, 0, ())
        return peers + zones

    def resume(self, own: Member, now: float) -> None:
        """Continue as a new incarnation after a pause of this process.

        All timeouts restart, since no messages could be received during the pause.
        """
        self.own = own
        for peer in self.peer_by_id.values():
            peer.last_seen_at = now
            peer.view_digest = 0
        for zone in self._refreshed_at_by_zone:
            self._refreshed_at_by_zone[zone] = now

    def record_zone_contact(self, zone: str, now: float) -> None:
        """Record that a message came directly from a daemon of another zone."""
        self._contacted_at_by_zone[zone] = now

    def recent_direct_reports(self, now: float) -> list[ZoneReport]:
        """Return the reports of zones that sent a message directly within half the zone timeout.

        Zones known only from another delegate do not count: two delegates of one zone would
        confirm a lost zone to each other for ever.
        """
        oldest = now - self._timing.zone_timeout_s / 2
        contacted = self._contacted_at_by_zone
        return [
            report
            for zone, report in self.report_by_zone.items()
            if contacted.get(zone, oldest - 1) >= oldest
        ]

    def merge_report(self, report: ZoneReport, now: float) -> bool:
        """Store a report of another zone unless it is outdated; return whether the view changed."""
        known = self.report_by_zone.get(report.zone)
        if report.zone == self.own.zone or (known and report.stamp < known.stamp):
            return False
        self.report_by_zone[report.zone] = report
        self._refreshed_at_by_zone[report.zone] = now
        return known is None or known.members != report.members

    def refresh_zone(self, zone: str, digest: int, now: float) -> bool:
        """Refresh a zone if the digest is that of its known members.

        Returns:
            Whether it is; if not, the zone's report has to be fetched.
        """
        report = self.report_by_zone.get(zone)
        if report is None or members_digest(report.members) != digest:
            return False
        self._refreshed_at_by_zone[zone] = now
        return True

    def zone_members(self) -> list[Member]:
        """Return the live members of the local zone and this daemon, sorted by instance id."""
        members = [peer.member for peer in self.peer_by_id.values()]
        return sorted([*members, self.own], key=lambda member: member.instance_id)

    def view(self, listed: Iterable[Member]) -> MembershipView:
        """Return the live daemons of all zones.

        Args:
            listed: Daemons of the instance list; used for zones without any report so far.
        """
        members = {m.instance_id: m for m in self.zone_members()}
        for report in self.report_by_zone.values():
            members.update((member.instance_id, member) for member in report.members)
        for member in listed:
            if member.zone != self.own.zone and member.zone not in self.report_by_zone:
                members.setdefault(member.instance_id, member)
        return MembershipView(members)

    def view_digest(self) -> int:
        """Return the digest of the live members of the local zone."""
        return members_digest(self.zone_members())

    def acknowledged(self, view_digest: int) -> frozenset[str]:
        """Return the peers of the zone whose last heartbeat carried this view digest."""
        return frozenset(
            i for i, peer in self.peer_by_id.items() if peer.view_digest == view_digest
        )

    def own_report(self, stamp: int) -> ZoneReport:
        """Return a report of the local zone's live members."""
        return ZoneReport(self.own.zone, stamp, tuple(map(_without_revision, self.zone_members())))


def heartbeat_interval_s(peers: int, timing: MembershipTiming) -> float:
    """Return the interval of heartbeats to one peer, in seconds.

    It grows with the number of peers, so that the rate of heartbeats is constant, up to the
    longest interval that the peer timeout allows.
    """
    preferred_s = max(timing.min_interval_s, peers / timing.heartbeats_per_s)
    return min(preferred_s, timing.timeout_s / MIN_HEARTBEATS_PER_TIMEOUT)


def delegates(members: Iterable[Member], zone: str) -> list[str]:
    """Return the delegates of a zone, which exchange reports with other zones, by rank."""
    names = [m.instance_id for m in members if m.zone == zone and not m.leaving]
    return rendezvous_order(f"{DELEGATE_KEY}/{zone}", names)[:DELEGATES_PER_ZONE]


def counterpart_delegate(own_rank: int, foreign: list[str]) -> str:
    """Return the delegate of another zone that the delegate of this rank exchanges reports with."""
    return foreign[own_rank % len(foreign)]


def incarnation_digest_of(member: Member) -> int:
    """Return a short digest of a member's incarnation and leaving flag."""
    return xxh32_intdigest(f"{member.incarnation}\0{member.leaving}".encode())


def members_digest(members: Iterable[Member]) -> int:
    """Return a digest of the ids, incarnations and leaving flags of members."""
    lines = sorted(f"{m.instance_id}\0{m.incarnation}\0{m.leaving}" for m in members)
    return xxh64_intdigest("\n".join(lines).encode())


def other_zones_digest(reports: Iterable[ZoneReport]) -> int:
    """Return one digest of the reports of other zones, leaving out zones that timed out."""
    digests = (f"{r.zone}:{members_digest(r.members)}" for r in reports if r.members)
    return xxh64_intdigest("\n".join(sorted(digests)).encode())


def is_paused(previous_tick: float, now: float, timing: MembershipTiming) -> bool:
    """Return whether the event loop stood still so long that the process counts as paused.

    Peers may have removed this daemon from their views meanwhile.

    Args:
        previous_tick: Monotonic time of the last tick of the loop, in seconds.
        now: Monotonic time in seconds.
        timing: Times of the membership protocol.
    """
    return now - previous_tick > timing.pause_s


def _without_revision(member: Member) -> Member:
    # The revision changes often and must not make a report count as changed.
    return replace(member, revision=0)
