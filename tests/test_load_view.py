"""Placement and stalls by the load that endpoints report on their health paths."""

import asyncio

import pytest

from comfreyhatch.decisions.load_sampling import FRESH_REPORT_S
from tests.platform_harness import PlatformHarness, config
from tests.platform_worker import HEALTH_PATH, StandInWorker

IDLE = "0,0,4,100"
BUSY = "3,5,4,100"
# The memory of the endpoint is full, not its slots.
WAITING = "2,1,4,100"
# Beyond the limit at which a stream leaves a silent endpoint (0.65 of the longest gap in time).
PAUSE_S = 0.6
# Endpoints that are added, so that there are more than the two draws of a request ask.
FURTHER = 10


@pytest.fixture
async def sampled(harness: PlatformHarness) -> PlatformHarness:
    """Return a fleet whose engines report their pace; the daemon has heard of it."""
    found = config(2)
    services = [{**service, "health_path": HEALTH_PATH} for service in found["services"]]
    harness.store.put("op", "config", {**found, "services": services})
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    for worker in engines(harness):
        worker.load_report = IDLE
        worker.confidence_by_model = {"small": 90}
    while not harness.daemon._scheduler.load_view.covers("engines"):
        assert (await harness.send_draft()).status == 200
    # From here on, the next placement asks for the load.
    await asyncio.sleep(2 * FRESH_REPORT_S)
    return harness


def engines(harness: PlatformHarness) -> list[StandInWorker]:
    return [harness.worker_by_id[f"engine-{number}"] for number in (1, 2)]


@pytest.mark.parametrize("busy", [0, 1])
async def test_requests_go_to_the_idle_endpoint_whoever_loads_the_other(
    sampled: PlatformHarness, busy: int
) -> None:
    # Before, a daemon knew only of its own requests and sent half of them to the busy endpoint.
    engines(sampled)[busy].load_report = BUSY
    before = len(engines(sampled)[busy].received)
    for number in range(6):
        assert (await sampled.send_draft(prompt_prefix=f"{number:x}a:900,1:100")).status == 200
    assert len(engines(sampled)[busy].received) == before


async def test_request_waits_at_the_daemon_while_others_wait_at_all_endpoints(
    sampled: PlatformHarness,
) -> None:
    # At an endpoint a request waits behind less urgent ones, and beyond its time.
    for worker in engines(sampled):
        worker.load_report = WAITING
    before = sum(len(worker.received) for worker in engines(sampled))
    request = asyncio.create_task(sampled.send_draft())
    await sampled.wait_until(lambda: request.done() or sampled.daemon._scheduler.queued)
    assert sum(len(worker.received) for worker in engines(sampled)) == before
    for worker in engines(sampled):
        worker.load_report = IDLE
    assert (await request).status in (200, 503)


async def test_endpoint_that_misses_its_probe_gets_no_request(sampled: PlatformHarness) -> None:
    silent, other = engines(sampled)
    silent.awake.clear()
    before = len(silent.received)
    replies = [await sampled.send_draft() for _ in range(4)]
    assert [reply.status for reply in replies] == [200] * 4
    assert len(silent.received) == before
    silent.awake.set()


async def test_requests_do_not_wait_for_probes_while_no_health_path_answers(
    sampled: PlatformHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each request waited for two draws of probes, 0.1 to 0.4 s, though the endpoints answered it.
    monkeypatch.setattr("comfreyhatch.exchange.load.load_view.UNANSWERED_PAUSE_S", 60.0)
    added = [f"engine-{number}" for number in range(3, 3 + FURTHER)]
    found = engines(sampled) + [await sampled.add_worker(name, "engines") for name in added]
    trackers = sampled.daemon.view.trackers_by_service
    await sampled.wait_until(lambda: len(trackers["engines"]) == len(found))
    for worker in found:
        worker.answers_probes = False
    assert (await sampled.send_draft()).status == 200
    before = sum(worker.probes for worker in found)
    # More endpoints than a request asks, so that some have missed none.
    assert 0 < before < len(found)
    replies = [await sampled.send_draft() for _ in range(6)]
    assert [reply.status for reply in replies] == [200] * 6
    assert sum(worker.probes for worker in found) == before


async def test_service_is_sampled_again_after_its_health_paths_did_not_answer(
    sampled: PlatformHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("comfreyhatch.exchange.load.load_view.UNANSWERED_PAUSE_S", 0.2)
    for worker in engines(sampled):
        worker.answers_probes = False
    assert (await sampled.send_draft()).status == 200
    for worker in engines(sampled):
        worker.answers_probes = True
        worker.probes = 0
    while not any(worker.probes for worker in engines(sampled)):
        assert (await sampled.send_draft()).status == 200


async def test_stream_stays_at_a_busy_endpoint_that_answers_its_probe(
    sampled: PlatformHarness,
) -> None:
    # Each daemon of a large fleet has one stream at an engine: a pause of that stream looked like
    # a silent engine, and the prompt was read again elsewhere.
    for worker in engines(sampled):
        worker.pause_s = lambda number: PAUSE_S if number == 3 else 0.0
    before = sum(len(worker.received) for worker in engines(sampled))
    reply = await sampled.send_draft()
    assert reply.status == 200 and reply.body.count(b"id:") == 6
    assert sum(len(worker.received) for worker in engines(sampled)) == before + 1


async def test_stream_leaves_an_endpoint_that_answers_nothing(sampled: PlatformHarness) -> None:
    first, second = engines(sampled)
    first.pause_s = second.pause_s = lambda number: 0.05
    second.load_report = BUSY
    request = asyncio.create_task(sampled.send_draft())
    before = len(first.received)
    await sampled.wait_until(lambda: len(first.received) > before)
    await asyncio.sleep(0.1)
    first.awake.clear()
    reply = await request
    assert reply.status == 200 and reply.body.count(b"id:") == 6
    assert len(second.received) >= 1
    first.awake.set()


async def test_service_without_a_pace_is_not_probed(harness: PlatformHarness) -> None:
    # Its health path waits for a slot like any request, so a probe would add to its load.
    found = config(2)
    services = [{**service, "health_path": HEALTH_PATH} for service in found["services"]]
    harness.store.put("op", "config", {**found, "services": services})
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    for worker in engines(harness):
        worker.load_report = "0,0,4"
    for _ in range(4):
        assert (await harness.send_draft()).status == 200
    assert sum(worker.probes for worker in engines(harness)) == 0
