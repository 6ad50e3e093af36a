"""Requests that every source refuses: offered again for a moment, or refused at once."""

import asyncio
from time import monotonic

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat, error_of


async def test_request_outlives_a_moment_without_slots() -> None:
    async with LocalFleet(FleetPlan(zones=("a",), engine_zones=("a",))) as fleet:
        daemon = fleet.daemon_by_id["entry-a0"]
        engine = fleet.engine_by_id["engine-a0"]
        engine.faults.cold_bears = 0
        engine.faults.cold = True
        await fleet.until(lambda: daemon.pool.engine_slots(daemon.keeper.config, monotonic()) == 0)
        client = HttpClient()
        call = asyncio.create_task(chat(client, fleet.callers("entry-a0")))
        await fleet.until(lambda: daemon.router.waiting_for_slots == 1)
        engine.faults.cold = False
        assert (await call).status == 200
        assert engine.witness.excess_peak == 0
        engine.faults.cold = True
        await fleet.until(lambda: daemon.pool.engine_slots(daemon.keeper.config, monotonic()) == 0)
        refused = error_of(await chat(client, fleet.callers("entry-a0")))
        assert (refused["code"], refused["ran"]) == (ResultCode.OVERLOADED, "no")
        assert refused["retry_after_s"]
        client.close()
