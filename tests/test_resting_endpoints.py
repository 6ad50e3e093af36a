"""Endpoints that say when they want requests again get none before."""

import asyncio

import pytest

from tests.platform_harness import PlatformHarness

REST_S = 2.5
# Time after a refusal within which requests may still reach the endpoint, and how many may later.
SLACK_S = 0.5
MAX_REQUESTS = 2
CALLERS = 20
SERVICE_TIME_S = 0.1
# Of both endpoints.
SLOTS = 8


@pytest.mark.parametrize(
    ("path", "worker_id"),
    [("/read/x", "desk-1"), ("/pay/x", "desk-1"), ("/draft/x", "engine-1")],
)
async def test_endpoint_gets_no_request_while_it_rests(
    harness: PlatformHarness, path: str, worker_id: str
) -> None:
    # Refusals with a time to come back were repeated at the same endpoint at once.
    resting = harness.worker_by_id[worker_id]
    resting.refuses = True
    resting.retry_after = f"{REST_S:g}"
    for _ in range(20):
        if resting.received_at:
            break
        await harness.send_kind(path)
    refused_at = resting.received_at[0]
    while asyncio.get_running_loop().time() < refused_at + REST_S - 0.2:
        assert (await harness.send_kind(path)).status == 200
        await asyncio.sleep(0.05)
    late = [at for at in resting.received_at if at > refused_at + SLACK_S]
    assert len(late) <= MAX_REQUESTS


async def rest_all(harness: PlatformHarness, retry_after: str) -> float:
    """Let both desks refuse with a time to come back; return when the first one did."""
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    for desk in desks:
        desk.refuses = True
        desk.retry_after = retry_after
    for _ in range(10):
        await harness.send("/read/x")
        if all(desk.received_at for desk in desks):
            return min(desk.received_at[-1] for desk in desks)
    raise AssertionError("an endpoint was not asked")


async def test_callers_are_refused_at_once_and_come_back_when_endpoints_have_rested(
    harness: PlatformHarness,
) -> None:
    for name in ("desk-1", "desk-2"):
        harness.worker_by_id[name].answer_delay_s = SERVICE_TIME_S
    await asyncio.gather(*(harness.send("/read/x") for _ in range(10)))
    for name in ("desk-1", "desk-2"):
        harness.worker_by_id[name].received_at.clear()
    await rest_all(harness, f"{REST_S:g}")
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    replies = await asyncio.gather(
        *(harness.send("/pay/x", deadline_ms="30000") for _ in range(CALLERS))
    )
    assert loop.time() - sent_at < 0.2
    assert {reply.status for reply in replies} == {503}
    times = [float(reply.header_by_name["retry-after"]) for reply in replies]
    assert min(times) > REST_S - 1.0
    # One after the other, at the speed of the service.
    assert max(times) - min(times) >= 0.5 * (CALLERS - 1) * SERVICE_TIME_S / SLOTS


async def test_short_rest_of_all_endpoints_is_waited_for(harness: PlatformHarness) -> None:
    await harness.send("/pay/x")
    started = asyncio.get_running_loop().time()
    for name in ("desk-1", "desk-2"):
        harness.daemon.view.tracker_by_id[name].record_rest(0.1, started)
    assert (await harness.send("/pay/x")).status == 200
    assert 0.1 <= asyncio.get_running_loop().time() - started < 0.5


async def test_restarted_endpoint_does_not_rest(harness: PlatformHarness) -> None:
    tracker = harness.daemon.view.tracker_by_id["desk-1"]
    tracker.record_rest(60.0, asyncio.get_running_loop().time())
    worker = harness.worker_by_id["desk-1"]
    harness.store.put("servers", "desk-1", {**worker.record("desk", "a"), "born": 2})
    await harness.wait_until(lambda: tracker.resting_until == 0.0)
    for _ in range(10):
        await harness.send("/read/x")
    assert worker.received
