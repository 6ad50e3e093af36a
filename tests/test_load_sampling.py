"""Placement by samples of the endpoints' load, under the loads it answers; without a network."""

from random import Random

import pytest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.load_sampling import (
    FRESH_REPORT_S,
    MISSED_PROBE_S,
    PROBE_BURST,
    PROBES_PER_S,
    ProbeBudget,
    QueueDelay,
    draw_endpoints,
    service_load,
)
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import Exchange, PromptPart, ReportedLoad
from comfreyhatch.domain.instance import Address
from comfreyhatch.emulator.engine import EmulatedEngine, EngineSpeed

ENGINES = 30
ZONES = ("a", "b", "c", "d")
SPEED = EngineSpeed(slots=32, token_s_by_model={"small": 5e-6, "large": 5e-5}, step_s=0.004)
# Target time to the first event of a long prompt, in seconds.
AIM_S = 4.0


def tracker(number: int, zone: str = "a", slots: int = 32) -> EndpointTracker:
    record = EndpointRecord(
        f"e{number}", "engines", Address("", 0), zone, "v1", slots, False, 0.0, 0, 0
    )
    return EndpointTracker(record, 0.0)


def report(endpoint: EndpointTracker, running: int, now: float, pace: float = 1.0) -> None:
    endpoint.record_load(ReportedLoad(running, 0, endpoint.record.slots, pace), now, asked=True)


