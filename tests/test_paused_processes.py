"""Daemons and endpoints in processes of their own that are stopped and go on."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path
from random import Random
from time import monotonic

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.daemon.requests.forwarding import Forwarder
from comfreyhatch.domain.change import Change, SetContract, SetEndpoint
from comfreyhatch.errors import ComfreyhatchError, HttpError
from comfreyhatch.ports.engine import ServiceRequest
from comfreyhatch.ports.peers import Member
from comfreyhatch.standins.fleet import CONTRACT, FLEET_KEY, FleetPlan, LocalFleet
from comfreyhatch.standins.service import ServiceWitness
from tests.calls import book, error_of
from tests.processes import (
    DaemonProcess,
    ServiceProcess,
    start_daemon_process,
    start_service_process,
)

GIVE_UP_S = 0.3
PAUSE_S = 1.2
# Without another daemon in its zone, a daemon holds slots after `ORPHAN_HOLD_S`, 5 s.
SERVING_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.05


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    plan = FleetPlan(zones=("a",), engine_zones=(), service_zones=("b",))
    async with LocalFleet(plan) as running:
        yield running


@pytest.fixture
async def process(fleet: LocalFleet, tmp_path: Path) -> AsyncIterator[DaemonProcess]:
    started = await start_daemon_process(tmp_path, "proc-b", "b", fleet.platform.address)
    yield started
    await started.terminate()


@pytest.fixture
def forwarder(fleet: LocalFleet) -> Forwarder:
    """Return a forwarder, which keeps a limited number of connections open."""
    members = fleet.daemon_by_id["entry-a0"].membership
    return Forwarder("caller", "a", FLEET_KEY, lambda: members.view, Random(1))


async def call(
    forwarder: Forwarder, member: Member, request_id: str, method: str, timeout_s: float
) -> None:
    """Forward a call to a daemon on a new connection."""
    request = ServiceRequest(request_id, method, "/deposits", b"{}")
    await forwarder.call(member, "booking", request, timeout_s)


async def call_until_served(
    forwarder: Forwarder, member: Member, method: str, witness: ServiceWitness
) -> None:
    """Repeat a call until it reaches the service.

    Raises:
        TimeoutError: If the daemon does not serve calls in time.
    """
    async with asyncio.timeout(SERVING_TIMEOUT_S):
        while not witness.arrival_times_s:
            with suppress(ComfreyhatchError):
                await call(forwarder, member, "first", method, 5.0)
            await asyncio.sleep(RETRY_INTERVAL_S)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_given_up_while_its_daemon_was_stopped_is_not_sent_when_it_goes_on(
    fleet: LocalFleet, process: DaemonProcess, forwarder: Forwarder, method: str
) -> None:
    witness = fleet.service_by_id["service-b0"].witness
    members = fleet.daemon_by_id["entry-a0"].membership
    await fleet.until(lambda: "proc-b" in members.view.member_by_id)
    member = members.view.member_by_id["proc-b"]
    await call_until_served(forwarder, member, method, witness)
    before = len(witness.arrival_times_s)
    process.signal(signal.SIGSTOP)
    calls = [call(forwarder, member, f"r{number}", method, GIVE_UP_S) for number in range(8)]
    ends = await asyncio.gather(*calls, return_exceptions=True)
    assert all(isinstance(end, HttpError) for end in ends)
    process.signal(signal.SIGCONT)
    await call(forwarder, member, "last", method, 5.0)
    assert len(witness.arrival_times_s) == before + 1


@pytest.fixture
async def service() -> AsyncIterator[ServiceProcess]:
    started = await start_service_process("booking", "a")
    yield started
    await started.kill()


CHANGES = {
    "the service": SetContract(replace(CONTRACT, services=())),
    "the time": SetContract(replace(CONTRACT, default_deadline_s=0.5)),
    "the endpoint": SetEndpoint("service-a0", out=True),
}


@pytest.mark.parametrize("change", CHANGES.values(), ids=list(CHANGES))
async def test_calls_at_a_stopped_endpoint_run_once_while_the_configuration_changes(
    service: ServiceProcess, change: Change
) -> None:
    plan = FleetPlan(zones=("a", "a"), engine_zones=(), service_zones=())
    clients = [HttpClient() for _ in range(6)]
    async with LocalFleet(plan) as fleet:
        fleet.platform.put_instance(service.instance)
        daemons = fleet.daemon_by_id.values()
        await fleet.until(
            lambda: all(
                d.pool.has_slots("booking", d.config_sync.config, monotonic()) for d in daemons
            )
        )
        holder, other = (fleet.callers(name) for name in fleet.daemon_by_id)
        service.signal(signal.SIGSTOP)
        calls = [
            asyncio.create_task(book(client, holder, key))
            for client, key in zip(clients, ("k1", "k2", "", ""), strict=False)
        ]
        running = fleet.daemon_by_id["entry-a0"].pool._running_by_id
        await fleet.until(lambda: sum(running.values()) == len(calls))
        again = await book(clients[4], other, "k1")
        assert error_of(again)["ran"] == "unknown"
        await fleet.apply(change)
        await asyncio.sleep(PAUSE_S)
        service.signal(signal.SIGCONT)
        replies = await asyncio.gather(*calls)
        assert [reply.status for reply in replies] == [200] * len(calls)
        repeated = await book(clients[4], other, "k1")
        assert repeated.status != 200 or repeated.body == replies[0].body
        witness = await service.witness()
        assert {"k1", "k2"} <= witness.run_count_by_key.keys()
        assert list(witness.run_count_by_key.values()) == [1] * len(calls)
    for client in clients:
        client.close()
