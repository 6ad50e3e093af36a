"""Endpoints that are only silent, or slow to report, keep the work that they have begun."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import ExitStack
from socket import socket

import pytest

from comfreyhatch.adapters.http_client import ConnectResult, HttpClient
from comfreyhatch.exchange.view import LAPSE_GRACE_S
from tests.other_side import OtherSide, endpoint_process
from tests.platform_harness import PlatformHarness, config, running_harness
from tests.platform_raw_worker import replace_worker
from tests.platform_worker import EVENTS_PER_STREAM

TIMEOUT_MS = 8000
SHORT_BACKLOG = 2


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        running.store.put("op", "config", config(2, timeout_ms=TIMEOUT_MS, gap_aim_ms=TIMEOUT_MS))
        await running.wait_until(lambda: running.daemon.view.catalog.version == 2)
        yield running


async def await_lapse(harness: PlatformHarness) -> None:
    """Let the records of all workers lapse, and wait until none is listed."""
    for worker_id in harness.worker_by_id:
        harness.store.remove("servers", worker_id)
    await harness.wait_until(lambda: not harness.daemon.view.endpoint_list.record_by_id)
    await asyncio.sleep(LAPSE_GRACE_S + 0.5)


@pytest.mark.parametrize("path", ["/pay/x", "/read/x"])
async def test_request_that_runs_at_an_endpoint_whose_record_lapses_is_not_run_elsewhere(
    harness: PlatformHarness, path: str
) -> None:
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    for desk in desks:
        desk.hold = asyncio.Event()
    sending = asyncio.create_task(harness.send(path, deadline_ms=str(TIMEOUT_MS)))
    await harness.wait_until(lambda: any(desk.received for desk in desks))
    # A request that may be repeated is hedged while its endpoint is listed.
    hedged = 2 if path.startswith("/read/") else 1
    await await_lapse(harness)
    assert sum(len(desk.received) for desk in desks) <= hedged
    for desk in desks:
        desk.hold.set()
    assert (await sending).status == 200
    assert sum(desk.cancelled for desk in desks) < hedged


async def test_slow_stream_of_an_endpoint_whose_record_lapses_goes_on_there(
    harness: PlatformHarness,
) -> None:
    engines = [harness.worker_by_id[name] for name in ("engine-1", "engine-2")]
    for engine in engines:
        engine.pause_s = lambda number: 0.7 if number > 1 else 0.0
    sending = asyncio.create_task(harness.send_draft(deadline_ms=str(TIMEOUT_MS)))
    await harness.wait_until(lambda: any(engine.received for engine in engines))
    await await_lapse(harness)
    reply = await sending
    assert reply.body.count(b"id: ") == EVENTS_PER_STREAM
    assert sum(len(engine.received) for engine in engines) == 1


def fill_backlog(stack: ExitStack, endpoint: OtherSide) -> None:
    """Open connections that the paused endpoint doesn't accept, until no further one opens."""
    for _ in range(4 * SHORT_BACKLOG):
        waiting = stack.enter_context(socket())
        waiting.setblocking(False)
        waiting.connect_ex((endpoint.address.host, endpoint.address.port))


async def test_paused_endpoint_gets_requests_again_once_it_accepts_connections() -> None:
    async with endpoint_process(SHORT_BACKLOG) as endpoint, running_harness() as harness:
        await replace_worker(harness, "desk-1", endpoint)
        tracker = harness.daemon.view.tracker_by_id["desk-1"]
        with ExitStack() as stack:
            endpoint.pause()
            fill_backlog(stack, endpoint)
            # Several connections fail together.
            replies = await asyncio.gather(*(harness.send("/pay/whole") for _ in range(12)))
            assert 200 in {reply.status for reply in replies}
            assert tracker.lost_at is not None
            endpoint.resume()
        await harness.wait_until(lambda: tracker.lost_at is None)
        assert tracker.ejected_until <= asyncio.get_running_loop().time()


async def test_endpoint_that_has_ended_is_told_from_one_that_is_paused() -> None:
    client = HttpClient(connect_timeout_s=0.2)
    async with endpoint_process(SHORT_BACKLOG) as endpoint:
        assert await client.try_connect(endpoint.address) is ConnectResult.OPEN
        with ExitStack() as stack:
            endpoint.pause()
            fill_backlog(stack, endpoint)
            assert await client.try_connect(endpoint.address) is ConnectResult.NO_ANSWER
            assert not await client.is_refused(endpoint.address)
            endpoint.resume()
    assert await client.try_connect(endpoint.address) is ConnectResult.REFUSED
    client.close()
