"""Daemons with stand-ins of workers that crash, restart and register anew, for tests."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_worker import StandInWorker

DOWN_S = 0.8
SERVICE_BY_PREFIX = {"engine": "engines", "desk": "desk"}


@asynccontextmanager
async def running_crash_fleet(
    daemons: int, prefix: str, workers: int
) -> AsyncIterator[PlatformHarness]:
    """Yield a harness with ready daemons, and workers that register anew after a crash.

    Args:
        daemons: Number of daemons.
        prefix: Prefix of the ids of the workers whose number is set, "engine" or "desk".
        workers: Their number, two or more.
    """
    async with running_harness() as harness:
        for number in range(3, workers + 1):
            await harness.add_worker(f"{prefix}-{number}", SERVICE_BY_PREFIX[prefix])
        for _ in range(daemons - 1):
            await harness.start_daemon(harness.store.address)
        await harness.wait_until(lambda: all(d.ready() for d in harness.daemons))
        for worker_id, worker in harness.worker_by_id.items():
            worker.down_s = DOWN_S
            worker.on_restart = _register(harness, worker_id, worker)
        yield harness


def _register(
    harness: PlatformHarness, worker_id: str, worker: StandInWorker
) -> Callable[[], None]:
    """Return a function that registers a restarted worker."""
    service = SERVICE_BY_PREFIX[worker_id.partition("-")[0]]

    def register() -> None:
        record = {**worker.record(service, "a"), "born": 1 + worker.crashes}
        harness.store.put("servers", worker_id, record)

    return register
