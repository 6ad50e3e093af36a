"""All daemons together keep the rates that endpoints name in their answers."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import pytest

from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.named_limits import MAX_LIMITS, REFRESH_S, TELL_PAUSE_S, NamedLimits
from comfreyhatch.errors import HttpError
from tests.platform_harness import BOUNDS, PlatformHarness, running_harness
from tests.platform_worker import StandInWorker

DAEMONS = 3
# The users' bound on requests in a window, of a limit in requests a second.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
# Stands for the status of an answer that broke off.
BROKEN = 0


def test_limit_holds_until_an_answer_to_a_later_request_names_none() -> None:
    limits = NamedLimits()
    assert limits.observe("e/1", 2.8, sent_at=9.0, now=10.0)
    assert not limits.observe("e/1", None, sent_at=9.5, now=10.1)
    assert limits.per_s("e/1") == 2.8
    assert limits.observe("e/1", None, sent_at=10.5, now=10.6)
    assert limits.per_s("e/1") is None


def test_new_start_at_the_same_address_has_no_limit() -> None:
    limits = NamedLimits()
    limits.observe("e/1", 1.0, 9.0, 10.0)
    assert limits.per_s("e/2") is None


def test_another_limit_replaces_the_first_and_is_told() -> None:
    limits = NamedLimits()
    limits.observe("e/1", 1.0, 9.0, 10.0)
    assert not limits.observe("e/1", 3.0, 9.0, 10.0 + TELL_PAUSE_S / 2)
    assert limits.per_s("e/1") == 3.0
    assert limits.observe("e/1", 3.0, 9.0, 10.0 + TELL_PAUSE_S)


def test_limit_that_stays_is_told_again_from_time_to_time() -> None:
    # A daemon that starts later, or whose reader has started anew, would not hear of it.
    limits = NamedLimits()
    told = [limits.observe("e/1", 1.0, 9.0, 10.0 + n / 10) for n in range(101)]
    assert told.count(True) == 1 + int(10 / REFRESH_S)


def test_later_observation_of_any_daemon_counts() -> None:
    limits = NamedLimits()
    assert limits.merge("e/1", 1.0, at=10.0, now=10.4)
    assert not limits.merge("e/1", None, at=9.0, now=10.5)
    assert limits.merge("e/1", None, at=11.0, now=11.1)
    assert not limits.merge("e/1", 1.0, at=10.5, now=11.2)
    assert limits.per_s("e/1") is None


def test_limits_are_bounded() -> None:
    limits = NamedLimits()
    for number in range(MAX_LIMITS + 10):
        limits.merge(f"e{number}/1", 1.0, 1.0 + number, 1.0 + number)
    assert len(limits) == MAX_LIMITS
    assert limits.per_s("e0/1") is None and limits.per_s(f"e{MAX_LIMITS + 9}/1") == 1.0


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        for _ in range(DAEMONS - 1):
            await running.start_daemon(running.store.address)
        names = {deployment.instance for deployment in running.deployments}
        await running.wait_until(lambda: all(d.ready() for d in running.daemons))
        await running.wait_until(lambda: all(names <= d.view.daemons() for d in running.daemons))
        yield running


@dataclass(slots=True)
class Sent:
    """A request: when it was sent, how long it took, and its answer."""

    at: float
    took_s: float
    reply: HttpReply


async def send_timed(harness: PlatformHarness, path: str, daemon: int, **headers: str) -> Sent:
    loop = asyncio.get_running_loop()
    at = loop.time()
    try:
        reply = await harness.send(path, daemon, **headers)
    except HttpError:
        reply = HttpReply(BROKEN, {}, b"")
    return Sent(at, loop.time() - at, reply)


async def send_reads(
    harness: PlatformHarness,
    daemons: Sequence[int],
    per_s: float,
    length_s: float,
    path: str = "/read/",
    **headers: str,
) -> list[Sent]:
    """Send requests to some daemons in turn at a rate."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    tasks: list[asyncio.Task[Sent]] = []
    while (passed_s := loop.time() - began_at) < length_s:
        if len(tasks) < passed_s * per_s:
            daemon = daemons[len(tasks) % len(daemons)]
            sending = send_timed(harness, f"{path}{len(tasks)}", daemon, **headers)
            tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(0.005)
    return await asyncio.gather(*tasks)


def limit_known(harness: PlatformHarness, daemon: int, worker_id: str) -> float | None:
    """Return the limit of a worker as a daemon knows it."""
    found = harness.daemons[daemon]
    return found._limits.per_s(found.view.tracker_by_id[worker_id])


