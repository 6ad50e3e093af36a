"""Usage is aggregated into batches and each batch is stored once."""

from collections.abc import AsyncIterator

import pytest

from comfreyhatch.cli.usage import usage_lines
from comfreyhatch.domain.usage import UsageKey, UsageTotals, model_usage
from comfreyhatch.exchange.billing import MAX_UNSTORED_BATCHES, Billing
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient
from comfreyhatch.ports.directory import MemoryDirectory
from tests.platform_harness import PlatformHarness
from tests.platform_store import StandInStore

USAGE_KEY = UsageKey("club", "engines", "small")


@pytest.fixture
def directory() -> MemoryDirectory:
    return MemoryDirectory()


@pytest.fixture
def billing(directory: MemoryDirectory) -> Billing:
    return Billing("d1", 5, directory)


def test_prompt_tokens_cost_a_quarter_of_output_tokens() -> None:
    assert model_usage(4000, 500, 0.24).cost_micros == 360_000


async def test_usage_of_one_key_is_summed(billing: Billing, directory: MemoryDirectory) -> None:
    billing.add_usage(USAGE_KEY, UsageTotals(1, 10, 5, 7))
    billing.add_usage(USAGE_KEY, UsageTotals(1, 20, 5, 9))
    await billing.flush()
    await billing.flush()
    (batch,) = directory.batches
    assert batch.lines[0].usage == UsageTotals(2, 30, 10, 16)


async def test_usage_is_kept_during_a_store_outage(
    billing: Billing, directory: MemoryDirectory
) -> None:
    directory.available = False
    for _ in range(MAX_UNSTORED_BATCHES + 10):
        billing.add_usage(USAGE_KEY, UsageTotals(1))
        await billing.flush()
    directory.available = True
    await billing.flush()
    await billing.flush()
    requests = sum(line.usage.requests for batch in directory.batches for line in batch.lines)
    assert requests == MAX_UNSTORED_BATCHES + 10


async def test_batch_is_stored_once_when_the_reply_is_lost() -> None:
    store = StandInStore()
    client = StoreClient(await store.start())
    directory = StoreDirectory(client)
    billing = Billing("d1", 5, directory)
    billing.add_usage(USAGE_KEY, UsageTotals(1))
    store.losing_answers = True
    await billing.flush()
    store.losing_answers = False
    await billing.flush()
    assert [b.sequence for b in await directory.usage()] == [1]
    client.close()
    await store.stop()


async def test_only_successful_answers_are_billed(harness: PlatformHarness) -> None:
    for number in (1, 2):
        harness.worker_by_id[f"engine-{number}"].confidence_by_model = {"small": 1, "large": 99}
    await harness.send_draft()
    await harness.send("/read/x")
    await harness.send("/read/x", authorization="Bearer wrong")
    for number in (1, 2):
        harness.worker_by_id[f"desk-{number}"].status = 500
    await harness.send("/pay/x")
    assert harness.daemon
    await harness.daemon.close()
    client = StoreClient(harness.store.address)
    (batch,) = await StoreDirectory(client).usage()
    client.close()
    found = {line.key: line.usage for line in batch.lines}
    assert found[UsageKey("club", "desk")].requests == 1
    assert found[UsageKey("club", "engines", "large")] == model_usage(1000, 6, 1.0)
    assert len(found) == 2
    assert any("large" in line and "0.256000" in line for line in usage_lines([batch]))


@pytest.fixture
async def store_directory(store: StandInStore) -> AsyncIterator[StoreDirectory]:
    client = StoreClient(store.address)
    yield StoreDirectory(client)
    client.close()


async def test_usage_acknowledged_in_the_lost_seconds_is_billed_once(
    store: StandInStore, store_directory: StoreDirectory
) -> None:
    billing = Billing("d1", 5, store_directory)
    key = UsageKey("club", "engines", "small")
    billing.add_usage(key, UsageTotals(1))
    await billing.flush()
    copy = store.copy()
    billing.add_usage(key, UsageTotals(2))
    await billing.flush()
    store.restore(copy)
    assert await billing.store_again() == 2
    await billing.flush()
    lines = [line for batch in await store_directory.usage() for line in batch.lines]
    assert sorted(line.usage.requests for line in lines) == [1, 2]


async def test_usage_that_cannot_be_stored_again_is_kept(
    store: StandInStore, store_directory: StoreDirectory
) -> None:
    billing = Billing("d1", 5, store_directory)
    copy = store.copy()
    billing.add_usage(UsageKey("club", "engines"), UsageTotals(1))
    await billing.flush()
    store.restore(copy)
    store.refusing = True
    await billing.store_again()
    store.refusing = False
    await billing.flush()
    assert len(await store_directory.usage()) == 1
