"""Tests of concurrency limits with real daemon processes, against the engine's own count."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.daemon.dispatch.slot_pool import SlotPool
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import HttpError
from comfreyhatch.standins.engine import EngineStandin
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat
from tests.processes import DaemonProcess, start_daemon_process

ENGINE_LIMIT = 6
SETTINGS = "[endpoints]\norphan_hold_s = 1\n[shutdown]\nbalancer_s = 0\n"


@asynccontextmanager
async def fleet_with_one_engine(
    limit: int, *zones: str
) -> AsyncIterator[tuple[LocalFleet, EngineStandin]]:
    """Run a fleet whose only engine is in zone a and has the given limit."""
    plan = FleetPlan(zones=zones, engine_zones=(), service_zones=())
    fleet = LocalFleet(plan)
    versions = tuple(version.version_id for version in plan.versions)
    instance = Instance("engine-a", Role.ENGINE, "a", Address("127.0.0.1", 0))
    engine = EngineStandin(instance, versions, bears=limit)
    await engine.start()
    await fleet.platform.start()
    fleet.platform.put_instance(engine.instance)
    fleet.engine_by_id["engine-a"] = engine
    fleet.platform.start = already_started  # type: ignore[method-assign]
    try:
        await fleet.start()
        yield fleet, engine
    finally:
        await fleet.stop()


async def already_started() -> None:
    """Do nothing, in place of starting a platform that already runs."""


def slots_of(pool: SlotPool) -> int:
    load = pool.load_of("engine-a")
    return load.slots if load else 0


class CallerLoad:
    """Callers that send one request after another to each daemon, whether or not they succeed."""

    def __init__(self, client: HttpClient) -> None:
        self.client = client
        self.served = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, callers: Address, count: int = 8) -> None:
        self.tasks += [asyncio.create_task(self.call(callers)) for _ in range(count)]

    async def call(self, callers: Address) -> None:
        while True:
            try:
                reply = await chat(self.client, callers, {"x-deadline-s": "5"}, max_tokens=20)
            except HttpError:
                await asyncio.sleep(0.05)
                continue
            self.served += reply.status == 200
            if reply.status != 200:
                await asyncio.sleep(0.02)

    async def until_served(self, more: int) -> None:
        wanted = self.served + more
        async with asyncio.timeout(40):
            while self.served < wanted:
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def test_limit_is_kept_while_daemons_are_killed_paused_added_and_stopped(
    client: HttpClient, tmp_path: Path
) -> None:
    async with fleet_with_one_engine(ENGINE_LIMIT, "a") as (fleet, engine):
        platform = fleet.platform.address
        load = CallerLoad(client)
        load.start(fleet.callers("entry-a0"))
        processes: list[DaemonProcess] = []

        async def add(name: str) -> DaemonProcess:
            process = await start_daemon_process(tmp_path, name, "a", platform, SETTINGS)
            processes.append(process)
            load.start(process.callers)
            return process

        try:
            first, second = await add("p1"), await add("p2")
            await load.until_served(40)
            first.signal(signal.SIGSTOP)
            await load.until_served(10)
            await add("p3")
            await load.until_served(10)
            first.signal(signal.SIGCONT)
            await load.until_served(40)
            await second.kill()
            await load.until_served(40)
            assert await first.terminate() == 0
            await load.until_served(40)
            pool = fleet.daemon_by_id["entry-a0"].pool
            await fleet.until(lambda: len(pool.shares.group.state_by_peer) == 1, 40)
            await load.until_served(40)
            await load.stop()
            await fleet.until(lambda: slots_of(pool) == ENGINE_LIMIT / 2)
        finally:
            await load.stop()
            for process in processes:
                if process.process.returncode is None:
                    await process.kill()
        assert engine.witness.in_flight_peak > ENGINE_LIMIT / 2
        assert engine.witness.excess_peak <= 0


async def test_endpoint_with_limit_1_serves_callers_of_all_daemons(
    client: HttpClient,
) -> None:
    async with fleet_with_one_engine(1, "a", "a", "b") as (fleet, engine):
        shares = [d.pool.load_of("engine-a") for d in fleet.daemon_by_id.values()]
        assert sorted(load.slots for load in shares if load) == [0, 1]
        for name in fleet.daemon_by_id:
            for _ in range(4):
                assert (await chat(client, fleet.callers(name))).status == 200
        assert engine.witness.excess_peak <= 0


async def test_forwarding_across_zones_reaches_the_holder_in_two_hops(client: HttpClient) -> None:
    async with fleet_with_one_engine(1, "a", "a", "b") as (fleet, engine):
        name_by_slots = {
            load.slots: name
            for name, daemon in fleet.daemon_by_id.items()
            if (load := daemon.pool.load_of("engine-a"))
        }
        remote = next(name for name, daemon in fleet.daemon_by_id.items() if daemon.zone == "b")
        view = fleet.daemon_by_id[remote].membership.view
        holder = name_by_slots[1]
        del view.member_by_id[holder]
        reply = await chat(client, fleet.callers(remote))
        assert reply.status == 200
        operators = fleet.addresses_by_id[remote].operators
        request_id = reply.header_by_name["x-request-id"]
        explained = await client.request(operators, "GET", f"/explain/{request_id}")
        assert f'"dispatcher":"{holder}"'.encode() in explained.body


async def test_load_is_shed_at_once_when_an_endpoint_turns_cold(client: HttpClient) -> None:
    async with fleet_with_one_engine(16, "a", "a") as (fleet, engine):
        load = CallerLoad(client)
        for name in fleet.daemon_by_id:
            load.start(fleet.callers(name), 12)
        try:
            await load.until_served(60)
            engine.faults.load_lag_s = 1.0
            engine.faults.cold = True
            refused_before = [arrival for arrival in engine.witness.arrivals if arrival.refused]
            await fleet.until(
                lambda: all(
                    (load := daemon.pool.load_of("engine-a")) is not None
                    and load.limit <= 2
                    and load.own_in_flight <= load.slots
                    for daemon in fleet.daemon_by_id.values()
                )
            )
            first_new = len(engine.witness.arrivals)
            await load.until_served(20)
        finally:
            await load.stop()
        late = engine.witness.arrivals[first_new:]
        assert late and max(a.in_flight for a in late) <= 2
        assert refused_before == []
