"""The endpoints of the own zone: who may be called, and the slots in use."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.daemon.dispatch.loads import LoadMonitor
from comfreyhatch.daemon.limits.shares import ShareTask, ZoneMembers
from comfreyhatch.daemon.members.directory import Directory
from comfreyhatch.decisions.concurrency_limit import SlotOutcome
from comfreyhatch.decisions.endpoint_choice import EndpointSnapshot
from comfreyhatch.decisions.shares import ORPHAN_HOLD_S, Peer
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.ports.engine import Engine, LoadReport, PlainService
from comfreyhatch.ports.peers import PeerBus, View

LOAD_POLL_INTERVAL_S = 0.25
ENDPOINT_SAMPLE_SIZE = 16
LEAVING_NOTICE_INTERVAL_S = 4.0
LEAVING_NOTICE_MAX_AGE_S = 15.0
MAX_LEAVING_ENDPOINTS = 4096

log = logging.getLogger("comfreyhatch.endpoints")


class EndpointLoad(Struct, frozen=True):
    """An endpoint that may take work, with what is known of its load.

    Attributes:
        endpoint: The endpoint.
        own_in_flight: Requests that this daemon has running on it.
        slots: Requests that this daemon may have running on it.
        report: Last load report.
        limit: Requests that all daemons may have running on it.
        own_at_report: This daemon's requests when the report was made.
    """

    endpoint: Instance
    own_in_flight: int
    slots: int
    report: LoadReport
    limit: int = 0
    own_at_report: int = 0

    def snapshot(self) -> EndpointSnapshot:
        """Return the figures that the choice of an endpoint weighs."""
        return EndpointSnapshot(
            self.endpoint.instance_id,
            own_in_flight=self.own_in_flight,
            share=self.slots,
            reported_load=self.report.in_flight + self.report.queued,
            own_at_report=self.own_at_report,
            limit=self.limit,
            cold=self.report.cold,
        )


class Slot(Struct):
    """A slot of an endpoint's limit, held for one request.

    Attributes:
        endpoint: The endpoint.
        number: How many requests of this daemon run there with this one.
        limit: Requests that all daemons may have running there.
        acquired_at: When it was taken.
        outcome: What the end of the request tells of the endpoint's load.
        first_token_s: Time to the first token, in seconds; None without one.
        report: Load report that came with the answer.
    """

    endpoint: Instance
    number: int
    limit: int
    acquired_at: float = 0.0
    outcome: SlotOutcome = SlotOutcome.NEUTRAL
    first_token_s: float | None = None
    report: LoadReport | None = None

    @property
    def label(self) -> str:
        """Slot and limit for the record of the request."""
        return f"{self.number}/{self.limit}"

    def record_chunk(self, report: LoadReport | None, now: float) -> None:
        """Take in a piece of the answer and the load report that it may carry."""
        if self.first_token_s is None:
            self.first_token_s = now - self.acquired_at
        self.report = report or self.report


class LeavingNotice(Struct, frozen=True, array_like=True, tag="endpoints-leaving"):
    """Tells the zone's peers of endpoints that the instance list has as about to go."""

    endpoint_ids: tuple[str, ...]


