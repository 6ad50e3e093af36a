"""Limits of the configuration that change while connections are open."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import closing

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.domain.instance import Address
from tests.platform_harness import API_KEY, HOST, PlatformHarness, config

SHORT_S = 0.3
LONG_S = 30.0
LIMITS = HttpLimits(header_bytes=2048, body_bytes=1000)
FIRST = b"GET / HTTP/1.1\r\nhost: a\r\n"
SECOND = b"\r\n"


class Caller:
    """A caller's connection, kept for several requests."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port))
        self._socket.settimeout(0)

    def send(self, data: bytes) -> None:
        """Send bytes at once; the event loop gets no turn."""
        self._socket.sendall(data)

    async def status(self) -> int:
        """Return the status of the next answer; 0 if the connection ends before."""
        data = b""
        async with asyncio.timeout(5.0):
            while b"\r\n\r\n" not in data:
                more = await asyncio.get_running_loop().sock_recv(self._socket, 65536)
                if not more:
                    return 0
                data += more
        return int(data.split(b" ")[1])

    async def request(self, body: bytes = b"", header: bytes = b"") -> int:
        """Send a request and return the status of its answer; 0 if the connection ends before."""
        head = b"POST / HTTP/1.1\r\nhost: a\r\nx: %s\r\ncontent-length: %d\r\n\r\n"
        await asyncio.get_running_loop().sock_sendall(
            self._socket, head % (header, len(body)) + body
        )
        return await self.status()

    def close(self) -> None:
        self._socket.close()


async def handle(request: HttpRequest) -> HttpResponse:
    return HttpResponse(204)


@pytest.fixture
async def server() -> AsyncIterator[HttpServer]:
    running = HttpServer(handle, LIMITS)
    await running.start("127.0.0.1", 0)
    yield running
    await running.stop(0.1)


def open_caller(server: HttpServer) -> Caller:
    assert server._server
    return Caller(Address(*server._server.sockets[0].getsockname()[:2]))


@pytest.mark.parametrize(
    ("change", "body", "header", "status"),
    [
        ({"body_bytes": 4000}, b"x" * 3000, b"", 204),
        ({"body_bytes": 100}, b"x" * 500, b"", 413),
        ({"header_bytes": 8000}, b"", b"x" * 6000, 204),
        ({"header_bytes": 200}, b"", b"x" * 1000, 431),
    ],
)
async def test_request_on_an_open_connection_gets_the_limits_in_force(
    server: HttpServer, change: dict[str, int], body: bytes, header: bytes, status: int
) -> None:
    with closing(open_caller(server)) as caller:
        assert await caller.request() == 204
        server.limits = replace(server.limits, **change)
        assert await caller.request(body, header) == status


async def test_head_that_is_read_in_pieces_gets_the_limits_in_force(server: HttpServer) -> None:
    with closing(open_caller(server)) as caller:
        assert await caller.request() == 204
        server.limits = replace(server.limits, header_bytes=8000)
        caller.send(FIRST + b"x: " + b"x" * 6000)
        await asyncio.sleep(0.1)
        caller.send(b"\r\n" + SECOND)
        assert await caller.status() == 204


async def test_connection_that_waits_while_the_idle_limit_is_raised_stays_open(
    server: HttpServer,
) -> None:
    server.limits = replace(LIMITS, idle_timeout_s=SHORT_S)
    with closing(open_caller(server)) as caller:
        assert await caller.request() == 204
        server.limits = replace(LIMITS, idle_timeout_s=LONG_S)
        await asyncio.sleep(2 * SHORT_S)
        assert await caller.request() == 204


async def test_connection_that_waits_while_the_idle_limit_is_lowered_keeps_the_longer_one(
    server: HttpServer,
) -> None:
    server.limits = replace(LIMITS, idle_timeout_s=LONG_S)
    with closing(open_caller(server)) as caller:
        assert await caller.request() == 204
        server.limits = replace(LIMITS, idle_timeout_s=SHORT_S)
        await asyncio.sleep(2 * SHORT_S)
        assert await caller.request() == 204
        # The next wait is bound by the lower limit.
        assert await caller.status() == 0


async def test_request_that_is_half_read_while_its_time_is_raised_is_answered(
    server: HttpServer,
) -> None:
    server.limits = replace(LIMITS, header_timeout_s=SHORT_S)
    with closing(open_caller(server)) as caller:
        caller.send(FIRST)
        await asyncio.sleep(SHORT_S / 2)
        server.limits = replace(LIMITS, header_timeout_s=LONG_S)
        await asyncio.sleep(SHORT_S)
        caller.send(SECOND)
        assert await caller.status() == 204


async def test_request_that_comes_as_the_idle_time_ends_is_answered(server: HttpServer) -> None:
    server.limits = replace(LIMITS, idle_timeout_s=SHORT_S)
    with closing(open_caller(server)) as caller:
        assert await caller.request() == 204
        caller.send(FIRST + SECOND)
        # Blocks the event loop, which then finds the bytes and the end of the time together.
        time.sleep(2 * SHORT_S)
        assert await caller.status() == 204


async def test_request_whose_rest_comes_as_its_time_ends_is_answered(server: HttpServer) -> None:
    server.limits = replace(LIMITS, header_timeout_s=SHORT_S)
    with closing(open_caller(server)) as caller:
        caller.send(FIRST)
        await asyncio.sleep(SHORT_S / 2)
        caller.send(SECOND)
        time.sleep(2 * SHORT_S)
        assert await caller.status() == 204


async def test_request_that_goes_on_after_its_time_is_refused(server: HttpServer) -> None:
    server.limits = replace(LIMITS, header_timeout_s=SHORT_S)
    with closing(open_caller(server)) as caller:

        async def trickle() -> None:
            while True:
                caller.send(b"x: y\r\n")
                await asyncio.sleep(0.01)

        caller.send(FIRST)
        trickling = asyncio.create_task(trickle())
        assert await caller.status() == 408
        trickling.cancel()


async def change_limits(harness: PlatformHarness, version: int, **changes: int) -> None:
    found = config(version)
    limits = found["limits"]
    assert isinstance(limits, dict)
    harness.store.put("op", "config", {**found, "limits": {**limits, **changes}})
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == version)


async def test_larger_body_is_taken_on_a_connection_that_was_open_before(
    harness: PlatformHarness,
) -> None:
    await change_limits(harness, 2, max_body_bytes=1000)
    assert harness.deployment

    async def pay(body: bytes) -> int:
        headers = {"host": HOST, "authorization": f"Bearer {API_KEY}", "attempt-id": "a" * 16}
        address = harness.deployment.callers
        reply = await harness.client.request(address, "POST", "/pay/x", body, headers)
        return reply.status

    assert await pay(b"small") == 200
    await change_limits(harness, 3, max_body_bytes=4000)
    assert await pay(b"x" * 3000) == 200
    assert harness.client.connections_opened == 1


async def test_connection_between_daemons_outlives_the_idle_limit_of_callers(
    harness: PlatformHarness,
) -> None:
    await change_limits(harness, 2, idle_timeout_ms=200)
    assert harness.deployment and harness.deployment.relay
    for _ in range(2):
        await harness.client.request(harness.deployment.relay, "GET", "/other")
        await asyncio.sleep(2 * SHORT_S)
    assert harness.client.connections_opened == 1
