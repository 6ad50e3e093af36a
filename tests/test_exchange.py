"""The path of a request on the users' platform, against stand-ins of store and workers."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.errors import HttpError
from tests.platform_harness import KEY, PlatformHarness, config, running_harness
from tests.platform_worker import EVENTS

WHOLE = b"".join(b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS + 1))


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        yield running


def workers(harness: PlatformHarness, service: str) -> list:
    return [harness.worker_by_id[f"{service}-{number}"] for number in (1, 2)]


def sent_to(harness: PlatformHarness, service: str) -> list:
    return [request for worker in workers(harness, service) for request in worker.received]


async def test_answer_is_passed_back_as_it_is(harness: PlatformHarness) -> None:
    reply = await harness.ask("/pay/two?x=1")
    (request,) = sent_to(harness, "desk")
    assert reply.status == 200
    assert reply.body.startswith(b"from desk-")
    assert reply.header_by_name["server-stamp"] == "stamp-of-" + reply.body.decode()[5:]
    assert (request.method, request.target, request.body) == ("POST", "/pay/two?x=1", b"body")


async def test_workspace_goes_to_the_worker_and_the_key_does_not(harness: PlatformHarness) -> None:
    await harness.ask("/read/x", tenant="forged", hold="forged", kv_from="forged")
    (request,) = sent_to(harness, "desk")
    names = {name for name, _ in request.headers}
    assert request.header("tenant") == "club"
    assert not names & {b"authorization", b"hold", b"kv-from"}
    assert int(request.header("deadline-ms")) <= 1000


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/", {}, 404),
        ("/read/x", {"authorization": "Bearer no-key"}, 401),
        ("/read/x", {"authorization": ""}, 401),
    ],
)
async def test_what_the_configuration_does_not_allow(
    harness: PlatformHarness, path: str, headers: dict[str, str], status: int
) -> None:
    assert (await harness.ask(path, **headers)).status == status
    assert sent_to(harness, "desk") == []


async def test_no_configuration_is_no_ground_for_404() -> None:
    async with running_harness(daemon=False) as harness:
        harness.store.remove("op", "config")
        daemon = await harness.start_daemon(harness.store.address)
        assert not daemon.ready()
        reply = await harness.ask("/none/")
        assert reply.status == 503
        assert float(reply.header_by_name["retry-after"]) > 0


async def test_new_configuration_and_revoked_key_are_in_force_at_once(
    harness: PlatformHarness,
) -> None:
    found = config(2)
    found["tenants"] = [{"name": "club", "api_keys": ["other"], "priority": 1}]
    harness.store.put("op", "config", found)
    await harness.until(lambda: harness.daemon.view.catalog.version == 2)
    assert (await harness.ask("/read/x")).status == 401
    assert (await harness.ask("/read/x", authorization="Bearer other")).status == 200


async def test_idempotent_request_is_repeated_after_a_failure(harness: PlatformHarness) -> None:
    first, second = workers(harness, "desk")
    first.status = 500
    for _ in range(6):
        assert (await harness.ask("/read/x")).status == 200
    assert len(second.received) == 6


async def test_non_idempotent_request_runs_once_and_its_failure_is_passed_on(
    harness: PlatformHarness,
) -> None:
    for worker in workers(harness, "desk"):
        worker.status = 500
    reply = await harness.ask("/pay/x")
    assert reply.status == 500
    assert reply.header_by_name["server-stamp"].startswith("stamp-of-desk-")
    assert len(sent_to(harness, "desk")) == 1


@pytest.mark.parametrize(("service", "path"), [("desk", "/pay/x"), ("engines", "/draft/x")])
async def test_unreachable_workers_cost_no_further_arrivals(service: str, path: str) -> None:
    # From trackline-th scale-2: a zone that was cut off refused what its own workers could run.
    async with running_harness(bounds=Bounds(retry_ratio=0.0, retry_slack=0.0)) as harness:
        for number in range(6):
            harness.add_lost_worker(f"lost-{number}", service)
        trackers_by_service = harness.daemon.view.trackers_by_service
        await harness.until(lambda: len(trackers_by_service[service]) == 8)
        for _ in range(4):
            assert (await harness.ask(path, model="small", token_counts="10,6")).status == 200


async def test_refused_request_goes_to_another_worker(harness: PlatformHarness) -> None:
    first, _ = workers(harness, "desk")
    first.refuses = True
    for _ in range(4):
        assert (await harness.ask("/pay/x")).status == 200


async def test_request_refused_everywhere_is_told_as_not_run_with_a_time(
    harness: PlatformHarness,
) -> None:
    for worker in workers(harness, "desk"):
        worker.refuses = True
    reply = await harness.ask("/pay/x")
    assert reply.status == 503
    assert float(reply.header_by_name["retry-after"]) > 0


async def test_status_that_promises_too_much_is_not_passed_on(harness: PlatformHarness) -> None:
    # A 503 without the worker's word that nothing ran would tell the caller that nothing ran.
    for worker in workers(harness, "desk"):
        worker.status = 503
    reply = await harness.ask("/pay/x")
    assert reply.status == 502
    assert "server-stamp" not in reply.header_by_name


@pytest.mark.parametrize(
    "headers",
    [
        [(b"attempt-id", b"of-another"), (b"server-stamp", b"s")],
        [],
        [(b"server-stamp", b"s"), (b"content-encoding", b"gzip")],
    ],
)
async def test_answer_that_is_not_the_workers_own_is_not_a_success(
    harness: PlatformHarness, headers: list[tuple[bytes, bytes]]
) -> None:
    for worker in workers(harness, "desk"):
        worker.change = lambda response: replace(response, headers=headers)
    assert (await harness.ask("/pay/x")).status == 502


async def test_worker_at_a_reused_address_does_not_run_the_request(
    harness: PlatformHarness,
) -> None:
    first, second = workers(harness, "desk")
    first.worker_id = "another"
    for _ in range(4):
        assert (await harness.ask("/pay/x")).status == 200
    assert len(first.received) <= 1
    assert len(second.received) == 4


async def test_draining_worker_gets_nothing_more(harness: PlatformHarness) -> None:
    first, second = workers(harness, "desk")
    harness.store.put("servers", "desk-1", {**first.record("desk", "a"), "state": "draining"})
    await harness.until(lambda: harness.daemon.view.tracker_by_id["desk-1"].record.draining)
    for _ in range(4):
        await harness.ask("/pay/x")
    assert first.received == []


async def test_zone_taken_out_gets_nothing_more(harness: PlatformHarness) -> None:
    harness.store.put("op", "evacuate/a", {})
    await harness.until(lambda: harness.daemon.view.zone_out("a"))
    reply = await harness.ask("/pay/x")
    assert reply.status == 503
    assert sent_to(harness, "desk") == []
    harness.store.remove("op", "evacuate/a")
    await harness.until(lambda: not harness.daemon.view.zone_out("a"))
    assert (await harness.ask("/pay/x")).status == 200


async def test_stream_is_relayed_from_the_smallest_model(harness: PlatformHarness) -> None:
    reply = await harness.draft()
    assert reply.body == WHOLE
    (request,) = sent_to(harness, "engine")
    assert request.header("model") == "small"


async def test_doubtful_answer_is_dropped_for_the_largest_model(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.confidence_by_model = {"small": 5, "large": 99}
    reply = await harness.draft()
    assert reply.body == WHOLE.replace(b"small", b"large")
    assert [r.header("model") for r in sent_to(harness, "engine")] == ["small", "large"]


async def test_stream_that_breaks_inside_an_event_goes_on_elsewhere(
    harness: PlatformHarness,
) -> None:
    first, second = workers(harness, "engine")
    first.break_after = 2
    second.break_after = 4
    bodies = [(await harness.draft()).body for _ in range(4)]
    assert bodies == [WHOLE] * 4
    resumed = {r.header("last-event-id") for r in sent_to(harness, "engine")}
    assert resumed <= {"", "2", "4"} and len(resumed) > 1


async def test_engine_is_told_how_urgent_a_request_is(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.break_after = 2
    with pytest.raises(HttpError):
        await harness.draft(request_priority="0")
    first, second, *_ = sorted(sent_to(harness, "engine"), key=lambda r: r.header("last-event-id"))
    assert first.header("last-event-id") == "" and second.header("last-event-id") == "2"
    assert int(second.header("request-priority")) < int(first.header("request-priority"))
    assert first.header("request-priority") != "0"


async def test_stream_that_cannot_go_on_does_not_look_whole(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.break_after = 1
    with pytest.raises(HttpError):
        await harness.draft()
    # As many runs as the route allows, although there are fewer workers.
    assert len(sent_to(harness, "engine")) == 3


async def test_run_on_a_worker_that_has_ended_does_not_count_as_an_attempt() -> None:
    # Found by hunting: with two models tried, the second crash of a moment cut the stream.
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1))
        await harness.until(lambda: harness.daemon.view.catalog.version == 2)
        first, second = workers(harness, "engine")
        for worker in (first, second):
            worker.pause_s = lambda number: 0.2 if number == 3 else 0.0
        task = asyncio.create_task(harness.draft())
        await harness.until(lambda: sent_to(harness, "engine"))
        await asyncio.sleep(0.1)
        ended, other = (first, second) if first.received else (second, first)
        await ended.stop()
        assert (await task).body == WHOLE
        assert [r.header("last-event-id") for r in other.received] == ["2"]


async def test_pause_is_waited_for_when_no_attempt_is_left() -> None:
    # Found by hunting: a stream on its last attempt was cut for a pause of its worker.
    async with running_harness() as harness:
        harness.store.put("op", "config", config(2, max_attempts=1))
        await harness.until(lambda: harness.daemon.view.catalog.version == 2)
        for worker in workers(harness, "engine"):
            worker.pause_s = lambda number: 1.2 if number == 3 else 0.0
        assert (await harness.draft()).body == WHOLE
        assert len(sent_to(harness, "engine")) == 1


async def test_silent_worker_is_left_for_another(harness: PlatformHarness) -> None:
    first, second = workers(harness, "engine")
    for worker in (first, second):
        worker.pause_s = lambda number: 1.5 if number == 3 else 0.0
    task = asyncio.create_task(harness.draft())
    await harness.until(lambda: sent_to(harness, "engine"))
    other = second if first.received else first
    other.pause_s = lambda number: 0.0
    assert (await task).body == WHOLE
    assert len(other.received) == 1
    assert other.received[0].header("last-event-id") == "2"


async def test_work_stops_soon_after_its_caller_has_left(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.3
    task = asyncio.create_task(harness.draft())
    await harness.until(lambda: sent_to(harness, "engine"))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await harness.until(lambda: sum(w.stopped for w in workers(harness, "engine")) == 1)
    assert sum(worker.finished for worker in workers(harness, "engine")) == 0


async def test_work_without_an_answer_stops_when_its_caller_has_left(
    harness: PlatformHarness,
) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    task = asyncio.create_task(harness.ask("/pay/x"))
    await harness.until(lambda: sent_to(harness, "desk"))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await harness.until(lambda: sum(w.stopped for w in workers(harness, "desk")) == 1)


async def test_request_past_its_routes_time_gets_a_final_answer(harness: PlatformHarness) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    started = asyncio.get_running_loop().time()
    reply = await harness.ask("/pay/x", deadline_ms="9000")
    assert reply.status == 504 or reply.status == 502
    assert asyncio.get_running_loop().time() - started < 1.4


async def test_full_service_refuses_at_once_what_cannot_be_served(harness: PlatformHarness) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    busy = [asyncio.create_task(harness.ask("/pay/x")) for _ in range(8)]
    await harness.until(lambda: len(sent_to(harness, "desk")) == 8)
    started = asyncio.get_running_loop().time()
    reply = await harness.ask("/pay/x")
    assert reply.status == 503
    assert asyncio.get_running_loop().time() - started < 0.4
    hold.set()
    assert {r.status for r in await asyncio.gather(*busy)} == {200}


async def test_stop_ends_no_request(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.3
    tasks = [asyncio.create_task(harness.draft()) for _ in range(3)]
    await harness.until(lambda: len(sent_to(harness, "engine")) == 3)
    assert harness.daemon
    stop = asyncio.create_task(harness.daemon.shut_down())
    await asyncio.sleep(0.05)
    assert not harness.daemon.ready()
    late = await harness.ask("/read/x")
    assert late.status == 200
    assert late.header_by_name["connection"] == "close"
    assert {reply.body for reply in await asyncio.gather(*tasks)} == {WHOLE}
    await stop


async def test_rollout_is_carried_out_and_published(harness: PlatformHarness) -> None:
    new = await harness.add_worker("engine-3", "engines", "v2")
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 4})
    await harness.until(lambda: ("status", "rollout/engines") in harness.store.row_by_key)
    assert harness.store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}
    await _until_state(harness, "completed")
    await harness.draft()
    assert len(new.received) >= 1


async def test_bad_version_is_rolled_back_and_gets_nothing_more(harness: PlatformHarness) -> None:
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.status = 500
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.until(lambda: harness.daemon.view.trial("engines"))
    sessions = 0
    while harness.store.value("status", "rollout/engines")["state"] == "running" and sessions < 600:
        sessions += 1
        await harness.draft(session=f"s{sessions}")
    assert harness.store.value("status", "rollout/engines")["state"] == "rolled_back"
    before = len(new.received)
    for number in range(50):
        await harness.draft(session=f"t{number}")
    assert len(new.received) == before


async def _until_state(harness: PlatformHarness, state: str) -> None:
    async with asyncio.timeout(15):
        while harness.store.value("status", "rollout/engines")["state"] != state:
            await asyncio.sleep(0.05)


async def test_requests_are_served_while_the_store_is_away(harness: PlatformHarness) -> None:
    harness.store.refusing = True
    await asyncio.sleep(0.5)
    assert (await harness.ask("/read/x")).status == 200
    assert harness.daemon.ready()


async def test_forgotten_history_is_read_anew(harness: PlatformHarness) -> None:
    harness.store.refusing = True
    await asyncio.sleep(0.3)
    harness.store.put("op", "config", config(3))
    harness.store.forget_history()
    harness.store.refusing = False
    await harness.until(lambda: harness.daemon.view.catalog.version == 3)


async def test_unreadable_rows_leave_the_others_in_force(harness: PlatformHarness) -> None:
    harness.store.put("servers", "odd-1", b"\xff no json")
    harness.store.put("servers", "odd-2", {"service": "desk", "address": 7})
    harness.store.put("op", "config", {"version": "nine"})
    harness.store.put("op", "rollout/engines", {"service": 1})
    await harness.add_worker("desk-3", "desk")
    await harness.until(lambda: "desk-3" in harness.daemon.view.tracker_by_id)
    assert "odd-2" not in harness.daemon.view.tracker_by_id
    assert (await harness.ask("/read/x")).status == 200


async def test_readiness_is_told_to_the_balancer(harness: PlatformHarness) -> None:
    client = HttpClient()
    reply = await client.request(harness.deployment.readiness, "GET", "/ready")
    assert reply.status == 200
    client.close()


async def test_metrics_tell_requests_and_beliefs(harness: PlatformHarness) -> None:
    await harness.ask("/read/x")
    await harness.ask("/none/")
    for worker in workers(harness, "engine"):
        worker.confidence_by_model = {"small": 10, "large": 90}
    await harness.draft()
    for worker in workers(harness, "desk"):
        worker.status = 500
    await harness.ask("/pay/x")
    client = HttpClient()
    text = (await client.request(harness.metrics, "GET", "/metrics")).body.decode()
    client.close()
    assert 'comfreyhatch_exchanges_total{code="0",kind="idempotent"} 1.0' in text
    assert 'comfreyhatch_exchanges_total{code="1004",kind="none"} 1.0' in text
    assert 'comfreyhatch_attempts_total{outcome="answered"} 3.0' in text
    assert 'comfreyhatch_attempts_total{outcome="failed"} 1.0' in text
    assert 'comfreyhatch_model_answers_total{decision="dropped"} 1.0' in text
    assert "comfreyhatch_endpoints 4.0" in text
    assert "comfreyhatch_configuration 1.0" in text


async def test_caller_key_may_not_be_sent_on_as_a_header_of_the_connection(
    harness: PlatformHarness,
) -> None:
    reply = await harness.ask("/read/x", connection="x-inner", x_inner="1", x_outer="2")
    (request,) = sent_to(harness, "desk")
    assert reply.status == 200
    assert request.header("x-outer") == "2"
    assert request.header("x-inner") == ""
    assert KEY not in str(request.headers)


async def test_response_without_a_stream_is_not_shared(harness: PlatformHarness) -> None:
    replies = await asyncio.gather(*(harness.ask("/read/x") for _ in range(8)))
    assert {reply.header_by_name["attempt-id"] for reply in replies} == {
        f"{number:016x}" for number in range(1, 9)
    }


async def test_version_that_answers_rightly_but_slowly_is_rolled_back(
    harness: PlatformHarness,
) -> None:
    # Found by a day of our own (deploy/days/slow-under-rollout.toml).
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.005
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.pause_s = lambda number: 0.1
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.until(lambda: harness.daemon.view.trial("engines"))
    number = 0
    while harness.store.value("status", "rollout/engines")["state"] == "running" and number < 600:
        drafts = (harness.draft(session=f"s{number + n}") for n in range(3))
        await asyncio.gather(*drafts)
        number += 3
    assert harness.store.value("status", "rollout/engines")["state"] == "rolled_back"


async def test_slow_version_is_rolled_back_before_its_streams_end(harness: PlatformHarness) -> None:
    # Found by hunting: sundar-buoy, deploy/days/slow-under-rollout.toml, seed 335123080264.
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.005
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.events = 400
    new.pause_s = lambda number: 0.1 * (number > 1)
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.until(lambda: harness.daemon.view.trial("engines"))
    drafts: set[asyncio.Task[object]] = set()
    for number in range(300):
        drafts.add(asyncio.create_task(harness.draft(session=f"s{number}")))
        await asyncio.sleep(0.01)
    await _until_state(harness, "rolled_back")
    assert new.finished == 0
    for draft in drafts:
        draft.cancel()
    await asyncio.gather(*drafts, return_exceptions=True)
