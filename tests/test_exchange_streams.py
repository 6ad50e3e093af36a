"""Streamed answers on the path from caller to worker: relayed, resumed, cancelled."""

import asyncio

import pytest

from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.errors import HttpError
from tests.platform_harness import (
    PlatformHarness,
    config,
    running_harness,
    sent_to,
    workers,
)
from tests.platform_worker import EVENTS_PER_STREAM

COMPLETE_BODY = b"".join(b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1))


async def test_stream_is_relayed_from_the_smallest_model(harness: PlatformHarness) -> None:
    reply = await harness.send_draft()
    assert reply.body == COMPLETE_BODY
    (request,) = sent_to(harness, "engine")
    assert request.header("model") == "small"


async def test_answer_of_low_confidence_is_dropped_for_the_largest_model(
    harness: PlatformHarness,
) -> None:
    for worker in workers(harness, "engine"):
        worker.confidence_by_model = {"small": 5, "large": 99}
    reply = await harness.send_draft()
    assert reply.body == COMPLETE_BODY.replace(b"small", b"large")
    assert [r.header("model") for r in sent_to(harness, "engine")] == ["small", "large"]


async def test_stream_that_breaks_inside_an_event_is_resumed_on_another_worker(
    harness: PlatformHarness,
) -> None:
    first, second = workers(harness, "engine")
    first.break_after = 2
    second.break_after = 4
    bodies = [(await harness.send_draft()).body for _ in range(4)]
    assert bodies == [COMPLETE_BODY] * 4
    resumed = {r.header("last-event-id") for r in sent_to(harness, "engine")}
    assert resumed <= {"", "2", "4"} and len(resumed) > 1


async def test_resumed_stream_has_a_higher_engine_priority(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.break_after = 2
    with pytest.raises(HttpError):
        await harness.send_draft(request_priority="0")
    first, second, *_ = sorted(sent_to(harness, "engine"), key=lambda r: r.header("last-event-id"))
    assert first.header("last-event-id") == "" and second.header("last-event-id") == "2"
    assert int(second.header("request-priority")) < int(first.header("request-priority"))
    assert first.header("request-priority") != "0"


async def test_stream_that_cannot_be_resumed_ends_with_an_error(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.break_after = 1
    with pytest.raises(HttpError):
        await harness.send_draft()
    # The route allows three attempts; with two workers, one of them is tried twice.
    assert len(sent_to(harness, "engine")) == 3


async def test_run_on_a_stopped_worker_does_not_count_as_an_attempt() -> None:
    # Two workers crashed at nearly the same time. A stream that had used two attempts for the
    # cascade was cut by the second crash, because runs on crashed workers counted as attempts.
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1))
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        first, second = workers(harness, "engine")
        for worker in (first, second):
            worker.pause_s = lambda number: 0.2 if number == 3 else 0.0
        task = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        await asyncio.sleep(0.1)
        ended, other = (first, second) if first.received else (second, first)
        await ended.stop()
        assert (await task).body == COMPLETE_BODY
        assert [r.header("last-event-id") for r in other.received] == ["2"]


async def test_stream_outlasts_a_time_without_any_reachable_worker() -> None:
    # The daemon's own link was full: nine connections in a row timed out within 2.7 s, and the
    # stream was cut with most of its time left.
    async with running_harness() as harness:
        first, second = workers(harness, "engine")
        for worker in (first, second):
            worker.pause_s = lambda number: 0.3 if number == 3 else 0.0
        task = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        await first.stop()
        await second.stop()
        failed_attempts = harness.daemon.registry.get_sample_value
        label = {"outcome": "unreachable"}
        await harness.wait_until(
            lambda: (failed_attempts("comfreyhatch_attempts_total", label) or 0) >= 3
        )
        await asyncio.sleep(0.5)
        for worker in (first, second):
            worker.pause_s = lambda number: 0.0
            await worker.restart()
        assert (await task).body == COMPLETE_BODY


async def test_stream_outlasts_a_time_without_any_endpoint_in_service() -> None:
    # A stream was cut at once, with most of its time left, when no endpoint was listed.
    async with running_harness() as harness:
        first, second = workers(harness, "engine")
        for worker in (first, second):
            worker.pause_s = lambda number: 0.3 if number == 3 else 0.0
        task = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        trackers = harness.daemon.view.trackers_by_service["engines"]
        for worker in (first, second):
            harness.store.remove("servers", worker.worker_id)
        await harness.wait_until(lambda: all(t.removed_at is not None for t in trackers))
        for worker in (first, second):
            await worker.stop()
        await asyncio.sleep(0.6)
        await harness.add_worker("engine-3", "engines")
        assert (await task).body == COMPLETE_BODY


