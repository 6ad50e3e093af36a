"""Endpoints that were left as silent are probed, so that no caller's request has to find out."""

import asyncio
from time import monotonic

import pytest

from comfreyhatch.decisions.endpoint_tracker import MAX_SILENT_PAUSE_S
from tests.platform_harness import PlatformHarness, config
from tests.platform_worker import HEALTH_PATH

# Longer than several of the pauses after which one request found out.
SILENCE_S = 2.5
# The first ones, until one has waited for the usual time.
MOST_UNREAD = 3
READ_AGAIN_S = 1.0


@pytest.fixture
async def probed(harness: PlatformHarness) -> PlatformHarness:
    """Return a fleet whose configuration names the path of the probes."""
    found = config(2)
    services = [{**service, "health_path": HEALTH_PATH} for service in found["services"]]
    harness.store.put("op", "config", {**found, "services": services})
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    return harness


async def send_for(harness: PlatformHarness, path: str, for_s: float) -> None:
    """Send requests one after the other for a time, in seconds."""
    until = monotonic() + for_s
    while monotonic() < until:
        assert (await harness.send(path)).status == 200


async def test_silent_endpoint_gets_a_probe_and_no_more_requests(probed: PlatformHarness) -> None:
    silent = probed.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_for(probed, "/read/x", SILENCE_S)
    assert len(silent.received) <= MOST_UNREAD
    assert silent.probes == 1


async def test_endpoint_that_answers_its_probe_gets_requests_soon(probed: PlatformHarness) -> None:
    silent = probed.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_for(probed, "/read/x", SILENCE_S)
    before = len(silent.received)
    silent.hold.set()
    await send_for(probed, "/read/x", READ_AGAIN_S)
    assert len(silent.received) > before + 1


async def test_endpoint_that_answers_probes_and_no_requests_gets_few_requests(
    probed: PlatformHarness,
) -> None:
    # As one that is in trouble, and sound by its own word.
    silent = probed.worker_by_id["desk-1"]
    silent.answer_delay_s = 60.0
    await send_for(probed, "/read/x", SILENCE_S)
    assert len(silent.received) <= 2 * MOST_UNREAD
    assert silent.probes <= 2 * MOST_UNREAD


async def test_endpoint_without_a_health_path_is_found_out_by_requests(
    harness: PlatformHarness,
) -> None:
    silent = harness.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_for(harness, "/read/x", SILENCE_S)
    assert not silent.probes
    assert 1 < len(silent.received) <= 2 * MOST_UNREAD


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
async def test_endpoint_that_restarts_ends_its_probe(probed: PlatformHarness, path: str) -> None:
    silent = probed.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_for(probed, "/read/x", SILENCE_S / 2)
    tracker = probed.daemon.view.tracker_by_id["desk-1"]
    assert tracker.awaits_probe
    silent.hold = None
    silent.crash()
    async with asyncio.timeout(MAX_SILENT_PAUSE_S):
        while tracker.awaits_probe:
            await probed.send(path)
