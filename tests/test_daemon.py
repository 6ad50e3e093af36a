"""Tests of a request from the caller to the record, in one process and in several."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from msgspec.json import decode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.change import WithdrawVersion
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import AUTHORIZATION, book, chat, content, error_of
from tests.processes import start_daemon_process


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    async with LocalFleet(FleetPlan(engine_zones=("a",), service_zones=("a",))) as running:
        yield running


@pytest.mark.parametrize("entry", ["entry-a0", "entry-b1"])
async def test_chat_is_answered_completely_in_either_zone(
    fleet: LocalFleet, client: HttpClient, entry: str
) -> None:
    reply = await chat(client, fleet.callers(entry))
    assert reply.status == 200
    streamed = await chat(client, fleet.callers(entry), stream=True)
    events = [e.removeprefix(b"data: ") for e in streamed.body.split(b"\n\n") if e]
    assert events[-1] == b"[DONE]"
    pieces = [decode(event)["choices"][0] for event in events[:-1]]
    assert pieces[-1]["finish_reason"]
    assert len("".join(p["delta"].get("content", "") for p in pieces).split()) == 6
    assert len(content(reply).split()) == 6


async def test_each_request_runs_once_and_is_explained(
    fleet: LocalFleet, client: HttpClient
) -> None:
    replies = await asyncio.gather(*(chat(client, fleet.callers("entry-b1")) for _ in range(5)))
    runs = fleet.engine_by_id["engine-a0"].witness.run_count_by_id
    ids = [reply.header_by_name["x-request-id"] for reply in replies]
    assert {request_id: runs[request_id] for request_id in ids} == dict.fromkeys(ids, 1)
    operators = fleet.addresses_by_id["entry-b1"].operators
    for request_id in ids:
        record = decode((await client.request(operators, "GET", f"/explain/{request_id}")).body)
        assert record["attempts"][-1]["endpoint_id"] == "engine-a0"
        assert record["cost_micros"] > 0


async def test_contract_limits_models_and_services(fleet: LocalFleet, client: HttpClient) -> None:
    callers = fleet.callers("entry-a0")
    unknown = await client.request(callers, "GET", "/v1/models")
    assert (unknown.status, error_of(unknown)["ran"]) == (401, "no")
    refused = await chat(client, callers, model="somebody-elses-model")
    assert error_of(refused)["code"] == ResultCode.NOT_ALLOWED
    headers = dict(AUTHORIZATION)
    other = await client.request(callers, "POST", "/services/orders/x", b"", headers)
    assert error_of(other)["code"] == ResultCode.NOT_ALLOWED
    assert fleet.engine_by_id["engine-a0"].witness.run_count_by_version == {}


async def test_withdrawn_version_gets_no_new_work(fleet: LocalFleet, client: HttpClient) -> None:
    await fleet.apply(WithdrawVersion("coach-small@1"))
    await fleet.until(lambda: all(_revision(d) == 4 for d in fleet.daemon_by_id.values()))
    for entry in fleet.daemon_by_id:
        reply = await chat(client, fleet.callers(entry))
        assert reply.header_by_name["x-version"] == "coach-large@1"
        refused = await chat(client, fleet.callers(entry), model="coach-small@1")
        assert error_of(refused)["ran"] == "no"
    witness = fleet.engine_by_id["engine-a0"].witness
    assert witness.run_count_by_version.keys() == {"coach-large@1"}


async def test_call_to_a_service_is_forwarded_and_runs_once(
    fleet: LocalFleet, client: HttpClient
) -> None:
    reply = await book(client, fleet.callers("entry-b1"), "deposit-7")
    assert reply.status == 200
    witness = fleet.service_by_id["service-a0"].witness
    assert witness.run_count_by_key["deposit-7"] == 1


async def test_daemon_processes_serve_from_end_to_end(
    fleet: LocalFleet, client: HttpClient, tmp_path: Path
) -> None:
    platform = fleet.platform.address
    daemons = [await start_daemon_process(tmp_path, f"proc-{z}", z, platform) for z in "ab"]
    try:
        for daemon in daemons:
            async with asyncio.timeout(20):
                while (await chat(client, daemon.callers)).status != 200:
                    await asyncio.sleep(0.1)
    finally:
        statuses = [await daemon.terminate() for daemon in daemons]
    assert statuses == [0, 0]


def _revision(daemon: object) -> int:
    return daemon.config_editor.config.revision  # type: ignore[attr-defined, no-any-return]


async def test_metrics_count_answered_requests(fleet: LocalFleet, client: HttpClient) -> None:
    for _ in range(3):
        assert (await chat(client, fleet.callers("entry-a0"))).status == 200
    operators = fleet.addresses_by_id["entry-a0"].operators
    text = (await client.request(operators, "GET", "/metrics")).body.decode()
    assert 'comfreyhatch_requests_total{code="0",kind="chat"} 3.0' in text
    assert "comfreyhatch_configuration_revision 3.0" in text
    assert "process_resident_memory_bytes" in text
