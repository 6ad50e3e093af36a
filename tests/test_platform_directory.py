"""Store and directory on the platform's tables, against a stand-in."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.operations import (
    Evidence,
    RolloutRecord,
    RolloutState,
    VersionOutcomes,
)
from comfreyhatch.errors import PlatformError
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import HistoryGoneError, StoreClient, Write, WriteResult
from tests.platform_harness import HOST, config
from tests.platform_store import StandInStore

TRIAL = RolloutRecord("engines", "v2", 5, RolloutState.RUNNING, 0.1, 10, 10)


@pytest.fixture
async def store() -> AsyncIterator[StandInStore]:
    stand_in = StandInStore()
    await stand_in.start()
    yield stand_in
    await stand_in.stop()


@pytest.fixture
async def client(store: StandInStore) -> AsyncIterator[StoreClient]:
    found = StoreClient(store.address)
    yield found
    found.close()


@pytest.fixture
def directory(client: StoreClient) -> StoreDirectory:
    return StoreDirectory(client)


async def test_long_tables_are_read_page_by_page(store: StandInStore, client: StoreClient) -> None:
    for number in range(1203):
        store.put("t", f"k{number:05}", {"n": number})
    found = await client.read("t")
    assert [row.key for row in found.rows] == [f"k{n:05}" for n in range(1203)]
    assert store.calls.count("/rows-get") == 3


async def test_write_under_a_condition(store: StandInStore, client: StoreClient) -> None:
    assert await client.write([Write("t", "k", b"1", 0)]) is WriteResult.DONE
    assert await client.write([Write("t", "k", b"2", 0)]) is WriteResult.CONFLICT
    (row,) = (await client.read("t")).rows
    assert row.value == b"1"
    assert await client.write([Write("t", "k", b"2", row.revision)]) is WriteResult.DONE


async def test_lost_answer_of_a_write_is_unknown(store: StandInStore, client: StoreClient) -> None:
    store.losing_answers = True
    assert await client.write([Write("t", "k", b"1", 0)]) is WriteResult.UNKNOWN
    assert (await client.read("t")).rows[0].value == b"1"


async def test_silent_store_is_found_by_time(store: StandInStore, client: StoreClient) -> None:
    store.silent = True
    started = asyncio.get_running_loop().time()
    with pytest.raises(PlatformError):
        await client.read("t")
    assert asyncio.get_running_loop().time() - started < 1.5


async def test_refusing_store_and_forgotten_history(
    store: StandInStore, client: StoreClient
) -> None:
    store.put("t", "k", {})
    store.forget_history()
    with pytest.raises(HistoryGoneError):
        await client.follow("t", 0, 0.1)
    store.refusing = True
    with pytest.raises(PlatformError, match="503"):
        await client.read("t")


async def test_orders_are_followed(store: StandInStore, directory: StoreDirectory) -> None:
    store.put("op", "config", config(4))
    store.put("op", "evacuate/b", {})
    store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 12})
    first = await directory.operations(None, 0.0)
    assert first.catalog and first.catalog.version == 4
    assert first.zones_out == {"b"}
    assert first.order_by_service["engines"].duration_s == 12
    store.remove("op", "evacuate/b")
    store.remove("op", "rollout/engines")
    second = await directory.operations(first, 1.0)
    assert second.zones_out == frozenset() and second.order_by_service == {}
    assert second.catalog is first.catalog


async def test_configuration_never_goes_back(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("op", "config", config(4))
    first = await directory.operations(None, 0.0)
    store.put("op", "config", config(3))
    second = await directory.operations(first, 1.0)
    assert second.catalog and second.catalog.version == 4


async def test_catalog_of_a_configuration(store: StandInStore, directory: StoreDirectory) -> None:
    found = config(4)
    found["routes"].append({**found["routes"][1], "name": "deep", "prefix": "/read/deep/"})
    found["routes"].append({**found["routes"][1], "name": "odd", "kind": "unheard of"})
    split = [{"service": "desk", "weight": 9}, {"service": "other", "weight": 1}]
    found["routes"].append(
        {**found["routes"][1], "name": "split", "prefix": "/split/", "backends": split}
    )
    store.put("op", "config", found)
    catalog = (await directory.operations(None, 0.0)).catalog
    assert catalog
    assert catalog.route(HOST, "/read/deep/x").name == "deep"
    assert catalog.route(HOST, "/read/x").name == "read"
    assert catalog.route(HOST, "/none/") is None
    assert [s.weight for s in catalog.route(HOST, "/split/x").shares] == [9, 1]
    draft = catalog.route(HOST, "/draft/x")
    assert (draft.timeout_s, draft.aim_s, draft.gap_aim_s) == (4.0, 1.0, 0.4)
    assert draft.models == ("small", "large") and draft.repeatable
    assert catalog.service_by_name["engines"].engine.slots == 4


async def test_evidence_and_trial_are_shared(
    store: StandInStore, directory: StoreDirectory
) -> None:
    evidence = Evidence("engines", 5, "d1", {"r": VersionOutcomes(3, 1, 0)}, {})
    assert await directory.put_control("d1", "10.0.0.1:80", "north")
    assert await directory.put_evidence(evidence)
    assert await directory.put_rollout(TRIAL)
    found = await directory.records(None, 0.0)
    assert found.control_by_daemon == {"d1": "10.0.0.1:80"}
    assert found.evidence_by_key["engines/d1"] == evidence
    assert found.trial_by_service["engines"].revision > 0
    assert store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}


async def test_of_two_daemons_one_takes_the_step(
    store: StandInStore, directory: StoreDirectory
) -> None:
    await directory.put_rollout(TRIAL)
    (held,) = (await directory.records(None, 0.0)).trial_by_service.values()
    one = replace(held, share=0.5)
    two = replace(held, state=RolloutState.ROLLED_BACK)
    assert await directory.put_rollout(one)
    assert not await directory.put_rollout(two)
    assert store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}
