"""Changes of the daemons' records between revisions."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.domain.operations import SharedRecords
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange.record_changes import RecordHistory, apply_record_changes

DAEMONS = st.dictionaries(st.sampled_from("abcd"), st.sampled_from("xyz"), max_size=4)
STATES = st.lists(st.tuples(DAEMONS, DAEMONS), min_size=1, max_size=8)


def _records(revision: int, controls: dict[str, str], regions: dict[str, str]) -> SharedRecords:
    return SharedRecords(revision, 10 * revision, {}, {}, controls, regions)


@given(STATES, st.integers(0, 7))
def test_changes_since_any_revision_give_the_current_records(
    states: list[tuple[dict[str, str], dict[str, str]]], held_index: int
) -> None:
    history = RecordHistory()
    found = [_records(n, *state) for n, state in enumerate(states, start=1)]
    for records in found:
        history.update(records)
    held = found[held_index] if held_index < len(found) else None
    changes = history.since(held.position if held else Position())
    assert apply_record_changes(held, changes) == found[-1]


def test_records_that_did_not_change_are_not_sent() -> None:
    history = RecordHistory()
    history.update(_records(1, {"a": "x", "b": "x"}, {}))
    history.update(_records(2, {"a": "x", "b": "y"}, {}))
    history.update(_records(3, {"a": "x", "b": "y"}, {}))
    assert history.since(Position(0, 1)).control_by_daemon == {"b": "y"}
    assert history.changed_position == Position(0, 2)


def test_removed_record_makes_followers_behind_it_read_all() -> None:
    history = RecordHistory()
    history.update(_records(1, {"a": "x", "b": "x"}, {}))
    history.update(_records(2, {"a": "x"}, {}))
    assert history.since(Position(0, 1)).whole
    assert not history.since(Position(0, 2)).whole


def test_records_of_a_new_generation_are_sent_whole() -> None:
    history = RecordHistory()
    history.update(_records(5, {"a": "x"}, {}))
    returned = replace(_records(3, {"b": "y"}, {}), generation=1)
    history.update(returned)
    changes = history.since(Position(0, 5))
    assert changes.whole
    assert apply_record_changes(_records(5, {"a": "x"}, {}), changes) == returned
    assert history.changed_position > Position(0, 5)


def test_follower_learns_of_a_removal_before_the_first_records_of_its_reader() -> None:
    # A reader that had just started told a follower of what it listed, not of what was gone.
    reader = RecordHistory()
    reader.update(_records(100, {"a": "x"}, {}))
    changes = reader.since(Position(0, 50))
    assert apply_record_changes(_records(50, {"a": "x", "b": "x"}, {}), changes) == _records(
        100, {"a": "x"}, {}
    )