def most_in_window(worker: StandInWorker, first_at: float) -> int:
    """Return the most requests that a worker got in a window that begins after a time."""
    times = [at for at in worker.received_at if at >= first_at]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(per_s: float) -> float:
    return LIMIT_FACTOR * per_s * WINDOW_S + LIMIT_SLACK


async def test_all_daemons_know_a_limit_and_its_end_from_answers_of_one(
    harness: PlatformHarness,
) -> None:
    worker = harness.worker_by_id["desk-1"]
    worker.limit_per_s = 20.0
    await send_reads(harness, [0], per_s=20.0, length_s=0.5)
    async with asyncio.timeout(BOUNDS.contact_s):
        while not all(limit_known(harness, n, "desk-1") == 20.0 for n in range(DAEMONS)):
            await asyncio.sleep(0.01)
    worker.limit_per_s = None
    await send_reads(harness, [0], per_s=20.0, length_s=0.5)
    async with asyncio.timeout(BOUNDS.contact_s):
        while any(limit_known(harness, n, "desk-1") is not None for n in range(DAEMONS)):
            await asyncio.sleep(0.01)


async def test_endpoints_get_no_more_than_the_limits_that_they_name(
    harness: PlatformHarness,
) -> None:
    # Nothing read the limits: 31 and 35 requests in 4 s where 11 and 22 are allowed.
    await harness.add_worker("desk-3", "desk")
    await harness.wait_until(lambda: all("desk-3" in d.view.tracker_by_id for d in harness.daemons))
    limits = {"desk-1": 1.0, "desk-2": 2.8}
    for worker_id, per_s in limits.items():
        harness.worker_by_id[worker_id].limit_per_s = per_s
    began_at = asyncio.get_running_loop().time()
    await send_reads(harness, range(DAEMONS), per_s=40.0, length_s=BOUNDS.contact_s + WINDOW_S)
    for worker_id, per_s in limits.items():
        worker = harness.worker_by_id[worker_id]
        assert most_in_window(worker, began_at + BOUNDS.contact_s) <= allowed(per_s)


async def test_what_all_endpoints_cannot_take_is_refused_at_once(
    harness: PlatformHarness,
) -> None:
    # Expected waits counted slots alone, and these endpoints have free ones.
    for number in (1, 2):
        harness.worker_by_id[f"desk-{number}"].limit_per_s = 2.8
    began_at = asyncio.get_running_loop().time()
    sent = await send_reads(harness, range(DAEMONS), per_s=40.0, length_s=2 * WINDOW_S)
    refused = [s for s in sent if s.reply.status == 503]
    assert len(refused) > 200
    assert all("retry-after" in s.reply.header_by_name for s in refused)
    assert sorted(s.took_s for s in refused)[int(0.95 * len(refused))] < 0.25
    served = sum(s.reply.status == 200 and s.at >= began_at + WINDOW_S for s in sent)
    assert served >= 0.6 * 2 * 2.8 * WINDOW_S


async def test_retries_and_hedges_draw_on_the_limit(harness: PlatformHarness) -> None:
    for number in (1, 2):
        worker = harness.worker_by_id[f"desk-{number}"]
        worker.limit_per_s = 2.8
        worker.status = 500
    began_at = asyncio.get_running_loop().time()
    await send_reads(harness, range(DAEMONS), per_s=30.0, length_s=BOUNDS.contact_s + WINDOW_S)
    for number in (1, 2):
        worker = harness.worker_by_id[f"desk-{number}"]
        assert most_in_window(worker, began_at + BOUNDS.contact_s) <= allowed(2.8)


async def test_answers_of_larger_models_and_resumed_streams_draw_on_the_limit(
    harness: PlatformHarness,
) -> None:
    for number in (1, 2):
        worker = harness.worker_by_id[f"engine-{number}"]
        worker.limit_per_s = 2.8
        worker.confidence_by_model = {"small": 1}
        worker.break_after = 3
    began_at = asyncio.get_running_loop().time()
    await send_reads(
        harness,
        range(DAEMONS),
        per_s=20.0,
        length_s=BOUNDS.contact_s + WINDOW_S,
        path="/draft/",
        model="*",
        token_counts="1000,60",
    )
    for number in (1, 2):
        worker = harness.worker_by_id[f"engine-{number}"]
        assert most_in_window(worker, began_at + BOUNDS.contact_s) <= allowed(2.8)
