"""Queueing, refusal and shares under the loads that they answer; see `tests.queue_replay`.

Thresholds are parts of the callers that get an answer within the target time of their request and
before their deadline.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import cache

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.slot_lease import SlotLease
from tests.queue_replay import PATTERN_BY_NAME, Fleet, Kind, Outcome, in_time
from tests.simulated_fleet import run_simulated

CALL = Kind("call", 1.0, 0.09, 0.4, 3.0)
# The others of a group get at most twice the service of any part of it.
LEAST_PART = 0.5


@cache
def outcomes(pattern: str) -> list[Outcome]:
    return PATTERN_BY_NAME[pattern].outcomes(True)


def test_burst_of_1_7_times_the_capacity_serves_the_most_urgent_in_time() -> None:
    """Guards against a burst in which all ranks are late alike (0.77 of rank 0 by count), and
    against a rank that gets nothing.
    """
    parts = [in_time(outcomes("burst"), lambda o, k=f"rank-{r}": o.kind == k) for r in range(3)]
    assert parts[0] >= 0.95
    assert min(parts) >= LEAST_PART * parts[0]


def test_workspace_with_7_5_times_its_load_takes_nothing_from_small_ones() -> None:
    """Guards against one workspace whose burst makes the calls of all others late."""
    small = in_time(outcomes("one-workspace"), lambda o: o.workspace != "big")
    big = in_time(outcomes("one-workspace"), lambda o: o.workspace == "big")
    assert small >= 0.99
    assert big >= LEAST_PART * small


def test_callers_that_repeat_at_once_gain_nothing() -> None:
    """Guards against callers that win slots from those who wait as told by repeating faster."""
    found = outcomes("repeaters")
    patient = in_time(found, lambda o: o.workspace == "patient")
    assert patient >= 0.95
    assert patient >= in_time(found, lambda o: o.workspace == "repeats")


@pytest.mark.parametrize("kind", ["long", "short"])
def test_long_and_short_requests_both_get_their_part(kind: str) -> None:
    """Guards against short requests that shut out the largest tenth, or the long ones, and long
    ones that hold 18 slots of 59 daemons against the short ones.
    """
    found = outcomes("long-and-short")
    part = in_time(found, lambda o: o.kind == kind)
    others = in_time(found, lambda o: o.kind != kind)
    large = in_time(found, lambda o: o.kind == kind and o.large)
    small = in_time(found, lambda o: o.kind == kind and not o.large)
    assert part >= LEAST_PART * others
    assert large >= LEAST_PART * small


@pytest.mark.parametrize("pattern", list(PATTERN_BY_NAME))
def test_no_caller_waits_for_a_refusal_beyond_its_target(pattern: str) -> None:
    """Guards against requests that wait until their deadline to be refused."""
    aim_by_kind = {kind.name: kind.aim_s for kind in PATTERN_BY_NAME[pattern].kinds}
    assert all(outcome.waited_s <= aim_by_kind[outcome.kind] for outcome in outcomes(pattern))


def simulated(
    main: Callable[[Fleet], Awaitable[None]], by_cost: bool = True, slots: int = 1
) -> None:
    """Run a coroutine function on a daemon whose slots are all taken."""

    async def run() -> None:
        fleet = Fleet(1, slots, by_cost)
        fleet.running[0] = slots
        await main(fleet)

    run_simulated(run)


def ask(
    fleet: Fleet, identity: str, rank: int = 1, aim_s: float = 0.4, resumes: bool = False
) -> "asyncio.Task[SlotLease]":
    kind = Kind("call", 1.0, 0.09, aim_s, 3.0, rank=rank)
    deadline = asyncio.get_running_loop().time() + kind.timeout_s
    job = fleet.job(kind, "w", identity.encode(), deadline)
    return asyncio.create_task(fleet.schedulers[0].acquire(job, set(), 0.1, resumes=resumes))


async def refusal(task: "asyncio.Task[SlotLease]") -> RefusedError:
    with pytest.raises(RefusedError) as refused:
        await task
    return refused.value


def test_displaced_request_is_refused_at_once_and_truthfully(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against displaced callers that wait on, or are not told that nothing has run, and
    against decisions that can't be traced to their inputs.
    """
    caplog.set_level(logging.INFO, "comfreyhatch.admission")

    async def main(fleet: Fleet) -> None:
        loop = asyncio.get_running_loop()
        waiting = [ask(fleet, f"low-{number}", rank=2) for number in range(3)]
        await asyncio.sleep(0.001)
        urgent = [ask(fleet, f"urgent-{number}", rank=0) for number in range(2)]
        error = await refusal(waiting[-1])
        assert loop.time() < 0.01 and error.ran is Ran.NO
        assert error.retry_after_s and fleet.schedulers[0].admission.policy.displaced == 1
        assert not any(task.done() for task in urgent)
        fleet.running[0] = 0
        assert (await urgent[0]).job.rank == 0
        for task in (urgent[1], *waiting):
            task.cancel()

    simulated(main)
    lines = [record.getMessage() for record in caplog.records]
    assert sum("event=queued " in line for line in lines) == 5
    (line,) = [line for line in lines if "event=displaced " in line]
    inputs = ("by", "retry_after_s", "work_s", "ahead_s", "slots", "work_age_s", "list_age_s")
    assert all(f" {name}=" in line for name in inputs)


