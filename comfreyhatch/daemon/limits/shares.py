"""Task that runs the membership protocol of the zone's share group over the peer bus.

The members divide the limit of each endpoint among themselves. A daemon dispatches only once
all others count it, and a member is dropped only when it is confirmed to have ended: it has left,
its instance is no longer listed or was replaced, or its control port refuses connections. A
member that is merely silent keeps its share.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from time import monotonic

from msgspec import Struct

from comfreyhatch.decisions.shares import (
    ORPHAN_HOLD_S,
    EndNotice,
    ExcessNotice,
    JoinAnswer,
    JoinRequest,
    LeaveNotice,
    Peer,
    ShareGroup,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PeerError
from comfreyhatch.ports.peers import Member, PeerBus

SHARES_TICK_INTERVAL_S = 0.1
JOIN_INTERVAL_S = 0.25
JOIN_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5

CountByEndpoint = Callable[[], dict[str, int]]
ConnectionProbe = Callable[[Address], Awaitable[bool]]

log = logging.getLogger("comfreyhatch.shares")


class ZoneMembers(Struct, frozen=True):
    """The zone's daemons from two sources: heartbeats and the instance list.

    Attributes:
        known: Daemons of the zone in either source, this one excluded.
        live_ids: Ids of the zone's daemons whose heartbeats arrive.
        listed_ids: Ids of all daemons in the instance list, leaving ones included; None before
            the list was read.
    """

    known: list[Member]
    live_ids: frozenset[str]
    listed_ids: frozenset[str] | None


class ShareTask:
    """Keeps this daemon in the share group of its zone.

    Attributes:
        group: The share group as this daemon knows it; replaced when it rejoins.
    """

    def __init__(
        self,
        local_peer: Peer,
        bus: PeerBus,
        members: Callable[[], ZoneMembers],
        limits: CountByEndpoint,
        running: CountByEndpoint,
        probe: ConnectionProbe | None = None,
        orphan_hold_s: float = ORPHAN_HOLD_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the task and register its handlers on the bus.

        Args:
            local_peer: This daemon and its incarnation.
            bus: Peer bus.
            members: Returns the zone's daemons.
            limits: Returns the limits of the zone's endpoints as known to this daemon.
            running: Returns the number of this daemon's running requests by endpoint.
            probe: Returns whether connections to an address are refused; None for
                `refuses_connections`.
            orphan_hold_s: Time for which an ended daemon's requests may still run at endpoints.
            clock: Returns monotonic time, in seconds.
        """
        self.group = ShareGroup(local_peer, clock(), orphan_hold_s)
        self._bus = bus
        self._members = members
        self._limits = limits
        self._running = running
        self._refuses_connections = probe or refuses_connections
        self._clock = clock
        self._restarts = 0
        self._ever_listed_ids: set[str] = set()
        self._control_address_by_id: dict[str, Address] = {}
        self._next_join_at_by_peer: dict[Peer, float] = {}
        self._next_probe_at = 0.0
        bus.on_message(JoinRequest, self._handle_join)
        bus.on_message(LeaveNotice, self._handle_leave)
        bus.on_message(EndNotice, self._handle_end)
        bus.on_message(ExcessNotice, self._handle_excess)

    async def run(self) -> None:
        """Tick at an interval until cancelled; log failed ticks and continue."""
        while True:
            await self._tick_safely()
            await asyncio.sleep(SHARES_TICK_INTERVAL_S)

    async def _tick_safely(self) -> None:
        try:
            await self.tick()
        except Exception:
            log.exception("event=shares_tick_failed")

    async def tick(self) -> None:
        """Update the members, send the join requests that are due and probe silent members."""
        now = self._clock()
        if self.group.must_restart:
            self._restart(now)
        members = self._members()
        self._update_members(members, now)
        self.group.expire(now)
        due = [
            p for p in self.group.peers_to_ask() if self._next_join_at_by_peer.get(p, 0.0) <= now
        ]
        for peer in due:
            self._next_join_at_by_peer[peer] = now + JOIN_INTERVAL_S
        await asyncio.gather(*(self._send_join(peer) for peer in due))
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            await self._probe_silent(members)

    async def send_excess_notices(self, endpoint_ids: Iterable[str]) -> None:
        """Send the holders of slots the number of requests that run here above the share.

        Args:
            endpoint_ids: Endpoints whose limit has decreased.
        """
        limits = self._limits()
        notice = self.group.excess_notice(limits, self._running())
        peer_ids = {
            peer.instance_id
            for endpoint_id in endpoint_ids
            if endpoint_id in notice.excess_by_endpoint
            for peer in self.group.holders(endpoint_id, limits.get(endpoint_id, 0))
            if peer != self.group.me
        }
        await asyncio.gather(*(self._bus.send(peer_id, notice) for peer_id in peer_ids))

    async def leave(self) -> None:
        """Leave the group for good. No request may be running."""
        notice = self.group.leave()
        peer_ids = {peer.instance_id for peer in self.group.state_by_peer}
        await asyncio.gather(*(self._bus.send(peer_id, notice) for peer_id in peer_ids))

    def _update_members(self, members: ZoneMembers, now: float) -> None:
        for member in members.known:
            self._control_address_by_id[member.instance_id] = member.control
        complete = members.listed_ids is not None
        self.group.discover([member.instance_id for member in members.known], complete)
        if members.listed_ids is None:
            return
        for peer in list(self.group.state_by_peer):
            if peer.instance_id in self._ever_listed_ids - members.listed_ids:
                self._record_end(peer, "removed from the instance list", now)
        self._ever_listed_ids |= members.listed_ids

    async def _send_join(self, peer: Peer) -> None:
        request = JoinRequest(self.group.me)
        try:
            answer = await self._bus.request(peer.instance_id, request, JoinAnswer, JOIN_TIMEOUT_S)
        except PeerError:
            return
        was_active = self.group.active
        self.group.handle_answer(answer, peer, self._clock())
        if self.group.active and not was_active:
            log.info("event=shares_held incarnation=%s", self.group.me.incarnation)

    async def _probe_silent(self, members: ZoneMembers) -> None:
        """Check by connecting whether the members without heartbeats have ended."""
        silent = [
            peer
            for peer, state in self.group.state_by_peer.items()
            if state.drop_at is None and peer.instance_id not in members.live_ids
        ]
        await asyncio.gather(*(self._probe(peer) for peer in silent))

    async def _probe(self, peer: Peer) -> None:
        address = self._control_address_by_id.get(peer.instance_id)
        if address is None or not await self._refuses_connections(address):
            return
        self._record_end(peer, "connection refused", self._clock())
        if not peer.incarnation:
            # A notice has to name the incarnation that ended; here it is not known.
            return
        peer_ids = {other.instance_id for other in self.group.state_by_peer}
        for peer_id in peer_ids - {peer.instance_id}:
            await self._bus.send(peer_id, EndNotice(peer))

    def _record_end(self, peer: Peer, reason: str, now: float) -> None:
        if peer not in self.group.ended:
            log.info(
                "event=member_ended instance=%s incarnation=%s reason=%r",
                peer.instance_id,
                peer.incarnation,
                reason,
            )
        self.group.handle_end(peer, now)

    def _restart(self, now: float) -> None:
        """Rejoin as a new incarnation, because a peer has this one recorded as ended."""
        old = self.group
        self._restarts += 1
        incarnation = f"{old.me.incarnation.split('/')[0]}/{self._restarts}"
        log.warning("event=shares_lost incarnation=%s new=%s", old.me.incarnation, incarnation)
        self.group = ShareGroup(Peer(old.me.instance_id, incarnation), now, old.orphan_hold_s)

    async def _handle_join(self, sender: str, request: JoinRequest) -> JoinAnswer:
        return self.group.handle_join(request, self._limits(), self._running())

    async def _handle_excess(self, sender: str, notice: ExcessNotice) -> None:
        if notice.sender.instance_id == sender:
            self.group.handle_excess(notice)

    async def _handle_leave(self, sender: str, notice: LeaveNotice) -> None:
        if notice.sender.instance_id == sender:
            self.group.handle_leave(notice, self._clock())

    async def _handle_end(self, sender: str, notice: EndNotice) -> None:
        self._record_end(notice.ended, f"notified by {sender}", self._clock())


async def refuses_connections(address: Address) -> bool:
    """Return whether a reachable host refuses connections to an address.

    A timeout or another network error leaves open whether the process runs, so it does not count.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
