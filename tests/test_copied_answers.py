"""The request path with workers that send the copy of an earlier answer before the next one."""

import pytest

from comfreyhatch.adapters.http_head import SKIPPED_LIMIT
from tests.copying_endpoints import REFUSED, copying, repeating
from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import replace_worker, request_id
from tests.raw_answers import COPIES, EVENT, Answer, refusal, refusal_without_id, success
from tests.raw_endpoint import listening


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
