"""Selection of the daemons that read the directory."""

import pytest

from comfreyhatch.decisions.readers import FOLLOWERS_PER_READER, poll_wait_s, reader_for
from comfreyhatch.exchange.directory_sync import (
    ENDPOINTS_PAUSE_S,
    LONG_POLL_WAIT_S,
    READER_MAX_AGE_SHARE,
)
from comfreyhatch.exchange.peers import MAX_CONCURRENT_QUERIES
from comfreyhatch.exchange.report_relay import READERS_PER_PULL


def names(count: int) -> list[str]:
    return [f"d{number}" for number in range(count)]


def readers(group: list[str]) -> list[str]:
    return [name for name in group if reader_for(name, group, ()) is None]


def test_daemon_that_knows_no_other_is_a_reader() -> None:
    assert reader_for("d1", (), ()) is None
    assert reader_for("d1", ["d1"], ()) is None


@pytest.mark.parametrize(
    ("count", "reading"), [(2, 1), (6, 1), (33, 1), (34, 2), (83, 3), (195, 6), (420, 13)]
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
    assert len(reading) == 2 and reading <= wide
    asked = {reader_for(name, group, (), links) for name in group} - {None}
    assert asked == reading


def test_daemons_with_narrow_links_read_once_the_wide_ones_fail() -> None:
    group = names(34)
    links = {name: 100.0 if name == "d0" else 5.0 for name in group}
    follower = next(n for n in group if reader_for(n, group, {"d0"}, links) is not None)
    assert reader_for(follower, group, {"d0"}, links) not in (None, "d0")


@pytest.mark.parametrize("config_s", [1.0, 2.0, 4.0, 60.0])
def test_readers_poll_so_often_that_their_data_is_never_too_old_for_followers(
    config_s: float,
) -> None:
    # The age of data grows through the wait and the pause behind it.
    assert poll_wait_s(config_s) + ENDPOINTS_PAUSE_S <= READER_MAX_AGE_SHARE * config_s
    assert poll_wait_s(config_s) <= LONG_POLL_WAIT_S


def test_queries_that_a_daemon_answers_at_a_time_are_enough_for_its_followers() -> None:
    group = names(420)
    asked = [reader_for(name, group, ()) for name in group]
    most = max(asked.count(reader) for reader in readers(group))
    assert most + READERS_PER_PULL <= MAX_CONCURRENT_QUERIES
