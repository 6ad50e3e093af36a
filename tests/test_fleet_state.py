"""Tests of the fleet state for operators: endpoints out of service or cold, zones cut off."""

import asyncio

from msgspec.structs import replace

from comfreyhatch.domain.change import SetEndpoint, SetZone
from comfreyhatch.domain.instance import Address
from comfreyhatch.ports.operators import FleetState
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet


async def test_state_shows_endpoints_out_or_cold_and_zones_cut_off() -> None:
    plan = FleetPlan(zones=("a", "b"), engine_zones=("a", "a", "b"), service_zones=("a",))
    async with LocalFleet(plan) as fleet:
        daemon = fleet.daemon_by_id["entry-a0"]

        async def state() -> FleetState:
            return await daemon.reporter.state()

        async def until_state(endpoint_id: str, expected: str) -> None:
            async with asyncio.timeout(20):
                while expected != await endpoint_state(endpoint_id):
                    await asyncio.sleep(0.02)

        async def endpoint_state(endpoint_id: str) -> str:
            states = {e.endpoint_id: e.state for e in (await state()).endpoints}
            return states[endpoint_id]

        await until_state("service-a0", "in service")
        assert await endpoint_state("engine-b2") == "not polled"
        assert (await state()).zones_cut_off == () and not (await state()).cut_off
        fleet.engine_by_id["engine-a1"].faults.cold = True
        await until_state("engine-a1", "cold")
        await fleet.apply(SetEndpoint("engine-a0", True), SetZone("b", True))
        await until_state("engine-a0", "out")
        await until_state("engine-b2", "zone out")
        far_daemon = fleet.daemon_by_id["entry-b1"]
        revision = daemon.config_editor.config.revision
        await fleet.until(lambda: far_daemon.config_editor.config.revision == revision)
        shown = await state()
        assert shown.zones_out == ("b",)
        assert [(i.instance_id, i.revision) for i in shown.instances] == [
            ("entry-a0", revision),
            ("entry-b1", revision),
        ]

        member = next(m for m in daemon.directory.members if m.zone == "b")
        far = replace(member, instance_id="entry-c9", zone="c", control=Address("127.0.0.1", 1))
        daemon.directory.members = [*daemon.directory.members, far]
        assert (await state()).zones_cut_off == ("c",)
