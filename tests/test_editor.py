"""Tests of edits: concurrent operators, lost answers of writes, repeated edits, confirmation."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.config import editor
from comfreyhatch.domain.change import ChangeRecord, SetContract, SetShare, SetVersion
from comfreyhatch.errors import ChangeError, ConflictError, PlatformError
from tests.config_fleet import ConfigFleet, contract, edit_configuration, version


@pytest.fixture(autouse=True)
def _no_retry_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(editor, "COMMIT_RETRY_INTERVAL_S", 0.0)


def change_records_of(fleet: ConfigFleet) -> list[ChangeRecord]:
    rows = sorted((k, r) for k, r in fleet.table.row_by_key.items() if k.startswith("change/"))
    return [decode(row.value, type=ChangeRecord) for _, row in rows]


def head_of(fleet: ConfigFleet) -> int:
    return int(fleet.table.row_by_key["head"].value)


faults = st.lists(st.sampled_from(["ok", "lost", "dropped", "failed"]), max_size=4)


@given(st.lists(st.tuples(st.booleans(), faults, faults), min_size=1, max_size=5))
def test_each_concurrent_edit_is_applied_once_or_refused_and_never_applied(
    rounds: list[tuple[bool, list[str], list[str]]],
) -> None:
    async def race() -> None:
        fleet = ConfigFleet("a0", "a1")
        first, second = fleet.node_by_id.values()
        accepted: dict[str, int] = {}
        refused: set[str] = set()

        async def edit(node_number: int, edit_id: str) -> None:
            node = (first, second)[node_number]
            change = SetContract(contract(edit_id))
            for _ in range(8):
                try:
                    accepted[edit_id] = await node.editor.apply(change, edit_id, "ann")
                    return
                except ConflictError:
                    refused.add(edit_id)
                    return
                except PlatformError:
                    node.table.faults.clear()

        for number, (raced, first_faults, second_faults) in enumerate(rounds):
            first.table.faults, second.table.faults = first_faults, second_faults
            if raced:
                name = f"second-{number}"
                first.table.before_commit = lambda name=name: edit(1, name)
            await edit(0, f"first-{number}")
        records = change_records_of(fleet)
        assert [r.revision for r in records] == list(range(1, head_of(fleet) + 1))
        assert {r.edit_id: r.revision for r in records} == accepted
        assert len(records) == len(accepted) and not refused & set(accepted)

    asyncio.run(race())


async def test_the_loser_of_a_race_gets_the_difference_and_changes_nothing() -> None:
    fleet = ConfigFleet("a0", "a1")
    ann, bob = fleet.node_by_id.values()
    await edit_configuration(ann, SetVersion(version("1")))
    ann.table.before_commit = lambda: bob.editor.apply(SetShare("coach@1", 50), "bob-1", "bob")
    with pytest.raises(ConflictError, match=r"\+ revision 2 by 'bob': .*set-share.*50"):
        await ann.editor.apply(SetShare("coach@1", 10), "ann-2", "ann")
    assert ann.config_sync.config.version_by_id["coach@1"].share == 50
    assert [r.edit_id for r in change_records_of(fleet)] == ["a0-0", "bob-1"]
    with pytest.raises(ConflictError, match="in force, not 1"):
        await ann.editor.apply(SetShare("coach@1", 10), "ann-3", "ann", expected_revision=1)
    assert head_of(fleet) == 2


async def test_a_lost_answer_is_found_again_by_the_edit_id() -> None:
    fleet = ConfigFleet("a0", "a1")
    ann, bob = fleet.node_by_id.values()
    ann.table.faults = ["lost"]
    change = SetContract(contract("trackline"))
    assert await ann.editor.apply(change, "edit-1", "ann") == 1
    assert await bob.editor.apply(change, "edit-1", "ann") == 1
    assert len(change_records_of(fleet)) == 1


async def test_an_edit_of_unknown_outcome_fails_with_write_unknown_and_may_be_repeated() -> None:
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]

    async def lose_answer_and_stop_table() -> None:
        node.table.faults = ["lost"]

        async def advance_clock_past_timeout() -> None:
            await asyncio.sleep(0)
            fleet.now += 10

        node.table.down = True
        fleet.pending = asyncio.create_task(advance_clock_past_timeout())  # type: ignore[attr-defined]

    node.table.before_commit = lose_answer_and_stop_table
    change = SetContract(contract("trackline"))
    with pytest.raises(PlatformError) as failure:
        await node.editor.apply(change, "edit-1", "ann")
    assert failure.value.code is ResultCode.WRITE_UNKNOWN
    node.table.down = False
    assert await node.editor.apply(change, "edit-1", "ann") == 1
    assert len(change_records_of(fleet)) == 1


async def test_an_invalid_or_failed_change_leaves_the_log_unchanged() -> None:
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]
    with pytest.raises(ChangeError):
        await node.editor.apply(SetShare("coach@9", 10), "edit-1", "ann")
    node.table.faults = ["failed"]
    with pytest.raises(PlatformError) as failure:
        await node.editor.apply(SetVersion(version("1")), "edit-2", "ann")
    assert failure.value.code is ResultCode.PLATFORM_UNAVAILABLE
    assert change_records_of(fleet) == []


async def test_in_force_names_the_instances_that_have_not_confirmed() -> None:
    fleet = ConfigFleet("a0", "a1", "a2", "b0")
    await fleet.run(3)
    fleet.cut("a2")
    fleet.node_by_id["a2"].table.down = True
    node = fleet.node_by_id["a0"]
    await edit_configuration(node, SetContract(contract("trackline")))
    await fleet.run(2)
    found = await node.editor.in_force(1)
    assert found.unconfirmed == ("a2",)
    assert found.confirmed == ("a0", "a1", "b0")
