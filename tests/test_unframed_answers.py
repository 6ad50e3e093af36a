"""Answers with neither a length nor chunks, which end with their connection."""

import pytest

from comfreyhatch.errors import HttpError
from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import raw_workers, stream_head, success_head
from tests.platform_worker import EVENTS_PER_STREAM

EVENTS = [b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1)]


async def test_answer_without_length_or_chunks_is_passed_on_whole(harness: PlatformHarness) -> None:
    def whole(head: bytes) -> bytes:
        return success_head(head) + b"booked"

    async with raw_workers(harness, ("desk-1", "desk-2"), whole, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        reply = await harness.send("/pay/x")
    assert (reply.status, reply.body) == (200, b"booked")


async def test_stream_without_length_or_chunks_is_passed_on_whole(harness: PlatformHarness) -> None:
    def whole(head: bytes) -> bytes:
        return stream_head(head) + b"".join(EVENTS)

    async with raw_workers(harness, ("engine-1", "engine-2"), whole, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        reply = await harness.send_draft()
    assert (reply.status, reply.body) == (200, b"".join(EVENTS))
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


async def test_stream_that_ends_inside_an_event_is_resumed(harness: PlatformHarness) -> None:
    def cut(head: bytes) -> bytes:
        return stream_head(head) + EVENTS[0] + EVENTS[1][:9]

    async with raw_workers(harness, ("engine-1",), cut, b"") as (endpoint,):
        endpoint.closes = True
        while not endpoint.requests:
            reply = await harness.send_draft()
        assert (reply.status, reply.body) == (200, b"".join(EVENTS))


async def test_stream_that_ends_inside_an_event_never_looks_complete(
    harness: PlatformHarness,
) -> None:
    def cut(head: bytes) -> bytes:
        return stream_head(head) + EVENTS[0] + EVENTS[1][:9]

    async with raw_workers(harness, ("engine-1", "engine-2"), cut, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        with pytest.raises(HttpError):
            await harness.send_draft(deadline_ms="800")


async def test_stream_that_ends_before_its_first_event_is_sent_to_another_engine(
    harness: PlatformHarness,
) -> None:
    # An engine that crashes as it begins to write closes its connection like one that is done.
    async with raw_workers(harness, ("engine-1",), stream_head, b"") as (endpoint,):
        endpoint.closes = True
        while not endpoint.requests:
            reply = await harness.send_draft()
        assert (reply.status, reply.body) == (200, b"".join(EVENTS))
