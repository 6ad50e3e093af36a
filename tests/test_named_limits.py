"""All daemons together keep the rates that endpoints name in their answers."""

import asyncio
from collections.abc import AsyncIterator, Sequence

import pytest

from comfreyhatch.adapters.http_client import HttpReply
from tests.platform_harness import BOUNDS, PlatformHarness, running_harness
from tests.platform_worker import StandInWorker

DAEMONS = 3
# The users' bound on requests in a window, of a limit in requests a second.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        for _ in range(DAEMONS - 1):
            await running.start_daemon(running.store.address)
        names = {deployment.instance for deployment in running.deployments}
        await running.wait_until(lambda: all(d.ready() for d in running.daemons))
        await running.wait_until(lambda: all(names <= d.view.daemons() for d in running.daemons))
        yield running


async def send_reads(
    harness: PlatformHarness, daemons: Sequence[int], per_s: float, length_s: float
) -> list[HttpReply]:
    """Send reads to some daemons in turn at a rate, and return their answers."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    tasks: list[asyncio.Task[HttpReply]] = []
    while (passed_s := loop.time() - began_at) < length_s:
        if len(tasks) < passed_s * per_s:
            daemon = daemons[len(tasks) % len(daemons)]
            tasks.append(asyncio.create_task(harness.send(f"/read/{len(tasks)}", daemon)))
        await asyncio.sleep(0.005)
    return await asyncio.gather(*tasks)


def most_in_window(worker: StandInWorker, first_at: float) -> int:
    """Return the most requests that a worker got in a window that begins after a time."""
    times = [at for at in worker.received_at if at >= first_at]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(per_s: float) -> float:
    return LIMIT_FACTOR * per_s * WINDOW_S + LIMIT_SLACK


async def test_endpoints_get_no_more_than_the_limits_that_they_name(
    harness: PlatformHarness,
) -> None:
    # Nothing read the limits: 31 and 35 requests in 4 s where 11 and 22 are allowed.
    await harness.add_worker("desk-3", "desk")
    await harness.wait_until(lambda: all("desk-3" in d.view.tracker_by_id for d in harness.daemons))
    limits = {"desk-1": 1.0, "desk-2": 2.8}
    for worker_id, per_s in limits.items():
        harness.worker_by_id[worker_id].limit_per_s = per_s
    began_at = asyncio.get_running_loop().time()
    await send_reads(harness, range(DAEMONS), per_s=40.0, length_s=BOUNDS.contact_s + WINDOW_S)
    for worker_id, per_s in limits.items():
        worker = harness.worker_by_id[worker_id]
        assert most_in_window(worker, began_at + BOUNDS.contact_s) <= allowed(per_s)
