"""Repeats count as long as an attempt of their request waits unread, on each path of requests."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import PlatformHarness, running_harness

SERVICE_BY_PATH = {"/read/x": "desk", "/draft/x": "engines"}
WORKER_BY_SERVICE = {"desk": "desk-1", "engines": "engine-1"}


@pytest.fixture
async def fleet() -> AsyncIterator[PlatformHarness]:
    """Yield a harness with two daemons that know each other."""
    async with running_harness() as running:
        await running.add_daemons(1)
        yield running


def metric(harness: PlatformHarness, name: str, **labels: str) -> float:
    """Return a metric of the first daemon."""
    return harness.daemons[0].registry.get_sample_value(f"comfreyhatch_{name}", labels) or 0.0


async def send_until_one_waits_unread(harness: PlatformHarness, path: str) -> None:
    """Send requests until one has left an attempt at a silent endpoint, and has been answered."""
    while not metric(harness, "unread_attempts"):
        assert (await harness.send_kind(path, 0)).status == 200


@pytest.mark.parametrize("relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize("path", SERVICE_BY_PATH)
async def test_repeat_counts_until_the_attempt_that_waits_unread_has_surely_arrived(
    fleet: PlatformHarness, path: str, relayed: bool
) -> None:
    service = SERVICE_BY_PATH[path]
    if relayed:
        LostPaths(fleet.daemons[0]).cut(Loss.RESET)
        # Finds out that the service is lost.
        await fleet.send_kind(path, 0)
    silent = fleet.worker_by_id[WORKER_BY_SERVICE[service]]
    silent.hold = asyncio.Event()
    await send_until_one_waits_unread(fleet, path)
    waiting = metric(fleet, "unread_attempts")
    assert metric(fleet, "extra_requests_reserved", service=service) == waiting
    silent.hold.set()

    async def ends() -> None:
        while metric(fleet, "unread_attempts"):
            await fleet.send_kind(path, 0)

    await asyncio.wait_for(ends(), 10.0)
    assert metric(fleet, "extra_requests_reserved", service=service) == 0


async def test_unread_attempts_of_an_endpoint_that_has_ended_are_counted_off(
    fleet: PlatformHarness,
) -> None:
    silent = fleet.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_until_one_waits_unread(fleet, "/read/x")
    await silent.stop()

    async def ends() -> None:
        while metric(fleet, "unread_attempts"):
            assert (await fleet.send("/read/x", 0)).status == 200

    await asyncio.wait_for(ends(), 10.0)
    assert metric(fleet, "extra_requests_reserved", service="desk") == 0


async def test_attempt_that_was_given_up_before_it_was_written_never_arrives(
    harness: PlatformHarness,
) -> None:
    silent = harness.worker_by_id["desk-1"]
    silent.stop_accepting()
    for _ in range(20):
        await harness.send("/read/x")
    registry = harness.daemons[0].registry
    assert registry.get_sample_value("comfreyhatch_unread_attempts") == 0