class SlotPool:
    """Hands out slots of the zone's endpoints within this daemon's shares."""

    def __init__(
        self,
        directory: Directory,
        view: Callable[[], View],
        local_peer: Peer,
        zone: str,
        engine: Engine,
        service: PlainService,
        bus: PeerBus,
        orphan_hold_s: float = ORPHAN_HOLD_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the pool.

        Args:
            directory: The instance list.
            view: Live daemons.
            local_peer: This start of this daemon.
            zone: Zone of this daemon.
            engine: Client of model engines.
            service: Client of plain services.
            bus: Peer bus.
            orphan_hold_s: How long an ended daemon's requests may go on.
            clock: Monotonic seconds.
        """
        self._directory = directory
        self._view = view
        self._local_peer = local_peer
        self._zone = zone
        self._clock = clock
        self._running_by_id: dict[str, int] = {}
        self._own_at_report_by_id: dict[str, int] = {}
        self._endpoints_source: dict[str, Instance] = {}
        self._zone_endpoints: list[Instance] = []
        self._bus = bus
        self._leaving_until_by_id: dict[str, float] = {}
        self._announced_leaving: tuple[str, ...] = ()
        self._next_leaving_notice_at = 0.0
        bus.on_message(LeavingNotice, self._handle_leaving_notice)
        self._limit_drop_task: asyncio.Task[None] | None = None
        self.shares = ShareTask(
            local_peer,
            bus,
            self._zone_members,
            lambda: self.loads.limits(clock()),
            lambda: dict(self._running_by_id),
            orphan_hold_s=orphan_hold_s,
            clock=clock,
        )
        self.loads = LoadMonitor(
            engine, service, bus, self._peers, clock, self.shares.send_excess_notices
        )

    async def run(self) -> None:
        """Poll loads and keep the shares until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.shares.run())
            tasks.create_task(self._run_polls())

    async def refresh(self) -> None:
        """Poll this daemon's part of the zone's endpoints once; tell of those about to go."""
        await self._announce_leaving()
        endpoints = self._endpoints()
        self.loads.retain({endpoint.instance_id for endpoint in endpoints})
        polled_here: list[Instance] = []
        polled_by_peers: list[Instance] = []
        for endpoint in endpoints:
            (polled_here if self._is_poller_of(endpoint.instance_id) else polled_by_peers).append(
                endpoint
            )
        await self.loads.refresh(polled_here, polled_by_peers)
        for endpoint in endpoints:
            running = self._running_by_id.get(endpoint.instance_id, 0)
            self._own_at_report_by_id[endpoint.instance_id] = running

    async def leave(self) -> None:
        """Give the shares up; call it when nothing runs."""
        await self.shares.leave()

    @property
    def active(self) -> bool:
        """Whether this daemon holds its shares."""
        return self.shares.group.active

    def all_loads_known(self) -> bool:
        """Return whether the load of each endpoint of the zone is known."""
        own = {endpoint.instance_id for endpoint in self._endpoints()}
        return own <= self.loads.report_by_id.keys()

    def load_of(self, endpoint_id: str) -> EndpointLoad | None:
        """Return what is known of an endpoint's load; None if it is not known."""
        endpoint = self._directory.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint_id not in self.loads.report_by_id:
            return None
        if self._is_leaving(endpoint_id):
            return None
        return self._load(endpoint, self._clock())

    def candidates(self, target: str, config: FleetConfig, now: float) -> list[EndpointLoad]:
        """Return the zone's endpoints that serve a version or a plain service.

        Args:
            target: Version id, or name of a plain service.
            config: Configuration in force.
            now: Monotonic time, in seconds.
        """
        return [self._load(endpoint, now) for endpoint in self._serving(target, config)]

    def sample(
        self, target: str, config: FleetConfig, now: float, affinity_id: str, rng: Random
    ) -> list[EndpointLoad]:
        """Return some of the candidates, at random, and the one that holds a session's prefix.

        Args:
            target: Version id, or name of a plain service.
            config: Configuration in force.
            now: Monotonic time, in seconds.
            affinity_id: Id of the endpoint that holds the prefix; may be empty.
            rng: Seeded source of the choice.
        """
        serving = list(self._serving(target, config))
        if len(serving) > ENDPOINT_SAMPLE_SIZE:
            held = [endpoint for endpoint in serving if endpoint.instance_id == affinity_id]
            drawn = rng.sample(serving, ENDPOINT_SAMPLE_SIZE)
            serving = [*(endpoint for endpoint in held if endpoint not in drawn), *drawn]
        return [self._load(endpoint, now) for endpoint in serving]

    def serves(self, target: str, config: FleetConfig) -> bool:
        """Return whether the zone has an endpoint for a version or a plain service."""
        return any(self._serving(target, config))

    def has_slots(self, target: str, config: FleetConfig, now: float) -> bool:
        """Return whether this daemon holds any slot for a version or a plain service."""
        return any(self._slots(e.instance_id, now) for e in self._serving(target, config))

    def engine_slots(self, config: FleetConfig, now: float) -> int:
        """Return the slots that this daemon holds at all engines in service."""
        if self._zone in config.out_zones:
            return 0
        return sum(
            self._slots(endpoint.instance_id, now)
            for endpoint in self._endpoints()
            if endpoint.role is Role.ENGINE
            and endpoint.instance_id not in config.out_endpoints
            and endpoint.instance_id in self.loads.report_by_id
        )

    def holders(self, target: str, config: FleetConfig, now: float) -> set[str]:
        """Return the other daemons of the zone that hold a slot for a version or a service."""
        group = self.shares.group
        names: set[str] = set()
        for endpoint in self._serving(target, config):
            limit = self.loads.limit(endpoint.instance_id, now)
            peers = group.holders(endpoint.instance_id, limit)
            names |= {peer.instance_id for peer in peers if peer != group.me}
            if len(names) >= len(group.state_by_peer):
                break
        return names

    def acquire(self, endpoint_id: str, now: float) -> Slot | None:
        """Take a slot of an endpoint; None when the share is used up."""
        load = self.load_of(endpoint_id)
        if load is None or load.own_in_flight >= load.slots:
            return None
        self._running_by_id[endpoint_id] = load.own_in_flight + 1
        return Slot(load.endpoint, load.own_in_flight + 1, load.limit, now)

    def release(self, slot: Slot, now: float) -> None:
        """Give a slot back and take in what its request told of the endpoint."""
        endpoint_id = slot.endpoint.instance_id
        remaining = self._running_by_id[endpoint_id] - 1
        self._running_by_id[endpoint_id] = remaining
        if not remaining:
            del self._running_by_id[endpoint_id]
        if slot.report is not None and slot.report.endpoint_id == endpoint_id:
            self.loads.record_report(slot.report, now)
            self._own_at_report_by_id[endpoint_id] = remaining
        self.loads.record_outcome(endpoint_id, slot.outcome, slot.first_token_s, now)
        if self.loads.has_pending_drops and self._limit_drop_task is None:
            self._limit_drop_task = asyncio.get_running_loop().create_task(self._send_limit_drops())

    async def _announce_leaving(self) -> None:
        """Tell the zone's peers, whose list may be older, at once and from time to time."""
        zones = self._directory.leaving_zone_by_id.items()
        leaving = tuple(sorted(name for name, zone in zones if zone == self._zone))
        now = self._clock()
        if leaving == self._announced_leaving and now < self._next_leaving_notice_at:
            return
        self._announced_leaving, self._next_leaving_notice_at = (
            leaving,
            now + LEAVING_NOTICE_INTERVAL_S,
        )
        if leaving:
            notice = LeavingNotice(leaving)
            await asyncio.gather(*(self._bus.send(peer, notice) for peer in self._peers()))

    async def _handle_leaving_notice(self, sender: str, notice: LeavingNotice) -> None:
        until = self._clock() + LEAVING_NOTICE_MAX_AGE_S
        for endpoint_id in notice.endpoint_ids[:MAX_LEAVING_ENDPOINTS]:
            self._leaving_until_by_id[endpoint_id] = until
        while len(self._leaving_until_by_id) > MAX_LEAVING_ENDPOINTS:
            del self._leaving_until_by_id[next(iter(self._leaving_until_by_id))]

    def _is_leaving(self, endpoint_id: str) -> bool:
        return self._clock() < self._leaving_until_by_id.get(endpoint_id, 0.0)

    async def _send_limit_drops(self) -> None:
        self._limit_drop_task = None
        await self.loads.send_limit_drops()

    async def _run_polls(self) -> None:
        while True:
            await self._refresh_safely()
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    async def _refresh_safely(self) -> None:
        try:
            await self.refresh()
        except Exception:
            log.exception("event=endpoints_refresh_failed")

    def _load(self, endpoint: Instance, now: float) -> EndpointLoad:
        endpoint_id = endpoint.instance_id
        limit = self.loads.limit(endpoint_id, now)
        return EndpointLoad(
            endpoint,
            self._running_by_id.get(endpoint_id, 0),
            self.shares.group.slots(endpoint_id, limit),
            self.loads.report_by_id[endpoint_id],
            limit,
            self._own_at_report_by_id.get(endpoint_id, 0),
        )

    def _slots(self, endpoint_id: str, now: float) -> int:
        return self.shares.group.slots(endpoint_id, self.loads.limit(endpoint_id, now))

    def _serving(self, target: str, config: FleetConfig) -> Iterator[Instance]:
        if self._zone in config.out_zones:
            return
        for endpoint in self._endpoints():
            if endpoint.instance_id in config.out_endpoints:
                continue
            if self._is_leaving(endpoint.instance_id):
                continue
            if self._serves(endpoint, target):
                yield endpoint

    def _serves(self, endpoint: Instance, target: str) -> bool:
        report = self.loads.report_by_id.get(endpoint.instance_id)
        if report is None:
            return False
        if endpoint.role is Role.SERVICE:
            return endpoint.service == target
        return target in report.versions

    def _endpoints(self) -> list[Instance]:
        endpoint_by_id = self._directory.endpoint_by_id
        if endpoint_by_id is not self._endpoints_source:
            self._endpoints_source = endpoint_by_id
            self._zone_endpoints = [e for e in endpoint_by_id.values() if e.zone == self._zone]
        return self._zone_endpoints

    def _is_poller_of(self, endpoint_id: str) -> bool:
        """Return whether this daemon is the first in order of those that are heard of."""
        seen = set(self._peers())
        first = next(
            (
                peer
                for peer in self.shares.group.ranked(endpoint_id)
                if peer == self.shares.group.me or peer.instance_id in seen
            ),
            None,
        )
        return first is None or first == self.shares.group.me

    def _peers(self) -> list[str]:
        members = self._view().in_zone(self._zone)
        return [m.instance_id for m in members if m.instance_id != self._local_peer.instance_id]

    def _zone_members(self) -> ZoneMembers:
        heard = self._view().in_zone(self._zone)
        listed = [m for m in self._directory.members if m.zone == self._zone]
        member_by_id = {m.instance_id: m for m in (*listed, *heard)}
        member_by_id.pop(self._local_peer.instance_id, None)
        return ZoneMembers(
            list(member_by_id.values()),
            frozenset(m.instance_id for m in heard),
            self._directory.daemon_ids,
        )
