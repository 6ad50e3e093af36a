"""Evidence of one daemon on the versions of a roll-out."""

import asyncio

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.trial_evidence import pool_evidence
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.domain.operations import (
    Operations,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    SharedRecords,
    VersionOutcomes,
)
from comfreyhatch.errors import BackendError, BackendRefusedError
from comfreyhatch.exchange.evidence import (
    LATE_AIM_FACTOR,
    MAX_FAILURE_TEXTS,
    OTHER_FAILURES,
    SERVICE_COUNT_S,
    EvidenceCollector,
)
from comfreyhatch.exchange.lost_answers import LostAnswers
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.view import FleetView
from tests.exchange_values import job, record

JOB = job()
ROUTE = JOB.route.name
USUAL_GAP_S = 0.03
SLOW_GAP_S = 0.2


class AliveEndpoints:
    """Endpoints that answer whatever they are asked."""

    async def accepts_connections(self, endpoint: EndpointTracker) -> bool:
        return True

    async def answers(self, endpoint: EndpointTracker) -> bool | None:
        return True


@pytest.fixture
def view() -> FleetView:
    found = FleetView()
    order = RolloutOrder("s", "v2", 15.0, 7)
    found.apply_operations(Operations(1, Catalog(1, {}, {}, {}), {"s": order}, frozenset()), 0, 1)
    records = {"old": record("old"), "new": record("new", version="v2")}
    found.apply_endpoints(EndpointList(1, records), 0.0)
    return found


@pytest.fixture
def collector(view: FleetView) -> EvidenceCollector:
    return EvidenceCollector("d1", view, LostAnswers(view, AliveEndpoints()))


@pytest.fixture
def old(view: FleetView) -> EndpointTracker:
    return view.tracker_by_id["old"]


@pytest.fixture
def new(view: FleetView) -> EndpointTracker:
    return view.tracker_by_id["new"]


def of_target(collector: EvidenceCollector) -> VersionOutcomes:
    found = collector.evidence("s")
    return found.target_by_route.get(ROUTE, VersionOutcomes()) if found else VersionOutcomes()


def succeed(
    collector: EvidenceCollector, endpoint: EndpointTracker, latency: float, now: float
) -> ObservedAttempt:
    attempt = collector.begin(JOB, endpoint, now)
    collector.record_success(attempt, latency, now)
    return attempt


def fail(
    collector: EvidenceCollector, endpoint: EndpointTracker, now: float, status: int = 500
) -> None:
    failure = Failure(FailureKind.STATUS, status)
    collector.record_failure(collector.begin(JOB, endpoint, now), failure, now)


def add_latencies(collector: EvidenceCollector, old: EndpointTracker) -> None:
    for _ in range(30):
        succeed(collector, old, 1.0, 1.0)


def add_gaps(collector: EvidenceCollector, old: EndpointTracker) -> None:
    for _ in range(30):
        attempt = collector.begin(JOB, old, 1.0)
        collector.record_event_gap(attempt, "m", USUAL_GAP_S, True, 1.0)


