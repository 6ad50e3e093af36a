"""The request path with workers that send an earlier answer once more on a kept connection."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import replace_worker, request_id
from tests.raw_answers import (
    EVENT,
    NOT_RUN_STATUSES,
    Answer,
    refusal,
    refusal_without_id,
    stream,
    success,
)
from tests.raw_endpoint import RawEndpoint, listening


def earlier(answer: Answer) -> Answer:
    """Return answers to the first request and then, to each, the answer to the one before."""
    heads: list[bytes] = []

    def answer_earlier(head: bytes) -> bytes:
        heads.append(head)
        return answer(heads[max(0, len(heads) - 2)])

    return answer_earlier


@asynccontextmanager
async def desks(harness: PlatformHarness, answer: Answer) -> AsyncIterator[list[RawEndpoint]]:
    """Replace both workers of the desk by endpoints that send earlier answers."""
    async with AsyncExitStack() as stack:
        endpoints = []
        for worker_id in ("desk-1", "desk-2"):
            endpoint = await stack.enter_async_context(listening(earlier(answer)))
            await replace_worker(harness, worker_id, endpoint)
            endpoints.append(endpoint)
        yield endpoints


@pytest.mark.parametrize("answer", [refusal, refusal_without_id], ids=["other_id", "no_id"])
async def test_earlier_refusal_is_not_taken_for_one_of_the_request_under_way(
    harness: PlatformHarness, answer: Answer
) -> None:
    async with desks(harness, answer) as endpoints:
        replies = [await harness.send("/pay/x", attempt_id=f"pay-{n}") for n in range(6)]
        # An endpoint runs each request but its first one, which it has refused.
        runs = [request_id(head) for endpoint in endpoints for head in endpoint.requests[1:]]
        assert len(runs) == len(set(runs))
        not_run = {b"pay-%d" % n for n, r in enumerate(replies) if r.status in NOT_RUN_STATUSES}
        assert not not_run & set(runs)


async def test_earlier_answer_is_not_taken_for_one_of_the_request_under_way(
    harness: PlatformHarness,
) -> None:
    async with desks(harness, success) as endpoints:
        replies = [await harness.send("/pay/x") for _ in range(6)]
        used = sum(bool(endpoint.requests) for endpoint in endpoints)
        # The own answer, which never comes, is awaited until the deadline: 502 or 504 by chance.
        kinds = sorted(200 if reply.status == 200 else 500 for reply in replies)
        assert kinds == [200] * used + [500] * (6 - used)
        assert {reply.status for reply in replies} <= {200, 502, 504}


async def test_refusal_of_an_attempt_is_not_taken_for_one_of_the_next_at_the_same_endpoint(
    harness: PlatformHarness,
) -> None:
    # Both attempts have the same id: only a connection of its own tells their answers apart.
    harness.store.remove("servers", "engine-2")
    async with listening(refusal) as engine:
        engine.start = lambda head: refusal(head) if engine.connections == 1 else stream(head)
        await replace_worker(harness, "engine-1", engine)
        reply = await harness.send_draft()
        assert (reply.status, reply.body) == (200, EVENT)
        assert len(engine.requests) == 2
