"""Daemons and endpoints in processes of their own that are stopped and go on."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest

from comfreyhatch.daemon.requests.forwarding import Forwarder
from comfreyhatch.errors import ComfreyhatchError, HttpError
from comfreyhatch.ports.engine import ServiceRequest
from comfreyhatch.ports.peers import Member
from comfreyhatch.standins.fleet import FLEET_KEY, FleetPlan, LocalFleet
from tests.processes import DaemonProcess, start_daemon_process

GIVE_UP_S = 0.3


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


async def call(
    fleet: LocalFleet, member: Member, request_id: str, method: str, timeout_s: float
) -> None:
    """Forward a call to a daemon on a new connection."""
    forwarder = Forwarder(
        "caller", "a", FLEET_KEY, lambda: fleet.daemon_by_id["entry-a0"].membership.view, Random(1)
    )
    request = ServiceRequest(request_id, method, "/deposits", b"{}")
    await forwarder.call(member, "booking", request, timeout_s)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_given_up_while_its_daemon_was_stopped_is_not_sent_when_it_goes_on(
    fleet: LocalFleet, process: DaemonProcess, method: str
) -> None:
    witness = fleet.service_by_id["service-b0"].witness
    members = fleet.daemon_by_id["entry-a0"].membership
    await fleet.until(lambda: "proc-b" in members.view.member_by_id)
    member = members.view.member_by_id["proc-b"]
    while not witness.arrival_times_s:
        with suppress(ComfreyhatchError):
            await call(fleet, member, "first", method, 5.0)
    before = len(witness.arrival_times_s)
    process.signal(signal.SIGSTOP)
    calls = [call(fleet, member, f"r{number}", method, GIVE_UP_S) for number in range(8)]
    ends = await asyncio.gather(*calls, return_exceptions=True)
    assert all(isinstance(end, HttpError) for end in ends)
    process.signal(signal.SIGCONT)
    await call(fleet, member, "last", method, 5.0)
    assert len(witness.arrival_times_s) == before + 1
