"""The request path from caller to worker, against stand-ins of the platform's store and workers."""

import asyncio
from itertools import count

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.deployment import Bounds
from tests.platform_harness import (
    API_KEY,
    PlatformHarness,
    config,
    running_harness,
    sent_to,
    workers,
)
from tests.platform_worker import EVENTS_PER_STREAM

# Fewest answers by which a version is known to be no worse than another that never fails.
MIN_ANSWERS_TO_COMPLETE = 20
COMPLETE_BODY = b"".join(b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1))


async def test_answer_is_returned_unchanged(harness: PlatformHarness) -> None:
    reply = await harness.send("/pay/two?x=1")
    (request,) = sent_to(harness, "desk")
    assert reply.status == 200
    assert reply.body.startswith(b"from desk-")
    assert reply.header_by_name["server-stamp"] == "stamp-of-" + reply.body.decode()[5:]
    assert (request.method, request.target, request.body) == ("POST", "/pay/two?x=1", b"body")


async def test_workspace_is_forwarded_but_the_api_key_is_not(harness: PlatformHarness) -> None:
    await harness.send("/read/x", tenant="forged", hold="forged", kv_from="forged")
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
async def test_requests_outside_the_configuration_are_rejected(
    harness: PlatformHarness, path: str, headers: dict[str, str], status: int
) -> None:
    assert (await harness.send(path, **headers)).status == status
    assert sent_to(harness, "desk") == []


async def test_without_a_configuration_the_status_is_503_not_404() -> None:
    async with running_harness(daemon=False) as harness:
        harness.store.remove("op", "config")
        daemon = await harness.start_daemon(harness.store.address)
        assert not daemon.ready()
        reply = await harness.send("/none/")
        assert reply.status == 503
        assert float(reply.header_by_name["retry-after"]) > 0


async def test_new_configuration_and_key_revocation_take_effect(
    harness: PlatformHarness,
) -> None:
    found = config(2)
    found["tenants"] = [{"name": "club", "api_keys": ["other"], "priority": 1}]
    harness.store.put("op", "config", found)
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    assert (await harness.send("/read/x")).status == 401
    assert (await harness.send("/read/x", authorization="Bearer other")).status == 200


async def test_idempotent_request_is_retried_after_a_failure(harness: PlatformHarness) -> None:
    first, second = workers(harness, "desk")
    first.status = 500
    for _ in range(6):
        assert (await harness.send("/read/x")).status == 200
    assert len(second.received) == 6


async def test_non_idempotent_request_is_not_retried_after_a_failure(
    harness: PlatformHarness,
) -> None:
    for worker in workers(harness, "desk"):
        worker.status = 500
    reply = await harness.send("/pay/x")
    assert reply.status == 500
    assert reply.header_by_name["server-stamp"].startswith("stamp-of-desk-")
    assert len(sent_to(harness, "desk")) == 1


@pytest.mark.parametrize(("service", "path"), [("desk", "/pay/x"), ("engines", "/draft/x")])
async def test_retry_after_a_failed_connection_needs_no_budget(service: str, path: str) -> None:
    # A daemon in a zone that was cut off spent its budget on connections that failed, and then
    # refused requests that workers of its own zone could serve (site trackline-th, scenario
    # scale-2).
    async with running_harness(bounds=Bounds(retry_ratio=0.0, retry_slack=0.0)) as harness:
        for number in range(6):
            harness.add_unreachable_worker(f"unreachable-{number}", service)
        trackers_by_service = harness.daemon.view.trackers_by_service
        await harness.wait_until(lambda: len(trackers_by_service[service]) == 8)
        for _ in range(4):
            assert (await harness.send(path, model="small", token_counts="10,6")).status == 200


async def test_refused_request_is_retried_on_another_worker(harness: PlatformHarness) -> None:
    first, _ = workers(harness, "desk")
    first.refuses = True
    for _ in range(4):
        assert (await harness.send("/pay/x")).status == 200


async def test_request_refused_by_all_workers_gets_503_with_retry_after(
    harness: PlatformHarness,
) -> None:
    for worker in workers(harness, "desk"):
        worker.refuses = True
    reply = await harness.send("/pay/x")
    assert reply.status == 503
    assert float(reply.header_by_name["retry-after"]) > 0


async def test_503_without_a_not_executed_header_becomes_502(harness: PlatformHarness) -> None:
    # Callers take a 503 to mean that nothing ran. Only the header not-executed confirms that.
    for worker in workers(harness, "desk"):
        worker.status = 503
    reply = await harness.send("/pay/x")
    assert reply.status == 502
    assert "server-stamp" not in reply.header_by_name


async def test_answer_of_another_request_without_an_own_one_is_never_told_as_not_run(
    harness: PlatformHarness,
) -> None:
    headers = [(b"attempt-id", b"of-another"), (b"server-stamp", b"s")]
    for worker in workers(harness, "desk"):
        worker.transform = lambda response: replace(response, headers=headers)
    # The own answer is awaited until the deadline, which ends the attempt or the request first.
    assert (await harness.send("/pay/x")).status in (502, 504)
    assert len(sent_to(harness, "desk")) == 1


