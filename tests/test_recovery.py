"""Rows that this daemon owns are written again after the store has come back from an older copy."""

import asyncio
import logging
from collections.abc import AsyncIterator
from random import Random

import pytest
from prometheus_client import CollectorRegistry

from comfreyhatch.domain.usage import UsageKey, UsageTotals
from comfreyhatch.exchange.billing import Billing
from comfreyhatch.exchange.recovery import LostRows, StoreRecovery
from comfreyhatch.ports.directory import MemoryDirectory
from tests.platform_harness import PlatformHarness, running_harness

CONTROL_ROW = ("comfreyhatch", "daemon/front-1")


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as found:
        await found.wait_until(lambda: CONTROL_ROW in found.store.row_by_key)
        await found.wait_until(lambda: found.daemon.view.records)
        yield found


async def test_daemon_writes_its_control_address_again(
    harness: PlatformHarness, caplog: pytest.LogCaptureFixture
) -> None:
    copy = harness.store.copy()
    del copy.row_by_key[CONTROL_ROW]
    harness.store.restore(copy)
    await harness.wait_until(lambda: CONTROL_ROW in harness.store.row_by_key)
    assert harness.daemon.registry.get_sample_value("comfreyhatch_store_returns_total") == 1.0


async def test_evidence_is_written_again(harness: PlatformHarness) -> None:
    row = ("comfreyhatch", "evidence/engines/front-1")
    await harness.add_worker("engine-3", "engines", "v2")
    order = {"service": "engines", "to": "v2", "over_s": 60}
    harness.store.put("op", "rollout/engines", order)
    await harness.wait_until(lambda: harness.daemon.view.trial("engines"))
    copy = harness.store.copy()
    number = 0
    while row not in harness.store.row_by_key:
        number += 1
        await harness.send_draft(session=f"s{number}")
    harness.store.restore(copy)
    await harness.wait_until(lambda: row in harness.store.row_by_key)


async def test_usage_is_in_the_store_again_after_a_return_of_the_directory_in_memory() -> None:
    directory = MemoryDirectory()
    billing = Billing("d1", 5, directory)
    billing.add_usage(UsageKey("club", "desk"), UsageTotals(1))
    copy = directory.copy()
    await billing.flush()
    assert len(directory.batches) == 1
    directory.restore(copy)
    assert directory.batches == [] and directory.current_records.generation == 1
    recovery = StoreRecovery(
        Random(1), CollectorRegistry(), (LostRows("usage", 0.0, billing.store_again),)
    )
    recovery.note_generation(0)
    recovery.note_generation(1)
    async with asyncio.timeout(5):
        while not directory.batches:
            await asyncio.sleep(0.01)
    await recovery.stop()
    assert len(directory.batches) == 1


async def test_log_names_both_generations_and_what_was_written(
    caplog: pytest.LogCaptureFixture,
) -> None:
    answers = [None, 2]

    async def write_again() -> int | None:
        return answers.pop(0)

    registry = CollectorRegistry()
    recovery = StoreRecovery(Random(1), registry, (LostRows("control", 0.0, write_again),))
    with caplog.at_level(logging.WARNING):
        recovery.note_generation(4)
        assert not caplog.records
        recovery.note_generation(5)
        recovery.note_generation(6)
        recovery.note_generation(6)
        async with asyncio.timeout(5):
            while not caplog.records:
                await asyncio.sleep(0.01)
    await recovery.stop()
    (line,) = (record.getMessage() for record in caplog.records)
    assert line == "event=store_returned former_generation=4 generation=6 control=2"
    assert registry.get_sample_value("comfreyhatch_store_returns_total") == 2.0
    sample = registry.get_sample_value(
        "comfreyhatch_store_rows_written_again_total", {"kind": "control"}
    )
    assert sample == 2.0
