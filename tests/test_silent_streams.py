"""Streams whose workers fall silent for a while, and go on."""

import asyncio

import pytest

from comfreyhatch.decisions.stall import gap_limits
from comfreyhatch.domain.deployment import Bounds
from tests.platform_harness import WAIT_TIMEOUT_S, config, running_harness, sent_to, workers
from tests.platform_worker import EVENTS_PER_STREAM
from tests.silent_streams import (
    ALL_SLOTS,
    STREAMS,
    add_sound_worker,
    begin_streams,
    bodies,
    cancelled,
    harness_with_budget,
    occupy,
    occupy_all,
    path_kept_lost,
    wake,
    watched,
)

COMPLETE_BODY = b"".join(b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1))
GAP_AIM_S = 0.4
# Time in which the watchdog looks at each stream several times.
CHECKS_S = 0.6


@pytest.mark.parametrize("begun", [False, True])
async def test_sound_answers_are_given_up_only_for_runs_that_the_budget_allows(begun: bool) -> None:
    # All streams of silent workers were interrupted for the one extra request that was left.
    async with harness_with_budget(1) as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        await harness.wait_until(lambda: sound.completed_streams)
        await asyncio.sleep(CHECKS_S)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert len(sound.received) == 1
        assert len(sent_to(harness, "engine")) == STREAMS
        assert cancelled(harness) == 1


@pytest.mark.parametrize("begun", [False, True])
async def test_payment_for_an_interrupted_stream_is_returned_when_its_caller_leaves(
    begun: bool,
) -> None:
    async with harness_with_budget(1) as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        occupy_all(harness)
        budget = harness.daemon._budgets.of("engines")
        now = asyncio.get_running_loop().time
        await harness.wait_until(lambda: cancelled(harness))
        assert budget.remaining(now()) < 1
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        await harness.wait_until(lambda: budget.remaining(now()) >= 1)
        assert not sound.received


@pytest.mark.parametrize("begun", [False, True])
async def test_interrupted_stream_waits_for_a_slot_with_its_payment(begun: bool) -> None:
    # One without any event was failed at once, with most of its time left.
    async with harness_with_budget(1) as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        occupy_all(harness)
        await harness.wait_until(lambda: cancelled(harness))
        await asyncio.sleep(CHECKS_S)
        assert not any(stream.done() for stream in streams)
        occupy(harness, sound, 0)
        await harness.wait_until(lambda: sound.completed_streams)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert len(sound.received) == cancelled(harness) == 1


@pytest.mark.parametrize("begun", [False, True])
async def test_payment_is_returned_if_the_answer_goes_on_as_it_is_interrupted(begun: bool) -> None:
    async with harness_with_budget(1) as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        for stalled in watched(harness):
            stalled.interrupt = lambda: None
        budget = harness.daemon._budgets.of("engines")
        now = asyncio.get_running_loop().time
        await harness.wait_until(lambda: budget.remaining(now()) < 1)
        wake(harness)
        replies = await asyncio.gather(*streams)
        assert [reply.body for reply in replies] == [COMPLETE_BODY] * STREAMS
        assert not sound.received
        await harness.wait_until(lambda: budget.remaining(now()) >= 1)


@pytest.mark.parametrize("begun", [False, True])
async def test_streams_of_all_daemons_that_stall_at_once_stay_within_the_budget(
    begun: bool,
) -> None:
    bounds = Bounds(grace_s=4.0, retry_ratio=0.2, retry_slack=6.0)
    async with running_harness(bounds=bounds) as harness:
        await harness.add_daemons(2)
        streams = await begin_streams(harness, begun, count=8)
        sound = await add_sound_worker(harness)
        await harness.wait_until(lambda: sound.received)
        await asyncio.sleep(CHECKS_S)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        complete = [getattr(reply, "body", b"") == COMPLETE_BODY for reply in replies]
        assert complete == [True] * len(streams)
        extra = len(sound.received) + len(sent_to(harness, "engine")) - len(streams)
        assert extra <= bounds.retry_ratio * len(streams) + bounds.retry_slack
        assert extra == len(sound.received)


