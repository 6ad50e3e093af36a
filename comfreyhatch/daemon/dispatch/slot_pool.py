"""Slots of the zone's endpoints: which endpoints may be used, and for how many requests."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.daemon.dispatch.loads import LoadMonitor
from comfreyhatch.daemon.limits.shares import ShareTask, ZoneMembers
from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.decisions.concurrency_limit import SlotOutcome
from comfreyhatch.decisions.endpoint_choice import EndpointSnapshot
from comfreyhatch.decisions.shares import ORPHAN_HOLD_S, Peer
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.ports.engine import Engine, LoadReport, PlainService
from comfreyhatch.ports.peers import MembershipView, PeerBus

LOAD_POLL_INTERVAL_S = 0.25
# Endpoints drawn at random for a request, of hundreds in a zone; if none of them has a free slot,
# all are considered.
ENDPOINT_SAMPLE_SIZE = 16
LEAVING_NOTICE_INTERVAL_S = 4.0
# Time after the last notice for which an endpoint counts as leaving.
LEAVING_NOTICE_MAX_AGE_S = 15.0
# Endpoints that peers may announce as leaving; the oldest are dropped.
MAX_LEAVING_ENDPOINTS = 4096

log = logging.getLogger("comfreyhatch.endpoints")


class EndpointLoad(Struct, frozen=True):
    """An endpoint with its load, its limit and this daemon's part of both.

    Attributes:
        endpoint: The endpoint.
        own_in_flight: Requests that this daemon has running on it.
        slots: Requests that this daemon may have running on it.
        report: Last load report.
        limit: Requests that all daemons together may have running on it.
        own_at_report: Value of `own_in_flight` after the last poll, or when an answer last carried
            a report.
    """

    endpoint: Instance
    own_in_flight: int
    slots: int
    report: LoadReport
    limit: int = 0
    own_at_report: int = 0

    def snapshot(self) -> EndpointSnapshot:
        """Return the figures for the choice of an endpoint."""
        return EndpointSnapshot(
            self.endpoint.instance_id,
            own_in_flight=self.own_in_flight,
            slots=self.slots,
            reported_load=self.report.in_flight + self.report.queued,
            own_at_report=self.own_at_report,
            limit=self.limit,
            cold=self.report.cold,
        )


class Slot(Struct):
    """One of the concurrent requests that an endpoint accepts, held for one request.

    Attributes:
        endpoint: The endpoint.
        number: Number of this daemon's requests running there, this one included.
        limit: Requests that all daemons together may have running there.
        acquired_at: Monotonic time of the acquisition, in seconds.
        outcome: How the request ended, as far as it shows the endpoint's load.
        first_token_s: Time to the first token, in seconds; None before the first.
        report: Load report that came with the answer; None without one.
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
        """Number and limit, as written to the record of the request."""
        return f"{self.number}/{self.limit}"

    def record_chunk(self, report: LoadReport | None, now: float) -> None:
        """Record the arrival of a chunk and the load report that it may carry."""
        if self.first_token_s is None:
            self.first_token_s = now - self.acquired_at
        self.report = report or self.report


class LeavingNotice(Struct, frozen=True, array_like=True, tag="endpoints-leaving"):
    """Announces to the zone's daemons the endpoints that the instance list marks as leaving."""

    endpoint_ids: tuple[str, ...]


