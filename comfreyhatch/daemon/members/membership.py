"""Keeps the view of live daemons by heartbeats in the zone and reports between zones."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from time import monotonic
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.daemon.members.peer_messages import Bye, Heartbeat, Hello, HelloReply
from comfreyhatch.daemon.members.zone_sync import ZoneSync, delegate_rank
from comfreyhatch.decisions.configuration import relay_order
from comfreyhatch.decisions.membership import (
    MembershipTiming,
    Roster,
    heartbeat_interval_s,
    incarnation_digest_of,
    is_paused,
    members_digest,
    other_zones_digest,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PeerError
from comfreyhatch.ports.peers import Member, MembershipView, PeerBus

# Interval at which a hello is sent to seeds and listed daemons that are not in the view.
DISCOVERY_INTERVAL_S = 2.0
# The interval is shorter in the first seconds after the start.
START_DISCOVERY_INTERVAL_S = 0.25
START_PHASE_S = 5.0
# Shortest time between two hellos to one daemon; it does not apply after a pause of the process.
MIN_HELLO_GAP_S = 1.0
HELLO_TIMEOUT_S = 1.0
MAX_ATTACHMENT_BYTES = 512

log = logging.getLogger("comfreyhatch.membership")


class Attachment(Struct, frozen=True):
    """Payload of another component that is sent with heartbeats.

    Attributes:
        provide: Returns the payload to send.
        receive: Called with a peer's instance id and the payload received.
    """

    provide: Callable[[], bytes]
    receive: Callable[[str, bytes], None]


class Membership:
    """Keeps the view of live daemons, and sends and receives the messages that it is based on.

    Attributes:
        timing: Intervals and timeouts.
        view: Live daemons.
        relay_order: Ids of the zone's daemons in order of rank; the first ones are the relays that
            read from the platform and notify the zone.
    """

    def __init__(
        self,
        bus: PeerBus,
        own: Member,
        seeds: tuple[Address, ...] = (),
        listed: Callable[[], Iterable[Member]] = tuple,
        timing: MembershipTiming | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the membership of a daemon.

        Args:
            bus: Peer bus on which the message handlers are registered.
            own: This daemon.
            seeds: Control addresses of daemons to contact before the instance list is known.
            listed: Returns the daemons of the instance list.
            timing: Intervals and timeouts.
            clock: Returns monotonic time in seconds.
        """
        self.timing = timing or MembershipTiming()
        self.view = MembershipView()
        self.relay_order: list[str] = []
        self._bus = bus
        self._clock = clock
        self._listed_members = listed
        # The instance id of a seed is unknown; the bus accepts "@" and the address instead.
        self._seeds = {f"@{seed}": seed for seed in seeds}
        self._roster = Roster(own, self.timing)
        self._process_incarnation = own.incarnation
        self._pause_count = 0
        self._started_at = self._ticked_at = clock()
        self._discovery_due = 0.0
        self._zone_heartbeat_due = 0.0
        self._heartbeat_due_by_id: dict[str, float] = {}
        self._hello_at_by_id: dict[str, float] = {}
        self._attachment_by_name: dict[str, Attachment] = {}
        self._change_callbacks: list[Callable[[MembershipView], None]] = []
        self._pause_callbacks: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._zones = ZoneSync(bus, self._roster, self.detect_pause, self._handle_zone_change)
        bus.on_message(Hello, self._handle_hello)
        bus.on_message(Heartbeat, self._handle_heartbeat)
        bus.on_message(Bye, self._handle_bye)
        self._refresh_view()

    @property
    def own(self) -> Member:
        """Member record of this daemon, as its peers see it."""
        return self._roster.own

    @property
    def view_digest(self) -> int:
        """Digest of the zone's members, comparable between daemons."""
        return self._roster.view_digest()

    def acknowledged(self, view_digest: int) -> frozenset[str]:
        """Return the live peers of the zone whose last heartbeat carried a view digest."""
        return self._roster.acknowledged(view_digest)

    def on_change(self, callback: Callable[[MembershipView], None]) -> None:
        """Register a callback for each new view."""
        self._change_callbacks.append(callback)

    def on_pause(self, callback: Callable[[], None]) -> None:
        """Register a callback for a pause of the process; it runs before the view is refreshed."""
        self._pause_callbacks.append(callback)

    def attach(
        self, name: str, provide: Callable[[], bytes], receive: Callable[[str, bytes], None]
    ) -> None:
        """Send a payload with each heartbeat; one that is empty or too large is left out.

        Args:
            name: Short name, the same at all daemons.
            provide: Returns the payload to send.
            receive: Called with a peer's instance id and the payload received.
        """
        self._attachment_by_name[name] = Attachment(provide, receive)

    def set_addresses(self, control: Address, http: Address) -> None:
        """Set the addresses of this daemon; call it before the first tick.

        Args:
            control: Address for peer messages.
            http: Address for forwarded requests.
        """
        self._roster.own = replace(self.own, control=control, http=http)

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision that heartbeats carry."""
        self._roster.own = replace(self.own, revision=revision)

    async def run(self) -> None:
        """Keep the view current until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(self.timing.tick_s)

    async def tick(self) -> None:
        """Remove silent members, send a hello to unknown ones and send heartbeats, each if due."""
        now = self.detect_pause()
        expired = self._roster.expire(now)
        if expired:
            log.info("event=members_silent names=%s", ",".join(expired))
            self._refresh_view()
        if now >= self._discovery_due:
            starting = now - self._started_at < START_PHASE_S
            self._discovery_due = now + (
                START_DISCOVERY_INTERVAL_S if starting else DISCOVERY_INTERVAL_S
            )
            self._discover_members(now)
            self._refresh_view()
        await self._send_heartbeats(now)
        if now >= self._zone_heartbeat_due:
            self._zone_heartbeat_due = now + self.timing.zone_interval_s
            await self._zones.send_heartbeats(self.view, self._listed_members())

    def detect_pause(self) -> float:
        """Check for a pause of the process; call it before acting on a message.

        After a pause peers may have removed this daemon, so it continues as a new incarnation.

        Returns:
            The present monotonic time in seconds.
        """
        now = self._clock()
        if is_paused(self._ticked_at, now, self.timing):
            self._pause_count += 1
            incarnation = f"{self._process_incarnation}.{self._pause_count}"
            log.warning(
                "event=pause_noticed seconds=%.1f incarnation=%s",
                now - self._ticked_at,
                incarnation,
            )
            self._roster.resume(replace(self.own, incarnation=incarnation), now)
            for callback in self._pause_callbacks:
                callback()
            self._refresh_view()
            self._hello_all()
        self._ticked_at = now
        return now

    async def leave(self) -> None:
        """Tell the peers that this daemon is leaving; it remains in the view as leaving."""
        self._roster.own = replace(self.own, leaving=True)
        self._refresh_view()
        for peer in list(self._roster.peer_by_id):
            await self._bus.send(peer, Hello(self.own))
        await self._zones.send_heartbeats(self.view, self._listed_members())

    async def depart(self) -> None:
        """Tell the peers that this daemon has shut down; they remove it from the view."""
        for peer in list(self._roster.peer_by_id):
            await self._bus.send(peer, Bye())

    def _refresh_view(self) -> None:
        """Rebuild the view; if it has changed, call the callbacks."""
        view = self._roster.view(self._listed_members())
        if view == self.view:
            return
        old, self.view = self.view, view
        self.relay_order = relay_order(view.member_by_id.values(), self.own.zone)
        for member in view.member_by_id.values():
            if member.instance_id != self.own.instance_id:
                self._bus.set_address(member.instance_id, member.control)
        zone = self.own.zone
        if members_digest(old.in_zone(zone)) != members_digest(view.in_zone(zone)):
            self._zone_heartbeat_due = 0.0
        for callback in self._change_callbacks:
            callback(view)

    def _discover_members(self, now: float) -> None:
        """Send a hello to listed daemons of the zone and to seeds that are not in the view."""
        for member in self._listed_members():
            if self._is_unknown_peer(member):
                self._bus.set_address(member.instance_id, member.control)
                self._start_hello(member.instance_id, now)
        known_addresses = {member.control for member in self.view.member_by_id.values()}
        for name, seed in self._seeds.items():
            if seed not in known_addresses and seed != self.own.control:
                self._bus.set_address(name, seed)
                self._start_hello(name, now)

    def _hello_all(self) -> None:
        """Start to send a hello to each peer of the zone."""
        for instance_id in self._roster.peer_by_id:
            self._start_task(self._exchange_hello(instance_id))

    async def _exchange_hello(self, name: str) -> None:
        """Send a hello to a daemon and store the members of the reply."""
        try:
            reply = await self._bus.request(name, Hello(self.own), HelloReply, HELLO_TIMEOUT_S)
        except PeerError:
            return
        now = self.detect_pause()
        if reply.member.zone != self.own.zone:
            self._zones.merge_members(reply.member.zone, reply.members, now)
            return
        self._bus.set_address(reply.member.instance_id, reply.member.control)
        changed = self._roster.add(reply.member, now)
        for member in filter(self._is_unknown_peer, reply.members):
            self._bus.set_address(member.instance_id, member.control)
            self._start_hello(member.instance_id, now)
        if changed:
            self._refresh_view()

    async def _handle_hello(self, sender: str, hello: Hello) -> HelloReply:
        now = self.detect_pause()
        self._bus.set_address(sender, hello.member.control)
        if self._roster.add(hello.member, now):
            log.info(
                "event=member_heard instance=%s incarnation=%s leaving=%s",
                sender,
                hello.member.incarnation,
                hello.member.leaving,
            )
            self._refresh_view()
            self._heartbeat_due_by_id[sender] = 0.0
        return HelloReply(self.own, tuple(self._roster.zone_members()))

    async def _handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; a sender that is unknown or has changed gets a hello instead."""
        now = self.detect_pause()
        if not self._roster.handle_heartbeat(
            sender, heartbeat.incarnation_digest, heartbeat.revision, heartbeat.view_digest, now
        ):
            self._start_hello(sender, now)
            return
        for name, payload in heartbeat.attachment_by_name.items():
            attachment = self._attachment_by_name.get(name)
            if attachment:
                attachment.receive(sender, payload)
        if heartbeat.other_zones_digest:
            self._zones.compare_digest(sender, heartbeat.other_zones_digest, now)

    async def _handle_bye(self, sender: str, bye: Bye) -> None:
        self.detect_pause()
        if self._roster.remove(sender):
            log.info("event=member_left instance=%s", sender)
            self._heartbeat_due_by_id.pop(sender, None)
            self._bus.remove_address(sender)
            self._refresh_view()

    def _is_unknown_peer(self, member: Member) -> bool:
        """Return whether a member is another daemon of the zone that is not in the roster."""
        if member.zone != self.own.zone or member.instance_id == self.own.instance_id:
            return False
        return member.instance_id not in self._roster.peer_by_id

    def _handle_zone_change(self) -> None:
        """Refresh the view after a report of another zone has changed."""
        self._refresh_view()
        if delegate_rank(self._roster) is not None:
            # The next heartbeats carry the new digest to the zone; send them at once.
            self._heartbeat_due_by_id = dict.fromkeys(self._heartbeat_due_by_id, 0.0)

    def _start_hello(self, instance_id: str, now: float) -> None:
        """Start to send a hello to a daemon, unless one was sent a short time ago."""
        if now - self._hello_at_by_id.get(instance_id, -MIN_HELLO_GAP_S) < MIN_HELLO_GAP_S:
            return
        self._hello_at_by_id[instance_id] = now
        self._start_task(self._exchange_hello(instance_id))

    async def _send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to each peer to which one is due."""
        peers = self._roster.peer_by_id
        interval_s = heartbeat_interval_s(len(peers), self.timing)
        due = [i for i in peers if self._heartbeat_due_by_id.get(i, 0.0) <= now]
        if not due:
            return
        heartbeat = self._make_heartbeat(now)
        for index, instance_id in enumerate(due):
            # First heartbeats are spread over an interval, which spreads the later ones too.
            is_first = instance_id not in self._heartbeat_due_by_id
            spread_s = interval_s * index / len(due) if is_first else 0.0
            self._heartbeat_due_by_id[instance_id] = now + interval_s - spread_s
            await self._bus.send(instance_id, heartbeat)

    def _make_heartbeat(self, now: float) -> Heartbeat:
        payloads = {n: a.provide() for n, a in self._attachment_by_name.items()}
        is_delegate = delegate_rank(self._roster) is not None
        return Heartbeat(
            incarnation_digest_of(self.own),
            self.own.revision,
            self.view_digest,
            other_zones_digest(self._roster.recent_direct_reports(now)) if is_delegate else 0,
            {n: p for n, p in payloads.items() if 0 < len(p) <= MAX_ATTACHMENT_BYTES},
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
