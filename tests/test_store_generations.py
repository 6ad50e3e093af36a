"""The store comes back from an older copy: late answers, lost writes, what is in force."""

import asyncio
import logging
from collections.abc import AsyncIterator

import pytest

from comfreyhatch.domain.operations import RolloutRecord, RolloutState
from comfreyhatch.errors import PlatformError
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.rows import Write, WriteResult
from comfreyhatch.platform.store import LateAnswerError, StoreClient
from tests.platform_harness import PlatformHarness, config, running_harness
from tests.platform_store import StandInStore

CONTROL_ROW = ("comfreyhatch", "daemon/front-1")
TRIAL_ROW = ("comfreyhatch", "trial/engines")
STATUS_ROW = ("status", "rollout/engines")
ORDER = {"service": "engines", "to": "v2", "over_s": 60}
ROLLOUT = RolloutRecord("engines", "v2", 5, RolloutState.RUNNING, 0.1, 10, 10)


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as found:
        await found.wait_until(lambda: CONTROL_ROW in found.store.row_by_key)
        await found.wait_until(lambda: found.daemon.view.records)
        yield found


async def until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_change_at_a_revision_given_out_twice_is_seen(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("op", "config", config(1))
    copy = store.copy()
    for zone in "abc":
        store.put("op", f"evacuate/{zone}", {})
    held = await directory.operations(None, 0.0)
    store.restore(copy)
    store.put("op", "config", config(2))
    for number in range(4):
        store.put("elsewhere", f"k{number}", {})
    found = await directory.operations(held, 0.1)
    assert found.catalog and found.catalog.version == 2


async def test_list_of_an_older_copy_replaces_what_was_held(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("op", "config", config(1))
    copy = store.copy()
    store.put("op", "evacuate/a", {})
    held = await directory.operations(None, 0.0)
    assert held.zones_out == {"a"}
    store.restore(copy)
    assert (await directory.operations(held, 0.1)).zones_out == frozenset()


async def test_configuration_is_not_undone_by_an_older_copy(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("op", "config", config(1))
    copy = store.copy()
    store.put("op", "config", config(2))
    held = await directory.operations(None, 0.0)
    store.restore(copy)
    found = await directory.operations(held, 0.1)
    assert found.generation == 2
    assert found.catalog and found.catalog.version == 2


async def test_long_poll_that_is_held_across_the_return_lists_anew(
    store: StandInStore, directory: StoreDirectory
) -> None:
    store.put("servers", "e0", {})
    copy = store.copy()
    held = await directory.operations(None, 0.0)
    store.put("op", "evacuate/a", {})
    held = await directory.operations(held, 0.0)
    poll = asyncio.create_task(directory.operations(held, 0.3))
    await until(lambda: store.calls[-1] == "/rows-feed")
    store.restore(copy)
    store.put("op", "evacuate/b", {})
    assert (await poll).zones_out == {"b"}


async def test_answer_of_an_older_generation_that_arrives_late_changes_nothing(
    store: StandInStore, store_client: StoreClient, directory: StoreDirectory
) -> None:
    store.put("op", "evacuate/a", {})
    copy = store.copy()
    store.put("op", "evacuate/b", {})
    store.delayed_paths = {"/rows-get"}
    store.delaying_answers = True
    late = asyncio.create_task(directory.operations(None, 0.0))
    await until(lambda: "/rows-get" in store.calls)
    await asyncio.sleep(0.05)
    store.restore(copy)
    await store_client.write([Write("t", "k", b"", 0)])
    assert store_client.generation == 2
    store.delaying_answers = False
    with pytest.raises(LateAnswerError):
        await late


async def test_condition_of_an_earlier_generation_is_not_sent(
    store: StandInStore, directory: StoreDirectory
) -> None:
    # The revision is given out again, for another state of the row: the write would go through.
    copy = store.copy()
    assert await directory.put_rollout(ROLLOUT)
    (held,) = (await directory.records(None, 0.0)).trial_by_service.values()
    store.restore(copy)
    other = await directory.put_rollout(
        RolloutRecord("engines", "v2", 5, RolloutState.ROLLED_BACK, 0.0, 10, 10)
    )
    assert other and store.row_by_key[TRIAL_ROW].ver == held.revision
    calls = len(store.calls)
    assert not await directory.put_rollout(held)
    assert len(store.calls) == calls
    assert store.value("status", "rollout/engines") == {"state": "rolled_back", "to": "v2"}


async def test_conditional_write_in_flight_across_the_return_is_unknown(
    store: StandInStore, store_client: StoreClient
) -> None:
    store.put("t", "k", b"1")
    (row,) = (await store_client.read("t")).rows
    store.delaying_writes = True
    write = asyncio.create_task(
        store_client.write([Write("t", "k", b"2", row.revision, row.generation)])
    )
    await until(lambda: "/rows-tx" in store.calls)
    store.restore(store.copy())
    store.delaying_writes = False
    assert await write is WriteResult.UNKNOWN


async def test_write_acknowledged_by_an_older_generation_is_unknown(
    store: StandInStore, store_client: StoreClient
) -> None:
    copy = store.copy()
    store.delayed_paths = {"/rows-tx"}
    store.delaying_answers = True
    write = asyncio.create_task(store_client.write([Write("t", "k", b"1", 0)]))
    await until(lambda: ("t", "k") in store.row_by_key)
    store.restore(copy)
    await store_client.read("t")
    store.delaying_answers = False
    assert await write is WriteResult.UNKNOWN


@pytest.mark.parametrize("header", ["", "two", "-1", "1.5", "9" * 30])
async def test_store_without_a_valid_generation_is_followed_with_one_warning(
    store: StandInStore, directory: StoreDirectory, header: str, caplog: pytest.LogCaptureFixture
) -> None:
    store.era_header = header
    store.put("op", "evacuate/a", {})
    with caplog.at_level(logging.WARNING):
        held = await directory.operations(None, 0.0)
        store.put("op", "evacuate/b", {})
        held = await directory.operations(held, 0.1)
        assert await directory.put_rollout(ROLLOUT)
        (trial,) = (await directory.records(None, 0.0)).trial_by_service.values()
        assert await directory.put_rollout(trial)
    assert held.zones_out == {"a", "b"} and held.generation == 0
    assert caplog.text.count("store_generation_unknown") == 1


async def test_store_that_goes_back_without_naming_a_generation_is_an_error(
    store: StandInStore, directory: StoreDirectory
) -> None:
    # Asked again without a pause, one daemon made 3,333 calls in a second.
    store.era_header = ""
    copy = store.copy()
    store.put("op", "evacuate/a", {})
    held = await directory.operations(None, 0.0)
    store.restore(copy)
    with pytest.raises(PlatformError, match="older"):
        await directory.operations(held, 0.1)


async def test_daemon_does_not_call_the_store_without_pause_after_its_return(
    harness: PlatformHarness,
) -> None:
    copy = harness.store.copy()
    for number in range(50):
        harness.store.put("op", f"evacuate/z{number}", {})
    await harness.wait_until(lambda: harness.daemon.view.zone_out("z49"))
    harness.store.restore(copy)
    before = len(harness.store.calls)
    await asyncio.sleep(1.0)
    assert len(harness.store.calls) - before < 20


async def test_requests_are_served_across_an_outage_and_a_return(harness: PlatformHarness) -> None:
    copy = harness.store.copy()
    harness.store.put("op", "config", config(2))
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    harness.store.refusing = True
    assert (await harness.send("/read/x")).status == 200
    harness.store.restore(copy)
    harness.store.refusing = False
    view = harness.daemon.view
    await harness.wait_until(lambda: view.listed_operations.generation == 2)
    assert view.catalog.version == 2
    assert {(await harness.send("/read/x")).status for _ in range(20)} == {200}


async def test_zone_out_is_not_undone_by_an_older_copy(harness: PlatformHarness) -> None:
    view = harness.daemon.view
    copy = harness.store.copy()
    harness.store.put("op", "evacuate/a", {})
    await harness.wait_until(lambda: view.zone_out("a"))
    harness.store.restore(copy)
    await harness.wait_until(lambda: view.listed_operations.generation == 2)
    assert view.zone_out("a")
    harness.store.put("op", "evacuate/a", {})
    await harness.wait_until(lambda: "a" in view.listed_operations.zones_out)
    harness.store.remove("op", "evacuate/a")
    await harness.wait_until(lambda: not view.zone_out("a"))


async def test_draining_endpoint_gets_nothing_after_an_older_copy(harness: PlatformHarness) -> None:
    view = harness.daemon.view
    worker = harness.worker_by_id["desk-1"]
    copy = harness.store.copy()
    harness.store.put("servers", "desk-1", {**worker.record("desk", "a"), "state": "draining"})
    await harness.wait_until(lambda: view.tracker_by_id["desk-1"].record.draining)
    before = len(worker.received)
    harness.store.restore(copy)
    await harness.wait_until(lambda: view.endpoint_list.generation == 2)
    for _ in range(20):
        assert (await harness.send("/read/x")).status == 200
    assert len(worker.received) == before


async def rolled_back_harness(harness: PlatformHarness) -> None:
    """Order a roll-out of a version that fails, and wait until it is rolled back."""
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.status = 500
    harness.store.put("op", "rollout/engines", ORDER)
    await harness.wait_until(lambda: harness.daemon.view.trial("engines"))


async def roll_back(harness: PlatformHarness) -> None:
    await harness.wait_for_first_share()
    number = 0
    while harness.store.value(*STATUS_ROW)["state"] == "running" and number < 600:
        number += 1
        await harness.send_draft(session=f"s{number}")
    await harness.wait_until(
        lambda: harness.daemon.view.trial("engines").state is RolloutState.ROLLED_BACK
    )


@pytest.mark.parametrize("order_is_lost", [False, True])
async def test_rolled_back_version_is_not_undone_by_an_older_copy(
    harness: PlatformHarness, order_is_lost: bool
) -> None:
    before_order = harness.store.copy()
    await rolled_back_harness(harness)
    copy = harness.store.copy()
    if order_is_lost:
        for row in (("op", "rollout/engines"), TRIAL_ROW, STATUS_ROW):
            copy.row_by_key.pop(row)
        copy.ver = before_order.ver + 1
        for name, row in list(copy.row_by_key.items()):
            copy.row_by_key[name] = type(row)(*name, row.value, min(row.ver, copy.ver))
    await roll_back(harness)
    received = len(harness.worker_by_id["engine-3"].received)
    harness.store.restore(copy)
    await harness.wait_until(lambda: harness.daemon.view.listed_operations.generation == 2)
    if order_is_lost:
        for number in range(20):
            await harness.send_draft(session=f"t{number}")
        for number in range(3):
            harness.store.put("elsewhere", f"k{number}", {})
        harness.store.put("op", "rollout/engines", ORDER)
    states = set()

    def is_rolled_back_again() -> bool:
        state = harness.store.row_by_key.get(STATUS_ROW)
        if state is None:
            return False
        states.add(harness.store.value(*STATUS_ROW)["state"])
        return harness.store.value(*STATUS_ROW)["state"] == "rolled_back"

    await harness.wait_until(is_rolled_back_again)
    if order_is_lost:
        assert states == {"rolled_back"}
    for number in range(50):
        await harness.send_draft(session=f"u{number}")
    assert len(harness.worker_by_id["engine-3"].received) == received
    assert harness.store.value(*STATUS_ROW)["state"] == "rolled_back"
