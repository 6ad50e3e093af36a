"""Tests of the admission controller: queueing, refusals, cancellation and reserved slots."""

import asyncio
from random import Random
from time import monotonic

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.admission import AdmissionController
from comfreyhatch.errors import RefusedError

DEADLINE_S = 60.0


def new_controller(
    slots: int = 1, max_waiting: int = 2, reserved_percent: int = 0
) -> AdmissionController:
    return AdmissionController(lambda: slots, max_waiting, reserved_percent, Random(1))


async def until_waiting(controller: AdmissionController, count: int) -> None:
    async with asyncio.timeout(5):
        while controller.waiting != count:
            await asyncio.sleep(0.001)


async def test_freed_slots_go_to_queued_requests_by_priority() -> None:
    controller = new_controller(max_waiting=5)
    first = await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    assert not controller.has_free_slot(False)
    order: list[int] = []

    async def run(priority: int) -> None:
        admission = await controller.acquire(priority == 9, priority, monotonic() + DEADLINE_S)
        order.append(priority)
        controller.release(admission)

    tasks = [asyncio.create_task(run(priority)) for priority in (1, 9, 5)]
    await until_waiting(controller, 3)
    controller.release(first)
    await asyncio.gather(*tasks)
    assert order == [9, 5, 1]
    assert controller.has_free_slot(False)


async def test_displaced_request_and_one_over_the_queue_limit_are_refused_at_once() -> None:
    controller = new_controller(max_waiting=1)
    await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    low_priority = asyncio.create_task(controller.acquire(False, 1, monotonic() + DEADLINE_S))
    await until_waiting(controller, 1)
    critical = asyncio.create_task(controller.acquire(True, 9, monotonic() + DEADLINE_S))
    with pytest.raises(RefusedError) as displaced:
        await low_priority
    with pytest.raises(RefusedError) as surplus:
        await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    for caught in (displaced, surplus):
        assert caught.value.code is ResultCode.OVERLOADED
        assert caught.value.ran is Ran.NO
        assert caught.value.retry_after_s and caught.value.retry_after_s >= 1
    assert not critical.done()
    critical.cancel()


async def test_late_request_is_refused_while_all_slots_stay_in_use() -> None:
    controller = new_controller()
    await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    with pytest.raises(RefusedError):
        await controller.acquire(True, 9, monotonic() + 0.05)
    assert controller.waiting == 0


async def test_reserved_slots_are_left_to_critical_requests() -> None:
    controller = new_controller(slots=2, reserved_percent=50)
    await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    assert not controller.has_free_slot(False) and controller.has_free_slot(True)
    await controller.acquire(True, 9, monotonic() + DEADLINE_S)


async def test_single_slot_is_never_reserved() -> None:
    controller = new_controller(slots=1, reserved_percent=50)
    assert (await controller.acquire(False, 5, monotonic() + DEADLINE_S)).critical is False


async def test_cancelled_request_frees_its_place_in_the_queue_or_its_slot() -> None:
    controller = new_controller()
    admission = await controller.acquire(False, 5, monotonic() + DEADLINE_S)
    queued = asyncio.create_task(controller.acquire(False, 5, monotonic() + DEADLINE_S))
    granted = asyncio.create_task(controller.acquire(False, 6, monotonic() + DEADLINE_S))
    await until_waiting(controller, 2)
    queued.cancel()
    await until_waiting(controller, 1)
    controller.release(admission)
    granted.cancel()
    with pytest.raises(asyncio.CancelledError):
        await granted
    assert controller.has_free_slot(False)