@pytest.mark.parametrize(("begun", "silent_s"), [(False, 2.4), (True, 1.3)])
async def test_streams_stay_while_all_endpoints_are_silent(begun: bool, silent_s: float) -> None:
    # They moved from one silent worker to the other; each move cost a run and won nothing.
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun)
        await asyncio.sleep(silent_s)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert len(sent_to(harness, "engine")) == STREAMS
        assert cancelled(harness) == 0


async def test_streams_stay_while_the_whole_service_is_silent_though_an_endpoint_is_idle() -> None:
    # Of an idle endpoint nothing is known; streams moved to it while it was as silent.
    async with running_harness() as harness:
        idle = await add_sound_worker(harness)
        idle.awake.clear()
        occupy(harness, idle, ALL_SLOTS)
        streams = await begin_streams(harness, begun=True)
        occupy(harness, idle, 0)
        await asyncio.sleep(CHECKS_S)
        assert not idle.received
        wake(harness)
        replies = await asyncio.gather(*streams)
        assert [reply.body for reply in replies] == [COMPLETE_BODY] * STREAMS
        assert len(sent_to(harness, "engine")) == STREAMS


async def test_streams_stay_though_the_last_events_of_silent_endpoints_lie_apart() -> None:
    # The worker whose last event was the latest took the streams of the other one.
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun=True)
        latest = harness.daemon.view.tracker_by_id["engine-2"]
        latest.last_received_at += 0.6 * gap_limits(GAP_AIM_S).silent_s
        await asyncio.sleep(CHECKS_S)
        assert cancelled(harness) == 0
        wake(harness)
        replies = await asyncio.gather(*streams)
        assert [reply.body for reply in replies] == [COMPLETE_BODY] * STREAMS


@pytest.mark.parametrize("begun", [False, True])
async def test_streams_of_a_silent_endpoint_go_on_at_one_that_answers_again(begun: bool) -> None:
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun)
        silent, answering = workers(harness, "engine")
        await asyncio.sleep(2.0 if not begun else 1.0)
        assert cancelled(harness) == 0
        answering.awake.set()
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert silent.cancelled == len(silent.received) == STREAMS / 2
        assert len(answering.received) == STREAMS


@pytest.mark.parametrize("begun", [False, True])
async def test_stream_of_a_silent_endpoint_does_not_move_to_another_silent_one(
    begun: bool,
) -> None:
    # The silent worker had more free slots than the one that answered.
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        occupy(harness, sound, ALL_SLOTS - 1)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert len(sound.received) == STREAMS
        assert len(sent_to(harness, "engine")) == STREAMS


async def test_stream_of_a_silent_endpoint_out_of_reach_goes_to_one_that_responds() -> None:
    # The silent worker had more free slots than the one that answered.
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun=True, count=2)
        unreachable, silent = workers(harness, "engine")
        sound = await add_sound_worker(harness)
        occupy(harness, sound, ALL_SLOTS - 2)
        async with path_kept_lost(harness, unreachable):
            await harness.wait_until(lambda: unreachable.cancelled)
            replies = await asyncio.gather(*streams)
        assert bodies(replies) == [COMPLETE_BODY] * 2
        assert len(silent.received) == 1
        assert len(sound.received) == 2


@pytest.mark.parametrize("begun", [False, True])
async def test_streams_leave_hung_endpoints_for_the_only_other_one_though_that_is_ejected(
    begun: bool,
) -> None:
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        tracker = harness.daemon.view.tracker_by_id[sound.worker_id]
        tracker.ejected_until = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS


