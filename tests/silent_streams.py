"""Streams whose workers fall silent for a while, and what a test sees of them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.extra_requests import SAFETY_FACTOR
from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.domain.exchange import ReportedLoad
from comfreyhatch.exchange.extra_request_budgets import MIN_DAEMONS_SHARING_SLACK
from comfreyhatch.exchange.stream_state import StreamState
from tests.platform_harness import (
    WAIT_TIMEOUT_S,
    PlatformHarness,
    running_harness,
    sent_to,
    workers,
)
from tests.platform_worker import StandInWorker

STREAMS = 4
ALL_SLOTS = 4


@asynccontextmanager
async def harness_with_budget(extra_requests: int) -> AsyncIterator[PlatformHarness]:
    """Yield a harness whose daemon may send that many extra requests."""
    slack = (extra_requests + 0.5) * MIN_DAEMONS_SHARING_SLACK / SAFETY_FACTOR
    bounds = Bounds(grace_s=4.0, retry_ratio=0.0, retry_slack=slack)
    async with running_harness(bounds=bounds) as harness:
        yield harness


async def begin_streams(
    harness: PlatformHarness, begun: bool, count: int = STREAMS
) -> list["asyncio.Task[HttpReply]"]:
    """Begin streams, and return them once their workers have fallen silent.

    Args:
        harness: The harness.
        begun: Whether the workers have sent some events before.
        count: Number of streams at each daemon.
    """
    count *= len(harness.daemons)
    engines = workers(harness, "engine")
    for engine in engines:
        if not begun:
            engine.awake.clear()
        engine.pause_s = lambda number: 0.2 if number == 3 else 0.0
    daemons = [number % len(harness.daemons) for number in range(count)]
    streams = [
        asyncio.create_task(harness.send_draft(daemon, deadline_ms="4000")) for daemon in daemons
    ]
    await harness.wait_until(lambda: len(sent_to(harness, "engine")) == count)
    if begun:
        sent_at = max(at for engine in engines for at in engine.received_at)
        trackers = [
            daemon.view.tracker_by_id[engine.worker_id]
            for daemon in harness.daemons
            for engine in engines
        ]
        used = [tracker for tracker in trackers if tracker.in_flight]
        await harness.wait_until(lambda: all(t.last_received_at > sent_at for t in used))
    for engine in engines:
        engine.awake.clear()
    return streams


async def add_sound_worker(harness: PlatformHarness) -> StandInWorker:
    """Start a worker that answers, and return it once the daemon knows it."""
    worker = await harness.add_worker("engine-3", "engines")
    await harness.wait_until(
        lambda: all(worker.worker_id in daemon.view.tracker_by_id for daemon in harness.daemons)
    )
    return worker


def occupy(harness: PlatformHarness, worker: StandInWorker, slots: int) -> None:
    """Let the daemon believe for a long time that others take so many slots of a worker."""
    tracker = harness.daemon.view.tracker_by_id[worker.worker_id]
    until = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
    tracker.record_load(ReportedLoad(slots + tracker.in_flight, 0, slots), until)


def occupy_all(harness: PlatformHarness) -> None:
    for worker_id in ("engine-1", "engine-2", "engine-3"):
        occupy(harness, harness.worker_by_id[worker_id], ALL_SLOTS)


@asynccontextmanager
async def path_kept_lost(harness: PlatformHarness, worker: StandInWorker) -> AsyncIterator[None]:
    """Let the daemon believe that a worker accepts no new connection, whatever its probes tell."""
    tracker = harness.daemon.view.tracker_by_id[worker.worker_id]

    async def keep_lost() -> None:
        while True:
            tracker.lost_at = tracker.lost_at or asyncio.get_running_loop().time()
            await asyncio.sleep(0.001)

    keeping = asyncio.create_task(keep_lost())
    try:
        yield
    finally:
        keeping.cancel()


def wake(harness: PlatformHarness) -> None:
    for worker in harness.worker_by_id.values():
        worker.awake.set()


def watched(harness: PlatformHarness) -> list[StreamState]:
    proxy = harness.daemon._router._streaming
    return list(proxy._watchdog._streams)


def bodies(replies: list[HttpReply | BaseException]) -> list[bytes | str]:
    """Return the bodies of replies; what failed as a text."""
    return [r.body if isinstance(r, HttpReply) else repr(r) for r in replies]


def cancelled(harness: PlatformHarness) -> int:
    return sum(worker.cancelled for worker in workers(harness, "engine"))
