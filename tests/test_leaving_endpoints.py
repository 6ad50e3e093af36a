"""Endpoints that say in their answers that they are leaving get no more requests."""

import asyncio

import pytest

from tests.platform_harness import BOUNDS, PlatformHarness


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
        assert (await harness.send_kind(path)).status == 200
    assert leaving.received
    await asyncio.sleep(BOUNDS.drain_s)
    before = len(leaving.received)
    replies = [await harness.send_kind(path) for _ in range(20)]
    assert {reply.status for reply in replies} == {200}
    assert len(leaving.received) == before


async def send_until_noticed(harness: PlatformHarness, worker_id: str, daemon: int = -1) -> None:
    tracker = harness.daemons[daemon].view.tracker_by_id[worker_id]
    for _ in range(20):
        if tracker.leaving_since is not None:
            return
        await harness.send("/read/x", daemon)
    raise AssertionError("no answer has said that the endpoint is leaving")


async def test_other_daemons_are_told_of_a_leaving_endpoint(harness: PlatformHarness) -> None:
    await harness.add_daemons(1)
    harness.worker_by_id["desk-1"].leaving = True
    await send_until_noticed(harness, "desk-1", 1)
    other = harness.daemons[0].view.tracker_by_id["desk-1"]
    await harness.wait_until(lambda: other.leaving_since is not None)


async def test_refusal_of_a_leaving_endpoint_is_a_notice_too(harness: PlatformHarness) -> None:
    harness.worker_by_id["desk-1"].leaving = True
    harness.worker_by_id["desk-1"].refuses = True
    await send_until_noticed(harness, "desk-1")


async def test_restarted_endpoint_is_no_longer_leaving(harness: PlatformHarness) -> None:
    worker = harness.worker_by_id["desk-1"]
    worker.leaving = True
    await send_until_noticed(harness, "desk-1")
    worker.leaving = False
    harness.store.put("servers", "desk-1", {**worker.record("desk", "a"), "born": 2})
    tracker = harness.daemon.view.tracker_by_id["desk-1"]
    await harness.wait_until(lambda: tracker.leaving_since is None)
    before = len(worker.received)
    for _ in range(20):
        assert (await harness.send("/read/x")).status == 200
    assert len(worker.received) > before


async def test_last_endpoints_that_leave_serve_for_a_part_of_their_drain_time(
    harness: PlatformHarness,
) -> None:
    harness.cut_from_store(0)
    for name in ("desk-1", "desk-2"):
        harness.worker_by_id[name].leaving = True
        await send_until_noticed(harness, name)
    assert (await harness.send("/read/x")).status == 200
    await asyncio.sleep(BOUNDS.drain_s)
    reply = await harness.send("/pay/x")
    assert reply.status == 503
    assert "retry-after" in reply.header_by_name


async def test_answer_of_another_endpoint_is_no_notice(harness: PlatformHarness) -> None:
    worker = harness.worker_by_id["desk-1"]
    worker.leaving = True
    worker.worker_id = "another"
    for _ in range(10):
        assert (await harness.send("/read/x")).status == 200
    assert harness.daemon.view.tracker_by_id["desk-1"].leaving_since is None
