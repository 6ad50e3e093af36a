"""Selection of the daemons that read the directory."""

import pytest

from comfreyhatch.decisions.readers import FOLLOWERS_PER_READER, reader_for


def names(count: int) -> list[str]:
    return [f"d{number}" for number in range(count)]


def readers(group: list[str]) -> list[str]:
    return [name for name in group if reader_for(name, group, ()) is None]


def test_daemon_that_knows_no_other_is_a_reader() -> None:
    assert reader_for("d1", (), ()) is None
    assert reader_for("d1", ["d1"], ()) is None


@pytest.mark.parametrize(
    ("count", "reading"), [(2, 1), (6, 1), (17, 1), (18, 2), (83, 5), (420, 25)]
)
def test_number_of_readers_grows_much_slower_than_the_fleet(count: int, reading: int) -> None:
    assert len(readers(names(count))) == reading


def test_followers_poll_readers_and_are_spread_over_them() -> None:
    group = names(83)
    asked = [reader_for(name, group, ()) for name in group]
    for reader in readers(group):
        assert 1 <= asked.count(reader) <= 2 * FOLLOWERS_PER_READER
    assert {name for name in asked if name} <= set(readers(group))


def test_reader_in_hold_down_is_replaced_by_the_next() -> None:
    group = names(6)
    reader = readers(group)[0]
    follower = next(name for name in group if name != reader)
    assert reader_for(follower, group, {reader}) != reader
    replaced = [name for name in group if reader_for(name, group, {reader}) is None]
    assert len(set(replaced) - {reader}) == 1


def test_daemons_with_wide_links_read_before_others() -> None:
    # A reader with a narrow link sent each change of a large configuration for seconds.
    group = names(65)
    wide = set(group[:8])
    links = {name: 100.0 if name in wide else 5.0 for name in group}
    reading = {name for name in group if reader_for(name, group, (), links) is None}
    assert len(reading) == 4 and reading <= wide
    asked = {reader_for(name, group, (), links) for name in group} - {None}
    assert asked == reading


def test_daemons_with_narrow_links_read_once_the_wide_ones_fail() -> None:
    group = names(18)
    links = {name: 100.0 if name == "d0" else 5.0 for name in group}
    follower = next(n for n in group if reader_for(n, group, {"d0"}, links) is not None)
    assert reader_for(follower, group, {"d0"}, links) not in (None, "d0")
