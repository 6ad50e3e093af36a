"""Selection of a reader, and the hold-down of readers that fail."""

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.exchange.reader_selector import (
    INITIAL_HOLD_DOWN_S,
    MAX_HOLD_DOWN_S,
    ReaderSelector,
)
from comfreyhatch.exchange.view import FleetView

UNUSED = Address("127.0.0.1", 1)
NAMES = ("d1", "d2", "d3")
CONTROLS = {name: f"{name}:1" for name in NAMES}


def view(region_by_daemon: dict[str, str]) -> FleetView:
    found = FleetView()
    found.apply_operations(Operations(1, Catalog(1, {}, {}, {}), {}, frozenset()), 0.0, 1.0)
    found.apply_endpoints(EndpointList(1, {}), 0.0)
    found.apply_records(SharedRecords(1, 0, {}, {}, CONTROLS, region_by_daemon), 0.0)
    return found


def selector(instance: str, known: FleetView) -> ReaderSelector:
    settings = Deployment(
        instance, "a", ("a",), UNUSED, UNUSED, None, (), UNUSED, 1.0, 1, 1, Bounds(), "r"
    )
    return ReaderSelector(settings, known)


def follower(known: FleetView) -> ReaderSelector:
    return next(c for c in (selector(name, known) for name in NAMES) if c.address(0.0))


def test_daemons_of_other_regions_are_not_selected() -> None:
    known = view({"d1": "r", "d2": "elsewhere", "d3": "elsewhere"})
    assert selector("d1", known).address(0.0) is None


def test_no_reader_is_selected_before_the_first_read_of_the_directory() -> None:
    assert selector("d1", FleetView()).address(0.0) is None


def test_hold_down_of_a_failing_reader_doubles_up_to_a_limit() -> None:
    chosen = follower(view(dict.fromkeys(NAMES, "r")))
    first = chosen.address(0.0)
    assert first
    now, pauses = 0.0, []
    for _ in range(6):
        chosen.hold_down(first, "silent", now)
        pause_s = 0.0
        while chosen.address(now + pause_s) != first:
            pause_s += 1.0
        pauses.append(pause_s)
        now += pause_s
    assert pauses == [INITIAL_HOLD_DOWN_S * 2**n for n in range(5)] + [MAX_HOLD_DOWN_S]


def test_hold_down_ends_once_the_reader_answers() -> None:
    chosen = follower(view(dict.fromkeys(NAMES, "r")))
    first = chosen.address(0.0)
    assert first
    chosen.hold_down(first, "silent", 0.0)
    chosen.clear_hold_down(first)
    assert chosen.address(0.0) == first
