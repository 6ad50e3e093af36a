"""The request path with workers that send the copy of an earlier answer before the next one."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from comfreyhatch.adapters.http_head import SKIPPED_LIMIT
from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import (
    answer_head,
    refusal_head,
    replace_worker,
    request_id,
    stream_head,
    success_head,
)
from tests.raw_endpoint import RawEndpoint, listening

NO_BODY = b"content-length: 0"
EVENT = b"id: 1\ndata: one\n\n"
# Begin of the ids of requests that are refused.
REFUSED = b"refused"
Answer = Callable[[bytes], bytes]


def refusal(head: bytes) -> bytes:
    return refusal_head(head, NO_BODY)


def refusal_with_body(head: bytes) -> bytes:
    return refusal_head(head, b"content-length: 4") + b"busy"


def refusal_without_id(head: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 503 Busy", b"not-executed: 1", NO_BODY, b"", b""])


def misdirected(head: bytes) -> bytes:
    return answer_head(head, b"421 Misdirected", NO_BODY)


def success(head: bytes) -> bytes:
    return success_head(head, b"content-length: 2") + b"ok"


def success_without_id(head: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 200 OK", b"server-stamp: s", NO_BODY, b"", b""])


def stream(head: bytes) -> bytes:
    return stream_head(head, b"content-length: %d" % len(EVENT)) + EVENT


def answer_to(head: bytes) -> bytes:
    """Return the answer of a run, which for a prompt is a stream."""
    return stream(head) if b"\r\nmodel:" in head.lower() else success(head)


COPIES: dict[str, Answer] = {
    "refusal": refusal,
    "refusal_with_body": refusal_with_body,
    "refusal_without_id": refusal_without_id,
    "misdirected": misdirected,
    "success": success,
    "success_without_id": success_without_id,
    "stream": stream,
}


class CopyingEndpoint:
    """Refuses some requests, and sends copies before the next answer of the same connection.

    Attributes:
        runs: Ids of the requests that it has run.
        copied: Number of the answers that copies came before.
        raw: Its listener.
    """

    def __init__(self, copy: Answer, copies: int) -> None:
        self.runs: list[bytes] = []
        self.copied = 0
        self.raw = RawEndpoint(self.answer)
        self._copy = copy
        self._copies = copies
        self._refused_by_connection: dict[int, bytes] = {}

    def answer(self, head: bytes) -> bytes:
        if request_id(head).startswith(REFUSED):
            self._refused_by_connection[self.raw.serving] = head
            return refusal(head)
        self.runs.append(request_id(head))
        refused = self._refused_by_connection.pop(self.raw.serving, None)
        self.copied += refused is not None
        return (self._copy(refused) * self._copies if refused else b"") + answer_to(head)


@asynccontextmanager
async def copying(
    harness: PlatformHarness, service: str, copy: Answer, copies: int = 1
) -> AsyncIterator[list[CopyingEndpoint]]:
    """Replace both workers of a service by endpoints that send copies."""
    endpoints = [CopyingEndpoint(copy, copies) for _ in range(2)]
    try:
        for number, endpoint in enumerate(endpoints, 1):
            await endpoint.raw.listen()
            await replace_worker(harness, f"{service}-{number}", endpoint.raw)
        yield endpoints
    finally:
        for endpoint in endpoints:
            await endpoint.raw.stop()


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES)
@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_copy_of_an_earlier_answer_does_not_end_the_request_that_it_comes_before(
    harness: PlatformHarness, path: str, copy: Answer, copies: int
) -> None:
    service = "engine" if path.startswith("/draft/") else "desk"
    async with copying(harness, service, copy, copies) as endpoints:
        await harness.send_kind(path, attempt_id=REFUSED.decode())
        replies = [await harness.send_kind(path, attempt_id=f"call-{n}") for n in range(6)]
        body = EVENT if service == "engine" else b"ok"
        assert [(reply.status, reply.body) for reply in replies] == [(200, body)] * 6
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        assert sorted(runs) == [b"call-%d" % n for n in range(6)]
        assert sum(endpoint.copied for endpoint in endpoints) >= 2


class RepeatingEndpoint:
    """Refuses each request once, and copies that refusal before its answer on the same connection.

    Attributes:
        runs: Ids of the requests that it has run.
        raw: Its listener.
    """

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.raw = RawEndpoint(self.answer)
        self._refused_on: dict[bytes, int] = {}

    def answer(self, head: bytes) -> bytes:
        own = request_id(head)
        if own not in self._refused_on:
            self._refused_on[own] = self.raw.serving
            return refusal(head)
        self.runs.append(own)
        copies = refusal(head) if self._refused_on[own] == self.raw.serving else b""
        return copies + answer_to(head)


@asynccontextmanager
async def repeating(
    harness: PlatformHarness, service: str, rows: int
) -> AsyncIterator[list[RepeatingEndpoint]]:
    """Replace the workers of a service by endpoints that copy a refusal with the id of a run.

    Args:
        harness: Where the workers are.
        service: The service.
        rows: Rows in the store that name the same endpoint: 1, or 2 for both.
    """
    ids = [f"{service}-1", f"{service}-2"]
    endpoints = [RepeatingEndpoint() for _ in ids[::rows]]
    try:
        for number, worker_id in enumerate(ids):
            endpoint = endpoints[number // rows]
            if not endpoint.raw.address.port:
                await endpoint.raw.listen()
            await replace_worker(harness, worker_id, endpoint.raw)
        yield endpoints
    finally:
        for endpoint in endpoints:
            await endpoint.raw.stop()


@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_copy_with_the_id_of_a_request_that_its_caller_sends_again_does_not_let_it_run_twice(
    harness: PlatformHarness, path: str
) -> None:
    service = "engine" if path.startswith("/draft/") else "desk"
    async with repeating(harness, service, rows=1) as endpoints:
        for number in range(4):
            own = f"call-{number}"
            replies = [await harness.send_kind(path, attempt_id=own) for _ in range(3)]
            runs = [run for endpoint in endpoints for run in endpoint.runs if run == own.encode()]
            assert [reply.status for reply in replies].count(200) == len(runs)


@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_copy_with_the_own_id_at_an_address_of_two_rows_is_not_taken_for_the_answer(
    harness: PlatformHarness, path: str
) -> None:
    service = "engine" if path.startswith("/draft/") else "desk"
    async with repeating(harness, service, rows=2) as endpoints:
        for number in range(4):
            reply = await harness.send_kind(path, attempt_id=f"call-{number}")
            assert reply.status == 200
            assert endpoints[0].runs[number:] == [b"call-%d" % number]


GARBAGE = b"\0 no answer \r\n\r\n"
NO_SIGN_OF_READING: dict[str, Answer] = {
    "copy_without_id": refusal_without_id,
    "too_many_copies": lambda head: refusal(head) * (SKIPPED_LIMIT + 1),
    "garbage": lambda head: GARBAGE,
}


@pytest.mark.parametrize("before", NO_SIGN_OF_READING.values(), ids=NO_SIGN_OF_READING)
async def test_what_belongs_to_no_request_does_not_tell_that_the_one_under_way_was_read(
    harness: PlatformHarness, before: Answer
) -> None:
    # What was given up then counted as arrived at once, and was no repeat when it arrived.
    refused_by_connection: dict[int, bytes] = {}

    def start(head: bytes) -> bytes:
        if request_id(head).startswith(REFUSED):
            refused_by_connection[raw.serving] = head
            return refusal(head)
        return before(refused_by_connection[raw.serving])

    async with listening(start) as raw:
        for worker_id in ("desk-1", "desk-2"):
            await replace_worker(harness, worker_id, raw)
        await harness.send("/pay/x", attempt_id=REFUSED.decode())
        reply = await harness.send("/pay/x", attempt_id="call", deadline_ms="500")
        assert reply.status in (502, 504)
        registry = harness.daemons[0].registry
        assert registry.get_sample_value("comfreyhatch_unread_attempts") == 1


async def test_request_without_an_id_is_not_answered_with_the_copy_of_another_answer(
    harness: PlatformHarness,
) -> None:
    # Its answer names no id either, and its caller got a body that belonged to another one.
    earlier = b"HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 5\r\n\r\nother"
    rejection = b"HTTP/1.1 400 No Id\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
    used: set[int] = set()

    def start(head: bytes) -> bytes:
        copy = earlier if raw.serving in used else b""
        used.add(raw.serving)
        return success(head) if b"\r\nattempt-id:" in head else copy + rejection

    async with listening(start) as raw:
        for worker_id in ("desk-1", "desk-2"):
            await replace_worker(harness, worker_id, raw)
        assert (await harness.send("/pay/x")).status == 200
        nameless = {"attempt-id": "own", "connection": "attempt-id"}
        reply = await harness.send("/pay/x", **nameless)
        assert reply.status >= 400 and reply.body != b"other"
        # The next one on that connection is told by its id.
        assert (await harness.send("/pay/x")).body == b"ok"
