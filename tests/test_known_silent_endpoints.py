"""Requests are not sent on to endpoints that are known to be silent, while others answer."""

import asyncio
from time import monotonic

import pytest

from tests.platform_harness import PlatformHarness

REQUESTS = 60
# The first ones, until one has waited for the usual time, and one after each pause.
MOST_UNREAD = 8
# Of the two endpoints.
SLOTS = 8
USUAL_S = 0.15


async def send_all(harness: PlatformHarness, path: str) -> list[int]:
    """Return the statuses of requests that are sent one after the other."""
    return [(await harness.send(path)).status for _ in range(REQUESTS)]


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
async def test_endpoint_that_sends_nothing_gets_few_requests(
    harness: PlatformHarness, path: str
) -> None:
    silent, other = (harness.worker_by_id[name] for name in ("desk-1", "desk-2"))
    silent.hold = asyncio.Event()
    sending = asyncio.gather(send_all(harness, path), send_all(harness, path))
    await sending
    assert len(silent.received) <= MOST_UNREAD
    assert len(other.received) >= 2 * REQUESTS - MOST_UNREAD


async def test_endpoint_that_answers_again_gets_requests_again(harness: PlatformHarness) -> None:
    silent = harness.worker_by_id["desk-1"]
    silent.hold = asyncio.Event()
    await send_all(harness, "/read/x")
    silent.hold.set()
    before = len(silent.received)
    ends = monotonic() + 10.0
    while len(silent.received) < before + REQUESTS // 4:
        assert monotonic() < ends
        assert (await harness.send("/read/x")).status == 200


async def test_request_refused_by_the_only_endpoint_that_answers_is_not_left_at_a_silent_one(
    harness: PlatformHarness,
) -> None:
    silent, other = (harness.worker_by_id[name] for name in ("desk-1", "desk-2"))
    silent.hold = asyncio.Event()
    await send_all(harness, "/read/x")
    before = len(silent.received)
    other.refuses = True
    started = monotonic()
    statuses = await send_all(harness, "/read/x")
    assert statuses.count(503) >= REQUESTS - MOST_UNREAD
    assert len(silent.received) - before <= MOST_UNREAD
    assert monotonic() - started < REQUESTS * 0.1


async def test_service_that_is_silent_as_a_whole_gets_no_more_repeats_than_the_slack_bears(
    harness: PlatformHarness,
) -> None:
    # What waits there arrives at its end, when the load that has allowed it may be gone.
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    for _ in range(REQUESTS):
        await harness.send("/read/x")
    budget = harness.daemon._budgets.of("desk")
    budget.slack = 0.0
    harness.daemon._budgets._slack = lambda: 0.0
    for desk in desks:
        desk.hold = asyncio.Event()
    await asyncio.gather(*(harness.send("/read/x") for _ in range(REQUESTS // 2)))
    assert budget.remaining(monotonic()) > 1
    assert budget.reserved <= 1


async def test_requests_sent_just_before_a_whole_service_falls_silent_get_few_repeats(
    harness: PlatformHarness,
) -> None:
    # The last answers come after all were sent, and tell nothing of the time after them.
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]

    def received() -> int:
        return sum(len(desk.received) for desk in desks)

    for desk in desks:
        desk.answer_delay_s = USUAL_S
    for _ in range(REQUESTS // SLOTS):
        await asyncio.gather(*(harness.send("/read/x") for _ in range(SLOTS - 1)))
    budget = harness.daemon._budgets.of("desk")
    harness.daemon._budgets._slack = lambda: 0.0
    before = received()
    last = asyncio.Event()
    for desk in desks:
        desk.hold, desk.answer_delay_s = last, 0.0
    answered = [asyncio.create_task(harness.send("/read/x")) for _ in desks]
    await harness.wait_until(lambda: received() == before + len(desks))
    for desk in desks:
        desk.hold = asyncio.Event()
    waiting = [asyncio.create_task(harness.send("/read/x")) for _ in range(SLOTS // 2)]
    await harness.wait_until(lambda: received() == before + len(desks) + SLOTS // 2)
    last.set()
    await asyncio.gather(*answered)
    await asyncio.gather(*waiting)
    assert budget.remaining(monotonic()) > 1
    assert budget.reserved <= 1
