"""Which daemons are alive: roster of the zone, reports of other zones, delegates, digests."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh32_intdigest, xxh64_intdigest

from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.ports.peers import Member, View

HEARTBEATS_PER_TIMEOUT = 2.4
DELEGATES = 2
DELEGATE_KEY = "delegate"


class MembershipTiming(Struct, frozen=True):
    """Times of the membership.

    Attributes:
        timeout_s: Silence after which a peer of the zone leaves the view.
        min_interval_s: Shortest interval of the heartbeats to one peer.
        heartbeats_per_s: Heartbeats sent to all peers together, as far as the timeout allows.
        zone_interval_s: Interval of the messages between delegates of two zones.
        zone_timeout_s: Silence after which a zone leaves the view.
        pause_s: Standstill of the event loop that counts as a pause of the process.
        tick_s: Interval of the loop that notices all this.
    """

    timeout_s: float = 6.0
    min_interval_s: float = 0.5
    heartbeats_per_s: float = 12.0
    zone_interval_s: float = 3.0
    zone_timeout_s: float = 10.0
    pause_s: float = 2.0
    tick_s: float = 0.25


class ZoneReport(Struct, frozen=True, array_like=True):
    """The members of a zone as one of its delegates reports them."""

    zone: str
    stamp: int
    members: tuple[Member, ...]


class PeerState(Struct):
    """What is known of a live peer of the zone."""

    member: Member
    heard_at: float
    view_digest: int = 0


class Roster:
    """The live daemons of the own zone and the reported ones of other zones.

    It keeps state and has no clock; `now` is monotonic time in seconds.
    """

    def __init__(self, own: Member, timing: MembershipTiming) -> None:
        self.own = own
        self._timing = timing
        self.peer_by_id: dict[str, PeerState] = {}
        self.report_by_zone: dict[str, ZoneReport] = {}
        self._report_heard_at_by_zone: dict[str, float] = {}
        self._zone_heard_at_by_zone: dict[str, float] = {}

    def add(self, member: Member, now: float) -> bool:
        """Take in a member of the own zone that was heard; return whether the view changed."""
        if member.instance_id == self.own.instance_id or member.zone != self.own.zone:
            return False
        known = self.peer_by_id.get(member.instance_id)
        if known and known.member == member:
            known.heard_at = now
            return False
        self.peer_by_id[member.instance_id] = PeerState(member, now)
        return True

    def handle_heartbeat(
        self, instance_id: str, incarnation_digest: int, revision: int, view_digest: int, now: float
    ) -> bool:
        """Take in a heartbeat; return False if its sender has to be asked who it is."""
        peer = self.peer_by_id.get(instance_id)
        if peer is None or incarnation_digest != incarnation_digest_of(peer.member):
            return False
        peer.heard_at = now
        peer.view_digest = view_digest
        if peer.member.revision != revision:
            peer.member = replace(peer.member, revision=revision)
        return True

    def remove(self, instance_id: str) -> bool:
        """Remove a peer that has left; return whether it was there."""
        return self.peer_by_id.pop(instance_id, None) is not None

    def expire(self, now: float) -> list[str]:
        """Remove silent peers and zones; return their names."""
        oldest = now - self._timing.timeout_s
        peers = [i for i, peer in self.peer_by_id.items() if peer.heard_at < oldest]
        for instance_id in peers:
            del self.peer_by_id[instance_id]
        oldest_zone = now - self._timing.zone_timeout_s
        zones = [
            zone
            for zone, heard_at in self._report_heard_at_by_zone.items()
            if heard_at < oldest_zone and self.report_by_zone[zone].members
        ]
        for zone in zones:
            self.report_by_zone[zone] = ZoneReport(zone, 0, ())
        return peers + zones

    def resume(self, own: Member, now: float) -> None:
        """Go on as a new incarnation after a pause: the silence of others was the own one."""
        self.own = own
        for peer in self.peer_by_id.values():
            peer.heard_at = now
            peer.view_digest = 0
        for zone in self._report_heard_at_by_zone:
            self._report_heard_at_by_zone[zone] = now

    def record_zone_contact(self, zone: str, now: float) -> None:
        """Note that a daemon of another zone itself was heard."""
        self._zone_heard_at_by_zone[zone] = now

    def recent_direct_reports(self, now: float) -> list[ZoneReport]:
        """Return the reports of zones of which a daemon was heard itself a short while ago."""
        oldest = now - self._timing.zone_timeout_s / 2
        heard = self._zone_heard_at_by_zone
        return [
            report
            for zone, report in self.report_by_zone.items()
            if heard.get(zone, oldest - 1) >= oldest
        ]

    def merge_report(self, report: ZoneReport, now: float) -> bool:
        """Take in the report of another zone; return whether the view changed."""
        known = self.report_by_zone.get(report.zone)
        if report.zone == self.own.zone or (known and report.stamp < known.stamp):
            return False
        self.report_by_zone[report.zone] = report
        self._report_heard_at_by_zone[report.zone] = now
        return known is None or known.members != report.members

    def refresh_zone(self, zone: str, digest: int, now: float) -> bool:
        """Note that a zone was heard of; return False if its report has to be fetched."""
        report = self.report_by_zone.get(zone)
        if report is None or members_digest(report.members) != digest:
            return False
        self._report_heard_at_by_zone[zone] = now
        return True

    def zone_members(self) -> list[Member]:
        """Return the live members of the own zone, itself included, by id."""
        members = [peer.member for peer in self.peer_by_id.values()]
        return sorted([*members, self.own], key=lambda member: member.instance_id)

    def view(self, listed: Iterable[Member]) -> View:
        """Return the view.

        Args:
            listed: Daemons of the instance list; they stand for zones that never reported.
        """
        members = {m.instance_id: m for m in self.zone_members()}
        for report in self.report_by_zone.values():
            members.update((member.instance_id, member) for member in report.members)
        for member in listed:
            if member.zone != self.own.zone and member.zone not in self.report_by_zone:
                members.setdefault(member.instance_id, member)
        return View(members)

    def view_digest(self) -> int:
        """Return the digest of the own zone's members and their incarnations."""
        return members_digest(self.zone_members())

    def acknowledged(self, view_digest: int) -> frozenset[str]:
        """Return the peers of the zone whose last heartbeat carried a digest."""
        return frozenset(
            i for i, peer in self.peer_by_id.items() if peer.view_digest == view_digest
        )

    def own_report(self, stamp: int) -> ZoneReport:
        """Return the report of the own zone."""
        return ZoneReport(self.own.zone, stamp, tuple(map(_reported, self.zone_members())))


