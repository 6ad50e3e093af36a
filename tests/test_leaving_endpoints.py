"""Endpoints that say in their answers that they are leaving get no more requests."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.platform_harness import BOUNDS, PlatformHarness, running_harness


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        yield running


async def send(harness: PlatformHarness, path: str) -> int:
    reply = await (harness.send_draft() if path.startswith("/draft/") else harness.send(path))
    return reply.status


@pytest.mark.parametrize(
    ("path", "worker_id"),
    [("/read/x", "desk-1"), ("/pay/x", "desk-1"), ("/draft/x", "engine-1")],
)
async def test_leaving_endpoint_gets_no_request_after_its_notice(
    harness: PlatformHarness, path: str, worker_id: str
) -> None:
    # Its requests went on until its record was read, which a silent store delays without end.
    leaving = harness.worker_by_id[worker_id]
    harness.cut_from_store(0)
    leaving.leaving = True
    for _ in range(20):
        if leaving.received:
            break
        assert await send(harness, path) == 200
    assert leaving.received
    await asyncio.sleep(BOUNDS.drain_s)
    before = len(leaving.received)
    assert [await send(harness, path) for _ in range(20)] == [200] * 20
    assert len(leaving.received) == before
