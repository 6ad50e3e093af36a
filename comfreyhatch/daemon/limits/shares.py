"""The task that keeps this daemon's shares of endpoint limits: joins, answers, probes."""

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
    """What is known of the zone's daemons.

    Attributes:
        members: Daemons of the zone in the view or in the instance list, this one excluded.
        seen: Those that are heard of by heartbeat now.
        listed: Daemons in the instance list, leaving ones included; None before it was read.
    """

    known: list[Member]
    live_ids: frozenset[str]
    listed_ids: frozenset[str] | None


class ShareTask:
    """Owns the share group of this daemon."""

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
        """Create the task.

        Args:
            local_peer: This start of this daemon.
            bus: Peer bus; handlers are registered on it.
            members: What is known of the zone's daemons.
            limits: Limits of the zone's endpoints as known here.
            running: Requests of this daemon running, by endpoint.
            refuses: Tells whether connections to an address are refused.
            orphan_hold_s: How long an ended daemon's requests may go on.
            clock: Monotonic seconds.
        """
        self.group = ShareGroup(local_peer, clock(), orphan_hold_s)
        self._bus = bus
        self._members = members
        self._limits = limits
        self._running = running
        self._is_refused = probe or refuses_connections
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
        """Keep the shares until cancelled."""
        while True:
            await self._tick_safely()
            await asyncio.sleep(SHARES_TICK_INTERVAL_S)

    async def _tick_safely(self) -> None:
        try:
            await self.tick()
        except Exception:
            log.exception("event=shares_tick_failed")

    async def tick(self) -> None:
        """Do what is due now."""
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
        """Tell the holders of slots what runs here above the share since limits fell."""
        limits = self._limits()
        notice = self.group.excess_notice(limits, self._running())
        names = {
            peer.instance_id
            for endpoint_id in endpoint_ids
            if endpoint_id in notice.excess_by_endpoint
            for peer in self.group.holders(endpoint_id, limits.get(endpoint_id, 0))
            if peer != self.group.me
        }
        await asyncio.gather(*(self._bus.send(name, notice) for name in names))

    async def leave(self) -> None:
        """Give this daemon's shares up; call it when nothing runs."""
        notice = self.group.leave()
        names = {peer.instance_id for peer in self.group.state_by_peer}
        await asyncio.gather(*(self._bus.send(name, notice) for name in names))

    def _update_members(self, members: ZoneMembers, now: float) -> None:
        for member in members.known:
            self._control_address_by_id[member.instance_id] = member.control
        complete = members.listed_ids is not None
        self.group.discover([member.instance_id for member in members.known], complete)
        if members.listed_ids is None:
            return
        for peer in list(self.group.state_by_peer):
            if peer.instance_id in self._ever_listed_ids - members.listed_ids:
                self._record_end(peer, "not listed any more", now)
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
        """Look for proof that members which are not heard of have ended."""
        silent = [
            peer
            for peer, standing in self.group.state_by_peer.items()
            if standing.drop_at is None and peer.instance_id not in members.live_ids
        ]
        await asyncio.gather(*(self._probe(peer) for peer in silent))

    async def _probe(self, peer: Peer) -> None:
        address = self._control_address_by_id.get(peer.instance_id)
        if address is None or not await self._is_refused(address):
            return
        self._record_end(peer, "connection refused", self._clock())
        if not peer.incarnation:
            return
        names = {other.instance_id for other in self.group.state_by_peer}
        for name in names - {peer.instance_id}:
            await self._bus.send(name, EndNotice(peer))

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
        """Join again as a new incarnation after peers held this one for ended."""
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
        self._record_end(notice.ended, f"told by {sender}", self._clock())


async def refuses_connections(address: Address) -> bool:
    """Return whether no process listens at an address whose host can be reached."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
