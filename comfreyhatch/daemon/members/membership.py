"""The task that keeps the view of live daemons: greetings, heartbeats, reports of zones."""

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
from comfreyhatch.ports.peers import Member, PeerBus, View

CONTACT_INTERVAL_S = 2.0
FIRST_CONTACT_INTERVAL_S = 0.25
START_S = 5.0
ASK_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 1.0
ATTACHMENT_BYTES = 512

log = logging.getLogger("comfreyhatch.membership")


class Attachment(Struct, frozen=True):
    """A payload that rides on heartbeats: how to make it and who takes it."""

    provide: Callable[[], bytes]
    take: Callable[[str, bytes], None]


class Membership:
    """Keeps the view; owns the roster and the heartbeats.

    Attributes:
        timing: Times.
        view: Live daemons.
        relay_order: Daemons of the zone in the order in which they relay what the platform says.
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
            bus: Peer bus; handlers are registered on it.
            own: This daemon.
            seeds: Control addresses to greet at the start.
            listed: Daemons of the instance list.
            timing: Times.
            clock: Monotonic seconds.
        """
        self.timing = timing or MembershipTiming()
        self.view = View()
        self.relay_order: list[str] = []
        self._bus = bus
        self._clock = clock
        self._listed = listed
        self._seeds = {f"@{seed}": seed for seed in seeds}
        self._roster = Roster(own, self.timing)
        self._process_incarnation = own.incarnation
        self._pauses = 0
        self._started_at = self._ticked_at = clock()
        self._contact_due = 0.0
        self._zone_due = 0.0
        self._due_by_id: dict[str, float] = {}
        self._asked_at_by_id: dict[str, float] = {}
        self._attachment_by_name: dict[str, Attachment] = {}
        self._on_change: list[Callable[[View], None]] = []
        self._on_pause: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._zones = ZoneSync(bus, self._roster, self.detect_pause, self._take_far_change)
        bus.on_message(Hello, self._take_hello)
        bus.on_message(Heartbeat, self._take_beat)
        bus.on_message(Bye, self._take_bye)
        self._refresh_view()

    @property
    def own(self) -> Member:
        """This daemon as its peers see it."""
        return self._roster.own

    @property
    def view_digest(self) -> int:
        """Digest of the zone's members, comparable between daemons."""
        return self._roster.view_digest()

    def acknowledged(self, view_digest: int) -> frozenset[str]:
        """Return the live peers of the zone whose last heartbeat carried a view digest."""
        return self._roster.acknowledged(view_digest)

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Call back with each new view."""
        self._on_change.append(callback)

    def on_pause(self, callback: Callable[[], None]) -> None:
        """Call back when the process was found to have been paused, before anything else."""
        self._on_pause.append(callback)

    def attach(
        self, name: str, provide: Callable[[], bytes], take: Callable[[str, bytes], None]
    ) -> None:
        """Send a payload along with each heartbeat; empty ones and ones too large are left out.

        Args:
            name: Short name, the same at all daemons.
            provide: Returns the payload.
            take: Called with the peer's instance id and its payload.
        """
        self._attachment_by_name[name] = Attachment(provide, take)

    def set_addresses(self, control: Address, http: Address) -> None:
        """Set where peers reach this daemon; to be called before the first tick."""
        self._roster.own = replace(self.own, control=control, http=http)

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision that heartbeats tell."""
        self._roster.own = replace(self.own, revision=revision)

    async def run(self) -> None:
        """Keep the view until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(self.timing.tick_s)

    async def tick(self) -> None:
        """Do what is due now."""
        now = self.detect_pause()
        gone = self._roster.expire(now)
        if gone:
            log.info("event=members_silent names=%s", ",".join(gone))
            self._refresh_view()
        if now >= self._contact_due:
            starting = now - self._started_at < START_S
            self._contact_due = now + (FIRST_CONTACT_INTERVAL_S if starting else CONTACT_INTERVAL_S)
            self._contact_unknown(now)
            self._refresh_view()
        await self._send_beats(now)
        if now >= self._zone_due:
            self._zone_due = now + self.timing.zone_interval_s
            await self._zones.send_beats(self.view, self._listed())

    def detect_pause(self) -> float:
        """Notice a pause of the process; to be called before acting on a message.

        Returns:
            The present monotonic time.
        """
        now = self._clock()
        if is_paused(self._ticked_at, now, self.timing):
            self._pauses += 1
            incarnation = f"{self._process_incarnation}.{self._pauses}"
            log.warning(
                "event=pause_noticed seconds=%.1f incarnation=%s",
                now - self._ticked_at,
                incarnation,
            )
            self._roster.resume(replace(self.own, incarnation=incarnation), now)
            for callback in self._on_pause:
                callback()
            self._refresh_view()
            self._greet_all()
        self._ticked_at = now
        return now

    async def leave(self) -> None:
        """Tell the peers that this daemon is about to go; it stays in the view."""
        self._roster.own = replace(self.own, leaving=True)
        self._refresh_view()
        for peer in list(self._roster.peer_by_id):
            await self._bus.send(peer, Hello(self.own))
        await self._zones.send_beats(self.view, self._listed())

    async def depart(self) -> None:
        """Tell the peers that this daemon has gone."""
        for peer in list(self._roster.peer_by_id):
            await self._bus.send(peer, Bye())

    def _refresh_view(self) -> None:
        view = self._roster.view(self._listed())
        if view == self.view:
            return
        old, self.view = self.view, view
        self.relay_order = relay_order(view.member_by_id.values(), self.own.zone)
        for member in view.member_by_id.values():
            if member.instance_id != self.own.instance_id:
                self._bus.learn(member.instance_id, member.control)
        zone = self.own.zone
        if members_digest(old.in_zone(zone)) != members_digest(view.in_zone(zone)):
            self._zone_due = 0.0
        for callback in self._on_change:
            callback(view)

    def _contact_unknown(self, now: float) -> None:
        """Greet the listed daemons of the zone and the seeds that are not in the view."""
        for member in self._listed():
            if self._is_stranger(member):
                self._bus.learn(member.instance_id, member.control)
                self._ask_who(member.instance_id, now)
        reached = {member.control for member in self.view.member_by_id.values()}
        for name, seed in self._seeds.items():
            if seed not in reached and seed != self.own.control:
                self._bus.learn(name, seed)
                self._ask_who(name, now)

    def _greet_all(self) -> None:
        for instance_id in self._roster.peer_by_id:
            self._start(self._greet(instance_id))

    async def _greet(self, name: str) -> None:
        try:
            welcome = await self._bus.request(name, Hello(self.own), HelloReply, ASK_TIMEOUT_S)
        except PeerError:
            return
        now = self.detect_pause()
        if welcome.member.zone != self.own.zone:
            self._zones.take_members(welcome.member.zone, welcome.members, now)
            return
        self._bus.learn(welcome.member.instance_id, welcome.member.control)
        changed = self._roster.add(welcome.member, now)
        for member in filter(self._is_stranger, welcome.members):
            self._bus.learn(member.instance_id, member.control)
            self._ask_who(member.instance_id, now)
        if changed:
            self._refresh_view()

    async def _take_hello(self, sender: str, hello: Hello) -> HelloReply:
        now = self.detect_pause()
        self._bus.learn(sender, hello.member.control)
        if self._roster.add(hello.member, now):
            log.info(
                "event=member_heard instance=%s incarnation=%s leaving=%s",
                sender,
                hello.member.incarnation,
                hello.member.leaving,
            )
            self._refresh_view()
            self._due_by_id[sender] = 0.0
        return HelloReply(self.own, tuple(self._roster.zone_members()))

    async def _take_beat(self, sender: str, beat: Heartbeat) -> None:
        now = self.detect_pause()
        if not self._roster.handle_heartbeat(
            sender, beat.incarnation_digest, beat.revision, beat.view_digest, now
        ):
            self._ask_who(sender, now)
            return
        for name, payload in beat.attachment_by_name.items():
            attachment = self._attachment_by_name.get(name)
            if attachment:
                attachment.take(sender, payload)
        if beat.far_digest:
            self._zones.compare(sender, beat.far_digest, now)

    async def _take_bye(self, sender: str, bye: Bye) -> None:
        self.detect_pause()
        if self._roster.remove(sender):
            log.info("event=member_left instance=%s", sender)
            self._due_by_id.pop(sender, None)
            self._bus.forget(sender)
            self._refresh_view()

    def _is_stranger(self, member: Member) -> bool:
        if member.zone != self.own.zone or member.instance_id == self.own.instance_id:
            return False
        return member.instance_id not in self._roster.peer_by_id

    def _take_far_change(self) -> None:
        self._refresh_view()
        if delegate_rank(self._roster) is not None:
            # The next heartbeats tell the zone; they are due at once.
            self._due_by_id = dict.fromkeys(self._due_by_id, 0.0)

    def _ask_who(self, instance_id: str, now: float) -> None:
        if now - self._asked_at_by_id.get(instance_id, -ASK_INTERVAL_S) < ASK_INTERVAL_S:
            return
        self._asked_at_by_id[instance_id] = now
        self._start(self._greet(instance_id))

    async def _send_beats(self, now: float) -> None:
        peers = self._roster.peer_by_id
        interval_s = heartbeat_interval_s(len(peers), self.timing)
        due = [i for i in peers if self._due_by_id.get(i, 0.0) <= now]
        if not due:
            return
        beat = self._beat(now)
        for number, instance_id in enumerate(due):
            # The first beats are spread over an interval, and so are all that follow.
            first = instance_id not in self._due_by_id
            spread_s = interval_s * number / len(due) if first else 0.0
            self._due_by_id[instance_id] = now + interval_s - spread_s
            await self._bus.send(instance_id, beat)

    def _beat(self, now: float) -> Heartbeat:
        payloads = {n: a.provide() for n, a in self._attachment_by_name.items()}
        is_delegate = delegate_rank(self._roster) is not None
        return Heartbeat(
            incarnation_digest_of(self.own),
            self.own.revision,
            self.view_digest,
            other_zones_digest(self._roster.recent_direct_reports(now)) if is_delegate else 0,
            {n: p for n, p in payloads.items() if 0 < len(p) <= ATTACHMENT_BYTES},
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
