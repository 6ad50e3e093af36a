"""Commits and confirmations of changes against a daemon whose answers get lost."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.change import SetContract, SetVersion, SetZone
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import ComfreyhatchError, ConflictError, PeerError
from comfreyhatch.porcelain.changes import (
    COMMIT_ATTEMPTS,
    PlannedChange,
    await_in_force,
    commit_change,
    diff_configs,
    notes_on,
)
from comfreyhatch.ports.operators import Edit, InForce

PLANNED = PlannedChange(SetZone("a", True), 4, ("+ out_zones = a",))


class ScriptedClient(OperatorClient):
    """A client whose answers are scripted; an edit is made on its first arrival."""

    def __init__(self, answers: list[ResultCode | None], states: list[InForce] | None = None):
        self.answers = answers
        self.states = states or []
        self.edits: list[Edit] = []

    async def apply(self, edit: Edit) -> int:
        self.edits.append(edit)
        code = self.answers.pop(0)
        if code is ResultCode.CONFLICT:
            raise ConflictError("another came first")
        if code:
            raise PeerError("lost", code)
        return 5

    async def in_force(self, revision: int) -> InForce:
        if len(self.states) > 1:
            return self.states.pop(0)
        return self.states[0]


@pytest.mark.parametrize("code", [ResultCode.WRITE_UNKNOWN, ResultCode.PEER_TIMEOUT])
async def test_lost_answer_is_repeated_with_the_same_edit(code: ResultCode) -> None:
    client = ScriptedClient([code, None])
    assert await commit_change(client, PLANNED, "tester", 0) == 5
    first, second = client.edits
    assert first == second and first.edit_id and first.expected_revision == 4


async def test_lost_answers_to_the_end_say_that_the_change_may_have_been_made() -> None:
    client = ScriptedClient([ResultCode.PEER_TIMEOUT] * (COMMIT_ATTEMPTS + 1))
    with pytest.raises(ComfreyhatchError, match="may have been made") as caught:
        await commit_change(client, PLANNED, "tester", 0)
    assert caught.value.code is ResultCode.WRITE_UNKNOWN
    assert len(client.edits) == COMMIT_ATTEMPTS


async def test_conflict_is_not_repeated() -> None:
    client = ScriptedClient([ResultCode.CONFLICT, None])
    with pytest.raises(ConflictError):
        await commit_change(client, PLANNED, "tester", 0)
    assert len(client.edits) == 1


async def test_confirmations_are_awaited_until_all_have_come() -> None:
    half, whole = InForce(5, ("a",), ("b",)), InForce(5, ("a", "b"), ())
    assert await await_in_force(ScriptedClient([], [half, half, whole]), 5, 10) == whole
    assert await await_in_force(ScriptedClient([], [half]), 5, 0) == half


@given(
    old=st.frozensets(st.sampled_from("abc")),
    new=st.frozensets(st.sampled_from("abc")),
    price=st.integers(0, 2),
)
def test_diff_is_empty_only_for_equal_configurations(
    old: frozenset[str], new: frozenset[str], price: int
) -> None:
    first = FleetConfig(3, {}, {"m@1": Version("m", "1", 1, 1)}, old)
    second = FleetConfig(4, {}, {"m@1": Version("m", "1", 1, price)}, new)
    diff = diff_configs(first, second)
    assert (diff == ()) == (old == new and price == 1)
    swapped = [("+" if line[0] == "-" else "-") + line[1:] for line in diff]
    assert sorted(swapped) == sorted(diff_configs(second, first))


def test_names_that_are_not_declared_are_noted() -> None:
    config = FleetConfig(version_by_id={"m@1": Version("m", "1", 1, 1)})
    contract = Contract("c", allowed=("m", "m@1", "m@2", "n"))
    notes = notes_on(config, SetContract(contract))
    assert [note.split()[2] for note in notes] == ["m@2,", "n,"]
    assert notes_on(config, SetVersion(Version("m", "3", 1, 1, replaces="m@1"))) == ()
    assert "m@2" in notes_on(config, SetVersion(Version("m", "3", 1, 1, replaces="m@2")))[0]