@pytest.mark.parametrize(
    "headers", [[], [(b"server-stamp", b"s"), (b"content-encoding", b"gzip")]], ids=["none", "gzip"]
)
async def test_answer_without_a_valid_receipt_becomes_502(
    harness: PlatformHarness, headers: list[tuple[bytes, bytes]]
) -> None:
    for worker in workers(harness, "desk"):
        worker.transform = lambda response: replace(response, headers=headers)
    assert (await harness.send("/pay/x")).status == 502


async def test_misdirected_request_is_retried_on_another_worker(harness: PlatformHarness) -> None:
    first, second = workers(harness, "desk")
    first.worker_id = "another"
    for _ in range(4):
        assert (await harness.send("/pay/x")).status == 200
    assert len(first.received) <= 1
    assert len(second.received) == 4


async def test_draining_worker_gets_no_requests(harness: PlatformHarness) -> None:
    first, second = workers(harness, "desk")
    harness.store.put("servers", "desk-1", {**first.record("desk", "a"), "state": "draining"})
    await harness.wait_until(lambda: harness.daemon.view.tracker_by_id["desk-1"].record.draining)
    for _ in range(4):
        await harness.send("/pay/x")
    assert first.received == []


async def test_zone_out_of_service_gets_no_requests(harness: PlatformHarness) -> None:
    harness.store.put("op", "evacuate/a", {})
    await harness.wait_until(lambda: harness.daemon.view.zone_out("a"))
    reply = await harness.send("/pay/x")
    assert reply.status == 503
    assert sent_to(harness, "desk") == []
    harness.store.remove("op", "evacuate/a")
    await harness.wait_until(lambda: not harness.daemon.view.zone_out("a"))
    assert (await harness.send("/pay/x")).status == 200


async def test_request_without_an_answer_is_cancelled_when_its_caller_disconnects(
    harness: PlatformHarness,
) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    task = asyncio.create_task(harness.send("/pay/x"))
    await harness.wait_until(lambda: sent_to(harness, "desk"))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await harness.wait_until(lambda: sum(w.cancelled for w in workers(harness, "desk")) == 1)


async def test_request_past_its_route_timeout_gets_an_error(harness: PlatformHarness) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    started = asyncio.get_running_loop().time()
    reply = await harness.send("/pay/x", deadline_ms="9000")
    assert reply.status == 504 or reply.status == 502
    assert asyncio.get_running_loop().time() - started < 1.4


async def test_saturated_service_refuses_requests_at_once(harness: PlatformHarness) -> None:
    hold = asyncio.Event()
    for worker in workers(harness, "desk"):
        worker.hold = hold
    busy = [asyncio.create_task(harness.send("/pay/x")) for _ in range(8)]
    await harness.wait_until(lambda: len(sent_to(harness, "desk")) == 8)
    started = asyncio.get_running_loop().time()
    reply = await harness.send("/pay/x")
    assert reply.status == 503
    assert asyncio.get_running_loop().time() - started < 0.4
    hold.set()
    assert {r.status for r in await asyncio.gather(*busy)} == {200}


async def test_graceful_shutdown_completes_running_requests(harness: PlatformHarness) -> None:
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.3
    tasks = [asyncio.create_task(harness.send_draft()) for _ in range(3)]
    await harness.wait_until(lambda: len(sent_to(harness, "engine")) == 3)
    assert harness.daemon
    stop = asyncio.create_task(harness.daemon.shut_down())
    await asyncio.sleep(0.05)
    assert not harness.daemon.ready()
    late = await harness.send("/read/x")
    assert late.status == 200
    assert late.header_by_name["connection"] == "close"
    assert {reply.body for reply in await asyncio.gather(*tasks)} == {COMPLETE_BODY}
    await stop


async def test_rollout_completes_and_publishes_its_state(harness: PlatformHarness) -> None:
    new = await harness.add_worker("engine-3", "engines", "v2")
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 4})
    await harness.wait_until(lambda: ("status", "rollout/engines") in harness.store.row_by_key)
    assert harness.store.value("status", "rollout/engines") == {"state": "running", "to": "v2"}
    traffic = asyncio.create_task(_send_sessions(harness))
    await _wait_for_state(harness, "completed")
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    before = len(new.received)
    assert before >= MIN_ANSWERS_TO_COMPLETE
    await harness.send_draft()
    assert len(new.received) > before


async def test_failing_version_is_rolled_back_and_gets_no_requests(
    harness: PlatformHarness,
) -> None:
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.status = 500
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.wait_for_first_share()
    sessions = 0
    while harness.store.value("status", "rollout/engines")["state"] == "running" and sessions < 600:
        sessions += 1
        await harness.send_draft(session=f"s{sessions}")
    assert harness.store.value("status", "rollout/engines")["state"] == "rolled_back"
    before = len(new.received)
    for number in range(50):
        await harness.send_draft(session=f"t{number}")
    assert len(new.received) == before


