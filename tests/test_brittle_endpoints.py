"""Endpoints that say that they fall over when they refuse too many requests are not made to."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.platform_harness import PlatformHarness, running_harness

MAX_REFUSED_PER_S = 6
ROOM = 4
CALLERS_PER_DAEMON = 16
DURATION_S = 5.0
# Time from the first answers that say so, from which the bound holds.
CONTACT_S = 3.0
RUN_S = 0.1


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        await running.add_daemons(2)
        yield running


async def call_until(harness: PlatformHarness, daemon: int, ends_at: float) -> int:
    """Send requests one after the other; return how many were served."""
    served = 0
    while asyncio.get_running_loop().time() < ends_at:
        reply = await harness.send("/read/x", daemon)
        served += reply.status == 200
        # Impatient: comes back sooner than it is told.
        await asyncio.sleep(0.02)
    return served


def most_in_a_second(times: list[float]) -> int:
    return max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)


async def test_brittle_endpoints_refuse_few_requests(harness: PlatformHarness) -> None:
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    for desk in desks:
        desk.brittle_per_s = MAX_REFUSED_PER_S
        desk.answer_delay_s = RUN_S
        desk.room = ROOM
    started = asyncio.get_running_loop().time()
    callers = [
        call_until(harness, daemon, started + CONTACT_S + DURATION_S)
        for daemon in range(3)
        for _ in range(CALLERS_PER_DAEMON)
    ]
    served = sum(await asyncio.gather(*callers))
    late = [[at for at in desk.refused_at if at >= started + CONTACT_S] for desk in desks]
    assert max(map(most_in_a_second, late)) <= MAX_REFUSED_PER_S
    # Half of what the endpoints could serve.
    assert served >= 0.5 * len(desks) * ROOM / RUN_S * (CONTACT_S + DURATION_S)


async def test_endpoint_is_no_longer_brittle_once_an_answer_does_not_say_so(
    harness: PlatformHarness,
) -> None:
    desk = harness.worker_by_id["desk-1"]
    tracker = harness.daemon.view.tracker_by_id["desk-1"]
    desk.brittle_per_s = MAX_REFUSED_PER_S
    while tracker.brittle_per_s is None:
        await harness.send("/read/x")
    desk.brittle_per_s = None
    while tracker.brittle_per_s is not None:
        await harness.send("/read/x")
    assert tracker.brittle_per_s is None
