"""A request has no more attempts under way than its route allows."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import pytest

from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.errors import HttpError
from comfreyhatch.exchange.daemon import ENDPOINT_CONNECT_TIMEOUT_S
from comfreyhatch.exchange.view import LAPSE_GRACE_S
from tests.platform_harness import PlatformHarness, config, running_harness, sent_to, workers
from tests.platform_worker import EVENTS_PER_STREAM, StandInWorker

TIMEOUT_MS = 4000
GOAL_MS = 2000
# Answers after which the delay before a hedge follows from their times, far below the goal.
FAST_ANSWERS = 24
# Longer than that delay, and shorter than the longest wait for a slot.
QUEUED_S = 0.5
# Slack of which a daemon's part is one extra request in a window.
ONE_EXTRA_SLACK = 10.0
WINDOW_S = 1.0
LONG_TIMEOUT_MS = 8000


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        await running.add_worker("desk-3", "desk")
        yield running


def desks(harness: PlatformHarness) -> list[StandInWorker]:
    return [harness.worker_by_id[f"desk-{number}"] for number in (1, 2, 3)]


def reads(worker: StandInWorker) -> int:
    """Return the number of requests for /read/last that a worker has received."""
    return sum(request.target == "/read/last" for request in worker.received)


async def limit_attempts(harness: PlatformHarness, max_attempts: int) -> None:
    """Set the attempts of all routes, and let hedges begin early."""
    changes = {"timeout_ms": TIMEOUT_MS, "goal_ms": GOAL_MS, "max_attempts": max_attempts}
    harness.store.put("op", "config", config(2, **changes))
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    for _ in range(FAST_ANSWERS):
        assert (await harness.send("/read/x")).status == 200


async def set_slots(harness: PlatformHarness, slots: tuple[int, ...]) -> None:
    """Set the slots of the desks, and wait until the daemon knows."""
    trackers = harness.daemon.view.tracker_by_id
    for desk, count in zip(desks(harness), slots, strict=True):
        record = {**desk.record("desk", "a"), "capacity": count, "sequence": 2}
        harness.store.put("servers", desk.worker_id, record)
    await harness.wait_until(
        lambda: all(
            trackers[desk.worker_id].record.slots == count
            for desk, count in zip(desks(harness), slots, strict=True)
        )
    )


@asynccontextmanager
async def full_desks(
    harness: PlatformHarness, slots: tuple[int, ...]
) -> AsyncIterator[list[asyncio.Event]]:
    """Fill the slots of the desks, and yield the events that end what runs at each."""
    await set_slots(harness, slots)
    ends = [asyncio.Event() for _ in slots]
    for desk, end in zip(desks(harness), ends, strict=True):
        desk.hold = end
        desk.received.clear()
    running = [asyncio.create_task(harness.send("/pay/x")) for _ in range(sum(slots))]
    await harness.wait_until(lambda: [len(desk.received) for desk in desks(harness)] == list(slots))
    try:
        yield ends
    finally:
        for end in ends:
            end.set()
        await asyncio.gather(*running)


async def retry_that_waits(
    harness: PlatformHarness, end_first: asyncio.Event
) -> "asyncio.Task[HttpReply]":
    """Return a request whose first answer is a failure and whose retry waits for a slot."""
    first = desks(harness)[0]
    first.status, first.hold = 500, None
    end_first.set()
    trackers = harness.daemon.view.tracker_by_id
    await harness.wait_until(lambda: not trackers["desk-1"].in_flight)
    sending = asyncio.create_task(harness.send("/read/last"))
    await harness.wait_until(lambda: reads(first))
    await asyncio.sleep(QUEUED_S)
    return sending


async def test_no_hedge_is_sent_beyond_the_attempts_while_the_retry_waits_for_a_slot(
    harness: PlatformHarness,
) -> None:
    await limit_attempts(harness, 2)
    async with full_desks(harness, (1, 1, 1)) as ends:
        sending = await retry_that_waits(harness, ends[0])
        for desk, end in zip(desks(harness)[1:], ends[1:], strict=True):
            desk.hold = asyncio.Event()
            end.set()
        await harness.wait_until(lambda: sum(map(reads, desks(harness))) >= 2)
        await asyncio.sleep(QUEUED_S)
        assert sum(map(reads, desks(harness))) == 2
        for desk in desks(harness)[1:]:
            desk.hold.set()
        assert (await sending).status == 200


async def test_retry_and_hedge_that_wait_together_do_not_get_the_same_worker(
    harness: PlatformHarness,
) -> None:
    await limit_attempts(harness, 3)
    async with full_desks(harness, (1, 2, 1)) as ends:
        sending = await retry_that_waits(harness, ends[0])
        _, second, third = desks(harness)
        second.hold = asyncio.Event()
        ends[1].set()
        await harness.wait_until(lambda: reads(second))
        third.hold = asyncio.Event()
        ends[2].set()
        await harness.wait_until(lambda: reads(third) or reads(second) > 1)
        assert (reads(second), reads(third)) == (1, 1)
        second.hold.set()
        assert (await sending).status == 200
        third.hold.set()


async def test_failed_answer_is_returned_at_once_when_no_other_worker_is_left(
    harness: PlatformHarness,
) -> None:
    # Attempts without a slot were repeated without a pause until the deadline.
    only, *others = desks(harness)
    for desk in others:
        harness.store.remove("servers", desk.worker_id)
    view = harness.daemon.view
    await harness.wait_until(
        lambda: not {desk.worker_id for desk in others} & view.endpoint_list.record_by_id.keys()
    )
    await asyncio.sleep(LAPSE_GRACE_S + 0.5)
    only.status = 500
    began = asyncio.get_running_loop().time()
    reply = await harness.send("/read/last", deadline_ms="4000")
    assert reply.status == 500
    assert asyncio.get_running_loop().time() - began < QUEUED_S
    assert reads(only) == 1


@pytest.fixture
async def engines(harness: PlatformHarness) -> list[StandInWorker]:
    """Three engines on a route with two attempts."""
    await harness.add_worker("engine-3", "engines")
    harness.store.put("op", "config", config(2, timeout_ms=TIMEOUT_MS, max_attempts=2))
    found = [harness.worker_by_id[f"engine-{number}"] for number in (1, 2, 3)]
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    await harness.wait_until(lambda: "engine-3" in harness.daemon.view.tracker_by_id)
    return found


def begin_in_turn(engines: list[StandInWorker]) -> None:
    """Let the first stream fall silent, the second break off and others go on."""
    begun: list[StandInWorker] = []

    def pause_s(engine: StandInWorker, number: int) -> float:
        if engine not in begun:
            begun.append(engine)
        if engine is begun[0] and number > 2:
            engine.stop_accepting()
            return TIMEOUT_MS / 1000
        engine.break_after = 3 if begun.index(engine) == 1 else None
        return 0.0

    for engine in engines:
        engine.pause_s = partial(pause_s, engine)


async def test_silent_worker_that_accepts_no_connection_counts_as_one_that_runs(
    harness: PlatformHarness, engines: list[StandInWorker]
) -> None:
    begin_in_turn(engines)
    sending = harness.send_draft(deadline_ms="3000")
    (result,) = await asyncio.gather(sending, return_exceptions=True)
    assert sum(len(engine.received) for engine in engines) == 2
    assert isinstance(result, HttpError)


async def test_retries_that_wait_for_longer_than_the_window_are_not_sent_together() -> None:
    bounds = Bounds(retry_ratio=0.0, retry_slack=ONE_EXTRA_SLACK, retry_window_s=WINDOW_S)
    async with running_harness(bounds=bounds) as harness:
        changes = {"timeout_ms": LONG_TIMEOUT_MS, "gap_aim_ms": LONG_TIMEOUT_MS}
        harness.store.put("op", "config", config(2, **changes))
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        pauses = iter((0.3, 0.3 + 1.5 * WINDOW_S))
        for engine in workers(harness, "engine"):
            engine.break_after = 2
            engine.pause_s = lambda number: next(pauses) if number == 3 else 0.0
        deadline_ms = str(LONG_TIMEOUT_MS)
        sending = [harness.send_draft(deadline_ms=deadline_ms) for _ in range(2)]
        replies = asyncio.gather(*sending)
        await harness.wait_until(lambda: len(sent_to(harness, "engine")) == 2)
        trackers = harness.daemon.view.trackers_by_service["engines"]
        for engine in workers(harness, "engine"):
            harness.store.remove("servers", engine.worker_id)
        await harness.wait_until(lambda: all(t.removed_at is not None for t in trackers))
        await harness.wait_until(lambda: not any(t.in_flight for t in trackers))
        third = await harness.add_worker("engine-3", "engines")
        for reply in await replies:
            assert reply.body.count(b"id: ") == EVENTS_PER_STREAM
        first_at, second_at = third.received_at
        # A request arrives up to the time for a connection after the begin of its attempt.
        assert second_at - first_at >= WINDOW_S - ENDPOINT_CONNECT_TIMEOUT_S


async def test_extra_request_that_a_silent_worker_has_yet_to_answer_still_counts() -> None:
    # Endpoints read what came while they were silent at once, beside what is sent then.
    bounds = Bounds(retry_ratio=0.0, retry_slack=ONE_EXTRA_SLACK, retry_window_s=WINDOW_S)
    async with running_harness(bounds=bounds) as harness:
        harness.store.put("op", "config", config(2, timeout_ms=LONG_TIMEOUT_MS))
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        failing, silent = workers(harness, "desk")
        failing.status = 500
        silent.hold = asyncio.Event()
        deadline_ms = str(LONG_TIMEOUT_MS)
        sending = []
        for _ in range(2):
            send = harness.send("/read/x", deadline_ms=deadline_ms)
            sending.append(asyncio.create_task(send))
            await asyncio.sleep(1.5 * WINDOW_S)
        assert len(sent_to(harness, "desk")) <= len(sending) + 1
        silent.hold.set()
        await asyncio.gather(*sending)


@pytest.mark.parametrize(("slack_in_s", "sent"), [(0.0, 2), (60.0, 1)])
async def test_daemon_whose_process_has_just_started_uses_no_slack(
    slack_in_s: float, sent: int
) -> None:
    bounds = Bounds(retry_ratio=0.0, retry_slack=ONE_EXTRA_SLACK)
    slack_from = asyncio.get_running_loop().time() + slack_in_s
    async with running_harness(daemon=False) as harness:
        daemon = await harness.start_daemon(harness.store.address, bounds, slack_from=slack_from)
        await harness.wait_until(daemon.ready)
        for desk in workers(harness, "desk"):
            desk.status = 500
        assert (await harness.send("/read/x")).status == 500
        assert len(sent_to(harness, "desk")) == sent
