"""Versions that sessions are pinned to, by service and workspace."""

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import Operations, RolloutOrder
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.session_pins import SessionPins
from comfreyhatch.exchange.view import FleetView
from tests.exchange_values import job

LIFE_S = 10.0
# All sessions are due to move with the first share.
CANARY_SHARE = 1.0


@pytest.fixture
def view() -> FleetView:
    return FleetView()


@pytest.fixture
def reports() -> PeerReports:
    return PeerReports(1.0)


@pytest.fixture
def pins(view: FleetView, reports: PeerReports) -> SessionPins:
    return SessionPins(view, reports, CANARY_SHARE, LIFE_S)


def of_session(service: str = "s", workspace: str = "club", session: str = "one") -> Job:
    found = job()
    exchange = replace(found.exchange, session=session)
    return replace(found, exchange=exchange, service=service, workspace=workspace)


def order_rollout(view: FleetView, service: str) -> None:
    orders = {service: RolloutOrder(service, "v2", 15.0, 7)}
    view.apply_operations(Operations(1, Catalog(1, {}, {}, {}), orders, frozenset()), 0.0, 1.0)


def test_session_has_a_version_of_each_service(pins: SessionPins) -> None:
    # One pin served all services: a session that used v2 of one of them was taken for one that had
    # moved to v2 of the other, a bad version (review/9).
    pins.pin(of_session("s"), "v1", 1.0)
    pins.pin(of_session("t"), "v2", 2.0)
    assert pins.version(of_session("s"), 3.0) == "v1"
    assert pins.version(of_session("t"), 3.0) == "v2"
    assert pins.version(of_session("u"), 3.0) is None


def test_sessions_of_two_workspaces_may_bear_one_name(pins: SessionPins) -> None:
    pins.pin(of_session(workspace="club"), "v1", 1.0)
    pins.pin(of_session(workspace="school"), "v2", 2.0)
    assert pins.version(of_session(workspace="club"), 3.0) == "v1"


def test_session_is_told_for_the_service_whose_roll_out_begins(
    view: FleetView, reports: PeerReports, pins: SessionPins
) -> None:
    # The last service that a session had used hid that it ran on a replaced version of another.
    pins.pin(of_session("s"), "v1", 1.0)
    pins.pin(of_session("t"), "v2", 2.0)
    order_rollout(view, "s")
    pins.note_orders(3.0)
    known = SessionPins(view, PeerReports(1.0), CANARY_SHARE, LIFE_S)
    known.learn(SessionReport("s", "v2", "one"), 3.0)
    assert known.version(of_session("s"), 4.0) == ""
    assert [r.service for r in reports.since(0, 3.0)] == ["s"]


def test_pin_ends_after_the_pause_of_a_session(pins: SessionPins) -> None:
    pins.pin(of_session(), "v1", 0.5)
    pins.end(of_session(), 1.0)
    assert pins.version(of_session(), 1.0 + LIFE_S) == "v1"
    assert pins.version(of_session(), 1.1 + LIFE_S) is None


def test_session_stays_on_its_version_while_its_answer_takes_longer_than_a_pause(
    pins: SessionPins,
) -> None:
    # A pin ended 10 s after the begin of a request whose answer took 18 s, and the next request
    # changed the version (14 of 240 in the review, three are allowed).
    pins.pin(of_session(), "v1", 1.0)
    assert pins.version(of_session(), 5 * LIFE_S) == "v1"
    pins.end(of_session(), 5 * LIFE_S)
    assert pins.version(of_session(), 6 * LIFE_S) == "v1"
    assert pins.version(of_session(), 6 * LIFE_S + 0.1) is None


def test_session_with_a_long_answer_is_told_as_a_roll_out_begins(
    view: FleetView, reports: PeerReports, pins: SessionPins
) -> None:
    pins.pin(of_session(), "v1", 1.0)
    order_rollout(view, "s")
    pins.note_orders(5 * LIFE_S)
    assert [r.service for r in reports.since(0, 5 * LIFE_S)] == ["s"]


def test_pin_lasts_until_the_last_of_several_requests_ends(pins: SessionPins) -> None:
    for at in (1.0, 2.0):
        pins.pin(of_session(), "v1", at)
    pins.end(of_session(), 3.0)
    assert pins.version(of_session(), 5 * LIFE_S) == "v1"
    pins.end(of_session(), 4.0)
    assert pins.version(of_session(), 5 * LIFE_S) is None


def test_end_of_a_request_whose_pin_was_dropped_changes_nothing(pins: SessionPins) -> None:
    pins.end(of_session(), 1.0)
    assert pins.version(of_session(), 1.0) is None
