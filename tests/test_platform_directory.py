"""StoreClient and StoreDirectory against a stand-in for the platform's store."""

import asyncio

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.operations import (
    DaemonAddresses,
    Evidence,
    RolloutRecord,
    RolloutState,
    VersionOutcomes,
)
from comfreyhatch.domain.position import Position
from comfreyhatch.errors import PlatformError
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import HistoryGoneError, StoreClient, Write, WriteResult
from tests.platform_harness import HOST, config
from tests.platform_store import StandInStore

ROLLOUT = RolloutRecord("engines", "v2", 5, RolloutState.RUNNING, 0.1, 10, 10)


async def test_read_fetches_all_pages(store: StandInStore, store_client: StoreClient) -> None:
    for number in range(1203):
        store.put("t", f"k{number:05}", {"n": number})
    table = await store_client.read("t")
    assert [row.key for row in table.rows] == [f"k{n:05}" for n in range(1203)]
    assert store.calls.count("/rows-get") == 3


async def test_write_checks_expected_revision(
    store: StandInStore, store_client: StoreClient
) -> None:
    assert await store_client.write([Write("t", "k", b"1", 0)]) is WriteResult.DONE
    assert await store_client.write([Write("t", "k", b"2", 0)]) is WriteResult.CONFLICT
    (row,) = (await store_client.read("t")).rows
    assert row.value == b"1"
    assert (
        await store_client.write([Write("t", "k", b"2", row.revision, row.generation)])
        is WriteResult.DONE
    )


async def test_unanswered_write_returns_unknown(
    store: StandInStore, store_client: StoreClient
) -> None:
    store.losing_answers = True
    assert await store_client.write([Write("t", "k", b"1", 0)]) is WriteResult.UNKNOWN
    assert (await store_client.read("t")).rows[0].value == b"1"


async def test_read_times_out_if_store_is_silent(
    store: StandInStore, store_client: StoreClient
) -> None:
    store.silent = True
    started = asyncio.get_running_loop().time()
    with pytest.raises(PlatformError):
        await store_client.read("t")
    assert asyncio.get_running_loop().time() - started < 1.5


async def test_refused_read_and_missing_history_raise(
    store: StandInStore, store_client: StoreClient
) -> None:
    store.put("t", "k", {})
    store.forget_history()
    with pytest.raises(HistoryGoneError):
        await store_client.follow("t", Position(), 0.1)
    store.refusing = True
    with pytest.raises(PlatformError, match="503"):
        await store_client.read("t")


async def test_operations_follow_changes_and_removals(
    store: StandInStore, directory: StoreDirectory
) -> None:
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


async def test_older_configuration_is_ignored(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("op", "config", config(4))
    first = await directory.operations(None, 0.0)
    store.put("op", "config", config(3))
    second = await directory.operations(first, 1.0)
    assert second.catalog and second.catalog.version == 4


async def test_configuration_is_decoded_to_catalog(
    store: StandInStore, directory: StoreDirectory
) -> None:
    document = config(4)
    document["routes"].append({**document["routes"][1], "name": "deep", "prefix": "/read/deep/"})
    document["routes"].append({**document["routes"][1], "name": "odd", "kind": "unknown"})
    split = [{"service": "desk", "weight": 9}, {"service": "other", "weight": 1}]
    document["routes"].append(
        {**document["routes"][1], "name": "split", "prefix": "/split/", "backends": split}
    )
    store.put("op", "config", document)
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


async def test_published_records_are_read_back(
    store: StandInStore, directory: StoreDirectory
) -> None:
    evidence = Evidence("engines", 5, "d1", {"r": VersionOutcomes(3, 1, 0)}, {})
    assert await directory.put_addresses("d1", DaemonAddresses("10.0.0.1:80", "north", 5.0))
    assert await directory.put_evidence(evidence)
    assert await directory.put_rollout(ROLLOUT)
    records = await directory.records(None, 0.0)
    assert records.control_by_daemon == {"d1": "10.0.0.1:80"}
    assert records.link_by_daemon == {"d1": 5.0}
    assert records.evidence_by_key["engines/d1"] == evidence
    assert records.trial_by_service["engines"].revision > 0
    assert store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}


async def test_concurrent_rollout_step_is_rejected(
    store: StandInStore, directory: StoreDirectory
) -> None:
    await directory.put_rollout(ROLLOUT)
    (held,) = (await directory.records(None, 0.0)).trial_by_service.values()
    first = replace(held, share=0.5)
    second = replace(held, state=RolloutState.ROLLED_BACK)
    assert await directory.put_rollout(first)
    assert not await directory.put_rollout(second)
    assert store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}
