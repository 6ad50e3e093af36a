"""Requests late in the grace of a planned stop are refused, and those that run get an answer."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.errors import HttpError
from comfreyhatch.exchange.daemon import BALANCER_DRAIN_S
from tests.platform_harness import BOUNDS, PlatformHarness, config, running_harness

TIMEOUT_MS = 20_000


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        running.store.put("op", "config", config(2, timeout_ms=TIMEOUT_MS))
        await running.wait_until(lambda: running.daemon.view.catalog.version == 2)
        for name in ("desk-1", "desk-2"):
            running.worker_by_id[name].hold = asyncio.Event()
        yield running


def received(harness: PlatformHarness) -> int:
    return sum(len(worker.received) for worker in harness.worker_by_id.values())


async def send_or_none(harness: PlatformHarness, path: str) -> HttpReply | None:
    """Send a request; return None if the connection is closed or refused before it is read."""
    try:
        return await harness.send(path, deadline_ms=str(TIMEOUT_MS))
    except HttpError:
        return None


@pytest.mark.parametrize("path", ["/pay/x", "/read/x"])
async def test_request_that_runs_at_the_end_of_the_grace_gets_an_answer(
    harness: PlatformHarness, path: str
) -> None:
    # It was cut: its caller saw a closed connection, and no answer.
    sending = asyncio.create_task(harness.send(path, deadline_ms=str(TIMEOUT_MS)))
    await harness.wait_until(lambda: received(harness))
    started = asyncio.get_running_loop().time()
    await harness.daemon.shut_down()
    assert asyncio.get_running_loop().time() - started < BOUNDS.grace_s
    reply = await sending
    assert reply.status == 502
    assert b'"ran":"unknown"' in reply.body


@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_request_that_comes_late_in_the_grace_is_not_passed_on(
    harness: PlatformHarness, path: str
) -> None:
    running = asyncio.create_task(send_or_none(harness, "/pay/x"))
    await harness.wait_until(lambda: received(harness))
    stopping = asyncio.create_task(harness.daemon.shut_down())
    await asyncio.sleep(BALANCER_DRAIN_S + 0.02)
    before = received(harness)
    replies = await asyncio.gather(*(send_or_none(harness, path) for _ in range(5)))
    assert all(reply is None or reply.status == 503 for reply in replies)
    await stopping
    await running
    assert received(harness) == before


async def test_stop_of_a_listener_answers_what_still_runs() -> None:
    async def wait(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(60)
        raise AssertionError("not reached")

    server, client = HttpServer(wait), HttpClient()
    address = await server.start("127.0.0.1", 0)
    sending = [asyncio.create_task(client.request(address, "POST", "/x")) for _ in range(3)]
    await asyncio.sleep(0.1)
    await server.stop(0.2)
    assert {(await each).status for each in sending} == {502}
    client.close()
