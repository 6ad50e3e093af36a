"""Queries between daemons: the stop of a listener and the end of a query at any moment."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from random import Random

import pynng
import pytest
from msgspec.msgpack import encode
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog, RequestKind, Route, ServiceShare, Workspace
from comfreyhatch.domain.operations import Operations
from comfreyhatch.domain.position import Position
from comfreyhatch.errors import PeerError, PeerTimeoutError
from comfreyhatch.exchange import peers
from comfreyhatch.exchange.peers import PeerClient, PeerListener, PeerQuery, PeerUpdate
from tests.platform_harness import free_port

UPDATE = PeerUpdate(Operations(7, None, {}, frozenset()), 0.5, None, 0.0, None, Position(0, 7))
# Stops in one test; a fault that hangs 3 of 100 stops goes unseen in 1 of 2,000 runs.
STOPS = 250
# Far more than a stop takes on a busy machine; a stop that hangs never ends.
STOP_LIMIT_S = 10.0
# Queries that are cancelled in one test.
CANCELLATIONS = 500
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


async def wait_until_free(address: str) -> None:
    """Wait until the port can be had; nng closes its descriptor in a thread, after the stop."""
    host, port = address.split(":")
    async with asyncio.timeout(STOP_LIMIT_S):
        while True:
            with suppress(OSError), socket.create_server((host, int(port))):
                return
            await asyncio.sleep(0.002)


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
        await wait_until_free(address)
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


def configuration() -> Catalog:
    """Return a configuration of 40 routes and 400 keys, with names that don't repeat."""
    rng = Random(5)

    def name() -> str:
        return f"{rng.getrandbits(40):010x}"

    def route(host: str) -> Route:
        shares = (ServiceShare(name()),)
        return Route(name(), host, f"/{name()}/", RequestKind.STREAM, 20.0, 2.0, 1, shares)

    hosts = [f"{name()}.example" for _ in range(40)]
    workspaces = {name(): Workspace(name(), 1) for _ in range(400)}
    return Catalog(3, {host: (route(host),) for host in hosts}, {}, workspaces)


async def test_change_of_the_configuration_does_not_fill_the_link_of_a_reader(
    address: str,
) -> None:
    # All followers are sent a change at once. On a narrow link that took longer than they wait for
    # an answer: ten of them dropped their reader at one change.
    update = replace(UPDATE, operations=Operations(7, configuration(), {}, frozenset()))

    async def answer(query: PeerQuery) -> PeerUpdate:
        return update

    listener = PeerListener(address, answer)
    listener.start()
    client = PeerClient(address)
    assert await client.query(PeerQuery()) == update
    client.close()
    await listener.stop()
    assert listener.answers == 1
    assert listener.bytes_sent < len(encode(update)) / 2


@pytest.mark.parametrize("data", [b"", b"no answer", b"\x78\x01", encode(UPDATE)])
async def test_answer_that_cannot_be_decoded_is_an_error(address: str, data: bytes) -> None:
    client = PeerClient(address)
    with pynng.Rep0(listen=f"tcp://{address}") as socket:
        query = asyncio.create_task(client.query(PeerQuery(wait_s=STOP_LIMIT_S)))
        await socket.arecv()
        await socket.asend(data)
        with pytest.raises(PeerError):
            await query
    client.close()


@pytest.fixture
async def client(address: str) -> AsyncIterator[PeerClient]:
    """A client with an open connection to a listener that answers at once."""
    listener = PeerListener(address, answer_at_once)
    listener.start()
    client = PeerClient(address)
    await client.query(PeerQuery())
    yield client
    client.close()
    await stop_within_limit(listener)


async def test_cancelled_query_ends_as_cancelled_even_if_its_answer_arrives(
    client: PeerClient,
) -> None:
    # A task that queries again and again would go on, and the stop of the sync would wait for it.
    rng = Random(1)
    cancelled = 0
    for _ in range(CANCELLATIONS):
        query = asyncio.create_task(client.query(PeerQuery()))
        for _ in range(rng.randrange(MAX_TURNS)):
            await asyncio.sleep(rng.choice((0.0, 0.0001)))
        if query.cancel():
            cancelled += 1
            await asyncio.wait({query}, timeout=STOP_LIMIT_S)
            assert query.cancelled()
    assert cancelled


class _SocketOfALateSend:
    """A socket whose send ends only when it is cancelled, and drops the cancellation, as pynng."""

    def __init__(self, error: pynng.NNGException | None) -> None:
        self._error = error

    def dial(self, address: str, block: bool) -> None:
        pass

    def close(self) -> None:
        pass

    async def asend(self, data: bytes) -> None:
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()
        if self._error:
            raise self._error

    async def arecv(self) -> bytes:
        await asyncio.Event().wait()
        return b""


@pytest.mark.parametrize("error", [None, pynng.Closed("closed", 7)])
async def test_query_times_out_even_if_its_send_drops_the_cancellation(
    monkeypatch: pytest.MonkeyPatch, error: pynng.NNGException | None
) -> None:
    monkeypatch.setattr(pynng, "Req0", lambda **options: _SocketOfALateSend(error))
    async with asyncio.timeout(STOP_LIMIT_S):
        with pytest.raises(PeerTimeoutError):
            await PeerClient("127.0.0.1:1").query(PeerQuery())


@pytest.mark.parametrize("error", [None, pynng.Closed("closed", 7)])
async def test_cancelled_query_ends_even_if_its_send_drops_the_cancellation(
    monkeypatch: pytest.MonkeyPatch, error: pynng.NNGException | None
) -> None:
    monkeypatch.setattr(pynng, "Req0", lambda **options: _SocketOfALateSend(error))
    query = asyncio.create_task(PeerClient("127.0.0.1:1").query(PeerQuery(wait_s=STOP_LIMIT_S)))
    await asyncio.sleep(0)
    query.cancel()
    await asyncio.wait({query}, timeout=STOP_LIMIT_S)
    assert query.cancelled()
