"""What was in force is carried over a return of the store, and for how long."""

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.operations import (
    Operations,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    SharedRecords,
)
from comfreyhatch.exchange.carry_over import CARRY_OVER_S
from comfreyhatch.exchange.view import LAPSE_GRACE_S, FleetView
from tests.exchange_values import record

NOW = 100.0
ORDER = RolloutOrder("s", "v2", 24.0, 101)
TRIAL = RolloutRecord("s", "v2", 101, RolloutState.RUNNING, 0.5, 0, 0, 105, generation=1)


def operations(
    generation: int, revision: int, *zones_out: str, orders: tuple[RolloutOrder, ...] = ()
) -> Operations:
    by_service = {order.service: order for order in orders}
    return Operations(
        revision, Catalog(1, {}, {}, {}), by_service, frozenset(zones_out), generation
    )


def listed(generation: int, revision: int, *ids: str, **changes: object) -> EndpointList:
    values = {"revision": revision, "generation": generation, **changes}
    return EndpointList(revision, {i: record(i, **values) for i in ids}, generation)


def records(generation: int, revision: int, *trials: RolloutRecord) -> SharedRecords:
    by_service = {trial.service: trial for trial in trials}
    return SharedRecords(revision, 0, by_service, {}, {"d1": "a:1"}, {"d1": "r"}, generation)


@pytest.fixture
def view() -> FleetView:
    found = FleetView()
    found.apply_operations(operations(1, 110, "a", orders=(ORDER,)), NOW - 1, 1.0)
    found.apply_endpoints(listed(1, 110, "e1", "e2"), NOW - 1)
    found.apply_records(records(1, 110, TRIAL), NOW - 1)
    return found


def test_zone_out_ends_after_the_time_if_it_is_not_written_again(view: FleetView) -> None:
    view.apply_operations(operations(2, 90), NOW, 1.0)
    assert view.zone_out("a") and not view.listed_operations.zones_out
    view.apply_operations(operations(2, 90), NOW + CARRY_OVER_S - 0.1, 1.0)
    assert view.zone_out("a")
    view.apply_operations(operations(2, 90), NOW + CARRY_OVER_S, 1.0)
    assert not view.zone_out("a")


def test_second_return_carries_the_zone_over_again(view: FleetView) -> None:
    view.apply_operations(operations(2, 90), NOW, 1.0)
    view.apply_operations(operations(3, 80), NOW + 2, 1.0)
    view.apply_operations(operations(3, 80), NOW + CARRY_OVER_S + 1, 1.0)
    assert view.zone_out("a")


def test_orders_of_an_older_generation_change_nothing(view: FleetView) -> None:
    view.apply_operations(operations(2, 90), NOW, 1.0)
    view.apply_operations(operations(1, 500, "b"), NOW + 50, 1.0)
    assert not view.zone_out("b")
    assert view.operations_age_s(NOW + 50) == 50.0


def test_list_and_records_of_an_older_generation_change_nothing(view: FleetView) -> None:
    view.apply_endpoints(listed(2, 90, "e1"), NOW)
    view.apply_endpoints(listed(1, 500, "e1", "e9"), NOW + 9)
    assert "e9" not in view.tracker_by_id
    assert view.endpoints_age_s(NOW + 9) == 9.0
    view.apply_records(records(2, 90), NOW)
    view.apply_records(replace(records(1, 500), control_by_daemon={"d9": "a:9"}), NOW + 9)
    assert view.daemons() == {"d1"}


def test_configuration_of_a_peer_that_started_from_the_copy_does_not_revert(
    view: FleetView,
) -> None:
    newer = replace(operations(1, 111), catalog=Catalog(7, {}, {}, {}))
    view.apply_operations(newer, NOW, 1.0)
    view.apply_operations(operations(2, 90), NOW, 1.0)
    view.apply_operations(operations(2, 95), NOW + 60, 1.0)
    assert view.catalog.version == 7


