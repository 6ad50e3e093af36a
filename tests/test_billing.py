"""What requests used is billed once."""

from collections.abc import AsyncIterator

import pytest

from comfreyhatch.cli.usage import usage_lines
from comfreyhatch.domain.usage import Usage, UsageKey, model_usage
from comfreyhatch.exchange.billing import MAX_UNSTORED_BATCHES, Billing
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient
from comfreyhatch.ports.directory import MemoryDirectory
from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_store import StandInStore

KEY = UsageKey("club", "engines", "small")


@pytest.fixture
def directory() -> MemoryDirectory:
    return MemoryDirectory()


@pytest.fixture
def billing(directory: MemoryDirectory) -> Billing:
    return Billing("d1", 5, directory)


def test_read_tokens_count_as_a_quarter() -> None:
    assert model_usage(4000, 500, 0.24).cost_micros == 360_000


async def test_usage_is_summed_into_one_batch(billing: Billing, directory: MemoryDirectory) -> None:
    billing.add_usage(KEY, Usage(1, 10, 5, 7))
    billing.add_usage(KEY, Usage(1, 20, 5, 9))
    await billing.flush()
    await billing.flush()
    (batch,) = directory.batches
    assert batch.lines[0].usage == Usage(2, 30, 10, 16)


async def test_nothing_is_lost_while_the_store_is_away(
    billing: Billing, directory: MemoryDirectory
) -> None:
    directory.available = False
    for _ in range(MAX_UNSTORED_BATCHES + 10):
        billing.add_usage(KEY, Usage(1))
        await billing.flush()
    directory.available = True
    await billing.flush()
    await billing.flush()
    requests = sum(line.usage.requests for batch in directory.batches for line in batch.lines)
    assert requests == MAX_UNSTORED_BATCHES + 10


async def test_batch_whose_answer_was_lost_is_stored_once() -> None:
    store = StandInStore()
    client = StoreClient(await store.start())
    directory = StoreDirectory(client)
    billing = Billing("d1", 5, directory)
    billing.add_usage(KEY, Usage(1))
    store.losing_answers = True
    await billing.flush()
    store.losing_answers = False
    await billing.flush()
    assert [b.sequence for b in await directory.usage()] == [1]
    client.close()
    await store.stop()


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        yield running


async def test_answers_are_billed_to_their_workspace_and_failures_are_not(
    harness: PlatformHarness,
) -> None:
    for number in (1, 2):
        harness.worker_by_id[f"engine-{number}"].confidence_by_model = {"small": 1, "large": 99}
    await harness.draft()
    await harness.ask("/read/x")
    await harness.ask("/read/x", authorization="Bearer wrong")
    for number in (1, 2):
        harness.worker_by_id[f"desk-{number}"].status = 500
    await harness.ask("/pay/x")
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