async def _send_sessions(harness: PlatformHarness) -> None:
    """Start new sessions one after the other until cancelled."""
    for number in count():
        await harness.send_draft(session=f"s{number}")


async def _wait_for_state(harness: PlatformHarness, state: str) -> None:
    async with asyncio.timeout(15):
        while harness.store.value("status", "rollout/engines")["state"] != state:
            await asyncio.sleep(0.05)


async def test_requests_are_served_during_a_store_outage(harness: PlatformHarness) -> None:
    harness.store.refusing = True
    await asyncio.sleep(0.5)
    assert (await harness.send("/read/x")).status == 200
    assert harness.daemon.ready()


async def test_state_is_reloaded_when_the_store_has_lost_its_history(
    harness: PlatformHarness,
) -> None:
    harness.store.refusing = True
    await asyncio.sleep(0.3)
    harness.store.put("op", "config", config(3))
    harness.store.forget_history()
    harness.store.refusing = False
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 3)


async def test_malformed_rows_are_skipped(harness: PlatformHarness) -> None:
    harness.store.put("servers", "odd-1", b"\xff no json")
    harness.store.put("servers", "odd-2", {"service": "desk", "address": 7})
    harness.store.put("op", "config", {"version": "nine"})
    harness.store.put("op", "rollout/engines", {"service": 1})
    await harness.add_worker("desk-3", "desk")
    await harness.wait_until(lambda: "desk-3" in harness.daemon.view.tracker_by_id)
    assert "odd-2" not in harness.daemon.view.tracker_by_id
    assert (await harness.send("/read/x")).status == 200


async def test_readiness_check_succeeds(harness: PlatformHarness) -> None:
    client = HttpClient()
    reply = await client.request(harness.deployment.readiness, "GET", "/ready")
    assert reply.status == 200
    client.close()


async def test_metrics_count_requests_and_show_the_known_state(harness: PlatformHarness) -> None:
    await harness.send("/read/x")
    await harness.send("/none/")
    for worker in workers(harness, "engine"):
        worker.confidence_by_model = {"small": 10, "large": 90}
    await harness.send_draft()
    for worker in workers(harness, "desk"):
        worker.status = 500
    await harness.send("/pay/x")
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


async def test_headers_named_by_connection_and_the_api_key_are_not_forwarded(
    harness: PlatformHarness,
) -> None:
    reply = await harness.send("/read/x", connection="x-inner", x_inner="1", x_outer="2")
    (request,) = sent_to(harness, "desk")
    assert reply.status == 200
    assert request.header("x-outer") == "2"
    assert request.header("x-inner") == ""
    assert API_KEY not in str(request.headers)


async def test_concurrent_requests_get_their_own_answers(harness: PlatformHarness) -> None:
    replies = await asyncio.gather(*(harness.send("/read/x") for _ in range(8)))
    assert {reply.header_by_name["attempt-id"] for reply in replies} == {
        f"{number:016x}" for number in range(1, 9)
    }


async def test_slow_version_is_rolled_back(harness: PlatformHarness) -> None:
    # A version whose events came eight times more slowly was rolled out completely, because only
    # times to the first event were compared (scenario deploy/days/slow-under-rollout.toml).
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.005
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.pause_s = lambda number: 0.1
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.wait_for_first_share()
    number = 0
    while harness.store.value("status", "rollout/engines")["state"] == "running" and number < 600:
        drafts = (harness.send_draft(session=f"s{number + n}") for n in range(3))
        await asyncio.gather(*drafts)
        number += 3
    assert harness.store.value("status", "rollout/engines")["state"] == "rolled_back"


async def test_slow_version_is_rolled_back_while_its_streams_run(harness: PlatformHarness) -> None:
    # Streams were judged only at their end, so a slow version got too many requests until then
    # (site sundar-buoy, scenario deploy/days/slow-under-rollout.toml, seed 335123080264).
    for worker in workers(harness, "engine"):
        worker.pause_s = lambda number: 0.005
    new = await harness.add_worker("engine-3", "engines", "v2")
    new.events = 400
    new.pause_s = lambda number: 0.1 * (number > 1)
    harness.store.put("op", "rollout/engines", {"service": "engines", "to": "v2", "over_s": 60})
    await harness.wait_for_first_share()
    drafts: set[asyncio.Task[object]] = set()
    for number in range(300):
        drafts.add(asyncio.create_task(harness.send_draft(session=f"s{number}")))
        await asyncio.sleep(0.01)
    await _wait_for_state(harness, "rolled_back")
    assert new.completed_streams == 0
    for draft in drafts:
        draft.cancel()
    await asyncio.gather(*drafts, return_exceptions=True)
