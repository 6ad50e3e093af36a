"""Streams of workers that send bytes without end, but no further event."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_raw_worker import raw_workers, success_head
from tests.platform_worker import EVENTS_PER_STREAM

EVENTS = [b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1)]
FILL = b"x" * 65536


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        yield running


def one_event_head(head: bytes) -> bytes:
    return success_head(head) + EVENTS[0]


USELESS = {
    "event_without_end": (FILL, 0.0),
}


@pytest.mark.parametrize(("unit", "pause_s"), USELESS.values(), ids=USELESS)
async def test_stream_that_sends_bytes_but_no_event_is_resumed_on_another_worker(
    harness: PlatformHarness, unit: bytes, pause_s: float
) -> None:
    async with raw_workers(harness, ("engine-1",), one_event_head, unit, pause_s) as (endpoint,):
        while not endpoint.requests:
            async with asyncio.timeout(5.0):
                reply = await harness.send_draft()
            assert _content(reply.body) == EVENTS
        await harness.wait_until(lambda: endpoint.resets)
        assert endpoint.sent_bytes < 8 * 1024 * 1024


def _content(body: bytes) -> list[bytes]:
    """Return the events of a body that are neither comments nor blank."""
    events = [event.lstrip(b"\n") + b"\n\n" for event in body.split(b"\n\n")]
    return [event for event in events if event.startswith(b"id:")]
