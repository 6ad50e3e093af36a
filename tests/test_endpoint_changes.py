"""Changes of the list of endpoints, as sent by readers to followers."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange import endpoint_changes
from comfreyhatch.exchange.endpoint_changes import EndpointHistory, apply_changes
from tests.exchange_values import record


def listed(revision: int, **zone_by_id: str) -> EndpointList:
    return EndpointList(
        revision,
        {name: record(name, zone, revision=revision) for name, zone in zone_by_id.items()},
    )


def test_renewal_without_a_difference_is_no_change() -> None:
    history = EndpointHistory()
    history.update(listed(5, e1="a"))
    history.update(listed(9, e1="a"))
    assert history.changed_revision == 5
    assert history.since(Position(0, 5)).record_by_id == {}
    assert history.since(Position(0, 5)).revision == 9


def test_daemon_that_holds_nothing_gets_the_whole_list() -> None:
    history = EndpointHistory()
    history.update(listed(5, e1="a"))
    assert history.since(Position(0, 0)).whole
    assert apply_changes(None, history.since(Position(0, 0))) == listed(5, e1="a")


def test_whole_list_is_sent_once_older_removals_are_dropped(monkeypatch) -> None:
    monkeypatch.setattr(endpoint_changes, "MAX_REMOVALS", 1)
    history = EndpointHistory()
    history.update(listed(1, e1="a", e2="a", e3="a"))
    history.update(listed(2, e2="a", e3="a"))
    history.update(listed(3, e3="a"))
    assert history.since(Position(0, 1)).whole
    assert not history.since(Position(0, 2)).whole and history.since(Position(0, 2)).removed == (
        "e2",
    )


ZONES = st.sampled_from(["a", "b"])
LISTS = st.lists(
    st.dictionaries(st.sampled_from(["e1", "e2", "e3"]), ZONES, max_size=3), min_size=1, max_size=12
)


@given(lists=LISTS, queried_after=st.sets(st.integers(0, 11)))
def test_follower_that_queries_at_times_has_the_list_of_its_reader(
    lists: list[dict[str, str]], queried_after: set[int]
) -> None:
    history = EndpointHistory()
    held = None
    for number, zones in enumerate(lists):
        found = listed(number + 1, **zones)
        history.update(found)
        if number in queried_after or number == len(lists) - 1:
            held = apply_changes(held, history.since(held.position if held else Position()))
    assert held is not None and held.revision == len(lists)
    zone_by_id = {name: entry.zone for name, entry in held.record_by_id.items()}
    assert zone_by_id == lists[-1]


def test_changes_are_not_kept_across_generations_of_the_store() -> None:
    # Its revision was given out again, and the follower missed what had changed below it.
    history = EndpointHistory()
    history.update(replace(listed(5, e1="a", e2="a"), generation=1))
    history.update(replace(listed(3, e1="a"), generation=2))
    changes = history.since(Position(1, 5))
    assert changes.whole and (changes.generation, changes.revision) == (2, 3)
    assert history.changed_position == Position(2, 3)
    assert set(apply_changes(listed(5, e1="a", e2="a"), changes).record_by_id) == {"e1"}
    history.update(replace(listed(4, e1="b"), generation=2))
    assert set(history.since(Position(2, 3)).record_by_id) == {"e1"}
    assert not history.since(Position(2, 3)).whole


def test_follower_learns_of_a_removal_before_the_first_list_of_its_reader() -> None:
    # A reader that had just started told a follower of what it listed, not of what was gone.
    held = EndpointList(50, {"e1": record("e1"), "e2": record("e2")})
    reader = EndpointHistory()
    reader.update(EndpointList(100, {"e1": record("e1")}))
    assert set(apply_changes(held, reader.since(Position(0, 50))).record_by_id) == {"e1"}
