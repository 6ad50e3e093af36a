"""Queries between daemons: the stop of a listener at any moment of an answer."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

import pytest

from comfreyhatch.domain.operations import Operations
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange import peers
from comfreyhatch.exchange.peers import PeerClient, PeerListener, PeerQuery, PeerUpdate
from tests.platform_harness import free_port

UPDATE = PeerUpdate(Operations(7, None, {}, frozenset()), 0.5, None, 0.0, None, Position(0, 7))
# Stops in one test; a fault that hangs 3 of 100 stops goes unseen in 1 of 2,000 runs.
STOPS = 250
# Far more than a stop takes on a busy machine; a stop that hangs never ends.
STOP_LIMIT_S = 10.0
# Turns of the event loop within which an answer or a query under way arrives.
MAX_TURNS = 12


async def answer_at_once(query: PeerQuery) -> PeerUpdate:
    return UPDATE


async def never_answer(query: PeerQuery) -> PeerUpdate:
    await asyncio.Event().wait()
    return UPDATE


@pytest.fixture
def address() -> str:
    return f"127.0.0.1:{free_port()}"


async def stop_within_limit(listener: PeerListener) -> None:
    async with asyncio.timeout(STOP_LIMIT_S):
        await listener.stop()


async def stop_repeatedly(
    address: str,
    answer: Callable[[PeerQuery], Awaitable[PeerUpdate]],
    wait: Callable[[asyncio.Task[PeerUpdate]], Awaitable[object]],
) -> None:
    """Start, query and stop listeners on one port; no stop may leave a task or keep the port."""
    tasks = asyncio.all_tasks()
    for _ in range(STOPS):
        listener = PeerListener(address, answer)
        listener.start()
        client = PeerClient(address)
        query = asyncio.create_task(client.query(PeerQuery(wait_s=STOP_LIMIT_S)))
        await wait(query)
        await stop_within_limit(listener)
        client.close()
        query.cancel()
        await asyncio.gather(query, return_exceptions=True)
        assert asyncio.all_tasks() == tasks


async def test_stop_right_after_an_answer_ends(address: str) -> None:
    await stop_repeatedly(address, answer_at_once, lambda query: query)


async def test_stop_while_a_query_arrives_ends(address: str) -> None:
    rng = Random(1)

    async def wait(query: asyncio.Task[PeerUpdate]) -> None:
        for _ in range(rng.randrange(MAX_TURNS)):
            await asyncio.sleep(rng.choice((0.0, 0.001)))

    await stop_repeatedly(address, never_answer, wait)


async def test_stop_ends_an_answer_that_waits(address: str) -> None:
    waiting = asyncio.Event()

    async def answer(query: PeerQuery) -> PeerUpdate:
        waiting.set()
        return await never_answer(query)

    await stop_repeatedly(address, answer, lambda query: waiting.wait())


async def test_stop_does_not_wait_for_an_answer_that_ignores_its_cancellation(
    address: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(peers, "STOP_TIMEOUT_S", 0.1)
    waiting, release = asyncio.Event(), asyncio.Event()

    async def answer(query: PeerQuery) -> PeerUpdate:
        waiting.set()
        while not release.is_set():
            with suppress(asyncio.CancelledError):
                await release.wait()
        return UPDATE

    tasks = asyncio.all_tasks()
    listener = PeerListener(address, answer)
    listener.start()
    client = PeerClient(address)
    query = asyncio.create_task(client.query(PeerQuery(wait_s=STOP_LIMIT_S)))
    await waiting.wait()
    await stop_within_limit(listener)
    assert "event=peer_listener_stop_late tasks=1" in caplog.text
    query.cancel()
    client.close()
    release.set()
    async with asyncio.timeout(STOP_LIMIT_S):
        while asyncio.all_tasks() != tasks:
            await asyncio.sleep(0.01)
