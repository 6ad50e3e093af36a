"""Requests that one daemon sends to endpoints for another one."""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import pytest

from comfreyhatch.adapters.http_message import HttpResponse
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.relay import EndpointRequest, RelayFailure
from comfreyhatch.exchange.relay_listener import RelayListener
from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import MS_PER_S, PlatformHarness, running_harness, workers
from tests.platform_worker import EVENTS_PER_STREAM

LATE_S = 0.6


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield a harness with three daemons that know each other."""
    async with running_harness() as running:
        await running.add_daemons(2)
        yield running


@pytest.fixture
async def paths(harness: PlatformHarness) -> LostPaths:
    """Return the paths of the first daemon, which has lost them."""
    paths = LostPaths(harness.daemons[0])
    paths.cut(Loss.RESET)
    # Finds out that both services are lost.
    await asyncio.gather(harness.send("/read/x", 0), harness.send_draft(0))
    return paths


def received(harness: PlatformHarness) -> int:
    return sum(len(worker.received) for worker in harness.worker_by_id.values())


def metric(harness: PlatformHarness, daemon: int, name: str, **labels: str) -> float:
    return harness.daemons[daemon].registry.get_sample_value(f"comfreyhatch_{name}", labels) or 0.0


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
async def test_relayed_request_reaches_one_endpoint_once(
    harness: PlatformHarness, paths: LostPaths, path: str
) -> None:
    before = received(harness)
    reply = await harness.send(path, 0)
    assert reply.status == 200
    assert received(harness) == before + 1
    assert metric(harness, 0, "relayed_total", outcome="answered") >= 1


async def test_deadline_of_a_request_that_was_relayed_late_is_not_longer_than_what_is_left(
    harness: PlatformHarness, paths: LostPaths, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[RelayListener] = []

    async def send(
        listener: RelayListener, endpoint: EndpointTracker, relayed: EndpointRequest
    ) -> HttpResponse:
        asked.append(listener)
        if len(asked) > 1:
            return await RelayListener._send(listener, endpoint, relayed)
        await asyncio.sleep(LATE_S)
        return listener._fail(RelayFailure.UNREACHABLE)

    for daemon in harness.daemons[1:]:
        listener = daemon._relay_listener
        monkeypatch.setattr(listener, "_send", partial(send, listener))
    assert (await harness.send("/pay/x", 0, deadline_ms="1000")).status == 200
    assert len(asked) == 2
    (request,) = [r for w in workers(harness, "desk") for r in w.received if r.target == "/pay/x"]
    assert int(request.header("deadline-ms")) <= 1000 - LATE_S * MS_PER_S


async def test_relayed_stream_is_whole(harness: PlatformHarness, paths: LostPaths) -> None:
    reply = await harness.send_draft(0)
    assert reply.body.count(b"id: ") == EVENTS_PER_STREAM


@pytest.mark.parametrize("loss", [Loss.RESET, Loss.SILENT, Loss.REFUSED])
async def test_stream_goes_on_by_way_of_another_daemon_when_its_path_is_lost(
    harness: PlatformHarness, loss: Loss
) -> None:
    for name in ("engine-1", "engine-2"):
        harness.worker_by_id[name].pause_s = lambda number: 0.2
    paths = LostPaths(harness.daemons[0])
    sending = asyncio.create_task(harness.send_draft(0))
    await asyncio.sleep(0.5)
    paths.cut(loss)
    reply = await sending
    assert reply.body.count(b"id: ") == EVENTS_PER_STREAM
    assert len(set(reply.body.split(b"\n\n"))) == EVENTS_PER_STREAM + 1


async def test_broken_relayed_stream_goes_on_at_another_endpoint(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    harness.worker_by_id["engine-1"].break_after = 2
    replies = await asyncio.gather(*(harness.send_draft(0) for _ in range(4)))
    assert [reply.body.count(b"id: ") for reply in replies] == [EVENTS_PER_STREAM] * 4


@pytest.mark.parametrize(("path", "repeated"), [("/pay/x", False), ("/read/x", True)])
async def test_request_of_a_daemon_that_dies_with_it_may_have_run(
    harness: PlatformHarness, paths: LostPaths, path: str, repeated: bool
) -> None:
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    before = received(harness)
    for desk in desks:
        desk.hold = asyncio.Event()
    sending = asyncio.create_task(harness.send(path, 0))
    await harness.wait_until(lambda: received(harness) > before)
    relays = [daemon for daemon in harness.daemons[1:] if daemon._relay_listener._running]
    for daemon in relays[:1]:
        await daemon._relay_server.stop(0.0)
    for desk in desks:
        desk.hold.set()
    reply = await sending
    if repeated:
        assert reply.status == 200
    else:
        assert reply.status == 502
        assert received(harness) == before + 1


async def test_endpoint_stops_work_when_the_caller_of_a_relayed_request_leaves(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    desks = [harness.worker_by_id[name] for name in ("desk-1", "desk-2")]
    before = received(harness)
    for desk in desks:
        desk.hold = asyncio.Event()
    sending = asyncio.create_task(harness.send("/pay/x", 0))
    await harness.wait_until(lambda: received(harness) > before)
    sending.cancel()
    await harness.wait_until(lambda: sum(desk.cancelled for desk in desks) == 1)
    await harness.wait_until(lambda: not harness.daemons[1]._relay_listener._running)


async def test_endpoints_that_are_down_are_refused_at_once_and_not_relayed_in_circles(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    for worker in harness.worker_by_id.values():
        await worker.stop()
    for _ in range(4):
        await asyncio.gather(*(harness.send("/pay/x", daemon) for daemon in (0, 1)))
    started = asyncio.get_running_loop().time()
    replies = await asyncio.gather(*(harness.send("/pay/x", daemon) for daemon in (0, 1) * 10))
    assert {reply.status for reply in replies} == {503}
    assert asyncio.get_running_loop().time() - started < 1.0
    asked = sum(metric(harness, d, "relayed_total", outcome="unreachable") for d in (0, 1))
    assert asked <= 14


async def test_endpoint_that_other_daemons_know_to_be_gone_gets_no_relayed_request(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    gone_endpoint = harness.worker_by_id["desk-1"]
    for daemon in harness.daemons[1:]:
        daemon.view.tracker_by_id["desk-1"].misdirected = True
    before = len(gone_endpoint.received)
    replies = [await harness.send("/pay/x", 0) for _ in range(6)]
    assert [reply.status for reply in replies].count(200) >= 5
    assert len(gone_endpoint.received) == before


async def test_requests_go_directly_again_once_the_paths_are_back(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    paths.restore()
    view = harness.daemons[0].view
    await harness.wait_until(
        lambda: all(tracker.lost_at is None for tracker in view.tracker_by_id.values())
    )
    before = metric(harness, 0, "relayed_total", outcome="answered")
    for _ in range(4):
        assert (await harness.send("/read/x", 0)).status == 200
    assert metric(harness, 0, "relayed_total", outcome="answered") == before


async def test_nothing_is_relayed_for_one_endpoint_that_is_down(harness: PlatformHarness) -> None:
    await harness.worker_by_id["desk-1"].stop()
    for _ in range(6):
        assert (await harness.send("/read/x", 0)).status == 200
    assert metric(harness, 0, "relayed_total", outcome="answered") == 0


async def test_nothing_is_relayed_while_sound_endpoints_are_silent_for_a_second(
    harness: PlatformHarness,
) -> None:
    for worker in harness.worker_by_id.values():
        worker.answer_delay_s = 0.9
    replies = await asyncio.gather(*(harness.send("/read/x", 0) for _ in range(4)))
    assert {reply.status for reply in replies} == {200}
    assert metric(harness, 0, "relayed_total", outcome="answered") == 0
    assert not any(t.lost_at for t in harness.daemons[0].view.tracker_by_id.values())


async def test_malformed_request_of_another_daemon_is_refused(harness: PlatformHarness) -> None:
    relay = harness.deployment.relay
    assert relay is not None
    reply = await harness.client.request(relay, "POST", "/relay", b"\xc1")
    assert reply.status == 400
    assert (await harness.client.request(relay, "GET", "/other")).status == 404


@pytest.mark.parametrize("path", ["/read/x", "/pay/x"])
async def test_first_request_after_the_paths_are_lost_is_served(
    harness: PlatformHarness, path: str
) -> None:
    LostPaths(harness.daemons[0]).cut(Loss.RESET)
    assert (await harness.send(path, 0)).status == 200


async def test_daemon_that_relays_to_a_slow_endpoint_is_asked_again(
    harness: PlatformHarness, paths: LostPaths
) -> None:
    for name in ("desk-1", "desk-2"):
        harness.worker_by_id[name].hold = asyncio.Event()
    assert (await harness.send("/pay/x", 0)).status in (502, 504)
    for name in ("desk-1", "desk-2"):
        harness.worker_by_id[name].hold.set()
    assert (await harness.send("/pay/x", 0)).status == 200
    assert metric(harness, 0, "relayed_total", outcome="lost") == 0


async def test_silent_daemon_is_not_asked_again(harness: PlatformHarness, paths: LostPaths) -> None:
    silent = harness.deployments[1].relay
    assert silent is not None
    await harness.daemons[1]._relay_server.stop(0.0)
    replies = [await harness.send("/pay/x", 0) for _ in range(8)]
    assert [reply.status for reply in replies].count(200) >= 7
