"""Tests of non-repeatable calls over HTTP; the stand-in service counts the executions."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from msgspec.json import decode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.idempotency.minted import MintedKeys
from comfreyhatch.decisions.minted import MINTED_KEY_LIFETIME_S, mint_key
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import HttpError, RequestError
from comfreyhatch.ports.table import MemoryTable
from comfreyhatch.standins.fleet import FLEET_KEY, FleetPlan, LocalFleet
from comfreyhatch.standins.service import ServiceStandin
from tests.calls import AUTHORIZATION, book, error_of
from tests.processes import start_daemon_process
from tests.test_claims import CALL, busy, denied, paid

KEY = "deposit-7"


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    plan = FleetPlan(zones=("a", "b"), engine_zones=("a",), service_zones=("a",))
    async with LocalFleet(plan) as running:
        yield running


def service_of(fleet: LocalFleet) -> ServiceStandin:
    return fleet.service_by_id["service-a0"]


def run_count(fleet: LocalFleet, key: str) -> int:
    return service_of(fleet).witness.run_count_by_key.get(key, 0)


async def mint(client: HttpClient, callers: Address) -> str:
    reply = await client.request(callers, "POST", "/v1/keys", b"", AUTHORIZATION)
    assert reply.status == 201
    return str(decode(reply.body)["idempotency_key"])


def code_of(reply: HttpReply) -> tuple[object, object]:
    return error_of(reply)["code"], error_of(reply)["ran"]


async def test_a_retry_on_another_daemon_gets_the_first_answer(
    fleet: LocalFleet, client: HttpClient
) -> None:
    fleet.platform.faults.lose_write_answers = 1
    first = await book(client, fleet.callers("entry-b1"), KEY)
    again = await book(client, fleet.callers("entry-a0"), KEY)
    assert (first.status, first.body) == (again.status, again.body)
    assert again.header_by_name["x-idempotent-replay"] == "true"
    other = await book(client, fleet.callers("entry-a0"), KEY, b'{"amount":2}')
    assert code_of(other) == (ResultCode.KEY_REUSED, "no")
    assert run_count(fleet, KEY) == 1


async def test_a_call_with_a_lost_answer_is_not_run_again_but_a_refused_one_may_be(
    fleet: LocalFleet, client: HttpClient
) -> None:
    service_of(fleet).faults.lose_answer_next = 1
    lost = await book(client, fleet.callers("entry-a0"), KEY)
    assert error_of(lost)["ran"] == "unknown"
    for entry in ("entry-a0", "entry-b1"):
        again = await book(client, fleet.callers(entry), KEY)
        assert code_of(again) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
    assert run_count(fleet, KEY) == 1
    service_of(fleet).faults.refuse_next = 20
    refused = await book(client, fleet.callers("entry-a0"), "deposit-8")
    assert error_of(refused)["ran"] == "no"
    service_of(fleet).faults.refuse_next = 0
    assert (await book(client, fleet.callers("entry-b1"), "deposit-8")).status == 200
    assert run_count(fleet, "deposit-8") == 1


async def test_in_an_outage_only_the_runner_of_a_minted_key_runs_its_call(
    fleet: LocalFleet, client: HttpClient
) -> None:
    key = await mint(client, fleet.callers("entry-b1"))
    fleet.platform.faults.outage = True
    chosen = await book(client, fleet.callers("entry-a0"), KEY)
    assert code_of(chosen) == (ResultCode.CLAIM_UNAVAILABLE, "unknown")
    callers = [fleet.callers(entry) for entry in ("entry-a0", "entry-b1")]
    replies = await asyncio.gather(*(book(client, callers[i % 2], key) for i in range(6)))
    assert {(r.status, r.body) for r in replies} == {(200, replies[0].body)}
    assert (run_count(fleet, KEY), run_count(fleet, key)) == (0, 1)
    forged = key[:-1] + ("0" if key[-1] != "0" else "1")
    assert code_of(await book(client, callers[0], forged)) == (ResultCode.BAD_REQUEST, "no")
    fleet.platform.faults.outage = False
    late = await mint(client, fleet.callers("entry-b1"))
    assert (await book(client, callers[0], late)).status == 200
    unused = await mint(client, fleet.callers("entry-b1"))
    await fleet.stop_daemon("entry-b1")
    kept = await book(client, callers[0], late)
    assert (kept.status, kept.header_by_name.get("x-idempotent-replay")) == (200, "true")
    gone = await book(client, callers[0], unused)
    assert code_of(gone) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
    assert (run_count(fleet, late), run_count(fleet, unused)) == (1, 0)


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
async def test_a_holder_killed_or_paused_while_it_runs_leaves_one_execution(
    fleet: LocalFleet, client: HttpClient, tmp_path: Path, fault: signal.Signals
) -> None:
    holder = await start_daemon_process(tmp_path, "holder", "a", fleet.platform.address)
    try:
        async with asyncio.timeout(20):
            while (await book(client, holder.callers, "warm-up")).status != 200:
                await asyncio.sleep(0.1)
        service = service_of(fleet)
        service.faults.slow_s = 1.0
        arrived = len(service.witness.arrival_times_s)
        call = asyncio.create_task(book(client, holder.callers, KEY))
        await fleet.until(lambda: len(service.witness.arrival_times_s) > arrived)
        holder.signal(fault)
        again = await book(client, fleet.callers("entry-a0"), KEY)
        assert code_of(again) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
        await fleet.until(lambda: run_count(fleet, KEY) == 1)
        holder.signal(signal.SIGCONT) if fault is signal.SIGSTOP else None
        first = await asyncio.gather(call, return_exceptions=True)
        last = await book(client, fleet.callers("entry-a0"), KEY)
        if fault is signal.SIGKILL:
            assert isinstance(first[0], HttpError)
            assert code_of(last) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
        else:
            assert isinstance(first[0], HttpReply) and first[0].body == last.body
        assert run_count(fleet, KEY) == 1
    finally:
        await holder.kill()


async def test_a_call_with_an_expired_key_is_not_run_and_a_refused_call_may_be_run_again() -> None:
    now = 0.0
    minted = MintedKeys(MemoryTable(), (b"fleet",), "d1", "d1-1", clock=lambda: now)
    key = minted.parse("trackline", minted.mint("trackline"))
    with pytest.raises(RequestError):
        minted.parse("another", key.text)
    now = MINTED_KEY_LIFETIME_S + 1
    assert (await denied(minted.run(CALL, key, paid))).code is ResultCode.BAD_REQUEST
    fresh = minted.parse("trackline", minted.mint("trackline"))
    assert (await denied(minted.run(CALL, fresh, busy))).ran is Ran.NO
    assert (await minted.run(CALL, fresh, paid)).replayed is False
    now = fresh.expires_at + 30
    assert (await minted.run(CALL, fresh, paid)).replayed is True
    restarted = MintedKeys(MemoryTable(), (b"fleet",), "d1", "d1-2")
    assert not restarted.is_own(fresh)
    other = mint_key(FLEET_KEY, "trackline", "d1", "d1-1", 0.0, "n")
    with pytest.raises(RequestError):
        minted.parse("trackline", other)
