"""Streams of workers that send bytes without end, but no further event."""

import asyncio

import pytest

from comfreyhatch.errors import HttpError
from tests.platform_harness import PlatformHarness, config
from tests.platform_raw_worker import raw_workers, stream_head
from tests.platform_worker import EVENTS_PER_STREAM

EVENTS = [b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1)]
FILL = b"x" * 65536


def one_event_head(head: bytes) -> bytes:
    return stream_head(head) + EVENTS[0]


USELESS = {
    "event_without_end": (FILL, 0.0),
    "slow_event_without_end": (b"x", 0.02),
    "comments": (b": x\n\n" * 1000, 0.0),
    "slow_comments": (b": x\n\n", 0.02),
    "old_events": (EVENTS[0] * 100, 0.0),
    "slow_old_events": (EVENTS[0], 0.02),
    "blank_lines": (b"\n" * 65536, 0.0),
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


@pytest.mark.parametrize(
    "unit",
    [b"data: x\n\n" * 4096, b"\n" * 65536, b": x\n\n" * 4096],
    ids=["data", "blank", "comment"],
)
async def test_other_requests_go_on_while_endpoints_send_as_fast_as_they_can(
    harness: PlatformHarness, unit: bytes
) -> None:
    ids = ("engine-1", "engine-2")
    async with raw_workers(harness, ids, one_event_head, unit) as endpoints:
        streams = [asyncio.create_task(harness.send_draft(deadline_ms="2500")) for _ in range(4)]
        await harness.wait_until(lambda: sum(len(e.requests) for e in endpoints))
        for _ in range(20):
            assert (await harness.send("/read/x")).status == 200
        results = await asyncio.gather(*streams, return_exceptions=True)
        assert all(isinstance(result, HttpError) for result in results)


async def test_operator_sees_an_event_without_end(
    harness: PlatformHarness, caplog: pytest.LogCaptureFixture
) -> None:
    async with raw_workers(harness, ("engine-1",), one_event_head, FILL) as (endpoint,):
        while not endpoint.requests:
            await harness.send_draft()
        metrics = await harness.client.request(harness.metrics, "GET", "/metrics")
        assert b'comfreyhatch_answers_too_large_total{part="event"} 1.0' in metrics.body
        assert f"event=answer_too_large address={endpoint.address} part=event" in caplog.text


async def test_stream_with_useless_bytes_that_cannot_be_resumed_ends_at_its_deadline(
    harness: PlatformHarness,
) -> None:
    harness.store.put("op", "config", config(2, max_attempts=1))
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    ids = ("engine-1", "engine-2")
    async with raw_workers(harness, ids, one_event_head, b": x\n\n", 0.02) as endpoints:
        with pytest.raises(HttpError):
            async with asyncio.timeout(4.0):
                await harness.send_draft(deadline_ms="1500")
        await harness.wait_until(lambda: sum(e.resets for e in endpoints))
        assert sum(len(e.requests) for e in endpoints) == 1
        trackers = [harness.daemon.view.tracker_by_id[worker_id] for worker_id in ids]
        assert sum(tracker.failure_share > 0 for tracker in trackers) == 1


def _content(body: bytes) -> list[bytes]:
    """Return the events of a body that are neither comments nor blank."""
    events = [event.lstrip(b"\n") + b"\n\n" for event in body.split(b"\n\n")]
    return [event for event in events if event.startswith(b"id:")]
