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

TICK_S = 0.1
ASK_INTERVAL_S = 0.25
ASK_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5

Figures = Callable[[], dict[str, int]]
Prober = Callable[[Address], Awaitable[bool]]

log = logging.getLogger("comfreyhatch.shares")


class ZoneMembers(Struct, frozen=True):
    """What is known of the zone's daemons.

    Attributes:
        members: Daemons of the zone in the view or in the instance list, this one excluded.
        seen: Those that are heard of by heartbeat now.
        listed: Daemons in the instance list, leaving ones included; None before it was read.
    """

    members: list[Member]
    seen: frozenset[str]
    listed: frozenset[str] | None


class ShareTask:
    """Owns the share group of this daemon."""

    def __init__(
        self,
        me: Peer,
        bus: PeerBus,
        roll: Callable[[], ZoneMembers],
        limits: Figures,
        running: Figures,
        refuses: Prober | None = None,
        orphan_hold_s: float = ORPHAN_HOLD_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the task.

        Args:
            me: This start of this daemon.
            bus: Peer bus; handlers are registered on it.
            roll: What is known of the zone's daemons.
            limits: Limits of the zone's endpoints as known here.
            running: Requests of this daemon running, by endpoint.
            refuses: Tells whether connections to an address are refused.
            orphan_hold_s: How long an ended daemon's requests may go on.
            clock: Monotonic seconds.
        """
        self.group = ShareGroup(me, clock(), orphan_hold_s)
        self._bus = bus
        self._roll = roll
        self._limits = limits
        self._running = running
        self._refuses = refuses or refuses_connections
        self._clock = clock
        self._restarts = 0
        self._listed_once: set[str] = set()
        self._control_by_id: dict[str, Address] = {}
        self._due_by_peer: dict[Peer, float] = {}
        self._probe_due = 0.0
        bus.on_message(JoinRequest, self._take_join)
        bus.on_message(LeaveNotice, self._take_leave)
        bus.on_message(EndNotice, self._take_end)
        bus.on_message(ExcessNotice, self._take_excess)

    async def run(self) -> None:
        """Keep the shares until cancelled."""
        while True:
            await self._tick_safely()
            await asyncio.sleep(TICK_S)

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
        roll = self._roll()
        self._learn(roll, now)
        self.group.expire(now)
        due = [p for p in self.group.peers_to_ask() if self._due_by_peer.get(p, 0.0) <= now]
        for peer in due:
            self._due_by_peer[peer] = now + ASK_INTERVAL_S
        await asyncio.gather(*(self._ask(peer) for peer in due))
        if now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_S
            await self._probe_silent(roll)

    async def tell_excess(self, endpoint_ids: Iterable[str]) -> None:
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

    def _learn(self, roll: ZoneMembers, now: float) -> None:
        for member in roll.members:
            self._control_by_id[member.instance_id] = member.control
        complete = roll.listed is not None
        self.group.discover([member.instance_id for member in roll.members], complete)
        if roll.listed is None:
            return
        for peer in list(self.group.state_by_peer):
            if peer.instance_id in self._listed_once - roll.listed:
                self._end(peer, "not listed any more", now)
        self._listed_once |= roll.listed

    async def _ask(self, peer: Peer) -> None:
        request = JoinRequest(self.group.me)
        try:
            answer = await self._bus.request(peer.instance_id, request, JoinAnswer, ASK_TIMEOUT_S)
        except PeerError:
            return
        was_active = self.group.active
        self.group.handle_answer(answer, peer, self._clock())
        if self.group.active and not was_active:
            log.info("event=shares_held incarnation=%s", self.group.me.incarnation)

    async def _probe_silent(self, roll: ZoneMembers) -> None:
        """Look for proof that members which are not heard of have ended."""
        silent = [
            peer
            for peer, standing in self.group.state_by_peer.items()
            if standing.drop_at is None and peer.instance_id not in roll.seen
        ]
        await asyncio.gather(*(self._probe(peer) for peer in silent))

    async def _probe(self, peer: Peer) -> None:
        address = self._control_by_id.get(peer.instance_id)
        if address is None or not await self._refuses(address):
            return
        self._end(peer, "connection refused", self._clock())
        if not peer.incarnation:
            return
        names = {other.instance_id for other in self.group.state_by_peer}
        for name in names - {peer.instance_id}:
            await self._bus.send(name, EndNotice(peer))

    def _end(self, peer: Peer, reason: str, now: float) -> None:
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

    async def _take_join(self, sender: str, request: JoinRequest) -> JoinAnswer:
        return self.group.handle_join(request, self._limits(), self._running())

    async def _take_excess(self, sender: str, notice: ExcessNotice) -> None:
        if notice.sender.instance_id == sender:
            self.group.handle_excess(notice)

    async def _take_leave(self, sender: str, notice: LeaveNotice) -> None:
        if notice.sender.instance_id == sender:
            self.group.handle_leave(notice, self._clock())

    async def _take_end(self, sender: str, notice: EndNotice) -> None:
        self._end(notice.ended, f"told by {sender}", self._clock())


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
