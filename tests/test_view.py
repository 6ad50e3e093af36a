"""The view of the fleet: order of revisions, outages of the store, cold zones, new versions."""

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.domain.relay import RelayAddress
from comfreyhatch.exchange.view import LAPSE_GRACE_S, FleetView
from tests.exchange_values import record

HEARTBEAT_S = 1.0
CATALOG = Catalog(1, {}, {}, {})


def listed(revision: int, *ids: str, **changes: object) -> EndpointList:
    return EndpointList(revision, {i: record(i, revision=revision, **changes) for i in ids})


def operations(revision: int, *zones_out: str) -> Operations:
    return Operations(revision, CATALOG, {}, frozenset(zones_out))


@pytest.fixture
def view() -> FleetView:
    found = FleetView()
    found.apply_operations(operations(1), 0.0, HEARTBEAT_S)
    found.apply_endpoints(listed(1, "e1", "e2"), 0.0)
    return found


def test_ready_needs_orders_and_endpoints() -> None:
    view = FleetView()
    assert not view.ready()
    view.apply_operations(operations(1), 0.0, HEARTBEAT_S)
    assert not view.ready()
    view.apply_endpoints(listed(1, "e1"), 0.0)
    assert view.ready()


def test_older_revisions_change_nothing(view: FleetView) -> None:
    view.apply_operations(operations(5, "a"), 1.0, HEARTBEAT_S)
    view.apply_operations(operations(4), 2.0, HEARTBEAT_S)
    assert view.zone_out("a")
    view.apply_endpoints(listed(5, "e1"), 1.0)
    view.apply_endpoints(listed(4, "e1", "e2"), 2.0)
    assert not view.available(view.tracker_by_id["e2"], 2.0)


def test_orders_from_a_peer_keep_their_age(view: FleetView) -> None:
    view.apply_operations(operations(2), -4.0, HEARTBEAT_S)
    assert view.operations_age_s(1.0) == 1.0
    assert not view.stale(2.0) and view.stale(4.0)


def test_unlisted_endpoint_is_unavailable_at_once_without_an_outage(view: FleetView) -> None:
    view.apply_endpoints(listed(2, "e1"), 0.5)
    assert not view.available(view.tracker_by_id["e2"], 0.5)


def test_endpoints_that_lapsed_in_an_outage_are_available_for_a_grace_period(
    view: FleetView,
) -> None:
    view.apply_endpoints(listed(2, "e1"), 10.0)
    tracker = view.tracker_by_id["e2"]
    assert view.available(tracker, 10.0) and view.available(tracker, 12.1)
    assert not view.available(tracker, 12.3)


def test_draining_endpoint_has_no_grace_period_after_an_outage(view: FleetView) -> None:
    view.apply_endpoints(listed(2, "e1", "e2", draining=True), 1.0)
    view.apply_endpoints(listed(3, "e1"), 10.0)
    assert not view.available(view.tracker_by_id["e2"], 10.0)


def test_zone_that_comes_back_counts_as_cold_for_two_heartbeats(view: FleetView) -> None:
    view.apply_operations(operations(2, "a"), 5.0, HEARTBEAT_S)
    view.apply_operations(operations(3), 9.0, HEARTBEAT_S)
    tracker = view.tracker_by_id["e1"]
    assert view.cold(tracker, 10.9) and not view.cold(tracker, 11.1)


def test_new_version_without_an_order_is_in_hold_down(view: FleetView) -> None:
    new = record("e3", version="v2", revision=2)
    found = listed(2, "e1", "e2")
    view.apply_endpoints(replace(found, record_by_id={**found.record_by_id, "e3": new}), 1.0)
    assert view.past_hold_down("s", "v1", 1.0)
    assert not view.past_hold_down("s", "v2", 1.0)
    assert view.past_hold_down("s", "v2", 3.6)


def test_old_records_do_not_set_the_stores_clock_back(view: FleetView) -> None:
    # A peer's copy, and an answer from before a compaction, have an old time. It set the clock
    # back, and a roll-out that was started by it was completed twelve seconds early.
    view.apply_records(SharedRecords(5, 20_000, {}, {}, {}), 10.0)
    view.apply_records(SharedRecords(5, 12_000, {}, {}, {}), 11.0)
    view.apply_records(SharedRecords(4, 13_000, {}, {}, {}), 12.0)
    assert view.store_ms(15.0) == 25_000


def test_stores_clock_advances_after_the_instance_was_suspended(view: FleetView) -> None:
    # The monotonic clock stands still while the instance is suspended.
    view.apply_records(SharedRecords(5, 20_000, {}, {}, {}), 10.0)
    view.apply_records(SharedRecords(6, 25_000, {}, {}, {}), 11.0)
    assert view.store_ms(12.0) == 26_000


def test_state_of_an_unlisted_endpoint_is_removed(view: FleetView) -> None:
    view.apply_endpoints(listed(2, "e1"), 0.5)
    view.apply_endpoints(listed(3, "e1"), 4.0)
    assert "e2" not in view.tracker_by_id
    assert len(view.trackers_by_service["s"]) == 1


def test_misdirected_endpoint_is_available_after_it_registers_again(view: FleetView) -> None:
    tracker = view.tracker_by_id["e1"]
    tracker.misdirected = True
    assert not view.available(tracker, 1.0)
    view.apply_endpoints(listed(2, "e1", "e2"), 1.0)
    assert view.available(tracker, 1.0)


def test_only_daemons_of_the_same_region_relay() -> None:
    view = FleetView()
    relay = RelayAddress(Address("10.0.0.1", 1), "a")
    view.apply_records(
        SharedRecords(
            1,
            0,
            {},
            {},
            {},
            region_by_daemon={"d1": "north", "d2": "south"},
            relay_by_daemon={"d1": relay, "d2": relay, "d3": relay},
        ),
        0.0,
    )
    assert view.relays_in("north") == {"d1": relay}


def test_record_that_names_another_service_is_another_endpoint(view: FleetView) -> None:
    # The endpoint stayed in the list of its former service, and got the requests of that service
    # at its new address (review/8: 45 of 276 requests).
    before = view.tracker_by_id["e1"]
    moved = {**listed(1, "e2").record_by_id, "e1": record("e1", revision=2, service="t")}
    view.apply_endpoints(EndpointList(2, moved), 1.0)
    assert [t.record.endpoint_id for t in view.trackers_by_service["s"]] == ["e2"]
    assert [t.record.endpoint_id for t in view.trackers_by_service["t"]] == ["e1"]
    assert view.tracker_by_id["e1"] is not before
    assert not view.available(before, 1.0)
    assert before.record.service == "s"


def test_endpoint_that_changed_its_service_can_be_removed(view: FleetView) -> None:
    # It was looked for in the list of its new service, and the rest of the news was lost.
    view.apply_endpoints(EndpointList(2, {"e1": record("e1", revision=2, service="t")}), 1.0)
    view.apply_endpoints(EndpointList(3, {}), 2.0)
    view.apply_endpoints(EndpointList(4, {}), 2.0 + LAPSE_GRACE_S)
    assert not view.tracker_by_id
    assert not any(view.trackers_by_service.values())


def test_older_record_of_another_service_changes_nothing(view: FleetView) -> None:
    view.apply_endpoints(listed(5, "e1", "e2"), 1.0)
    old = {**listed(5, "e2").record_by_id, "e1": record("e1", revision=3, service="t")}
    view.apply_endpoints(EndpointList(6, old), 2.0)
    assert view.tracker_by_id["e1"].record.service == "s"
