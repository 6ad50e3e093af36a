"""Requests that come at the very moment of a planned stop are answered."""

import asyncio
import socket

import pytest

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.domain.instance import Address

REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
GRACE_S = 3.0
CONNECTIONS = 20


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, request.body)


async def started() -> tuple[HttpServer, Address]:
    server = HttpServer(echo)
    return server, await server.start("127.0.0.1", 0)


def connect(address: Address, data: bytes) -> socket.socket:
    """Connect without giving the server a turn, and send bytes."""
    found = socket.create_connection((address.host, address.port))
    found.sendall(data)
    found.setblocking(False)
    return found


async def answer(found: socket.socket) -> bytes:
    """Return what comes until the server closes the connection."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(GRACE_S):
        while piece := await loop.sock_recv(found, 65536):
            received += piece
    found.close()
    return received


def is_whole(received: bytes) -> bool:
    return received.startswith(b"HTTP/1.1 200") and received.endswith(b"body")


async def test_request_on_a_connection_that_is_not_accepted_yet_is_answered() -> None:
    server, address = await started()
    waiting = [connect(address, REQUEST) for _ in range(CONNECTIONS)]
    await server.stop(GRACE_S)
    assert all([is_whole(await answer(found)) for found in waiting])


@pytest.mark.parametrize("turns", range(6))
async def test_request_on_an_idle_connection_that_is_not_read_yet_is_answered(turns: int) -> None:
    server, address = await started()
    idle = [connect(address, b"") for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.05)
    for found in idle:
        found.sendall(REQUEST)
    for _ in range(turns):
        await asyncio.sleep(0)
    await server.stop(GRACE_S)
    assert all([is_whole(await answer(found)) for found in idle])


async def test_request_of_which_a_part_has_come_is_answered() -> None:
    server, address = await started()
    begun = [connect(address, REQUEST[:-2]) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(server.stop(GRACE_S))
    await asyncio.sleep(0.1)
    for found in begun:
        found.sendall(REQUEST[-2:])
    assert all([is_whole(await answer(found)) for found in begun])
    await stopping


async def test_answer_is_not_destroyed_by_a_request_sent_behind_its_own() -> None:
    # Closing a connection with bytes unread resets it, which discards what its peer has not read.
    server, address = await started()
    server.drain()
    pipelined = [connect(address, REQUEST + REQUEST + REQUEST) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.2)
    answers = [await answer(found) for found in pipelined]
    assert all(b"connection: close" in found.lower() and is_whole(found) for found in answers)
    await server.stop(GRACE_S)