async def test_hanging_stream_leaves_an_endpoint_that_sends_to_others() -> None:
    async with running_harness() as harness:
        engine, other = workers(harness, "engine")
        occupy(harness, other, ALL_SLOTS)
        engine.events = 12
        hangs = iter([True])
        engine.pause_s = lambda number: 9.0 if number == 3 and next(hangs, False) else 0.1
        streams = [asyncio.create_task(harness.send_draft()) for _ in range(2)]
        await harness.wait_until(lambda: len(engine.received) == 2)
        occupy(harness, other, 0)
        replies = await asyncio.gather(*streams)
        counts = sorted(reply.body.count(b"id: ") for reply in replies)
        assert counts == [other.events, engine.events]
        assert len(engine.received) == 2 and len(other.received) == 1


async def test_request_whose_small_answer_was_dropped_waits_for_the_larger_model() -> None:
    # It failed after a few refusals of busy workers, with most of its time left.
    async with running_harness() as harness:
        engines = workers(harness, "engine")
        for engine in engines:
            engine.confidence_by_model = {"small": 5, "large": 99}
            engine.refuses_model = "large"
        sending = asyncio.create_task(harness.send_draft(deadline_ms="4000"))
        await harness.wait_until(lambda: len(sent_to(harness, "engine")) > 8)
        for engine in engines:
            engine.refuses_model = ""
        assert (await sending).body == COMPLETE_BODY.replace(b"small", b"large")


async def test_request_whose_small_answer_was_dropped_waits_for_the_budget() -> None:
    # The budget had one extra request left, for the larger model, whose worker refused it.
    async with harness_with_budget(1) as harness:
        engines = workers(harness, "engine")
        for engine in engines:
            engine.confidence_by_model = {"small": 5, "large": 99}
            engine.refuses_model = "large"
        sending = asyncio.create_task(harness.send_draft(deadline_ms="4000"))
        await harness.wait_until(lambda: len(sent_to(harness, "engine")) == 2)
        for engine in engines:
            engine.refuses_model = ""
        await asyncio.sleep(CHECKS_S)
        assert len(sent_to(harness, "engine")) == 2
        harness.daemon._budgets.of("engines")._extra.clear()
        assert (await sending).body == COMPLETE_BODY.replace(b"small", b"large")


@pytest.mark.parametrize("begun", [False, True])
async def test_silent_stream_outlasts_a_catalog_without_its_route(begun: bool) -> None:
    async with harness_with_budget(2) as harness:
        streams = await begin_streams(harness, begun)
        changed = config(2, max_attempts=1, resumable=False)
        changed["routes"] = [route for route in changed["routes"] if route["name"] != "draft"]
        harness.store.put("op", "config", changed)
        await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
        sound = await add_sound_worker(harness)
        await harness.wait_until(lambda: sound.completed_streams == 2)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS


@pytest.mark.parametrize("begun", [False, True])
async def test_stream_whose_prompt_is_blocked_stays_at_its_silent_endpoint(begun: bool) -> None:
    # It was interrupted, and ended, as its next attempt was refused.
    async with running_harness() as harness:
        streams = await begin_streams(harness, begun)
        sound = await add_sound_worker(harness)
        parts = harness.daemon._crashes._parts._parts
        parts.blocked_parts = lambda ids, tries, now: frozenset({"part"})
        await asyncio.sleep(2.0 if not begun else 1.0)
        wake(harness)
        replies = await asyncio.gather(*streams, return_exceptions=True)
        assert bodies(replies) == [COMPLETE_BODY] * STREAMS
        assert not sound.received


async def test_small_answer_is_kept_if_the_larger_model_would_be_refused() -> None:
    async with running_harness() as harness:
        for engine in workers(harness, "engine"):
            engine.confidence_by_model = {"small": 5, "large": 99}
            engine.awake.clear()
        sending = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        parts = harness.daemon._crashes._parts._parts
        parts.blocked_parts = lambda ids, tries, now: frozenset({"part"})
        wake(harness)
        assert (await sending).body == COMPLETE_BODY
