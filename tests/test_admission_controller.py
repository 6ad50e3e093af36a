"""The gate before the slots: waiting, refusing at once, leaving."""

import asyncio
from random import Random
from time import monotonic

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.admission import AdmissionController
from comfreyhatch.errors import RefusedError

LATER_S = 60.0


def gate(slots: int = 1, bound: int = 2, reserved_percent: int = 0) -> AdmissionController:
    return AdmissionController(lambda: slots, bound, reserved_percent, Random(1))


async def waiting(gate: AdmissionController, count: int) -> None:
    async with asyncio.timeout(5):
        while gate.waiting != count:
            await asyncio.sleep(0.001)


async def test_slots_pass_on_by_priority() -> None:
    tested = gate(bound=5)
    first = await tested.acquire(False, 5, monotonic() + LATER_S)
    assert not tested.has_free_slot(False)
    order: list[int] = []

    async def run(priority: int) -> None:
        admitted = await tested.acquire(priority == 9, priority, monotonic() + LATER_S)
        order.append(priority)
        tested.release(admitted)

    tasks = [asyncio.create_task(run(priority)) for priority in (1, 9, 5)]
    await waiting(tested, 3)
    tested.release(first)
    await asyncio.gather(*tasks)
    assert order == [9, 5, 1]
    assert tested.has_free_slot(False)


async def test_displaced_and_surplus_work_is_answered_at_once() -> None:
    tested = gate(bound=1)
    await tested.acquire(False, 5, monotonic() + LATER_S)
    lesser = asyncio.create_task(tested.acquire(False, 1, monotonic() + LATER_S))
    await waiting(tested, 1)
    critical = asyncio.create_task(tested.acquire(True, 9, monotonic() + LATER_S))
    with pytest.raises(RefusedError) as displaced:
        await lesser
    with pytest.raises(RefusedError) as surplus:
        await tested.acquire(False, 5, monotonic() + LATER_S)
    for caught in (displaced, surplus):
        assert caught.value.code is ResultCode.OVERLOADED
        assert caught.value.ran is Ran.NO
        assert caught.value.retry_after_s and caught.value.retry_after_s >= 1
    assert not critical.done()
    critical.cancel()


async def test_late_work_is_refused_while_all_slots_stay_taken() -> None:
    tested = gate()
    await tested.acquire(False, 5, monotonic() + LATER_S)
    with pytest.raises(RefusedError):
        await tested.acquire(True, 9, monotonic() + 0.05)
    assert tested.waiting == 0


async def test_reserved_slots_stay_free_for_critical_work() -> None:
    tested = gate(slots=2, reserved_percent=50)
    await tested.acquire(False, 5, monotonic() + LATER_S)
    assert not tested.has_free_slot(False) and tested.has_free_slot(True)
    await tested.acquire(True, 9, monotonic() + LATER_S)


async def test_single_slot_is_open_to_all_work() -> None:
    tested = gate(slots=1, reserved_percent=50)
    assert (await tested.acquire(False, 5, monotonic() + LATER_S)).critical is False


async def test_caller_that_leaves_frees_its_place_or_slot() -> None:
    tested = gate()
    admitted = await tested.acquire(False, 5, monotonic() + LATER_S)
    waits = asyncio.create_task(tested.acquire(False, 5, monotonic() + LATER_S))
    granted = asyncio.create_task(tested.acquire(False, 6, monotonic() + LATER_S))
    await waiting(tested, 2)
    waits.cancel()
    await waiting(tested, 1)
    tested.release(admitted)
    granted.cancel()
    with pytest.raises(asyncio.CancelledError):
        await granted
    assert tested.has_free_slot(False)
