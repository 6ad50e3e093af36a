"""Tests that records and bills are found, and bills correct, after daemons end and outages."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.daemon.requests.router import ESCALATION_SUFFIX
from comfreyhatch.decisions.lookup import hours_between, likely_holders
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.journal import hour_of
from comfreyhatch.domain.request_id import new_request_id, parse_request_id
from comfreyhatch.ports.peers import Member, MembershipView
from comfreyhatch.standins.fleet import CONTRACT, FleetPlan, LocalFleet
from tests.calls import chat
from tests.processes import start_daemon_process


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    contract = replace(CONTRACT, on_budget_unknown="cap", outage_cap_micros=10**9)
    plan = FleetPlan(zones=("a", "b"), engine_zones=("a",), service_zones=(), contracts=(contract,))
    async with LocalFleet(plan) as running:
        yield running


async def get(client: HttpClient, fleet: LocalFleet, entry: str, target: str) -> tuple[int, Any]:
    operators = fleet.addresses_by_id[entry].operators
    reply = await client.request(operators, "GET", target)
    return reply.status, decode(reply.body)


async def settlement(client: HttpClient, fleet: LocalFleet, entry: str) -> tuple[int, int, int]:
    """Return the numbers of billed requests, open requests and missing entries."""
    status, report = await get(client, fleet, entry, "/bills")
    assert status == 200
    return sum(b["requests"] for b in report["bills"]), report["open"], report["missing"]


def requests_run(fleet: LocalFleet) -> int:
    """Return the number of requests that ran; an escalated request runs twice under one id."""
    ids = fleet.engine_by_id["engine-a0"].witness.run_count_by_id
    return len({request_id.removesuffix(ESCALATION_SUFFIX) for request_id in ids})


async def test_a_request_is_explained_and_billed_after_its_daemon_has_stopped(
    fleet: LocalFleet, client: HttpClient
) -> None:
    reply = await chat(client, fleet.callers("entry-b1"))
    request_id = reply.header_by_name["x-request-id"]
    status, live = await get(client, fleet, "entry-a0", f"/explain/{request_id}")
    assert (status, live["daemon"]) == (200, "entry-b1")
    await fleet.stop_daemon("entry-b1")
    fleet.daemon_by_id["entry-a0"].journal_copies._copy_by_journal.clear()
    status, stored = await get(client, fleet, "entry-a0", f"/explain/{request_id}")
    assert (status, stored) == (200, live)
    status, listed = await get(client, fleet, "entry-a0", "/records?customer=trackline")
    assert [record["request_id"] for record in listed] == [request_id]
    assert (await get(client, fleet, "entry-a0", "/records?customer=nobody"))[1] == []
    assert await settlement(client, fleet, "entry-a0") == (1, 0, 0)
    other = new_request_id(live["incarnation"], live["at_unix_s"], 999)
    assert (await get(client, fleet, "entry-a0", f"/explain/{other}"))[0] == 404


async def test_bills_are_correct_after_a_kill_during_a_store_outage(
    fleet: LocalFleet, client: HttpClient, tmp_path: Path
) -> None:
    platform = fleet.platform.address
    doomed = await start_daemon_process(tmp_path, "doomed", "a", platform)
    survivor = fleet.daemon_by_id["entry-a0"]
    try:
        await fleet.until(lambda: "doomed" in survivor.membership.view.member_by_id)
        async with asyncio.timeout(20):
            while (reply := await chat(client, doomed.callers)).status != 200:
                await asyncio.sleep(0.1)
        request_id = reply.header_by_name["x-request-id"]
        await fleet.until(
            lambda: any(d.journal_copies.tails() for d in fleet.daemon_by_id.values())
        )
        fleet.platform.faults.outage = True
        for _ in range(3):
            assert (await chat(client, doomed.callers)).status == 200
        await open_stream(doomed.callers)
        ran = requests_run(fleet)
    finally:
        await doomed.kill()
    status, record = await get(client, fleet, "entry-b1", f"/explain/{request_id}")
    assert (status, record["daemon"]) == (200, "doomed")
    fleet.platform.faults.outage = False
    fleet.platform.faults.lose_write_answers = 2
    for daemon in fleet.daemon_by_id.values():
        daemon.journal_copies._grace_s = 0.0

    def stored() -> bool:
        return not any(daemon.journal_copies.tails() for daemon in fleet.daemon_by_id.values())

    await fleet.until(stored, timeout_s=40)
    for entry in fleet.daemon_by_id:
        found = await settlement(client, fleet, entry)
        # The request of the open stream has run, but it has no outcome and is not billed.
        assert found == (ran - 1, 1, 0)
    assert (await get(client, fleet, "entry-b1", f"/explain/{request_id}"))[1] == record


async def open_stream(callers: Address) -> None:
    """Start a long streamed answer and return after its first piece; the stream remains open."""
    client = HttpClient()
    body = b'{"messages":[{"role":"user","content":"q"}],"max_tokens":900,"stream":true}'
    headers = {"authorization": "Bearer trackline-key"}
    target = "/v1/chat/completions"
    stream = client.stream(callers, "POST", target, body, headers, timeout_s=20)
    reply = await stream.__aenter__()
    assert reply.status == 200
    await anext(reply.pieces(20))
    open_streams.append((client, stream))


# References to the streams of `open_stream`, without which they would be closed.
open_streams: list[object] = []


@given(st.text("ab.-~1", min_size=1), st.floats(0, 4e9), st.integers(0, 1 << 40))
def test_a_request_id_is_parsed_into_its_parts(incarnation: str, at_s: float, number: int) -> None:
    parsed = parse_request_id(new_request_id(incarnation, at_s, number))
    assert (parsed.incarnation, parsed.at_ms, parsed.number) == (
        incarnation,
        int(at_s * 1000),
        number,
    )


@given(st.floats(0, 2e9), st.floats(0, 3e5))
def test_hours_between_omits_no_hour(first_s: float, length_s: float) -> None:
    hours = hours_between(first_s, first_s + length_s)
    assert {hour_of(first_s), hour_of(first_s + length_s)} <= set(hours)
    assert len(hours) == len(set(hours)) == int((first_s + length_s) // 3600 - first_s // 3600) + 1


def test_the_writer_is_the_first_holder_and_this_daemon_is_none() -> None:
    address = Address("127.0.0.1", 1)
    members = {n: Member(n, f"{n}-1", n[0], address, address) for n in ("a0", "a1", "b0", "b1")}
    found = likely_holders("b1-1", "a0", MembershipView(members))
    assert found[0] == "b1" and "a0" not in found and len(found) == len(set(found))