def exchange(number: int, prefix: str, tokens: int) -> Exchange:
    parts = (PromptPart(prefix, tokens // 2), PromptPart(str(number), tokens // 2))
    return Exchange(str(number), "POST", "/", "", "/", [], b"", prompt_tokens=tokens, parts=parts)


def first_event_times(sampled: bool, per_s: float, length_s: float = 20.0) -> list[float]:
    """Return the times to the first event of long prompts that many daemons place.

    Load pattern: 75 daemons with two requests a second each, few prompt prefixes in common, so
    that no daemon knows of what others have sent; every fifth prompt runs on the large model.

    Args:
        sampled: Whether daemons ask a few engines for their load; otherwise they know nothing.
        per_s: Requests a second of the whole fleet.
        length_s: Time during which requests arrive, in seconds.
    """
    rng = Random(3)
    engines = [EmulatedEngine(f"e{n}", ZONES[n % 4], SPEED) for n in range(ENGINES)]
    ends: list[tuple[float, EmulatedEngine]] = []
    took: list[float] = []
    delay_s = QueueDelay().expected_s
    now, number = 0.0, 0
    while now < length_s:
        now += rng.expovariate(per_s)
        number += 1
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            end[1].running -= 1
        trackers = [tracker(n, ZONES[n % 4]) for n in range(ENGINES)]
        model = "large" if rng.random() < 0.2 else "small"
        tokens = int(rng.lognormvariate(9.0, 0.7))
        work_s = tokens * SPEED.token_s_by_model[model]
        sent = exchange(number, f"p{int(rng.expovariate(0.1))}", tokens)
        candidates = trackers
        if sampled:
            candidates = draw_endpoints(trackers, None, work_s, rng.choice(ZONES), rng, now)
            for each in candidates:
                report(each, engines[trackers.index(each)].running, now)
        chosen = choose_endpoint(
            sent,
            candidates,
            "a",
            work_s,
            now,
            (lambda e, at=now: delay_s(e.running(at))) if sampled else None,
        )
        assert chosen is not None
        engine = engines[trackers.index(chosen)]
        first_at = engine.start_prefill(model, tokens, now)
        took.append(first_at - now)
        ends.append((first_at + engine.decode_s(300, first_at), engine))
    return sorted(took)


def test_first_events_are_in_time_though_each_daemon_sees_little_of_the_load() -> None:
    # Placed by prefix alone, engines with popular prefixes queue while others idle.
    blind, sampled = first_event_times(False, 150.0), first_event_times(True, 150.0)
    assert sampled[int(0.99 * len(sampled))] <= AIM_S
    assert blind[int(0.9 * len(blind))] > sampled[int(0.9 * len(sampled))]


def test_endpoint_that_misses_probes_is_passed_over_while_others_answer() -> None:
    # A crashed or partitioned endpoint looks idle: nothing runs there as far as anyone knows.
    endpoints = [tracker(n) for n in range(4)]
    endpoints[0].probe_missed_at = 10.0
    draws = [draw_endpoints(endpoints, None, 0.0, "a", Random(n), 10.5) for n in range(40)]
    assert all(endpoints[0] not in drawn for drawn in draws)
    later = 10.0 + MISSED_PROBE_S
    draws = [draw_endpoints(endpoints, None, 0.0, "a", Random(n), later) for n in range(40)]
    assert any(endpoints[0] in drawn for drawn in draws)


def test_all_endpoints_are_drawn_from_when_all_missed_their_probes() -> None:
    endpoints = [tracker(n) for n in range(3)]
    for each in endpoints:
        each.probe_missed_at = 10.0
    assert draw_endpoints(endpoints, None, 0.0, "a", Random(1), 10.1)


def test_own_zone_and_the_holder_of_the_prefix_are_among_those_compared() -> None:
    # Without an endpoint of the own zone, every prompt would cross zones.
    endpoints = [tracker(n, ZONES[n % 4]) for n in range(8)]
    for seed in range(20):
        drawn = draw_endpoints(endpoints, endpoints[5], 1.0, "c", Random(seed), 0.0)
        assert drawn[0] is endpoints[5]
        assert any(t.record.zone == "c" for t in drawn)
        assert len(set(map(id, drawn))) == len(drawn) == 3


def test_probes_of_a_burst_stay_within_the_rate() -> None:
    # A burst of requests would otherwise take the link and the processor of a small instance.
    budget = ProbeBudget(0.0)
    taken = sum(budget.take(3, now / 100) for now in range(1000))
    assert taken <= PROBE_BURST + 10 * PROBES_PER_S
    assert budget.take(2, 12.0) == 2


def test_delay_follows_what_answers_show() -> None:
    delay = QueueDelay()
    for _ in range(200):
        delay.add(10, 2.0)
    assert delay.expected_s(10) == pytest.approx(2.0, rel=0.05)
    for _ in range(200):
        delay.add(10, 0.1)
    assert delay.expected_s(10) < 0.2


def test_moment_of_noise_is_told_from_a_slow_endpoint() -> None:
    # One report of a busy neighbour would otherwise move all requests elsewhere.
    noisy, slow = tracker(1), tracker(2)
    for number in range(40):
        report(noisy, 1, number * 0.1, pace=5.0 if number == 20 else 1.0)
        report(slow, 1, number * 0.1, pace=1.7)
    assert noisy.pace == pytest.approx(1.0, abs=0.1)
    assert slow.pace == pytest.approx(1.7, abs=0.1)


def test_slower_endpoint_gets_a_request_only_while_the_other_has_more_to_do() -> None:
    fast, slow = tracker(1), tracker(2)
    sent = exchange(1, "p", 1000)

    def choose(running: int) -> EndpointTracker | None:
        for _ in range(30):
            report(fast, running, 1.0)
            report(slow, 2, 1.0, pace=1.7)
        return choose_endpoint(sent, [fast, slow], "a", 0.1, 1.0, lambda e: 0.05 * e.running(1.0))

    assert choose(2) is fast
    assert choose(12) is slow


def test_load_of_a_service_is_that_of_recent_reports_only() -> None:
    endpoints = [tracker(n) for n in range(3)]
    assert service_load(endpoints, 100.0) is None
    report(endpoints[0], 32, 10.0)
    report(endpoints[1], 16, 99.9)
    assert service_load(endpoints, 100.0) == 0.5


def test_report_that_was_not_asked_for_does_not_count_where_the_load_changes_fast() -> None:
    # All daemons that saw the same report of a plain service avoided that endpoint for 1.5 s, and
    # refused requests as its slots seemed taken.
    endpoint = tracker(1, slots=6)
    endpoint.record_load(ReportedLoad(6, 4, 6, 1.2), 1.0)
    assert endpoint.running(1.01) == 0 and endpoint.pace == 1.2
    endpoint.record_load(ReportedLoad(6, 4, 6, 1.2), 1.0, asked=True)
    assert endpoint.running(1.01) == 10


def test_report_of_a_former_start_is_forgotten() -> None:
    endpoint = tracker(1)
    report(endpoint, 20, 1.0, pace=3.0)
    endpoint.update_record(
        EndpointRecord("e1", "engines", Address("", 0), "a", "v1", 32, False, 0.0, 7, 1), 1.05
    )
    assert endpoint.pace == 1.0
    assert 1.05 - endpoint.reported_at > FRESH_REPORT_S
