"""Crashes of endpoints are told from zones that cannot be reached."""

import asyncio
import logging
from random import Random

import pytest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.exchange.crash_probe import CrashProbe
from comfreyhatch.exchange.view import FleetView
from tests.exchange_values import record
from tests.platform_harness import running_harness


def probe(down: set[str], zones: dict[str, str]) -> tuple[CrashProbe, FleetView]:
    """Return a probe of endpoints in zones, of which some refuse connections."""
    view = FleetView()
    view.apply_endpoints(EndpointList(1, {e: record(e, zone) for e, zone in zones.items()}), 0.0)

    async def is_down(endpoint: EndpointTracker) -> bool:
        return endpoint.record.endpoint_id in down

    return CrashProbe(view, is_down, is_down, Random(1)), view


@pytest.mark.parametrize(
    ("down", "crashed"),
    [
        (set(), False),
        ({"e1"}, True),
        ({"e1", "e2"}, True),
        ({"e1", "e2", "e3"}, False),
        ({"e1", "e4"}, True),
    ],
)
async def test_endpoint_has_crashed_if_another_one_of_its_zone_can_be_reached(
    down: set[str], crashed: bool
) -> None:
    found, view = probe(down, {"e1": "a", "e2": "a", "e3": "a", "e4": "b"})
    assert await found.has_crashed(view.tracker_by_id["e1"]) == crashed


async def test_only_endpoint_of_a_zone_has_crashed_if_it_is_down() -> None:
    found, view = probe({"e4"}, {"e1": "a", "e4": "b"})
    assert await found.has_crashed(view.tracker_by_id["e4"])


async def test_only_endpoint_of_a_zone_has_not_crashed_if_no_endpoint_can_be_reached() -> None:
    found, view = probe({"e1", "e4"}, {"e1": "a", "e4": "b"})
    assert not await found.has_crashed(view.tracker_by_id["e4"])


async def test_requests_are_not_blamed_for_a_zone_that_refuses_all_connections(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Each daemon took each endpoint of a zone that was cut off for crashed, and blocked the
    # requests that it had tried at three of them.
    caplog.set_level(logging.INFO, "comfreyhatch.crashes")
    async with running_harness() as harness:
        desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
        for desk in desks:
            desk.hold = asyncio.Event()
        sending = [asyncio.create_task(harness.send("/pay/x")) for _ in range(4)]
        await harness.wait_until(lambda: all(desk.received for desk in desks))
        for worker in harness.worker_by_id.values():
            await worker.stop()
        await asyncio.gather(*sending)
        assert "event=zone_unreachable" in caplog.text
        assert "event=endpoint_crashed" not in caplog.text