def test_answer_that_cannot_be_compared_does_not_count_as_good(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    # Answers of a bad version counted as good while the daemon had no baseline, and the roll-out
    # was completed (deploy/days/hasty.toml, trackline-th, seed 501).
    assert not succeed(collector, new, 9.0, 1.0).is_counted
    assert of_target(collector) == VersionOutcomes()


def test_failure_counts_without_a_baseline(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    fail(collector, new, 1.0)
    assert of_target(collector) == VersionOutcomes(1, 1, 0)


def test_compared_answer_counts_once(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    add_latencies(collector, old)
    add_gaps(collector, old)
    attempt = succeed(collector, new, 1.0, 1.0)
    assert attempt.is_counted and not attempt.is_bad
    collector.record_event_gap(attempt, "m", USUAL_GAP_S, False, 1.0)
    assert of_target(collector) == VersionOutcomes(1, 0, 0)
    collector.record_event_gap(attempt, "m", SLOW_GAP_S, False, 1.0)
    assert of_target(collector) == VersionOutcomes(1, 0, 1)
    assert attempt.is_bad
    collector.record_failure(attempt, Failure(FailureKind.CUT), 1.0)
    assert of_target(collector) == VersionOutcomes(1, 1, 0)


def test_stream_counts_once_its_gaps_are_compared_though_its_first_event_was_not(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    attempt = collector.begin(JOB, new, 1.0)
    collector.record_event_gap(attempt, "m", SLOW_GAP_S, False, 1.0)
    assert not attempt.is_counted
    assert of_target(collector) == VersionOutcomes()
    add_gaps(collector, old)
    collector.record_event_gap(attempt, "m", SLOW_GAP_S, False, 1.0)
    assert attempt.is_bad
    assert of_target(collector) == VersionOutcomes(1, 0, 1)


def test_outcomes_of_the_target_are_counted_by_endpoint(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    fail(collector, new, 1.0)
    fail(collector, old, 1.0)
    found = collector.evidence("s")
    assert found and found.target_by_endpoint == {ROUTE: {"new": VersionOutcomes(1, 1, 0)}}


def test_answers_of_a_completed_version_are_counted_for_a_time(
    view: FleetView, collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    fail(collector, old, 1.0)
    completed = RolloutRecord("s", "v2", 7, RolloutState.COMPLETED, 1.0, 0, 0, 8)
    view.apply_records(SharedRecords(8, 0, {"s": completed}, {}, {}), 1.0)
    assert collector.evidence_since_completion("s") is None
    for _ in range(3):
        succeed(collector, new, 1.0, 2.0)
    fail(collector, new, 3.0)
    found = collector.evidence_since_completion("s")
    assert found and found.target_by_route == {ROUTE: VersionOutcomes(4, 1)}
    assert found.other_by_route == {ROUTE: VersionOutcomes(1, 1)}
    succeed(collector, new, 1.0, 2.0 + SERVICE_COUNT_S)
    found = collector.evidence_since_completion("s")
    assert found and found.target_by_route == {ROUTE: VersionOutcomes(1)}


def test_stream_that_counts_as_an_answer_counts_as_failed_once_it_is_cut(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    add_latencies(collector, old)
    attempt = succeed(collector, new, 1.0, 1.0)
    for _ in range(2):
        collector.record_failure(attempt, Failure(FailureKind.CUT), 1.0)
    assert of_target(collector) == VersionOutcomes(1, 1, 0)


def test_failures_are_told_apart_by_how_answers_failed(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    for status in (503, 503, 500):
        fail(collector, new, 1.0, status)
    fail(collector, old, 1.0, 408)
    found = collector.evidence("s")
    assert found and found.target_by_failure == {"status 503": 2, "status 500": 1}
    assert found.other_by_failure == {"status 408": 1}


def test_number_of_failures_that_are_told_apart_is_bounded(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    for status in range(400, 599):
        fail(collector, new, 1.0, status)
    found = collector.evidence("s")
    assert found and len(found.target_by_failure) <= MAX_FAILURE_TEXTS + 1
    assert sum(found.target_by_failure.values()) == 199
    assert found.target_by_failure[OTHER_FAILURES] == 199 - MAX_FAILURE_TEXTS


async def settle(collector: EvidenceCollector) -> None:
    """Wait until the lost answers are judged."""
    while any(not task.done() for task in collector._lost_answers._tasks):
        await asyncio.sleep(0.01)


def lose(
    collector: EvidenceCollector,
    endpoint: EndpointTracker,
    kind: FailureKind,
    now: float,
    took_s: float = 5.0,
    earlier: ObservedAttempt | None = None,
    is_relayed: bool = False,
) -> ObservedAttempt:
    attempt = collector.begin(JOB, endpoint, now - took_s, earlier)
    error = BackendError("lost", failure=Failure(kind))
    collector.record_error(attempt, error, is_relayed, now)
    return attempt


@pytest.mark.parametrize("kind", list(FailureKind))
async def test_each_kind_of_failure_counts(
    collector: EvidenceCollector, new: EndpointTracker, kind: FailureKind
) -> None:
    # Errors were no evidence, so that most kinds of failures went unnoticed (review/7).
    lose(collector, new, kind, 10.0)
    await settle(collector)
    assert of_target(collector) == VersionOutcomes(1, 1, 0)


async def test_failure_by_way_of_another_daemon_does_not_count(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    lose(collector, new, FailureKind.CUT, 10.0, is_relayed=True)
    await settle(collector)
    assert of_target(collector) == VersionOutcomes()


async def test_answer_that_was_left_less_time_than_usual_does_not_count(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    lose(collector, new, FailureKind.TIMEOUT, 10.0, took_s=0.5 * JOB.route.aim_s)
    await settle(collector)
    assert of_target(collector) == VersionOutcomes()


async def test_request_that_fails_wherever_it_is_sent_counts_once(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    first = lose(collector, new, FailureKind.CUT, 10.0)
    second = lose(collector, new, FailureKind.CUT, 20.0, earlier=first)
    lose(collector, new, FailureKind.STATUS, 30.0, earlier=second)
    lose(collector, old, FailureKind.STATUS, 40.0, earlier=second)
    await settle(collector)
    found = collector.evidence("s")
    assert found and found.target_by_route == {ROUTE: VersionOutcomes(1, 1, 0)}
    assert found.other_by_route == {ROUTE: VersionOutcomes(1, 1, 0)}


async def test_answer_that_is_late_counts_as_slow_before_it_comes_and_once(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    add_latencies(collector, old)
    attempt = collector.begin(JOB, new, 1.0, is_watched=True)
    late_at = 1.0 + LATE_AIM_FACTOR * JOB.route.aim_s
    collector.record_late(late_at - 0.1)
    await settle(collector)
    assert of_target(collector) == VersionOutcomes()
    succeed(collector, old, 1.0, late_at + 2.0)
    collector.record_late(late_at + 2.0)
    collector.record_late(late_at + 3.0)
    await settle(collector)
    assert of_target(collector) == VersionOutcomes(1, 0, 1)
    collector.record_success(attempt, 5.0, late_at + 4.0)
    assert of_target(collector) == VersionOutcomes(1, 0, 1)


async def test_answer_that_a_later_attempt_has_outrun_counts_as_slow(
    collector: EvidenceCollector, new: EndpointTracker
) -> None:
    for _ in range(2):
        attempt = collector.begin(JOB, new, 1.0)
        new.last_received_at = 1.05
        collector.record_abandoned(attempt, True, 1.1)
        collector.record_abandoned(collector.begin(JOB, new, 1.0), False, 1.1)
        await settle(collector)
    assert of_target(collector) == VersionOutcomes(2, 0, 2)


def test_requests_that_reach_the_version_are_counted_whatever_becomes_of_them(
    collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    # Requests whose answers were lost did not use up the exposure, and more were sent than a bad
    # version may get (review/7).
    for endpoint in (new, new, old):
        collector.begin(JOB, endpoint, 1.0)
    refused = collector.begin(JOB, new, 1.0)
    collector.record_error(refused, BackendRefusedError("busy"), False, 1.0)
    found = collector.evidence("s")
    assert found and found.target_sent == 2
    assert pool_evidence([found, replace(found, daemon="d2")]).target_sent == 4


def test_slow_stream_that_fails_under_the_next_order_counts_as_failed_alone(
    view: FleetView, collector: EvidenceCollector, old: EndpointTracker, new: EndpointTracker
) -> None:
    add_gaps(collector, old)
    attempt = collector.begin(JOB, new, 1.0)
    collector.record_event_gap(attempt, "m", SLOW_GAP_S, False, 1.0)
    again = RolloutOrder("s", "v2", 15.0, 9)
    view.apply_operations(Operations(2, Catalog(1, {}, {}, {}), {"s": again}, frozenset()), 1, 1)
    collector.record_failure(attempt, Failure(FailureKind.CUT), 2.0)
    assert of_target(collector) == VersionOutcomes(0, 1, 0)
