"""Listeners that hold memory and connections for their clients, and whom they turn away."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from msgspec import Struct
from prometheus_client import CollectorRegistry, generate_latest

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.metrics import ClientMetrics
from comfreyhatch.decisions.connection_limits import caller_connections, listener_connections
from comfreyhatch.decisions.memory_account import MemoryAccount, MemoryPart
from comfreyhatch.domain.instance import Address
from comfreyhatch.platform.header_codec import PlatformHeaderCodec

BODY_BYTES = 4_194_304
# Longest wait for something that does not depend on a limit; the limits of the tests are shorter.
AT_ONCE_S = 10.0
SHORT_S = 0.3
OK = b"HTTP/1.1 200"


class Listening(Struct):
    """A listener whose account has room for two bodies, and the requests that it has handled."""

    server: HttpServer
    account: MemoryAccount
    handled: list[HttpRequest]
    address: Address
    go_on: asyncio.Event
    writers: list[asyncio.StreamWriter]

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, which stays open, and send bytes."""
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        self.writers.append(writer)
        writer.write(data)
        return reader, writer


@asynccontextmanager
async def listening(limits: HttpLimits | None = None) -> AsyncIterator[Listening]:
    handled: list[HttpRequest] = []
    go_on = asyncio.Event()
    writers: list[asyncio.StreamWriter] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        handled.append(request)
        if request.path == "/wait":
            await go_on.wait()
        return HttpResponse(200, b"%d" % len(request.body))

    account = MemoryAccount(0.0)
    refuse = PlatformHeaderCodec().refusal
    server = HttpServer(handle, limits, True, account=account, refuse=refuse)
    address = await server.start("127.0.0.1", 0)
    try:
        yield Listening(server, account, handled, address, go_on, writers)
    finally:
        for writer in writers:
            writer.transport.abort()
        await server.stop(0.0)


def post(size: int, path: str = "/") -> bytes:
    """Return the head of a request with a body of a size."""
    return b"POST %s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % (path.encode(), size)


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(AT_ONCE_S):
        while not condition():
            await asyncio.sleep(0.01)


async def answer(reader: asyncio.StreamReader) -> bytes:
    """Return what comes until the connection ends."""
    return await asyncio.wait_for(reader.read(), AT_ONCE_S)


async def test_body_counts_while_it_is_read_and_while_its_request_is_under_way() -> None:
    async with listening() as found:
        used = found.account.used_by_part
        _, writer = await found.connect(post(BODY_BYTES, "/wait") + b"x")
        await wait_until(lambda: used[MemoryPart.READING] == BODY_BYTES)
        writer.write(b"x" * (BODY_BYTES - 1))
        await wait_until(lambda: used[MemoryPart.UNDER_WAY] == BODY_BYTES)
        found.go_on.set()
        await wait_until(lambda: not found.account.used_bytes)


async def test_body_without_memory_is_refused_and_has_not_run() -> None:
    """Guards against a refusal of a request that runs, and one that does not say so."""
    async with listening(HttpLimits(header_timeout_s=SHORT_S)) as found:
        holders = [await found.connect(post(BODY_BYTES, "/wait")) for _ in range(2)]
        for _, writer in holders:
            writer.write(b"x" * BODY_BYTES)
        await wait_until(lambda: len(found.handled) == 2)
        reader, _ = await found.connect(post(BODY_BYTES) + b"x")
        head, _, body = (await answer(reader)).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1.00" in head and b"connection: close" in head
        assert b'"code":2003' in body and b'"ran":"no"' in body
        assert len(found.handled) == 2
        found.go_on.set()


