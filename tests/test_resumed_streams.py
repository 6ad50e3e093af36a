"""Streams that break off, and what the next engine may answer when it is asked to go on."""

from collections.abc import Callable

import pytest

from comfreyhatch.errors import HttpError
from tests.platform_harness import API_KEY, HOST, PlatformHarness
from tests.platform_raw_worker import answer_head, raw_workers, stream_head, success_head
from tests.platform_worker import EVENTS_PER_STREAM

EVENTS = [b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1)]
STREAM = b"content-type: text/event-stream"
HEADERS = {
    "host": HOST,
    "attempt-id": "draft-1",
    "deadline-ms": "1500",
    "authorization": f"Bearer {API_KEY}",
    "model": "*",
    "token-counts": "1000,60",
}
Answer = Callable[[bytes], bytes]


def server_error(head: bytes) -> bytes:
    return answer_head(head, b"500 Failed", b"server-stamp: s", b"content-length: 6") + b"failed"


def redirect(head: bytes) -> bytes:
    return answer_head(head, b"302 Found", b"location: /other", b"content-length: 0")


def head_without_end(head: bytes) -> bytes:
    return stream_head(head)


def head_only(head: bytes) -> bytes:
    return success_head(head, b"content-length: 0")


def no_stream(head: bytes) -> bytes:
    body = b'{"error": "out of memory"}\n\n'
    length = b"content-length: %d" % len(body)
    return success_head(head, b"content-type: application/json", length) + body


def partial_content(head: bytes) -> bytes:
    length = b"content-length: %d" % len(b"".join(EVENTS[2:]))
    return answer_head(head, b"206 Partial", b"server-stamp: s", STREAM, length) + b"".join(
        EVENTS[2:]
    )


def later_events(head: bytes) -> bytes:
    return stream_head(head) + b"".join(EVENTS[4:])


def event_without_id(head: bytes) -> bytes:
    return stream_head(head) + b"data: out of memory\n\n"


BAD_ANSWERS = (
    server_error,
    redirect,
    head_without_end,
    head_only,
    no_stream,
    partial_content,
    later_events,
    event_without_id,
)


def is_resumed(head: bytes) -> bool:
    return b"\r\nlast-event-id:" in head.lower()


def breaking(then: Answer) -> Answer:
    """Return the answers of an engine that breaks off, and that has another one to go on with."""

    def answer(head: bytes) -> bytes:
        if is_resumed(head):
            return then(head)
        return stream_head(head) + EVENTS[0] + EVENTS[1] + EVENTS[2][:9]

    return answer


async def receive(harness: PlatformHarness) -> tuple[bytes, bool]:
    """Return what a caller gets of a stream, and whether it looks complete."""
    callers = harness.deployments[-1].callers
    received = b""
    try:
        async with harness.client.stream(callers, "POST", "/draft/x", b"x", HEADERS) as reply:
            assert reply.status == 200
            async for piece in reply.pieces(5.0):
                received += piece
    except HttpError:
        return received, False
    return received, True


@pytest.mark.parametrize("bad", BAD_ANSWERS, ids=lambda bad: bad.__name__)
async def test_nothing_of_an_answer_that_does_not_go_on_reaches_the_caller(
    harness: PlatformHarness, bad: Answer
) -> None:
    async with raw_workers(harness, ("engine-1", "engine-2"), breaking(bad), b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        assert await receive(harness) == (EVENTS[0] + EVENTS[1], False)
        assert sum(len(endpoint.requests) for endpoint in endpoints) > 1


@pytest.mark.parametrize("bad", BAD_ANSWERS, ids=lambda bad: bad.__name__)
async def test_stream_goes_on_at_another_engine_after_an_answer_that_does_not(
    harness: PlatformHarness, bad: Answer
) -> None:
    await harness.add_worker("engine-3", "engines")
    async with raw_workers(harness, ("engine-1", "engine-2"), breaking(bad), b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        while not any(is_resumed(head) for endpoint in endpoints for head in endpoint.requests):
            received = await receive(harness)
        assert received == (b"".join(EVENTS), True)


async def test_stream_without_ids_is_not_begun_again(harness: PlatformHarness) -> None:
    def without_ids(head: bytes) -> bytes:
        return stream_head(head) + b"data: one\n\n" + b"data: t"

    async with raw_workers(harness, ("engine-1", "engine-2"), without_ids, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        assert await receive(harness) == (b"data: one\n\n", False)
