"""Requests that every source refuses: retried after a delay while one is only overloaded."""

import asyncio
from time import monotonic

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat, error_of


async def test_request_is_retried_until_a_slot_is_free() -> None:
    """A daemon without slots for a moment must not refuse a request whose deadline is far away.

    A cold engine with a limit of 0 leaves the daemon without slots. The first request is answered
    once the engine is warm; the second, while the engine stays cold, is refused as overloaded.
    """
    async with LocalFleet(FleetPlan(zones=("a",), engine_zones=("a",))) as fleet:
        daemon = fleet.daemon_by_id["entry-a0"]
        engine = fleet.engine_by_id["engine-a0"]
        engine.faults.cold_bears = 0
        engine.faults.cold = True
        await fleet.until(
            lambda: daemon.pool.engine_slots(daemon.config_sync.config, monotonic()) == 0
        )
        client = HttpClient()
        call = asyncio.create_task(chat(client, fleet.callers("entry-a0")))
        await fleet.until(lambda: daemon.router.waiting_for_slots == 1)
        engine.faults.cold = False
        assert (await call).status == 200
        assert engine.witness.excess_peak == 0
        engine.faults.cold = True
        await fleet.until(
            lambda: daemon.pool.engine_slots(daemon.config_sync.config, monotonic()) == 0
        )
        refused = error_of(await chat(client, fleet.callers("entry-a0")))
        assert (refused["code"], refused["ran"]) == (ResultCode.OVERLOADED, "no")
        assert refused["retry_after_s"]
        client.close()