def test_order_that_is_written_again_continues_its_rollout(view: FleetView) -> None:
    # Under another revision the roll-out started anew, and sessions moved back.
    view.apply_operations(operations(2, 90), NOW, 1.0)
    view.apply_records(records(2, 90), NOW)
    assert view.order("s") == ORDER and view.trial("s") == TRIAL
    assert view.lost_trial("s") is None and not view.can_step("s")
    again = replace(ORDER, revision=93)
    view.apply_operations(operations(2, 93, orders=(again,)), NOW + 1, 1.0)
    assert view.trial("s") == TRIAL
    lost = view.lost_trial("s")
    assert lost == replace(TRIAL, order_revision=93, revision=0, generation=2)
    stored = replace(lost, revision=94)
    view.apply_records(records(2, 94, stored), NOW + 1.1)
    assert view.lost_trial("s") is None and view.can_step("s")
    assert view.trial("s") == stored


def test_no_step_is_taken_until_records_and_orders_have_one_generation(view: FleetView) -> None:
    view.apply_operations(operations(2, 110, orders=(ORDER,)), NOW, 1.0)
    assert view.trial("s") == TRIAL
    assert not view.can_step("s") and view.lost_trial("s") is None


@pytest.mark.parametrize(
    ("listed_share", "listed_state", "held_state", "is_lost"),
    [
        (0.09, RolloutState.RUNNING, RolloutState.RUNNING, True),
        (0.5, RolloutState.RUNNING, RolloutState.RUNNING, False),
        (0.5, RolloutState.RUNNING, RolloutState.ROLLED_BACK, True),
        (1.0, RolloutState.RUNNING, RolloutState.COMPLETED, True),
        (0.0, RolloutState.ROLLED_BACK, RolloutState.RUNNING, False),
        (0.0, RolloutState.ROLLED_BACK, RolloutState.COMPLETED, False),
    ],
)
def test_step_of_a_rollout_does_not_go_back(
    view: FleetView,
    listed_share: float,
    listed_state: RolloutState,
    held_state: RolloutState,
    is_lost: bool,
) -> None:
    held = replace(TRIAL, state=held_state, revision=108)
    view.apply_records(records(1, 111, held), NOW)
    older = replace(TRIAL, share=listed_share, state=listed_state, revision=102, generation=2)
    view.apply_operations(operations(2, 105, orders=(ORDER,)), NOW, 1.0)
    view.apply_records(records(2, 105, older), NOW)
    lost = view.lost_trial("s")
    assert (lost is not None) == is_lost
    assert view.trial("s") == (held if is_lost else older)
    if lost:
        assert (lost.revision, lost.generation, lost.state) == (102, 2, held_state)


def test_order_for_another_version_in_the_copy_is_not_followed_at_once(view: FleetView) -> None:
    older = RolloutOrder("s", "v1", 24.0, 50)
    view.apply_operations(operations(2, 90, orders=(older,)), NOW, 1.0)
    assert view.order("s") == ORDER
    view.apply_operations(operations(2, 91, orders=(older,)), NOW + CARRY_OVER_S, 1.0)
    assert view.order("s") == older


def test_new_order_in_the_new_generation_is_followed_at_once(view: FleetView) -> None:
    view.apply_operations(operations(2, 90), NOW, 1.0)
    other = RolloutOrder("s", "v3", 24.0, 101)
    view.apply_operations(operations(2, 101, orders=(other,)), NOW + 1, 1.0)
    assert view.order("s") == other
    assert view.trial("s") is None, "the state of another version's roll-out was taken"
    assert not view.is_same_order(ORDER, other)


def test_endpoint_that_drained_stays_out_until_it_writes_again(view: FleetView) -> None:
    view.apply_endpoints(listed(1, 111, "e1", "e2", draining=True), NOW - 0.5)
    view.apply_endpoints(listed(2, 90, "e1", "e2"), NOW)
    tracker = view.tracker_by_id["e1"]
    assert not view.available(tracker, NOW)
    assert not view.available(tracker, NOW + CARRY_OVER_S - 0.1)
    assert view.available(tracker, NOW + CARRY_OVER_S)
    view.apply_endpoints(listed(2, 95, "e1", "e2", cold_left_s=0.1), NOW + 1)
    assert view.available(tracker, NOW + 1.2)


