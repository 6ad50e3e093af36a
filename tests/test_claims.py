"""Tests that a call under a claim runs at most once."""

import asyncio
from collections.abc import Awaitable

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.idempotency.claims import ClaimedAnswer, ClaimedCall, ClaimManager
from comfreyhatch.domain.claim import StoredAnswer, claim_key, decode_claim
from comfreyhatch.errors import (
    BackendRefusedError,
    ComfreyhatchError,
    PlatformError,
)
from comfreyhatch.ports.peers import MemoryNetwork
from comfreyhatch.ports.table import MemoryTable, Operation, Row, WriteOutcome


class FlakyTable(MemoryTable):
    """A table with injected faults.

    Attributes:
        down: Whether all operations fail.
        lose_answers: Whether writes take effect with an unknown outcome.
    """

    down = False
    lose_answers = False

    async def read(self, key: str) -> Row | None:
        if self.down:
            raise PlatformError("down")
        return await super().read(key)

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        if self.down:
            raise PlatformError("down")
        outcome = await super().commit(operations)
        return WriteOutcome.UNKNOWN if self.lose_answers else outcome


@pytest.fixture
def table() -> FlakyTable:
    return FlakyTable()


@pytest.fixture
def network() -> MemoryNetwork:
    return MemoryNetwork()


async def paid() -> StoredAnswer:
    return StoredAnswer(200, "application/json", b"paid")


async def busy() -> StoredAnswer:
    raise BackendRefusedError("busy")


def new_manager(
    table: FlakyTable, network: MemoryNetwork, name: str, start: int = 1
) -> ClaimManager:
    return ClaimManager(table, network.join(name), name, f"{name}~{start}")


CALL = ClaimedCall("trackline", "deposit-7", "digest")


async def denied(awaitable: Awaitable[ClaimedAnswer]) -> ComfreyhatchError:
    with pytest.raises(ComfreyhatchError) as caught:
        await awaitable
    return caught.value


async def test_a_repeated_call_gets_its_first_answer_from_another_daemon(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    one, two = new_manager(table, network, "d1"), new_manager(table, network, "d2")
    table.lose_answers = True
    assert (await one.run(CALL, paid)).replayed is False
    again = await two.run(CALL, busy)
    assert (again.answer.body, again.replayed) == (b"paid", True)
    other = ClaimedCall("trackline", "deposit-7", "another")
    assert (await denied(two.run(other, paid))).code is ResultCode.KEY_REUSED


async def test_an_outage_refuses_calls_without_dispatch(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    claims = new_manager(table, network, "d1")
    table.down = True
    repeated = await denied(claims.run(CALL, paid))
    assert (repeated.code, repeated.ran) == (ResultCode.CLAIM_UNAVAILABLE, Ran.UNKNOWN)
    first = ClaimedCall("trackline", "deposit-8", "digest", first_attempt=True)
    assert (await denied(claims.run(first, paid))).ran is Ran.NO
    await claims.close()


async def test_a_refused_call_releases_its_claim_for_another_daemon(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    one, two = new_manager(table, network, "d1"), new_manager(table, network, "d2")
    assert (await denied(one.run(CALL, busy))).ran is Ran.NO
    assert (await two.run(CALL, paid)).answer.body == b"paid"


async def test_a_dead_or_restarted_holder_leaves_the_outcome_unknown(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    one, two = new_manager(table, network, "d1"), new_manager(table, network, "d2")
    started = asyncio.Event()

    async def hang() -> StoredAnswer:
        started.set()
        await asyncio.Event().wait()
        raise AssertionError

    running = asyncio.create_task(one.run(CALL, hang))
    await started.wait()
    active = await denied(two.run(CALL, paid))
    assert (active.code, active.ran) == (ResultCode.ALREADY_RUNNING, Ran.UNKNOWN)
    network.cut.add(("d2", "d1"))
    assert (await denied(two.run(CALL, paid))).code is ResultCode.OUTCOME_UNKNOWN
    network.cut.clear()
    restarted = new_manager(table, network, "d1", start=2)
    for claims in (two, restarted):
        gone = await denied(claims.run(CALL, paid))
        assert (gone.code, gone.ran) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    await one.close()
    await asyncio.gather(running, return_exceptions=True)


async def test_the_answer_is_recorded_after_an_outage_and_a_cancelled_caller(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    claims = new_manager(table, network, "d1")

    async def pay_in_outage() -> StoredAnswer:
        table.down = True
        caller.cancel()
        await asyncio.sleep(0)
        return await paid()

    caller = asyncio.create_task(claims.run(CALL, pay_in_outage))
    await asyncio.gather(caller, return_exceptions=True)
    assert await claims.drain(0.01) > 0
    table.down = False
    assert await claims.drain(10) == 0
    row = table.row_by_key[claim_key("trackline", "deposit-7")]
    answer = decode_claim(row.value).answer
    assert answer is not None and answer.body == b"paid"


async def test_a_call_whose_answer_is_too_large_to_keep_is_not_run_again(
    table: FlakyTable, network: MemoryNetwork
) -> None:
    claims = new_manager(table, network, "d1")

    async def large() -> StoredAnswer:
        return StoredAnswer(200, "text/plain", b"x" * 70_000)

    assert len((await claims.run(CALL, large)).answer.body) == 70_000
    assert (await denied(claims.run(CALL, paid))).code is ResultCode.ANSWER_NOT_KEPT
