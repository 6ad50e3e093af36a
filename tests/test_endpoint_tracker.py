"""Ejection, delay and cold start of one endpoint as a daemon sees it."""

from msgspec.structs import replace

from comfreyhatch.decisions.endpoint_tracker import (
    FIRST_SILENT_PAUSE_S,
    MAX_SILENT_PAUSE_S,
    WITHDRAWN_EJECTION_S,
    EndpointTracker,
)
from tests.exchange_values import record

NOW = 10.0
QUIET_S = 1.0


def test_unreachable_endpoint_is_ejected_at_once_and_longer_each_time() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    ejections_s = []
    for _ in range(6):
        tracker.record_connection_failure(NOW, unreachable=True)
        ejections_s.append(tracker.ejected_until - NOW)
    assert ejections_s == sorted(ejections_s)
    assert ejections_s[0] == 0.5 and ejections_s[-1] == 4.0


def test_ejection_time_is_bounded_after_thousands_of_failures() -> None:
    # Without a bound on the doublings, 0.5 * 2**n raised OverflowError after 2,000 failures
    # (replay of bench/experiments/overload.ini).
    tracker = EndpointTracker(record("e"), NOW)
    for _ in range(3000):
        tracker.record_connection_failure(NOW, unreachable=True)
    assert tracker.ejected_until - NOW == 4.0


def test_one_broken_connection_does_not_eject() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.record_connection_failure(NOW, unreachable=False)
    assert tracker.ejected_until <= NOW
    tracker.record_connection_failure(NOW, unreachable=False)
    assert tracker.ejected_until > NOW


def test_only_a_complete_answer_ends_the_ejection() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.record_connection_failure(NOW, unreachable=True)
    tracker.record_success()
    tracker.record_failed_answer()
    assert tracker.ejected_until > NOW
    tracker.record_complete_answer()
    assert tracker.ejected_until == 0.0


def test_restart_under_the_same_name_resets_ejection_and_delay() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.record_connection_failure(NOW, unreachable=True)
    tracker.record_delay(5.0, NOW)
    tracker.update_record(replace(tracker.record, born_ms=2, cold_left_s=3.0, revision=2), NOW)
    assert tracker.ejected_until == 0.0
    assert tracker.delay_s(NOW) == 0.0
    assert tracker.is_cold(NOW + 2.9) and not tracker.is_cold(NOW + 3.1)


def test_cold_start_without_a_restart_is_recorded() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.update_record(replace(tracker.record, cold_left_s=2.0, revision=2), NOW)
    assert tracker.is_cold(NOW + 1.9)


def test_endpoint_responds_until_nothing_has_come_for_too_long_while_requests_run() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    assert tracker.responds(0.5, NOW + 9.0)
    tracker.in_flight = 1
    tracker.busy_since = NOW + 9.0
    assert tracker.responds(0.5, NOW + 9.4)
    assert not tracker.responds(0.5, NOW + 9.5)
    tracker.last_received_at = NOW + 9.5
    assert tracker.responds(0.5, NOW + 9.9)


def test_endpoint_that_was_left_as_silent_is_silent_until_something_comes() -> None:
    # Without a request it counted as one that responds, and got the streams of others.
    tracker = EndpointTracker(record("e"), NOW)
    tracker.left_silent_at = NOW + 1.0
    assert not tracker.responds(0.5, NOW + 1.1)
    tracker.in_flight = 1
    tracker.busy_since = NOW + 1.1
    assert not tracker.responds(0.5, NOW + 1.2)
    tracker.last_received_at = NOW + 1.3
    assert tracker.responds(0.5, NOW + 1.4)


def test_ejected_endpoint_or_one_out_of_reach_does_not_respond() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.lost_at = NOW
    assert not tracker.responds(0.5, NOW)
    tracker.lost_at = None
    tracker.record_connection_failure(NOW, unreachable=True)
    assert not tracker.responds(0.5, NOW)
    assert tracker.responds(0.5, tracker.ejected_until)


def test_endpoint_that_is_reached_again_is_not_ejected_for_connections_that_failed_together() -> (
    None
):
    tracker = EndpointTracker(record("e"), NOW)
    for _ in range(6):
        tracker.record_connection_failure(NOW, unreachable=True)
    tracker.end_ejection()
    assert tracker.ejected_until <= NOW


def test_withdrawn_endpoint_that_is_reached_again_gets_no_requests() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.record_withdrawn(NOW)
    tracker.record_connection_failure(NOW, unreachable=True)
    tracker.end_ejection()
    assert tracker.ejected_until == NOW + WITHDRAWN_EJECTION_S


def test_withdrawn_endpoint_gets_no_requests_after_an_answer_or_a_failure_of_an_earlier_one() -> (
    None
):
    tracker = EndpointTracker(record("e"), NOW)
    tracker.record_withdrawn(NOW)
    tracker.record_connection_failure(NOW, unreachable=True)
    assert tracker.ejected_until == NOW + WITHDRAWN_EJECTION_S
    tracker.record_complete_answer()
    assert tracker.ejected_until == NOW + WITHDRAWN_EJECTION_S


def test_endpoint_that_was_left_as_silent_is_avoided_until_something_comes() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    tracker.note_left_silent(NOW, NOW + 0.1)
    assert tracker.is_left_silent and tracker.is_avoided(QUIET_S, NOW + 0.2)
    tracker.last_received_at = NOW + 0.3
    assert not tracker.is_left_silent and not tracker.is_avoided(QUIET_S, NOW + 0.3)


def test_silent_endpoint_gets_one_request_after_each_of_growing_pauses() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    now, pauses = NOW + 0.1, []
    tracker.note_left_silent(NOW, now)
    for _ in range(8):
        tracker.in_flight = 1
        assert tracker.is_avoided(QUIET_S, now + 100.0)
        tracker.in_flight = 0
        pause_s = next(n / 8 for n in range(1, 100) if not tracker.is_avoided(QUIET_S, now + n / 8))
        pauses.append(pause_s)
        tracker.note_left_silent(now + pause_s, now + pause_s)
        now += pause_s
    assert pauses[0] == FIRST_SILENT_PAUSE_S
    assert pauses == sorted(pauses) and pauses[-1] == MAX_SILENT_PAUSE_S


def test_requests_that_are_left_together_do_not_prolong_the_pause() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    for _ in range(5):
        tracker.note_left_silent(NOW, NOW + 0.1)
    assert not tracker.is_avoided(QUIET_S, NOW + 0.1 + FIRST_SILENT_PAUSE_S)


def test_endpoint_from_which_nothing_comes_while_requests_run_is_avoided() -> None:
    tracker = EndpointTracker(record("e"), NOW)
    assert not tracker.is_avoided(QUIET_S, NOW + 9.0)
    tracker.in_flight = 1
    tracker.busy_since = NOW + 9.0
    assert not tracker.is_avoided(QUIET_S, NOW + 9.0 + QUIET_S / 2)
    assert tracker.is_avoided(QUIET_S, NOW + 9.0 + QUIET_S)
    tracker.last_received_at = NOW + 9.0 + QUIET_S
    assert not tracker.is_avoided(QUIET_S, NOW + 9.0 + QUIET_S)