def test_endpoint_that_had_left_stays_out_after_the_copy_lists_it(view: FleetView) -> None:
    view.apply_endpoints(listed(1, 111, "e1"), NOW - 10)
    view.apply_endpoints(listed(1, 112, "e1"), NOW - 1)
    assert "e2" not in view.tracker_by_id
    view.apply_endpoints(listed(2, 90, "e1", "e2"), NOW)
    assert not view.available(view.tracker_by_id["e2"], NOW)
    assert view.available(view.tracker_by_id["e1"], NOW)


def test_endpoint_restarted_under_its_name_is_used(view: FleetView) -> None:
    view.apply_endpoints(listed(1, 111, "e1", "e2", draining=True), NOW - 0.5)
    view.apply_endpoints(listed(2, 90, "e1", "e2", born_ms=2), NOW)
    assert view.available(view.tracker_by_id["e1"], NOW)


def test_endpoint_that_the_copy_lacks_is_available_for_a_grace_period(view: FleetView) -> None:
    view.apply_endpoints(listed(2, 90, "e1"), NOW)
    tracker = view.tracker_by_id["e2"]
    assert view.available(tracker, NOW + LAPSE_GRACE_S - 0.1)
    assert not view.available(tracker, NOW + LAPSE_GRACE_S)


def test_endpoint_that_left_before_the_return_gets_no_grace_period(view: FleetView) -> None:
    view.apply_endpoints(listed(1, 111, "e1"), NOW - 0.5)
    view.apply_endpoints(listed(2, 90, "e1"), NOW)
    assert not view.available(view.tracker_by_id["e2"], NOW)


def test_record_with_a_lower_revision_in_the_new_generation_is_taken(view: FleetView) -> None:
    view.apply_endpoints(listed(2, 90, "e1"), NOW)
    view.apply_endpoints(listed(2, 95, "e1", "e2", draining=True), NOW + 1)
    assert view.tracker_by_id["e2"].record.draining


def test_unchanged_record_in_the_copy_does_not_make_an_endpoint_cold_again(
    view: FleetView,
) -> None:
    view.apply_endpoints(listed(1, 111, "e1", cold_left_s=3.0), NOW - 5)
    view.apply_endpoints(listed(2, 111, "e1", cold_left_s=3.0), NOW)
    assert not view.cold(view.tracker_by_id["e1"], NOW)


def test_daemons_that_the_copy_lacks_still_count(view: FleetView) -> None:
    # The parts of bounds that daemons divide among themselves grew, until all had written again.
    view.apply_records(replace(records(2, 90), control_by_daemon={}, region_by_daemon={}), NOW)
    assert view.daemons() == {"d1"} and view.daemons_in("r") == ["d1"]
    assert view.records.control_by_daemon == {}


def test_new_order_that_the_first_list_shows_is_followed_at_once(view: FleetView) -> None:
    # An order that the copy had before the one in force has a lower revision than that one.
    other = RolloutOrder("s", "v3", 24.0, 102)
    view.apply_operations(operations(2, 102, orders=(other,)), NOW, 1.0)
    assert view.order("s") == other


def test_second_return_does_not_replace_the_carried_state_by_that_of_an_earlier_order(
    view: FleetView,
) -> None:
    # Found by test_store_interleavings: after two returns in a row a roll-out was forgotten.
    earlier = RolloutRecord("s", "v1", 50, RolloutState.COMPLETED, 1.0, 0, 0, 60, generation=2)
    for generation in (2, 3):
        view.apply_operations(operations(generation, 105, orders=(ORDER,)), NOW, 1.0)
        view.apply_records(records(generation, 105, earlier), NOW)
    assert view.trial("s") == TRIAL
    assert view.lost_trial("s") == replace(TRIAL, revision=60, generation=3)
