"""Requests that crash whoever runs them are found, and refused by all daemons."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import pytest

from comfreyhatch.codes import ResultCode
from comfreyhatch.errors import HttpError
from tests.crash_fleet import running_crash_fleet
from tests.platform_harness import BOUNDS, PlatformHarness

DAEMONS = 3
WORKERS = 4
# Crashes after which the users' bound counts, and requests that may reach workers after that.
BOUND_CRASHES = 3
MAX_REQUESTS_LATER = 3
BAD_PAUSE_S = 0.1
SOUND_PAUSE_S = 0.05
TEST_S = 4 * BOUNDS.contact_s
BROKEN = 0


@dataclass(slots=True)
class Traffic:
    """What was sent and what became of it; times are those of the event loop."""

    crashed_at: list[float] = field(default_factory=list)
    sound: list[tuple[float, int]] = field(default_factory=list)


async def _send(harness: PlatformHarness, path: str, daemon: int) -> int:
    """Send a request, and return the status of its answer, or the code if it is blocked."""
    streamed = {"model": "*", "token-counts": "1000,60"} if path.startswith("/draft/") else {}
    try:
        reply = await harness.send(path, daemon, **streamed)
    except HttpError:
        return BROKEN
    blocked = b'"code":%d' % ResultCode.REQUEST_BLOCKED in reply.body
    return ResultCode.REQUEST_BLOCKED if blocked else reply.status


async def _repeat(send: Callable[[int], object], pause_s: float) -> None:
    """Send again and again; each call gets its number."""
    tasks = set()
    number = 0
    while True:
        tasks.add(asyncio.create_task(send(number)))  # type: ignore[arg-type]
        number += 1
        await asyncio.sleep(pause_s)


async def _watch(harness: PlatformHarness, traffic: Traffic) -> None:
    """Note when workers crash."""
    loop = asyncio.get_running_loop()
    while True:
        crashes = sum(worker.crashes for worker in harness.worker_by_id.values())
        traffic.crashed_at += [loop.time()] * (crashes - len(traffic.crashed_at))
        await asyncio.sleep(0.005)


def _arrivals(harness: PlatformHarness, path: str, since: float) -> int:
    """Return how often a request has reached workers after a time."""
    return sum(
        request.target == path and at > since
        for worker in harness.worker_by_id.values()
        for request, at in zip(worker.received, worker.received_at, strict=True)
    )


async def _play(harness: PlatformHarness, bad: str, length_s: float) -> Traffic:
    """Send a request that crashes workers, and sound ones beside it, to all daemons in turn."""
    traffic = Traffic()
    prefix = bad[: bad.rindex("/") + 1]
    for worker in harness.worker_by_id.values():
        worker.crashing_paths = frozenset({bad})

    async def send_sound(number: int) -> None:
        at = asyncio.get_running_loop().time()
        status = await _send(harness, f"{prefix}{number % 20}", number % DAEMONS)
        traffic.sound.append((at, status))

    tasks = [
        asyncio.create_task(_watch(harness, traffic)),
        asyncio.create_task(_repeat(send_sound, SOUND_PAUSE_S)),
        asyncio.create_task(_repeat(lambda n: _send(harness, bad, n % DAEMONS), BAD_PAUSE_S)),
    ]
    await asyncio.sleep(length_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return traffic


@pytest.fixture
async def desks() -> AsyncIterator[PlatformHarness]:
    async with running_crash_fleet(DAEMONS, "desk", WORKERS) as harness:
        yield harness


@pytest.fixture
async def engines() -> AsyncIterator[PlatformHarness]:
    async with running_crash_fleet(DAEMONS, "engine", WORKERS) as harness:
        yield harness


def _assert_found(harness: PlatformHarness, traffic: Traffic, bad: str) -> None:
    """Check that the request was refused in time after its third crash, and sound ones served."""
    bound_from = traffic.crashed_at[BOUND_CRASHES - 1] + BOUNDS.contact_s
    assert _arrivals(harness, bad, bound_from) <= MAX_REQUESTS_LATER
    later = [status for at, status in traffic.sound if at > bound_from + BOUNDS.contact_s]
    assert len(later) >= 50
    assert later.count(200) >= 0.9 * len(later)


async def test_repeatable_request_that_crashes_workers_is_refused(desks: PlatformHarness) -> None:
    # The daemon that retried it did not know its own crash of 0.1 s before.
    traffic = await _play(desks, "/read/bad", TEST_S)
    _assert_found(desks, traffic, "/read/bad")


async def test_request_that_may_run_once_and_crashes_workers_is_refused(
    desks: PlatformHarness,
) -> None:
    # Callers send it again with another id, at any daemon.
    traffic = await _play(desks, "/pay/bad", TEST_S)
    _assert_found(desks, traffic, "/pay/bad")


async def test_streamed_request_without_parts_that_crashes_workers_is_refused(
    engines: PlatformHarness,
) -> None:
    traffic = await _play(engines, "/draft/bad", TEST_S)
    _assert_found(engines, traffic, "/draft/bad")


async def test_request_is_found_while_the_store_is_away(desks: PlatformHarness) -> None:
    desks.store.refusing = True
    traffic = await _play(desks, "/read/bad", TEST_S)
    bound_from = traffic.crashed_at[BOUND_CRASHES - 1] + BOUNDS.contact_s
    assert _arrivals(desks, "/read/bad", bound_from) <= MAX_REQUESTS_LATER


async def test_daemon_that_starts_later_refuses_the_request_unseen(desks: PlatformHarness) -> None:
    traffic = await _play(desks, "/read/bad", BOUNDS.contact_s)
    assert len(traffic.crashed_at) >= BOUND_CRASHES
    started = await desks.start_daemon(desks.store.address)
    await desks.wait_until(started.ready)
    crashes = len(traffic.crashed_at)
    await asyncio.sleep(1.0)
    assert await _send(desks, "/read/bad", -1) == ResultCode.REQUEST_BLOCKED
    assert sum(worker.crashes for worker in desks.worker_by_id.values()) <= crashes + 1


async def test_sound_requests_that_callers_repeat_through_crashes_are_served(
    desks: PlatformHarness,
) -> None:
    # They are under way at one crashed worker after the other, as a crashing request would be.
    traffic = Traffic()

    async def send(number: int) -> None:
        at = asyncio.get_running_loop().time()
        status = await _send(desks, f"/read/{number % 3}", number % DAEMONS)
        traffic.sound.append((at, status))

    for worker in desks.worker_by_id.values():
        worker.answer_delay_s = 0.05
    sending = asyncio.create_task(_repeat(send, 0.02))
    for _ in range(3):
        for number in range(1, WORKERS + 1):
            await asyncio.sleep(0.5)
            desks.worker_by_id[f"desk-{number}"].crash()
    await asyncio.sleep(BOUNDS.contact_s)
    sending.cancel()
    blocked = [at for at, status in traffic.sound if status == ResultCode.REQUEST_BLOCKED]
    assert len(blocked) <= 0.01 * len(traffic.sound)
    ended_at = asyncio.get_running_loop().time()
    last = [status for at, status in traffic.sound if at > ended_at - 2.0]
    assert len(last) >= 50 and last.count(200) == len(last)


async def test_sound_requests_under_way_in_crashes_at_the_same_moment_are_served_again(
    desks: PlatformHarness,
) -> None:
    # Three copies, at three workers that crash together, look like three crashes.
    for worker in desks.worker_by_id.values():
        worker.answer_delay_s = 0.3
    copies = [asyncio.create_task(_send(desks, "/pay/same", n % DAEMONS)) for n in range(12)]
    await asyncio.sleep(0.15)
    for worker in desks.worker_by_id.values():
        worker.crash()
    await asyncio.gather(*copies)
    async with asyncio.timeout(3 * BOUNDS.contact_s):
        while [await _send(desks, "/pay/same", n) for n in range(DAEMONS)] != [200] * DAEMONS:
            await asyncio.sleep(0.2)
