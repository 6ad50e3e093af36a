"""Health and cold start of one endpoint as a daemon sees it."""

from msgspec.structs import replace

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from tests.exchange_values import record

NOW = 10.0


def test_unreachable_endpoint_is_ejected_at_once_and_longer_each_time() -> None:
    state = EndpointTracker(record("e"), NOW)
    pauses = []
    for _ in range(6):
        state.record_connection_failure(NOW, unreachable=True)
        pauses.append(state.ejected_until - NOW)
    assert pauses == sorted(pauses)
    assert pauses[0] == 0.5 and pauses[-1] == 4.0


def test_endpoint_that_is_lost_for_long_stays_ejected() -> None:
    # Found by a replay (bench/experiments/overload.ini): the pause overflowed after 2,000 failures.
    state = EndpointTracker(record("e"), NOW)
    for _ in range(3000):
        state.record_connection_failure(NOW, unreachable=True)
    assert state.ejected_until - NOW == 4.0


def test_one_lost_answer_does_not_eject() -> None:
    state = EndpointTracker(record("e"), NOW)
    state.record_connection_failure(NOW, unreachable=False)
    assert state.ejected_until <= NOW
    state.record_connection_failure(NOW, unreachable=False)
    assert state.ejected_until > NOW


def test_success_ends_the_ejection() -> None:
    state = EndpointTracker(record("e"), NOW)
    state.record_connection_failure(NOW, unreachable=True)
    state.record_success()
    assert state.ejected_until == 0.0


def test_restart_under_the_same_name_forgets_what_was_known() -> None:
    state = EndpointTracker(record("e"), NOW)
    state.record_connection_failure(NOW, unreachable=True)
    state.record_delay(5.0, NOW)
    state.update_record(replace(state.record, born_ms=2, cold_left_s=3.0, revision=2), NOW)
    assert state.ejected_until == 0.0
    assert state.delay_s(NOW) == 0.0
    assert state.is_cold(NOW + 2.9) and not state.is_cold(NOW + 3.1)


def test_cold_report_without_a_restart_counts() -> None:
    state = EndpointTracker(record("e"), NOW)
    state.update_record(replace(state.record, cold_left_s=2.0, revision=2), NOW)
    assert state.is_cold(NOW + 1.9)
