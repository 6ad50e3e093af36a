"""Roll-outs end to end: from the operators' port to the engines, also after a driver has gone."""

import asyncio
from collections.abc import AsyncIterator
from itertools import count

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.rollout import LeaseTimes, Rollout
from comfreyhatch.domain.version import Version, VersionState
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.porcelain.rollout import rollout_lines
from comfreyhatch.standins.fleet import CONTRACT, FleetPlan, LocalFleet
from tests.calls import chat

OLD = Version("coach", "1", input_price=100, output_price=400, prior_quality=0.9)
NEW = replace(OLD, name="2", share=0, replaces="coach@1")
PLAN = FleetPlan(
    zones=("a", "b", "b"),
    engine_zones=("a", "b"),
    service_zones=(),
    versions=(OLD, NEW),
    contracts=(replace(CONTRACT, allowed=("coach",), default_model="coach"),),
)
ROLLOUT = Rollout(
    "coach", "coach@2", "coach@1", ("engine-a0", "engine-b1"), (50, 100), settle_s=0.5
)
TIMES = LeaseTimes(lease_s=4.0, guard_s=0.5, max_order_s=1.0)


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    async with LocalFleet(PLAN) as running:
        for daemon in running.daemon_by_id.values():
            daemon.rollouts.times = TIMES
        for engine in running.engine_by_id.values():
            engine.versions.remove("coach@2")
        yield running


def operators(fleet: LocalFleet, client: HttpClient) -> OperatorClient:
    return OperatorClient(client, [a.operators for a in fleet.addresses_by_id.values()])


async def send_sessions(fleet: LocalFleet, client: HttpClient) -> None:
    """Start new sessions one after the other until cancelled."""
    entries = list(fleet.daemon_by_id)
    for number in count():
        callers = fleet.callers(entries[number % len(entries)])
        headers = {"x-session": f"session-{number}"}
        await chat(client, callers, headers, model="coach", max_tokens=2)


async def test_rollout_is_resumed_after_its_driver_has_gone(
    fleet: LocalFleet, client: HttpClient
) -> None:
    operator = operators(fleet, client)
    first, second = fleet.engine_by_id.values()
    second.faults.down = True
    await operator.start_rollout(ROLLOUT)
    await fleet.until(lambda: len(first.witness.orders) == 1)
    (rollout,) = await operator.rollouts()
    (driver,) = (n for n, d in fleet.daemon_by_id.items() if d.rollouts.is_driving("coach"))
    await fleet.stop_daemon(driver)
    second.faults.down = False

    def version(version_id: str) -> Version:
        return next(iter(fleet.daemon_by_id.values())).config_editor.config.version_by_id[
            version_id
        ]

    await fleet.until(lambda: version("coach@2").share == 50, 40)
    await asyncio.sleep(3 * ROLLOUT.settle_s)
    assert version("coach@2").share == 50, "the share grew without evidence"
    traffic = asyncio.create_task(send_sessions(fleet, client))
    await fleet.until(lambda: version("coach@1").state is VersionState.DRAINING, 60)
    traffic.cancel()
    assert version("coach@2").share == 100
    for engine in (first, second):
        assert "coach@2" in engine.versions
        fences = [event.order.fence for event in engine.witness.orders]
        assert fences == sorted(fences) and not any(e.refused for e in engine.witness.orders)
    assert first.witness.orders[0].order.fence < second.witness.orders[-1].order.fence
    after = (await operators(fleet, client).rollouts())[0]
    assert after.fence > rollout.fence


async def test_rollout_can_be_halted_and_shown_but_not_started_twice(
    fleet: LocalFleet, client: HttpClient
) -> None:
    operator = operators(fleet, client)
    for engine in fleet.engine_by_id.values():
        engine.faults.down = True
    await operator.start_rollout(ROLLOUT)
    halted = await operator.halt_rollout("coach", True)
    assert halted.state == "halted"
    shown = "\n".join(rollout_lines(await operator.rollouts()))
    assert "coach@2" in shown and "halted" in shown and "0/5" in shown
    for refused in (operator.start_rollout(ROLLOUT), operator.halt_rollout("other", True)):
        with pytest.raises(ComfreyhatchError) as caught:
            await refused
        assert caught.value.code is ResultCode.CONFLICT
    with pytest.raises(ComfreyhatchError) as caught:
        await operator.start_rollout(replace(ROLLOUT, model="x", version_id="x@1"))
    assert caught.value.code is ResultCode.NOT_FOUND
