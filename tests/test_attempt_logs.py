"""Lines of the log that tell attempts which were given up, denied or not counted apart."""

import asyncio
import logging

import pytest

from comfreyhatch.domain.deployment import Bounds
from tests.platform_harness import config, running_harness, sent_to, workers

NO_RETRIES = Bounds(retry_ratio=0.0, retry_slack=0.0)


def lines(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    return [message for message in caplog.messages if f"event={event} " in message]


async def test_attempt_that_lost_to_another_one_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "comfreyhatch.calls")
    async with running_harness() as harness:
        slow, fast = workers(harness, "desk")
        slow.hold, fast.hold = asyncio.Event(), asyncio.Event()
        reply = asyncio.create_task(harness.send("/read/one"))
        await harness.wait_until(lambda: len(sent_to(harness, "desk")) == 2)
        fast.hold.set()
        assert (await reply).status == 200
        await harness.wait_until(lambda: lines(caplog, "attempt_abandoned"))
    (line,) = lines(caplog, "attempt_abandoned")
    assert f"endpoint={slow.worker_id} " in line


async def test_retry_that_the_budget_denies_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "comfreyhatch.calls")
    async with running_harness(bounds=NO_RETRIES) as harness:
        for worker in workers(harness, "desk"):
            worker.status = 500
        assert (await harness.send("/read/one")).status == 500
    (line,) = lines(caplog, "retry_denied")
    assert "service=desk attempts=1 " in line


async def test_attempt_whose_endpoint_has_ended_is_logged_as_not_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "comfreyhatch.streams")
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1))
        daemon = harness.daemon
        assert daemon
        await harness.wait_until(lambda: daemon.view.catalog and daemon.view.catalog.version == 2)
        pair = workers(harness, "engine")
        for worker in pair:
            worker.pause_s = lambda number: 0.2 if number == 3 else 0.0
        reply = asyncio.create_task(harness.send_draft())
        await harness.wait_until(lambda: sent_to(harness, "engine"))
        await asyncio.sleep(0.1)
        (ended,) = (worker for worker in pair if worker.received)
        await ended.stop()
        assert (await reply).status == 200
    (line,) = lines(caplog, "attempt_not_counted")
    assert f"endpoint={ended.worker_id} counted=0 of=1" in line
