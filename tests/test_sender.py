"""The request path with workers whose answers do not end."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import pytest

from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.errors import HttpError
from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_raw_worker import (
    answer_head,
    raw_workers,
    refusal_head,
    stream_head,
    success_head,
)
from tests.raw_endpoint import RawEndpoint

FILL = b"x" * 65536
# Far below the bytes that an endpoint of the tests sends before it stops.
MEMORY_MB = 64.0
ANSWER_LIMIT_BYTES = 4_194_304


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness(memory_mb=MEMORY_MB) as running:
        yield running


def requests(endpoints: list[RawEndpoint]) -> int:
    return sum(len(endpoint.requests) for endpoint in endpoints)


async def send_until_reached(
    harness: PlatformHarness, path: str, endpoints: list[RawEndpoint]
) -> list[HttpReply]:
    """Send requests until one has reached an endpoint; return their answers."""
    replies = []
    while not requests(endpoints):
        replies.append(await harness.send(path))
    await harness.wait_until(lambda: sum(e.resets for e in endpoints))
    return replies


@pytest.mark.parametrize(("unit", "pause_s"), [(FILL, 0.0), (b"x", 0.05)], ids=["fast", "slow"])
async def test_refusal_without_end_is_cut_and_the_request_retried(
    harness: PlatformHarness, unit: bytes, pause_s: float
) -> None:
    # The rest of a refusal was read as long as any byte came: the request ended at its deadline.
    async with raw_workers(harness, ("desk-1",), refusal_head, unit, pause_s) as endpoints:
        replies = await send_until_reached(harness, "/pay/x", endpoints)
        assert [reply.status for reply in replies] == [200] * len(replies)


async def test_endless_answer_of_an_idempotent_request_is_retried(harness: PlatformHarness) -> None:
    async with raw_workers(harness, ("desk-1",), success_head, FILL) as endpoints:
        replies = await send_until_reached(harness, "/read/x", endpoints)
        assert [reply.status for reply in replies] == [200] * len(replies)
        assert endpoints[0].sent_bytes < 3 * ANSWER_LIMIT_BYTES


async def test_endless_answer_of_a_non_idempotent_request_is_never_repeated_or_called_not_run(
    harness: PlatformHarness,
) -> None:
    async with raw_workers(harness, ("desk-1", "desk-2"), success_head, FILL) as endpoints:
        reply = await harness.send("/pay/x")
        assert reply.status == 502
        assert b'"ran":"unknown"' in reply.body
        assert requests(endpoints) == 1


@pytest.mark.parametrize("path", ["/pay/x", "/draft/x"])
async def test_failed_answer_without_end_becomes_502(harness: PlatformHarness, path: str) -> None:
    def failed_head(head: bytes) -> bytes:
        return answer_head(head, b"500 Failed", b"server-stamp: s")

    ids = ("desk-1", "desk-2", "engine-1", "engine-2")
    async with raw_workers(harness, ids, failed_head, FILL) as endpoints:
        reply = await harness.send(path, model="small", token_counts="10,6")
        assert reply.status == 502
        await harness.wait_until(lambda: sum(e.resets for e in endpoints))
        assert sum(e.sent_bytes for e in endpoints) < 12 * ANSWER_LIMIT_BYTES


@pytest.mark.parametrize(
    ("worker_id", "path", "unit"),
    [("desk-1", "/read/x", FILL), ("engine-1", "/draft/x", FILL), ("desk-1", "/read/x", b"")],
    ids=["unary", "stream", "cut_body"],
)
async def test_endpoint_whose_answers_never_become_complete_is_ejected(
    harness: PlatformHarness,
    caplog: pytest.LogCaptureFixture,
    worker_id: str,
    path: str,
    unit: bytes,
) -> None:
    # The head of each such answer ended the count of failures in a row.
    def start(head: bytes) -> bytes:
        return stream_head(head, *([] if unit else [b"transfer-encoding: chunked"]))

    caplog.set_level("INFO")
    ejected = f"event=endpoint_ejected endpoint={worker_id}"
    async with raw_workers(harness, (worker_id,), start, unit) as (endpoint,):
        endpoint.closes = not unit
        for _ in range(40):
            reply = await harness.send(path, model="small", token_counts="10,6")
            assert reply.status == 200
            if ejected in caplog.text:
                break
        assert ejected in caplog.text


async def test_slow_answer_without_end_ends_at_the_deadline_and_counts_against_its_endpoint(
    harness: PlatformHarness,
) -> None:
    ids = ("desk-1", "desk-2")
    async with raw_workers(harness, ids, success_head, b"x", 0.05) as endpoints:
        async with asyncio.timeout(5.0):
            reply = await harness.send("/pay/x")
        assert reply.status in (502, 504)
        assert requests(endpoints) == 1
        trackers = [harness.daemon.view.tracker_by_id[worker_id] for worker_id in ids]
        assert sum(tracker.failure_share > 0 for tracker in trackers) == 1


async def test_deadline_of_a_stream_that_goes_on_does_not_count_against_its_endpoint(
    harness: PlatformHarness,
) -> None:
    for worker in harness.worker_by_id.values():
        worker.pause_s = lambda number: 0.1
        worker.events = 1000
    with pytest.raises(HttpError):
        await harness.send("/draft/x", model="small", token_counts="10,6", deadline_ms="700")
    trackers = harness.daemon.view.tracker_by_id.values()
    assert [tracker.failure_share for tracker in trackers] == [0.0] * 4


async def test_large_answer_within_the_limit_passes_whole(harness: PlatformHarness) -> None:
    body = FILL * 60

    def large(head: bytes) -> bytes:
        return success_head(head, b"content-length: %d" % len(body)) + body

    async with raw_workers(harness, ("desk-1", "desk-2"), large, b""):
        assert (await harness.send("/pay/x")).body == body


async def test_endpoint_is_not_blamed_if_the_daemon_has_no_memory_for_its_answer(
    harness: PlatformHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Healthy endpoints were ejected while other large answers held the memory.
    @contextmanager
    def no_memory(memory: AnswerMemory) -> Iterator[Callable[[int], bool]]:
        yield lambda size: False

    monkeypatch.setattr(AnswerMemory, "hold", no_memory)
    replies = [await harness.send("/pay/x") for _ in range(4)]
    assert [reply.status for reply in replies] == [502] * 4
    trackers = harness.daemon.view.trackers_by_service["desk"]
    assert not any(tracker.ejected_until for tracker in trackers)
