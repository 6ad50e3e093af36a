"""The table, object store and platform adapters against the stand-in platform."""

from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.objects_http import HttpObjectStore
from comfreyhatch.adapters.platform_http import (
    HttpInstanceList,
    HttpRatingService,
    HttpWeightStore,
)
from comfreyhatch.adapters.table_http import HttpTable
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.platform import RatingRequest
from comfreyhatch.ports.table import (
    Delete,
    Insert,
    MemoryTable,
    Operation,
    Require,
    Update,
    WriteOutcome,
)
from comfreyhatch.standins.platform import PlatformStandin

NOWHERE = Address("127.0.0.1", 1)
KEYS = st.sampled_from(["a/1", "a/ü 2", "b/%3"])
OPERATIONS = st.one_of(
    st.builds(Insert, KEYS, st.binary(max_size=3)),
    st.builds(Update, KEYS, st.binary(max_size=3), st.integers(0, 2)),
    st.builds(Delete, KEYS, st.integers(0, 2)),
    st.builds(Require, KEYS, st.integers(0, 1)),
)


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    standin = PlatformStandin()
    await standin.start()
    yield standin
    await standin.stop()


@given(transactions=st.lists(st.lists(OPERATIONS, min_size=1, max_size=3), max_size=8))
async def test_table_over_http_behaves_as_in_memory(transactions: list[list[Operation]]) -> None:
    standin, memory, client = PlatformStandin(), MemoryTable(), HttpClient()
    table = HttpTable(client, await standin.start())
    for operations in transactions:
        assert await table.commit(operations) is memory.commit_now(operations)
    assert await table.scan("a/", "", 10) == await memory.scan("a/", "", 10)
    assert await table.scan("", "a/1", 1) == await memory.scan("", "a/1", 1)
    for key in ("a/1", "b/%3"):
        assert await table.read(key) == await memory.read(key)
    client.close()
    await standin.stop()


async def test_object_store_behaves_as_in_memory(platform: PlatformStandin) -> None:
    stores = [HttpObjectStore(HttpClient(), platform.address), MemoryObjectStore()]
    seen = []
    for store in stores:
        seen.append(
            [
                await store.put_if_absent("s/a b%/1", b"\x00one"),
                await store.put_if_absent("s/a b%/1", b"two"),
                await store.put_if_absent("s/2", b""),
                await store.get("s/a b%/1"),
                await store.get("s/none"),
                await store.list_keys("s/", "s/2", 5),
                await store.list_keys("s/", "", 1),
            ]
        )
    assert seen[0] == seen[1]


async def test_lost_answer_is_unknown_and_the_write_took_effect(platform: PlatformStandin) -> None:
    table = HttpTable(HttpClient(), platform.address)
    objects = HttpObjectStore(HttpClient(), platform.address)
    platform.faults.lose_write_answers = 2
    assert await table.commit([Insert("k", b"v")]) is WriteOutcome.UNKNOWN
    assert await objects.put_if_absent("k", b"v") is WriteOutcome.UNKNOWN
    assert await table.read("k") is not None and await objects.get("k") == b"v"
    assert await table.commit([Insert("k", b"v")]) is WriteOutcome.REFUSED
    assert platform.witness.lost_answers == 2


async def test_outage_is_certain_that_nothing_was_written(platform: PlatformStandin) -> None:
    table = HttpTable(HttpClient(), platform.address)
    objects = HttpObjectStore(HttpClient(), platform.address)
    platform.faults.outage = True
    for write in (table.commit([Insert("k", b"v")]), objects.put_if_absent("k", b"v")):
        with pytest.raises(PlatformError):
            await write
    with pytest.raises(PlatformError):
        await table.read("k")
    platform.faults.outage = False
    platform.faults.read_outage = True
    assert await table.commit([Insert("k", b"v")]) is WriteOutcome.DONE
    with pytest.raises(PlatformError):
        await objects.list_keys("")
    with pytest.raises(PlatformError):
        await HttpTable(HttpClient(), NOWHERE).commit([Insert("k", b"v")])


async def test_slow_write_is_unknown(platform: PlatformStandin) -> None:
    platform.faults.slow_s = 30
    table = HttpTable(HttpClient(), platform.address, timeout_s=0.1)
    assert await table.commit([Insert("k", b"v")]) is WriteOutcome.UNKNOWN


async def test_instance_list_lags(platform: PlatformStandin) -> None:
    instances = HttpInstanceList(HttpClient(), platform.address)
    daemon = Instance("d-1", Role.DAEMON, "z1", NOWHERE, leaving=True)
    await instances.announce(daemon)
    platform.faults.list_lag_s = 1000
    assert await instances.instances() == []
    platform.faults.list_lag_s = 0
    assert await instances.instances() == [daemon]
    platform.faults.list_down = True
    with pytest.raises(PlatformError):
        await instances.instances()


async def test_ratings_follow_the_answer_and_their_rate_limit(platform: PlatformStandin) -> None:
    ratings = HttpRatingService(HttpClient(), platform.address)
    platform.faults.rating_noise = 0
    request = RatingRequest("r", "c", "chat", "m@1", "hi", "steady wrong clear vague")
    assert await ratings.rate(request, 1) == 0.5
    platform.faults.ratings_per_s = 0
    with pytest.raises(PlatformError):
        for _ in range(300):
            await ratings.rate(request, 1)


async def test_weight_store_limits_its_rate(platform: PlatformStandin) -> None:
    weights = HttpWeightStore(HttpClient(), platform.address)
    platform.faults.weights_per_s = 0
    granted = [await weights.acquire("m@1") for _ in range(3)]
    assert granted == [True, False, False] and platform.witness.downloads == 1
