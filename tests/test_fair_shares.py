"""Max-min shares of workspaces, and floors under the service of groups of requests."""

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from comfreyhatch.decisions.fair_shares import (
    MAX_KEYS,
    DecayingSums,
    Group,
    ServiceFloors,
    WorkSizes,
    WorkspaceUse,
    max_min_shares,
)

NOW = 100.0
DEMANDS = st.dictionaries(st.text(max_size=3), st.floats(0.0, 1e3), min_size=1, max_size=9)


def test_what_some_leave_is_divided_among_the_others() -> None:
    shares = max_min_shares({"a": 1.0, "b": 5.0, "c": 9.0}, 9.0)
    assert shares == {"a": 1.0, "b": 4.0, "c": 4.0}


@given(DEMANDS, st.floats(0.0, 1e4))
def test_division_is_work_conserving_and_max_min(demand: dict[str, float], capacity: float) -> None:
    """Guards against capacity that idles, and workspaces cut while others have more."""
    shares = max_min_shares(demand, capacity)
    assert sum(shares.values()) == approx(min(capacity, sum(demand.values())), abs=1e-6)
    most = max(shares.values())
    assert all(share <= demand[key] for key, share in shares.items())
    assert all(s >= most - 1e-6 for key, s in shares.items() if s < demand[key] - 1e-6)


def test_workspace_is_over_its_share_only_while_others_want_more() -> None:
    use = WorkspaceUse()
    use.charge("big", 7.5, NOW)
    use.charge("small", 1.0, NOW)
    use.divide({"big": 3.0}, NOW)
    assert not use.over_share
    use.divide({"big": 3.0, "small": 1.0}, NOW)
    assert use.over_share == {"big"}
    use.note_refused("small", 1.0, NOW)
    use.divide({}, NOW)
    assert use.over_share == {"big"}


def test_repeats_count_but_not_beyond_what_was_served() -> None:
    """Guards against a workspace that is shut out for minutes by one caller without a pause."""
    use = WorkspaceUse()
    for workspace in "ab":
        use.charge(workspace, 1.0, NOW)
    for _ in range(1000):
        use.note_repeated("a", 5.0, NOW)
    use.divide({"a": 1.0, "b": 1.0}, NOW)
    assert use.over_share == {"a"}
    use.charge("b", 4.0, NOW + 1)
    use.divide({"a": 1.0, "b": 1.0}, NOW + 1)
    assert use.over_share == {"b"}


def test_past_use_is_forgotten() -> None:
    use = WorkspaceUse()
    use.charge("big", 7.5, NOW)
    use.charge("small", 1.0, NOW + 60)
    use.divide({"big": 1.0, "small": 1.0}, NOW + 60)
    assert use.over_share == {"small"}


def test_number_of_remembered_workspaces_is_bounded() -> None:
    """Guards against memory that grows with the names that callers use."""
    sums = DecayingSums(5.0)
    for number in range(MAX_KEYS + 100):
        sums.add(f"w{number}", 1.0, NOW)
    assert len(sums.items(NOW)) == MAX_KEYS


def test_group_with_less_than_its_part_is_below_the_floor() -> None:
    """Guards against a kind that gets less than half of the service of the others."""
    floors = ServiceFloors()
    large, small = Group("large", "all"), Group("small", "all")
    for served, group in ((8, small), (5, large)):
        for number in range(10):
            floors.record_offered([group], NOW)
            if number < served:
                floors.record_served([group], NOW)
    assert floors.is_below_floor(large, NOW) and not floors.is_below_floor(small, NOW)
    floors.record_served([large], NOW)
    assert not floors.is_below_floor(large, NOW)


def test_largest_tenth_is_told_from_requests_that_are_alike() -> None:
    sizes = WorkSizes()
    for number in range(200):
        sizes.add(2.0 if number % 10 == 0 else 0.1)
    assert sizes.is_large(2.0) and not sizes.is_large(0.1)
    alike = WorkSizes()
    alike.add(0.1)
    assert not alike.is_large(0.1)