def heartbeat_interval_s(peers: int, timing: MembershipTiming) -> float:
    """Return the interval of heartbeats to one peer: constant cost up to the timeout's limit."""
    wanted = max(timing.min_interval_s, peers / timing.heartbeats_per_s)
    return min(wanted, timing.timeout_s / HEARTBEATS_PER_TIMEOUT)


def delegates(members: Iterable[Member], zone: str) -> list[str]:
    """Return the daemons that speak for a zone to other zones."""
    names = [m.instance_id for m in members if m.zone == zone and not m.leaving]
    return rendezvous_order(f"{DELEGATE_KEY}/{zone}", names)[:DELEGATES]


def counterpart_delegate(own_rank: int, foreign: list[str]) -> str:
    """Return the delegate of another zone that the own delegate of a rank speaks to."""
    return foreign[own_rank % len(foreign)]


def incarnation_digest_of(member: Member) -> int:
    """Return a short digest of a member's incarnation and leaving flag."""
    return xxh32_intdigest(f"{member.incarnation}\0{member.leaving}".encode())


def members_digest(members: Iterable[Member]) -> int:
    """Return a digest of members: their ids, incarnations and leaving flags."""
    lines = sorted(f"{m.instance_id}\0{m.incarnation}\0{m.leaving}" for m in members)
    return xxh64_intdigest("\n".join(lines).encode())


def other_zones_digest(reports: Iterable[ZoneReport]) -> int:
    """Return one digest of the reports of other zones; silent zones do not count."""
    digests = (f"{r.zone}:{members_digest(r.members)}" for r in reports if r.members)
    return xxh64_intdigest("\n".join(sorted(digests)).encode())


def is_paused(previous_tick: float, now: float, timing: MembershipTiming) -> bool:
    """Return whether the event loop stood still so long that peers may have gone on without."""
    return now - previous_tick > timing.pause_s


def _reported(member: Member) -> Member:
    # The revision changes often; a report must not change with it.
    return replace(member, revision=0)
