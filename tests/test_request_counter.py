"""What a daemon reads after it was stopped counts once its routes are known to hold."""

import asyncio
import time
from math import inf

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.extra_requests import SAFETY_FACTOR, ExtraRequestBudget
from comfreyhatch.domain.catalog import Catalog, Route, ServiceShare
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import Operations
from comfreyhatch.exchange.loop_lag import INTERVAL_S, STOPPED_LAG_S
from comfreyhatch.exchange.request_counter import LONGEST_DOUBT_S, RequestCounter
from comfreyhatch.exchange.view import FleetView
from tests import exchange_values
from tests.platform_harness import PlatformHarness

WINDOW_S = 10.0
WENT_ON_AT = 100.0


def route(service: str) -> Route:
    return replace(exchange_values.job().route, shares=(ServiceShare(service),))


def job(service: str, now: float) -> Job:
    return replace(exchange_values.job(arrived=now), route=route(service), service=service)


class Counted:
    """A counter, and budgets that allow a repeat for each request that counts."""

    def __init__(self) -> None:
        self.view = FleetView()
        self.went_on_at = -inf
        self.budget_by_service: dict[str, ExtraRequestBudget] = {}
        self.counter = RequestCounter(self.view, self.budget, lambda: self.went_on_at, WINDOW_S)

    def budget(self, service: str) -> ExtraRequestBudget:
        budget = ExtraRequestBudget(WINDOW_S, 1 / SAFETY_FACTOR, 0.0)
        return self.budget_by_service.setdefault(service, budget)

    def route_to(self, service: str, version: int, now: float, asked_at: float) -> None:
        """Take a configuration that routes all requests to a service, and count what waits."""
        catalog = Catalog(version, {"host": (route(service),)}, {}, {})
        operations = Operations(version, catalog, {}, frozenset())
        self.view.apply_operations(operations, now, 1.0, asked_at)
        self.counter.count_waiting(now)

    def counted(self, service: str, now: float) -> int:
        return round(self.budget(service).remaining(now))


@pytest.fixture
def counted() -> Counted:
    found = Counted()
    found.route_to("old", 1, 90.0, 90.0)
    return found


def test_requests_of_a_stop_wait_until_the_routes_are_read_anew(counted: Counted) -> None:
    counted.went_on_at = WENT_ON_AT
    now = WENT_ON_AT + 0.1
    for came_at in (WENT_ON_AT - 3, WENT_ON_AT - 2, now):
        counted.counter.record(job("old", now), came_at)
    assert counted.counted("old", now) == 0
    counted.route_to("old", 2, now, WENT_ON_AT)
    assert counted.counted("old", now) == 3
    # They count from when they came on.
    assert counted.counted("old", WENT_ON_AT - 2.5 + WINDOW_S) == 2


def test_requests_of_a_stop_count_for_no_service_that_they_have_left(counted: Counted) -> None:
    counted.went_on_at = WENT_ON_AT
    counted.counter.record(job("old", WENT_ON_AT), WENT_ON_AT - 3)
    counted.route_to("new", 2, WENT_ON_AT, WENT_ON_AT)
    assert counted.counted("old", WENT_ON_AT) == 0
    counted.counter.record(job("new", WENT_ON_AT), WENT_ON_AT)
    assert counted.counted("new", WENT_ON_AT) == 1


def test_routes_that_were_asked_for_before_a_stop_are_not_taken_for_newer_ones(
    counted: Counted,
) -> None:
    counted.went_on_at = WENT_ON_AT
    counted.counter.record(job("old", WENT_ON_AT), WENT_ON_AT - 3)
    # The answer to a question of before the stop may have waited as long.
    counted.route_to("old", 2, WENT_ON_AT + 0.1, WENT_ON_AT - 4)
    assert counted.counted("old", WENT_ON_AT + 0.1) == 0


def test_daemon_that_stays_cut_off_after_a_stop_counts_by_the_routes_it_knows(
    counted: Counted,
) -> None:
    counted.went_on_at = WENT_ON_AT
    counted.counter.record(job("old", WENT_ON_AT), WENT_ON_AT - 1)
    later = WENT_ON_AT + LONGEST_DOUBT_S
    counted.counter.record(job("old", later), later)
    assert counted.counted("old", later) == 2


def test_request_counts_at_once_without_a_stop_however_old_the_routes_are(
    counted: Counted,
) -> None:
    counted.counter.record(job("old", 500.0), 500.0)
    assert counted.counted("old", 500.0) == 1


def test_what_waits_is_no_more_than_a_window_of_requests(counted: Counted) -> None:
    counted.went_on_at = WENT_ON_AT
    counted.counter.record(job("old", WENT_ON_AT), WENT_ON_AT - WINDOW_S - 1)
    for number in range(3):
        counted.counter.record(job("old", WENT_ON_AT), WENT_ON_AT - number)
    assert len(counted.counter._waiting) == 3


async def test_daemon_that_was_stopped_counts_again_once_it_has_read_its_routes(
    harness: PlatformHarness,
) -> None:
    daemon = harness.daemons[0]
    time.sleep(INTERVAL_S + STOPPED_LAG_S + 0.1)
    await asyncio.sleep(0.01)
    assert daemon.view.operations_asked_at < daemon._went_on_at()
    before = len(daemon._budgets.of("desk")._requests)
    assert (await harness.send("/read/x")).status == 200
    async with asyncio.timeout(LONGEST_DOUBT_S - 0.5):
        while len(daemon._budgets.of("desk")._requests) == before:
            await asyncio.sleep(0.02)
    assert daemon.view.operations_asked_at >= daemon._went_on_at()