class SlotPool:
    """Hands out slots of the zone's endpoints, within this daemon's share of each limit.

    Attributes:
        shares: Task that agrees on the shares with the zone's other daemons.
        loads: Load reports and limits of the zone's endpoints.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        view: Callable[[], MembershipView],
        local_peer: Peer,
        zone: str,
        engine: Engine,
        service: PlainService,
        bus: PeerBus,
        orphan_hold_s: float = ORPHAN_HOLD_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the pool and register its handlers on the bus.

        Args:
            directory: The instance list.
            view: Returns the live daemons.
            local_peer: This daemon and its incarnation.
            zone: Zone of this daemon.
            engine: Client of model engines.
            service: Client of plain services.
            bus: Peer bus.
            orphan_hold_s: Time for which an ended daemon's requests may still run at endpoints.
            clock: Returns monotonic time, in seconds.
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
        self._limit_decrease_task: asyncio.Task[None] | None = None
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
        """Poll loads and maintain the shares until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.shares.run())
            tasks.create_task(self._run_polls())

    async def refresh(self) -> None:
        """Announce leaving endpoints and poll this daemon's part of the zone's endpoints once."""
        await self._announce_leaving()
        endpoints = self._endpoints()
        self.loads.retain({endpoint.instance_id for endpoint in endpoints})
        polled: list[Instance] = []
        by_peers: list[Instance] = []
        for endpoint in endpoints:
            (polled if self._is_poller_of(endpoint.instance_id) else by_peers).append(endpoint)
        await self.loads.refresh(polled, by_peers)
        for endpoint in endpoints:
            running = self._running_by_id.get(endpoint.instance_id, 0)
            self._own_at_report_by_id[endpoint.instance_id] = running

    async def leave(self) -> None:
        """Release the shares for good. No request may be running."""
        await self.shares.leave()

    @property
    def active(self) -> bool:
        """Whether this daemon may dispatch: all other daemons of the zone count it."""
        return self.shares.group.active

    def all_loads_known(self) -> bool:
        """Return whether there is a load report of each endpoint of the zone."""
        endpoint_ids = {endpoint.instance_id for endpoint in self._endpoints()}
        return endpoint_ids <= self.loads.report_by_id.keys()

    def load_of(self, endpoint_id: str) -> EndpointLoad | None:
        """Return the load of an endpoint; None if it has no load report or is leaving."""
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
        """Return a random sample of the candidates and the session's affinity endpoint.

        Args:
            target: Version id, or name of a plain service.
            config: Configuration in force.
            now: Monotonic time, in seconds.
            affinity_id: Id of the endpoint that has the session's prefix cached; may be empty.
            rng: Seeded source of the sample.
        """
        serving = list(self._serving(target, config))
        if len(serving) > ENDPOINT_SAMPLE_SIZE:
            affinity = [endpoint for endpoint in serving if endpoint.instance_id == affinity_id]
            drawn = rng.sample(serving, ENDPOINT_SAMPLE_SIZE)
            serving = [*(endpoint for endpoint in affinity if endpoint not in drawn), *drawn]
        return [self._load(endpoint, now) for endpoint in serving]

    def serves(self, target: str, config: FleetConfig) -> bool:
        """Return whether the zone has an endpoint for a version or a plain service."""
        return any(self._serving(target, config))

    def has_slots(self, target: str, config: FleetConfig, now: float) -> bool:
        """Return whether this daemon holds any slot for a version or a plain service."""
        return any(self._slots(e.instance_id, now) for e in self._serving(target, config))

    def engine_slots(self, config: FleetConfig, now: float) -> int:
        """Return the number of slots that this daemon holds at all engines in service."""
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
        """Return the ids of the zone's other daemons that hold slots for a version or service."""
        group = self.shares.group
        peer_ids: set[str] = set()
        for endpoint in self._serving(target, config):
            limit = self.loads.limit(endpoint.instance_id, now)
            peers = group.holders(endpoint.instance_id, limit)
            peer_ids |= {peer.instance_id for peer in peers if peer != group.me}
            if len(peer_ids) >= len(group.state_by_peer):
                break
        return peer_ids

    def acquire(self, endpoint_id: str, now: float) -> Slot | None:
        """Take a slot of an endpoint.

        Returns:
            The slot; None if none is free, the load is not known, or the endpoint is leaving.
        """
        load = self.load_of(endpoint_id)
        if load is None or load.own_in_flight >= load.slots:
            return None
        self._running_by_id[endpoint_id] = load.own_in_flight + 1
        return Slot(load.endpoint, load.own_in_flight + 1, load.limit, now)

    def release(self, slot: Slot, now: float) -> None:
        """Free a slot and record the load report and outcome of its request."""
        endpoint_id = slot.endpoint.instance_id
        remaining = self._running_by_id[endpoint_id] - 1
        self._running_by_id[endpoint_id] = remaining
        if not remaining:
            del self._running_by_id[endpoint_id]
        if slot.report is not None and slot.report.endpoint_id == endpoint_id:
            self.loads.record_report(slot.report, now)
            self._own_at_report_by_id[endpoint_id] = remaining
        self.loads.record_outcome(endpoint_id, slot.outcome, slot.first_token_s, now)
        if self.loads.has_pending_decreases and self._limit_decrease_task is None:
            self._limit_decrease_task = asyncio.get_running_loop().create_task(
                self._send_limit_decreases()
            )

    async def _announce_leaving(self) -> None:
        """Announce leaving endpoints to the zone's daemons on a change and at an interval.

        Their copy of the instance list may be older than this one.
        """
        zones = self._directory.leaving_zone_by_id.items()
        leaving = tuple(sorted(endpoint_id for endpoint_id, zone in zones if zone == self._zone))
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

    async def _send_limit_decreases(self) -> None:
        self._limit_decrease_task = None
        await self.loads.send_limit_decreases()

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
        """Return the zone's endpoints, cached until the directory replaces its mapping."""
        endpoint_by_id = self._directory.endpoint_by_id
        if endpoint_by_id is not self._endpoints_source:
            self._endpoints_source = endpoint_by_id
            self._zone_endpoints = [e for e in endpoint_by_id.values() if e.zone == self._zone]
        return self._zone_endpoints

    def _is_poller_of(self, endpoint_id: str) -> bool:
        """Return whether this daemon polls an endpoint.

        It does if it is the first live daemon in the endpoint's rendezvous order.
        """
        live_ids = set(self._peers())
        first = next(
            (
                peer
                for peer in self.shares.group.ranked(endpoint_id)
                if peer == self.shares.group.me or peer.instance_id in live_ids
            ),
            None,
        )
        return first is None or first == self.shares.group.me

    def _peers(self) -> list[str]:
        members = self._view().in_zone(self._zone)
        return [m.instance_id for m in members if m.instance_id != self._local_peer.instance_id]

    def _zone_members(self) -> ZoneMembers:
        live = self._view().in_zone(self._zone)
        listed = [m for m in self._directory.members if m.zone == self._zone]
        member_by_id = {m.instance_id: m for m in (*listed, *live)}
        member_by_id.pop(self._local_peer.instance_id, None)
        return ZoneMembers(
            list(member_by_id.values()),
            frozenset(m.instance_id for m in live),
            self._directory.daemon_ids,
        )