async def test_body_waits_for_memory_and_is_served_beyond_the_time_to_send_it() -> None:
    """Guards against a time-out of a client that the daemon itself has kept from sending."""
    async with listening(HttpLimits(header_timeout_s=2 * SHORT_S)) as found:
        for _ in range(2):
            _, writer = await found.connect(post(BODY_BYTES, "/wait"))
            writer.write(b"x" * BODY_BYTES)
        await wait_until(lambda: len(found.handled) == 2)
        reader, writer = await found.connect(post(BODY_BYTES))
        await asyncio.sleep(1.5 * SHORT_S)
        found.go_on.set()
        await asyncio.sleep(SHORT_S)
        writer.write(b"x" * BODY_BYTES)
        assert (await asyncio.wait_for(reader.readline(), AT_ONCE_S)).startswith(OK)
        assert found.handled[-1].waited_s >= 1.5 * SHORT_S


@pytest.mark.parametrize("framing", ["content-length: 4194304", "transfer-encoding: chunked"])
async def test_stalled_bodies_make_way_for_one_that_is_sent(framing: str) -> None:
    async with listening() as found:
        start = f"POST / HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n".encode()
        part = b"%x\r\n%s\r\n" % (100_000, b"x" * 100_000)
        stalled = [await found.connect(start + part) for _ in range(2)]
        await wait_until(lambda: found.account.used_bytes == 2 * BODY_BYTES)
        reader, writer = await found.connect(post(BODY_BYTES) + b"x" * BODY_BYTES)
        assert (await asyncio.wait_for(reader.readline(), AT_ONCE_S)).startswith(OK)
        writer.close()
        assert found.account.turned_away_by_part[MemoryPart.READING] == 1
        await wait_until(lambda: any(not each.at_eof() and each._buffer for each, _ in stalled))


async def test_idle_connection_makes_way_for_a_new_one_but_no_request_does() -> None:
    """Guards against connections without a request that keep ordinary clients out."""
    async with listening(HttpLimits(connections=2)) as found:
        idle, _ = await found.connect(b"")
        running, _ = await found.connect(post(0, "/wait"))
        await wait_until(lambda: found.handled and found.server.connections == 2)
        third, _ = await found.connect(post(0, "/wait"))
        assert await answer(idle) == b""
        await wait_until(lambda: len(found.handled) == 2)
        refused, _ = await found.connect(b"")
        assert await answer(refused) == b""
        found.go_on.set()
        for reader in (running, third):
            assert (await asyncio.wait_for(reader.readline(), AT_ONCE_S)).startswith(OK)


async def test_connections_of_one_address_are_limited() -> None:
    async with listening(HttpLimits(source_connections=1)) as found:
        first, _ = await found.connect(b"")
        await wait_until(lambda: found.server.connections == 1)
        second, _ = await found.connect(b"")
        assert await answer(second) == b""
        assert found.server.turned_away == 1 and not first.at_eof()


async def test_answer_that_is_not_read_in_time_is_dropped() -> None:
    """Guards against data that stays buffered on a closed connection for ever."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b"x" * 64_000_000)

    account = MemoryAccount(1000.0)
    server = HttpServer(handle, HttpLimits(write_timeout_s=SHORT_S), account=account)
    address = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(address.host, address.port, limit=1)
    writer.write(post(0))
    await reader.read(1)
    await wait_until(lambda: not server.connections and not account.used_bytes)
    writer.close()
    await server.stop(0.0)


async def test_metrics_show_what_is_held_and_who_was_turned_away() -> None:
    registry = CollectorRegistry()
    async with listening(HttpLimits(connections=7)) as found:
        ClientMetrics(registry, found.account, {"callers": found.server})
        await found.connect(post(BODY_BYTES))
        await wait_until(lambda: found.account.used_bytes)
        shown = generate_latest(registry).decode()
    for line in (
        'client_memory_bytes{part="reading"} 4.194304e+06',
        'clients_turned_away_total{part="unread"} 0.0',
        'client_connections{listener="callers"} 1.0',
        'client_connections_limit{listener="callers"} 7.0',
    ):
        assert f"comfreyhatch_{line}" in shown


def test_connections_follow_from_descriptors_and_memory() -> None:
    assert listener_connections(1638, 2 / 3) == 892
    assert listener_connections(100, 2 / 3) == 33
    assert caller_connections(150.0) == 656
    assert caller_connections(64.0) == 256
