"""Requests with a prompt part that crashes engines are found, refused and let go again."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.part_report import PartReport, ReportKind
from comfreyhatch.errors import HttpError
from tests.crash_fleet import running_crash_fleet
from tests.platform_harness import BOUNDS, PlatformHarness
from tests.platform_worker import part_ids

DAEMONS = 3
ENGINES = 5
BAD_PART = "bad"
# Crashes after which the users' bounds count, and requests that may reach engines after that.
BOUND_CRASHES = 5
MAX_REQUESTS_LATER = 3
BAD_PAUSE_S = 0.15
SOUND_PAUSE_S = 0.04
TEST_S = 4 * BOUNDS.contact_s


@dataclass(slots=True)
class Traffic:
    """What was sent and what became of it; times are those of the event loop."""

    crashed_at: list[float] = field(default_factory=list)
    bad_arrived_at: list[float] = field(default_factory=list)
    sound: list[tuple[float, bool]] = field(default_factory=list)


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_crash_fleet(DAEMONS, "engine", ENGINES) as running:
        for worker in running.worker_by_id.values():
            worker.crashing_parts = frozenset({BAD_PART})
        yield running


async def _send(harness: PlatformHarness, number: int, parts: list[str]) -> bool:
    """Send a request with shared parts and one of its own; return whether it was served."""
    prefix = ",".join(f"{part}:100" for part in [*parts, f"own{number}"])
    try:
        reply = await harness.send_draft(number % DAEMONS, prompt_prefix=prefix)
    except HttpError:
        return False
    return reply.status == 200


async def _send_bad(harness: PlatformHarness, number: int) -> None:
    parts = [f"mid{number % 4}", BAD_PART] if number % 2 else [BAD_PART, f"mid{number % 4}"]
    await _send(harness, number, ["first", *parts])


async def _send_sound(harness: PlatformHarness, traffic: Traffic, number: int) -> None:
    sent_at = asyncio.get_running_loop().time()
    served = await _send(harness, number, ["first", f"mid{number % 4}"])
    traffic.sound.append((sent_at, served))


async def _watch(harness: PlatformHarness, traffic: Traffic) -> None:
    """Note when engines crash, and when requests with the bad part arrive."""
    loop = asyncio.get_running_loop()
    engines = [w for name, w in harness.worker_by_id.items() if name.startswith("engine")]
    while True:
        await asyncio.sleep(0.005)
        crashes = sum(engine.crashes for engine in engines)
        traffic.crashed_at += [loop.time()] * (crashes - len(traffic.crashed_at))
        arrived = sum(BAD_PART in part_ids(r) for engine in engines for r in engine.received)
        traffic.bad_arrived_at += [loop.time()] * (arrived - len(traffic.bad_arrived_at))


async def _play(harness: PlatformHarness) -> Traffic:
    """Send sound requests, and after a second bad ones, to all daemons in turn."""
    loop = asyncio.get_running_loop()
    traffic = Traffic()
    watching = asyncio.create_task(_watch(harness, traffic))
    began_at = loop.time()
    tasks: set[asyncio.Task[None]] = set()
    numbers = {"bad": 0, "sound": 0}
    while (now := loop.time()) < began_at + TEST_S:
        if numbers["bad"] * BAD_PAUSE_S < now - began_at - 1.0:
            numbers["bad"] += 1
            tasks.add(asyncio.create_task(_send_bad(harness, numbers["bad"])))
        if numbers["sound"] * SOUND_PAUSE_S < now - began_at:
            numbers["sound"] += 1
            tasks.add(asyncio.create_task(_send_sound(harness, traffic, numbers["sound"])))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    watching.cancel()
    return traffic


async def test_requests_that_crash_engines_are_refused_and_sound_ones_served(
    harness: PlatformHarness,
) -> None:
    # Daemons carried such requests from engine to engine: 29 engines ended one after the other.
    traffic = await _play(harness)
    counted = traffic.crashed_at[:BOUND_CRASHES]
    bound_from = counted[-1] + BOUNDS.contact_s
    later = [at for at in traffic.bad_arrived_at if at > bound_from]
    assert len(later) <= MAX_REQUESTS_LATER
    served = [ok for at, ok in traffic.sound if at > counted[-1] + 2 * BOUNDS.contact_s]
    assert len(served) >= 20
    assert sum(served) >= len(served) / 2


async def test_request_that_waits_is_refused_once_its_part_is_found(
    harness: PlatformHarness,
) -> None:
    # Every engine is busy, and the request waits for a slot of up to 3 s.
    release = asyncio.Event()
    for worker in harness.worker_by_id.values():
        worker.hold = release
    busy = [asyncio.create_task(_send(harness, n * DAEMONS, ["mid"])) for n in range(4 * ENGINES)]
    await harness.wait_until(lambda: sum(t.in_flight for t in _trackers(harness)) == 4 * ENGINES)
    waiting = asyncio.create_task(_send(harness, 999, ["mid", BAD_PART]))
    daemon = harness.daemons[0]
    await harness.wait_until(lambda: daemon._scheduler.queued)
    report = PartReport(ReportKind.BLOCKED, frozenset({BAD_PART}))
    daemon._reports.receive([report], asyncio.get_running_loop().time())
    async with asyncio.timeout(0.5):
        assert not await waiting
    release.set()
    await asyncio.gather(*busy)


def _trackers(harness: PlatformHarness) -> list[EndpointTracker]:
    return harness.daemons[0].view.trackers_by_service["engines"]
