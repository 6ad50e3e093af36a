"""What a daemon that starts anew may learn from daemons that know no longer what is in force."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from comfreyhatch.domain.instance import Address
from tests.platform_harness import API_KEY, PlatformHarness, config, free_port, running_harness

REFUSED_STATUSES = {401, 503}
OTHER_KEY = "key-of-other"


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an old daemon, cut off before an endpoint and a key went, and a current one."""
    async with running_harness() as running:
        running.cut_from_store(0)
        lost = running.daemon._sync._lost_since_by_source
        await running.wait_until(lambda: {"orders", "endpoints"} <= lost.keys())
        changed = config(2)
        changed["tenants"] = [{"name": "other", "api_keys": [OTHER_KEY], "priority": 1}]
        running.store.put("op", "config", changed)
        running.store.remove("servers", "desk-1")
        current = await running.start_daemon(running.store.address)
        await running.wait_until(current.ready)
        yield running


def controls(harness: PlatformHarness, *daemons: int) -> tuple[Address, ...]:
    found = [harness.deployments[daemon].control for daemon in daemons]
    return tuple(control for control in found if control is not None)


async def statuses(harness: PlatformHarness, key: str, count: int = 20) -> set[int]:
    """Return the statuses of requests to the daemon that was started last."""
    found = set()
    for _ in range(count):
        found.add((await harness.send("/pay/x", authorization=f"Bearer {key}")).status)
        await asyncio.sleep(0.02)
    return found


async def test_old_peer_does_not_bring_back_what_the_store_no_longer_has(
    harness: PlatformHarness,
) -> None:
    await harness.start_daemon(harness.store.address, seeds=controls(harness, 0))
    assert await statuses(harness, API_KEY) <= REFUSED_STATUSES
    assert await statuses(harness, OTHER_KEY) == {200}
    assert not harness.worker_by_id["desk-1"].received


@pytest.mark.parametrize("daemons", [(0, 1), (1, 0)])
async def test_daemon_without_the_store_goes_by_the_current_one_of_its_peers(
    harness: PlatformHarness, daemons: tuple[int, int]
) -> None:
    nowhere = Address("127.0.0.1", free_port())
    started = await harness.start_daemon(nowhere, seeds=controls(harness, *daemons))
    await harness.wait_until(started.ready)
    assert await statuses(harness, API_KEY) <= REFUSED_STATUSES
    assert await statuses(harness, OTHER_KEY) == {200}
    assert not harness.worker_by_id["desk-1"].received


async def test_daemon_with_only_an_old_peer_follows_the_store_once_it_reaches_it(
    harness: PlatformHarness,
) -> None:
    # Until then it serves as the old one does: neither of them can know better.
    nowhere = Address("127.0.0.1", free_port())
    started = await harness.start_daemon(nowhere, seeds=controls(harness, 0))
    await harness.wait_until(started.ready)
    assert started.view.catalog.version == 1
    harness._store_clients[-1]._address = harness.store.address
    await harness.wait_until(lambda: started.view.catalog.version == 2)
    assert await statuses(harness, API_KEY) == {401}
    before = len(harness.worker_by_id["desk-1"].received)
    assert await statuses(harness, OTHER_KEY) == {200}
    assert len(harness.worker_by_id["desk-1"].received) == before