async def test_stream_outlasts_a_time_in_which_all_workers_refuse(
    harness: PlatformHarness,
) -> None:
    # A stream was cut after a few refusals of busy workers, with most of its time left.
    for worker in workers(harness, "engine"):
        worker.break_after = 2
    first = asyncio.create_task(harness.send_draft())
    await harness.wait_until(lambda: sent_to(harness, "engine"))
    for worker in workers(harness, "engine"):
        worker.refuses = True
    await harness.wait_until(lambda: len(sent_to(harness, "engine")) > 8)
    for worker in workers(harness, "engine"):
        worker.refuses = False
        worker.break_after = None
    assert (await first).body == COMPLETE_BODY


async def test_slot_is_free_while_a_stream_waits_to_be_resumed() -> None:
    # An engine that failed a resumed stream kept its slot taken during the pause before the next
    # attempt, and for ever if the caller left in that pause.
    bounds = Bounds(grace_s=4.0, retry_ratio=0.0, retry_slack=10.0)
    async with running_harness(bounds=bounds) as harness:
        both = workers(harness, "engine")
        for worker in both:
            worker.pause_s = lambda number: 0.2 if number == 3 else 0.0
        task = asyncio.create_task(harness.send_draft(deadline_ms="3000"))
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        used, other = both if both[0].received else reversed(both)
        used.break_after = 2
        other.status = 500
        tracker = harness.daemon.view.tracker_by_id[other.worker_id]
        await harness.wait_until(lambda: other.received and not tracker.in_flight)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        trackers = harness.daemon.view.trackers_by_service["engines"]
        await harness.wait_until(lambda: not any(t.in_flight for t in trackers))


async def test_no_attempt_to_resume_is_sent_at_the_deadline(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.break_after = 2
    task = asyncio.create_task(harness.send_draft(deadline_ms="1500"))
    await harness.wait_until(lambda: sent_to(harness, "engine"))
    for worker in workers(harness, "engine"):
        worker.refuses = True
    with pytest.raises(HttpError):
        await task
    assert all(int(r.header("deadline-ms")) > 20 for r in sent_to(harness, "engine"))


@pytest.mark.parametrize("slack", [1.0, 200.0], ids=["budget_spent", "refused"])
async def test_stream_that_no_worker_takes_on_is_not_cut_before_its_deadline(slack: float) -> None:
    # It was cut as less time was left than a pause between attempts takes.
    bounds = Bounds(grace_s=4.0, retry_ratio=0.0, retry_slack=slack)
    async with running_harness(bounds=bounds) as harness:
        for worker in workers(harness, "engine"):
            worker.break_after = 2
        loop = asyncio.get_running_loop()
        sent = loop.time()
        task = asyncio.create_task(harness.send_draft(deadline_ms="1400"))
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        for worker in workers(harness, "engine"):
            worker.refuses = True
        with pytest.raises(HttpError):
            await task
        assert loop.time() - sent > 1.35


@pytest.mark.parametrize("refuses", [True, False])
async def test_run_on_a_stopped_worker_is_not_repeated_or_denied_if_it_may_run_once(
    refuses: bool,
) -> None:
    # A run whose engine had stopped didn't count any more: a stream that may not be repeated ran
    # on a second engine, or its caller was told that it had not run.
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1, resumable=False))
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        both = workers(harness, "engine")
        for worker in both:
            worker.hold = asyncio.Event()
        task = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        used, other = both if both[0].received else reversed(both)
        other.hold = None
        other.refuses = refuses
        await used.stop()
        reply = await task
        assert reply.status == 502
        assert not other.received


async def test_stalled_stream_is_not_interrupted_when_no_attempt_is_left() -> None:
    # A stream on its last attempt was cut because its worker paused between two events.
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1))
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        for worker in workers(harness, "engine"):
            worker.pause_s = lambda number: 1.2 if number == 3 else 0.0
        assert (await harness.send_draft()).body == COMPLETE_BODY
        assert len(sent_to(harness, "engine")) == 1


async def test_stalled_stream_is_resumed_on_another_worker(harness: PlatformHarness) -> None:
    first, second = workers(harness, "engine")
    for worker in (first, second):
        worker.pause_s = lambda number: 1.5 if number == 3 else 0.0
    task = asyncio.create_task(harness.send_draft())
    await harness.wait_until(lambda: sent_to(harness, "engine"))
    other = second if first.received else first
    other.pause_s = lambda number: 0.0
    assert (await task).body == COMPLETE_BODY
    assert len(other.received) == 1
    assert other.received[0].header("last-event-id") == "2"


async def test_stream_is_cancelled_when_its_caller_disconnects(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.3
    task = asyncio.create_task(harness.send_draft())
    await harness.wait_until(lambda: sent_to(harness, "engine"))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await harness.wait_until(lambda: sum(w.cancelled for w in workers(harness, "engine")) == 1)
    assert sum(worker.completed_streams for worker in workers(harness, "engine")) == 0
