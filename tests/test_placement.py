"""Endpoint selection under uneven and outdated loads."""

from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.domain.exchange import PromptPart, ReportedLoad
from tests.exchange_values import exchange, record

NOW = 10.0


def trackers(count: int = 3, **changes: object) -> list[EndpointTracker]:
    return [EndpointTracker(record(f"e{n}", slots=64, **changes), NOW) for n in range(count)]


def test_no_candidates_give_no_endpoint() -> None:
    assert choose_endpoint(exchange(), [], "a", 0.1, NOW) is None


def test_short_request_does_not_queue_behind_a_long_prompt() -> None:
    busy, free = trackers(2)
    busy.pending_s = 2.0
    free.in_flight = 5
    assert choose_endpoint(exchange(), [busy, free], "a", 0.1, NOW) is free


def test_measured_delay_of_an_endpoint_decays() -> None:
    slow, other = trackers(2)
    slow.record_delay(1.0, NOW)
    assert choose_endpoint(exchange(), [slow, other], "a", 0.1, NOW) is other
    assert slow.delay_s(NOW) == 1.0
    assert slow.delay_s(NOW + 2) == 0.25


def test_failing_endpoint_is_avoided() -> None:
    failing, other = trackers(2)
    for _ in range(20):
        failing.record_failed_answer()
    other.pending_s = 0.05
    assert choose_endpoint(exchange(), [failing, other], "a", 0.1, NOW) is other


def test_all_daemons_prefer_the_same_endpoint_for_a_shared_prompt() -> None:
    parts = (PromptPart("shared", 5000), PromptPart("own", 100))
    chosen = {
        choose_endpoint(exchange(f"r{n}", parts), trackers(5), "a", 0.1, NOW).record.endpoint_id
        for n in range(20)
    }
    assert len(chosen) == 1


def test_busy_affinity_endpoint_of_a_prompt_is_avoided() -> None:
    parts = (PromptPart("shared", 5000), PromptPart("own", 100))
    found = trackers(5)
    affinity = choose_endpoint(exchange("r", parts), found, "a", 0.1, NOW)
    affinity.pending_s = 1.0
    assert choose_endpoint(exchange("r", parts), found, "a", 0.1, NOW) is not affinity


def test_many_daemons_with_the_same_outdated_report_spread_their_requests() -> None:
    # Twelve daemons read the same load report and then place ten requests each.
    rng = Random(1)
    chosen: list[str] = []
    for daemon in range(12):
        found = trackers(6)
        for tracker in found:
            tracker.record_load(ReportedLoad(10, 0, 64), NOW)
        for _ in range(10):
            request = exchange(f"{daemon}-{rng.random()}")
            tracker = choose_endpoint(request, found, "a", 0.1, NOW)
            tracker.in_flight += 1
            tracker.pending_s += 0.1
            chosen.append(tracker.record.endpoint_id)
    counts = [chosen.count(f"e{n}") for n in range(6)]
    assert max(counts) <= 1.5 * min(counts)


def test_reported_load_of_other_daemons_counts_until_it_expires() -> None:
    (tracker,) = trackers(1)
    tracker.in_flight = 2
    tracker.record_load(ReportedLoad(10, 3, 64), NOW)
    assert tracker.running(NOW) == 13
    assert tracker.running(NOW + 5) == 2
