"""What daemons send each other: the cost of each stays while the fleet doubles."""

import asyncio
from random import Random

from msgspec.msgpack import encode
from prometheus_client import CollectorRegistry

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.part_report import ReportKind
from comfreyhatch.domain.request_report import RequestReport
from comfreyhatch.exchange.request_guard import RequestGuard
from tests.exchange_values import job, record
from tests.simulated_fleet import SimulatedFleet, run_simulated

SMALL = 100
LARGE = 200
CRASHES = 60
# Size in two years, and what control may cost then: bytes a second and daemon, and calls to the
# store a second by all daemons together.
DAEMONS_IN_TWO_YEARS = 420
CONTROL_BYTES_PER_S = 2048
STORE_CALLS_PER_S = 40
MEASURED_S = 4.0


def crash_report(number: int) -> RequestReport:
    requests = frozenset(b"%08d-%07d" % (number, n) for n in range(3))
    return RequestReport(ReportKind.CRASHED, requests, "engine-1/1")


async def bytes_per_daemon_and_report(size: int, reports: int) -> float:
    """Return what daemons sent for reports that come within a second, each from another daemon."""
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(4.0)
    idle_bytes = fleet.bytes_sent.total()
    fleet.reset()
    sources = list(fleet.reports_by_address.values())
    for number in range(reports):
        sources[number].publish([crash_report(number)], asyncio.get_running_loop().time())
        await asyncio.sleep(1.0 / reports)
    await asyncio.sleep(3.0)
    missing = [len(r.since(0, 0.0)) for r in sources if len(r.since(0, 0.0)) < reports]
    assert not missing
    await fleet.stop()
    return (fleet.bytes_sent.total() - idle_bytes) / size / reports


def test_reports_cost_a_daemon_no_more_in_a_larger_fleet() -> None:
    # Each daemon got all reports from each reader to which it sent its own, and answers of readers
    # told of one report at a time.
    cost_by_size: dict[int, float] = {}

    async def main() -> None:
        for size in (SMALL, LARGE):
            cost_by_size[size] = await bytes_per_daemon_and_report(size, CRASHES)

    run_simulated(main)
    assert cost_by_size[LARGE] < 1.1 * cost_by_size[SMALL]
    assert cost_by_size[LARGE] < 2 * len(encode(crash_report(0)))


async def replies_to_a_late_crash_report(size: int) -> int:
    """Return how many daemons tell of a complete answer that each of them knows."""
    fleet = SimulatedFleet(size)
    await fleet.start()
    now = asyncio.get_running_loop().time
    guards = [
        RequestGuard(address, fleet.addresses, CollectorRegistry(), reports, Random(address))
        for address, reports in fleet.reports_by_address.items()
    ]
    for guard in guards:
        guard.end_complete(guard.begin(job(), EndpointTracker(record("e1"), now()), now()), now())
    crashed = RequestReport(ReportKind.CRASHED, frozenset({job().identity}), "e1/1", age_s=1.0)
    first = next(iter(fleet.reports_by_address.values()))
    fleet.reset()
    first.publish([crashed], now())
    await asyncio.sleep(3.0)
    await fleet.stop()
    assert all(not guard.suspects(job()) for guard in guards)
    return fleet.published.total() - 1


def test_few_of_all_daemons_answer_the_report_of_a_crash_that_is_refuted() -> None:
    # Each daemon that knew a request to be sound told all others so, for each of its crashes: at
    # 195 daemons, 57,808 times after a zone was cut, with most of the fleet's processor time.
    found: dict[int, int] = {}

    async def main() -> None:
        for size in (SMALL, LARGE):
            found[size] = await replies_to_a_late_crash_report(size)

    run_simulated(main)
    assert 1 <= found[SMALL] <= SMALL / 10
    assert 1 <= found[LARGE] <= LARGE / 10


async def idle_cost(size: int) -> tuple[float, float]:
    """Return bytes a second and daemon, and calls to the directory a second in all."""
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(MEASURED_S)
    fleet.reset()
    calls = fleet.directory.calls
    await asyncio.sleep(MEASURED_S)
    await fleet.stop()
    per_s = (fleet.directory.calls - calls) / MEASURED_S
    return fleet.bytes_sent.total() / MEASURED_S / size, per_s


def test_idle_daemons_stay_within_what_control_may_cost_at_any_size() -> None:
    bytes_by_size: dict[int, float] = {}
    calls_by_size: dict[int, float] = {}

    async def main() -> None:
        for size in (SMALL, LARGE, DAEMONS_IN_TWO_YEARS):
            bytes_by_size[size], calls_by_size[size] = await idle_cost(size)

    run_simulated(main)
    assert bytes_by_size[LARGE] < 1.1 * bytes_by_size[SMALL]
    assert max(bytes_by_size.values()) < CONTROL_BYTES_PER_S
    assert max(calls_by_size.values()) < STORE_CALLS_PER_S