def test_caller_that_returns_at_its_time_goes_before_a_newcomer() -> None:
    """Guards against callers that wait as told and then wait behind those who did not."""

    async def main(fleet: Fleet) -> None:
        waiting = [ask(fleet, f"first-{number}") for number in range(4)]
        error = await refusal(waiting[3])
        await asyncio.gather(*waiting, return_exceptions=True)
        told_s = error.retry_after_s or 0.0
        await asyncio.sleep(told_s - asyncio.get_running_loop().time())
        newcomer, returned = ask(fleet, "newcomer"), ask(fleet, "first-3")
        await asyncio.sleep(0.001)
        fleet.running[0] = 0
        lease = await returned
        assert not newcomer.done() and lease.job.identity == b"first-3"

    simulated(main)


def test_caller_that_leaves_while_it_waits_frees_its_place() -> None:
    """Guards against places and slots held for callers that have gone."""

    async def main(fleet: Fleet) -> None:
        scheduler = fleet.schedulers[0]
        first, second = ask(fleet, "first"), ask(fleet, "second")
        await asyncio.sleep(0.001)
        first.cancel()
        await asyncio.sleep(0.001)
        assert scheduler.queued == 1 and scheduler.queued_work_s == pytest.approx(0.1)
        fleet.running[0] = 0
        scheduler.release(await second)
        assert scheduler.queued == 0 and fleet.trackers[0].in_flight == 0

    simulated(main)


def test_daemon_that_stops_while_requests_wait_leaves_no_slot_taken() -> None:
    """Guards against a stop that hangs on requests that wait, or leaves their slots counted."""

    async def main(fleet: Fleet) -> None:
        waiting = [ask(fleet, str(number)) for number in range(3)]
        await asyncio.sleep(0.001)
        fleet.running[0] = 0
        fleet.schedulers[0].serve_queue("s")
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert fleet.schedulers[0].queued == 0 and fleet.trackers[0].in_flight == 0

    simulated(main)


def test_requests_are_refused_at_once_when_all_endpoints_vanish() -> None:
    """Guards against callers that wait for endpoints that have gone; streams that go on wait for
    their return.
    """

    async def main(fleet: Fleet) -> None:
        scheduler, loop = fleet.schedulers[0], asyncio.get_running_loop()
        call, stream = ask(fleet, "call"), ask(fleet, "stream", resumes=True)
        await asyncio.sleep(0.001)
        trackers = scheduler._view.trackers_by_service.pop("s")
        scheduler.serve_queue("s")
        error = await refusal(call)
        assert loop.time() < 0.01
        assert error.code is ResultCode.NO_ENDPOINT and error.ran is Ran.NO
        scheduler._view.trackers_by_service["s"] = trackers
        fleet.running[0] = 0
        assert (await stream).job.identity == b"stream"

    simulated(main)


def test_service_without_pace_is_served_by_count() -> None:
    """Guards against a change for services that don't report a pace."""

    async def main(fleet: Fleet) -> None:
        waiting = [ask(fleet, str(number), rank=2) for number in range(3)]
        await asyncio.sleep(0.001)
        urgent = ask(fleet, "urgent", rank=0)
        await asyncio.sleep(0.001)
        assert fleet.schedulers[0].queued == 4 and fleet.schedulers[0].queued_work_s == 0
        assert fleet.schedulers[0].admission.policy.displaced == 0
        for task in (*waiting, urgent):
            task.cancel()

    simulated(main, by_cost=False)
