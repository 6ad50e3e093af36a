"""Selection of the endpoints whose paths are probed."""

from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.path_probes import (
    FIRST_PAUSE_S,
    MAX_LOST_PROBES,
    MAX_SILENT_PROBES,
    SILENCE_S,
    SILENT_PROBE_INTERVAL_S,
    PathProbes,
)
from tests.exchange_values import record


def trackers(count: int) -> list[EndpointTracker]:
    return [EndpointTracker(record(f"e{n}"), 0.0) for n in range(count)]


def test_service_is_silent_when_requests_run_and_no_endpoint_sends_anything() -> None:
    probes, found = PathProbes(Random(1)), trackers(3)
    assert not probes.silent("desk", found, SILENCE_S)
    found[0].in_flight = 1
    assert not probes.silent("desk", found, SILENCE_S - 0.1)
    assert probes.silent("desk", found, SILENCE_S)
    found[1].last_received_at = 0.1
    assert not probes.silent("desk", found, SILENCE_S)


def test_request_that_has_just_been_sent_makes_no_silence() -> None:
    probes, found = PathProbes(Random(1)), trackers(1)
    found[0].in_flight = 1
    found[0].busy_since = 10.0
    assert not probes.silent("desk", found, 10.0 + SILENCE_S / 2)
    assert probes.silent("desk", found, 10.1 + SILENCE_S)


def test_few_endpoints_stand_for_a_silent_service() -> None:
    probes, found = PathProbes(Random(1)), trackers(100)
    found[0].in_flight = 1
    assert len(probes.sample("desk", found, 1.0)) == MAX_SILENT_PROBES
    assert not probes.silent("desk", found, 1.0 + SILENT_PROBE_INTERVAL_S / 2)
    assert probes.silent("desk", found, 1.0 + SILENT_PROBE_INTERVAL_S)


def test_lost_endpoints_are_probed_with_growing_pauses_while_others_are_in_reach() -> None:
    probes, found = PathProbes(Random(1)), trackers(1)
    found[0].lost_at = 0.0
    steps = [n / 10 for n in range(200)]
    alone = [now for now in steps if probes.due(found, False, now)]
    assert alone[0] == FIRST_PAUSE_S
    assert len(alone) < 8
    probes.forget([])
    assert len([now for now in steps if probes.due(found, True, now + 20)]) > 30


def test_probes_of_many_lost_endpoints_are_spread() -> None:
    probes, found = PathProbes(Random(1)), trackers(100)
    for tracker in found:
        tracker.lost_at = 0.0
    probes.due(found, True, 0.0)
    assert len(probes.due(found, True, 1.0)) == MAX_LOST_PROBES


def test_endpoint_that_is_silent_longest_is_probed_first() -> None:
    probes, found = PathProbes(Random(1)), trackers(10)
    for number, tracker in enumerate(found[:5]):
        tracker.in_flight = 1
        tracker.last_received_at = tracker.busy_since = 0.1 * (5 - number)
    assert probes.sample("desk", found, 5.0)[0] is found[4]
