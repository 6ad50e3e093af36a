"""Copies of earlier answers that come before the answers to requests relayed by another daemon."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from time import monotonic

import pytest

from comfreyhatch.adapters.http_client import HttpReply
from comfreyhatch.domain.relay import RelayAddress
from comfreyhatch.exchange.daemon import ExchangeDaemon
from tests.copying_endpoints import REFUSED, copying, repeating
from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_raw_worker import refusal_head, replace_worker, request_id
from tests.raw_answers import (
    COPIES,
    EVENT,
    NO_BODY,
    NOT_RUN_STATUSES,
    Answer,
    answer_to,
    refusal,
)
from tests.raw_endpoint import RawEndpoint, listening
from tests.scripted_endpoint import ScriptedConnection, ScriptedEndpoint, scripted

PATHS = ["/pay/x", "/read/x", "/draft/x"]
FILL = b"x" * 65536
# Far above what the daemon may read past, far below what an endpoint sends before it stops.
ENDLESS_BYTES = 1_000_000_000
MAX_SENT_BYTES = 16 * 1024 * 1024
LARGE_BODY = b"b" * 900_000
OTHER_REQUEST = b"GET / HTTP/1.1\r\nattempt-id: other\r\n\r\n"
NOTICES = (
    b"server-load: 9,9,9",
    b"server-limit: 2",
    b"server-leaving: 1",
    b"server-brittle: 3",
    b"retry-after: 3",
)


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield a harness whose first daemon will ask the second one to send its requests."""
    async with running_harness() as running:
        assert running.deployment is not None
        relay = await running.start_daemon(running.deployment.store, running.deployment.bounds)
        await running.wait_until(relay.ready)
        address = running.deployment.relay
        assert address is not None
        # In place of what the daemons tell each other, which takes seconds.
        asker = running.daemons[0]
        asker._relays._relay_by_daemon = lambda: {"front-2": RelayAddress(address, "a")}
        yield running


def service_of(path: str) -> str:
    return "engine" if path.startswith("/draft/") else "desk"


async def lose_paths(harness: PlatformHarness) -> None:
    """Let the first daemon lose its paths to all endpoints, once all daemons know them."""
    views = [daemon.view.tracker_by_id for daemon in harness.daemons]
    await harness.wait_until(
        lambda: all(
            tracker.record.address == views[0][endpoint_id].record.address
            for view in views
            for endpoint_id, tracker in view.items()
        )
    )
    asker = harness.daemons[0]
    LostPaths(asker).cut(Loss.RESET)
    for tracker in views[0].values():
        asker._paths.note_unreachable(tracker, monotonic())


@asynccontextmanager
async def replaced(
    harness: PlatformHarness, service: str, endpoint: RawEndpoint | ScriptedEndpoint
) -> AsyncIterator[None]:
    """Replace the first worker of a service by an endpoint, and take the second one away."""
    harness.store.remove("servers", f"{service}-2")
    await replace_worker(harness, f"{service}-1", endpoint)
    await harness.wait_until(
        lambda: all(
            (
                daemon.view.tracker_by_id[f"{service}-2"].removed_at is not None
                if f"{service}-2" in daemon.view.tracker_by_id
                else True
            )
            for daemon in harness.daemons
        )
    )
    await lose_paths(harness)
    yield


async def require_nothing_held(harness: PlatformHarness, endpoint_id: str) -> None:
    """Wait until no daemon holds a slot of an endpoint, or a relayed answer."""
    await harness.wait_until(
        lambda: all(
            daemon.view.tracker_by_id[endpoint_id].in_flight == 0
            and daemon._relay_listener._running == 0
            for daemon in harness.daemons
        )
    )


async def send_until_served(harness: PlatformHarness, path: str) -> HttpReply:
    """Send requests until one is served; an endpoint that failed is left out for a moment."""
    async with asyncio.timeout(5.0):
        while (reply := await harness.send_kind(path, 0)).status != 200:
            await asyncio.sleep(0.1)
    return reply


def relayed(harness: PlatformHarness) -> float:
    registry = harness.daemons[1].registry
    labels = {"outcome": "answered"}
    return registry.get_sample_value("comfreyhatch_relayed_for_others_total", labels) or 0.0


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES)
@pytest.mark.parametrize("path", PATHS)
async def test_copy_before_a_relayed_answer_does_not_end_its_request(
    harness: PlatformHarness, path: str, copy: Answer, copies: int
) -> None:
    async with copying(harness, service_of(path), copy, copies) as endpoints:
        await lose_paths(harness)
        await harness.send_kind(path, 0, attempt_id=REFUSED.decode())
        replies = [await harness.send_kind(path, 0, attempt_id=f"call-{n}") for n in range(6)]
        body = EVENT if path == "/draft/x" else b"ok"
        assert [(reply.status, reply.body) for reply in replies] == [(200, body)] * 6
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        assert sorted(runs) == [b"call-%d" % n for n in range(6)]
        assert sum(endpoint.copied for endpoint in endpoints) >= 2
        assert relayed(harness) >= 6


@pytest.mark.parametrize("path", PATHS)
async def test_relayed_request_that_its_caller_sends_again_does_not_run_twice(
    harness: PlatformHarness, path: str
) -> None:
    async with repeating(harness, service_of(path), rows=1) as endpoints:
        await lose_paths(harness)
        for number in range(4):
            own = f"call-{number}"
            replies = [await harness.send_kind(path, 0, attempt_id=own) for _ in range(3)]
            runs = [run for endpoint in endpoints for run in endpoint.runs if run == own.encode()]
            assert [reply.status for reply in replies].count(200) == len(runs)


@pytest.mark.parametrize("path", PATHS)
async def test_relayed_request_to_two_rows_of_one_address_gets_the_answer_of_its_run(
    harness: PlatformHarness, path: str
) -> None:
    async with repeating(harness, service_of(path), rows=2) as endpoints:
        await lose_paths(harness)
        for number in range(4):
            reply = await harness.send_kind(path, 0, attempt_id=f"call-{number}")
            assert reply.status == 200
            assert endpoints[0].runs[number:] == [b"call-%d" % number]


@pytest.mark.parametrize("path", PATHS)
async def test_daemon_that_relays_learns_nothing_from_an_answer_to_another_request(
    harness: PlatformHarness, path: str
) -> None:
    def answer(head: bytes) -> bytes:
        return refusal_head(OTHER_REQUEST, NO_BODY, *NOTICES) + answer_to(head)

    service = service_of(path)
    async with listening(answer) as endpoint, replaced(harness, service, endpoint):
        reply = await harness.send_kind(path, 0)
        for daemon in harness.daemons:
            assert learned(daemon, f"{service}-1") == (None, None, 0.0, None, 0.0)
        assert reply.status == 200
        assert len(endpoint.requests) == 1


def learned(daemon: ExchangeDaemon, endpoint_id: str) -> tuple[object, ...]:
    """Return what a daemon has learned of an endpoint by its answers."""
    tracker = daemon.view.tracker_by_id[endpoint_id]
    return (
        tracker.leaving_since,
        tracker.brittle_per_s,
        tracker.resting_until,
        daemon._limits.per_s(tracker),
        tracker._other_load,
    )


@pytest.mark.parametrize("daemon", [0, 1], ids=["relayed", "direct"])
async def test_copy_that_comes_before_the_request_was_read_does_not_end_it(
    harness: PlatformHarness, daemon: int
) -> None:
    bodies: list[bytes] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(refusal(OTHER_REQUEST))
        await asyncio.sleep(0.2)
        bodies.append(await connection.read_body())
        await connection.send(answer_to(head))

    async with (
        scripted(answer, receive_buffer_bytes=4096) as endpoint,
        replaced(harness, "desk", endpoint),
    ):
        reply = await harness.client.request(
            harness.deployments[daemon].callers,
            "POST",
            "/pay/x",
            LARGE_BODY,
            {
                "host": "caller.example",
                "attempt-id": "large",
                "deadline-ms": "3000",
                "authorization": "Bearer key-of-club",
            },
            10.0,
        )
        assert (reply.status, reply.body) == (200, b"ok")
        assert bodies == [LARGE_BODY]
        assert len(endpoint.requests) == 1


CUTS: dict[str, Callable[[bytes], bytes]] = {
    "in_head": lambda head: refusal(head)[:30],
    "in_body": lambda head: refusal_head(head, b"content-length: 9") + b"bu",
    "behind_it": refusal,
    "in_own_answer": lambda head: refusal(OTHER_REQUEST) + answer_to(head)[:20],
}


@pytest.mark.parametrize("daemon", [0, 1], ids=["relayed", "direct"])
@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)
@pytest.mark.parametrize("path", PATHS)
async def test_request_whose_connection_is_reset_in_a_copy_may_have_run(
    harness: PlatformHarness, path: str, cut: Callable[[bytes], bytes], daemon: int
) -> None:
    cut_ids: list[bytes] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        if cut_ids:
            await connection.send(answer_to(head))
            return
        cut_ids.append(request_id(head))
        await connection.send(cut(head if cut is CUTS["in_own_answer"] else OTHER_REQUEST))
        # Give the daemon time to read the copy: a reset discards unread data.
        await asyncio.sleep(0.05)
        connection.reset()

    service = service_of(path)
    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(scripted(answer)) for _ in range(2)]
        for number, endpoint in enumerate(endpoints, 1):
            await replace_worker(harness, f"{service}-{number}", endpoint)
        await lose_paths(harness)
        reply = await harness.send_kind(path, daemon, attempt_id="cut")
        assert cut_ids == [b"cut"]
        sent = sum(len(endpoint.requests) for endpoint in endpoints)
        if path == "/pay/x":
            assert (reply.status, sent) == (502, 1)
            assert b'"ran":"unknown"' in reply.body
        else:
            assert (reply.status, sent) == (200, 2)


ENDLESS: dict[str, tuple[bytes, bytes, float]] = {
    "body": (refusal_head(OTHER_REQUEST, b"content-length: %d" % ENDLESS_BYTES), FILL, 0.0),
    "slow_body": (refusal_head(OTHER_REQUEST, b"content-length: 9999"), b"x", 0.05),
    "chunks": (
        refusal_head(OTHER_REQUEST, b"transfer-encoding: chunked"),
        b"10000\r\n" + FILL + b"\r\n",
        0.0,
    ),
    "copies": (b"", refusal(OTHER_REQUEST) * 100, 0.0),
    "slow_copies": (b"", refusal(OTHER_REQUEST), 0.05),
}


@pytest.mark.parametrize("daemon", [0, 1], ids=["relayed", "direct"])
@pytest.mark.parametrize("start_unit_pause", ENDLESS.values(), ids=ENDLESS)
@pytest.mark.parametrize("path", PATHS)
async def test_endless_copies_end_the_request_and_hold_neither_slot_nor_connection(
    harness: PlatformHarness, path: str, start_unit_pause: tuple[bytes, bytes, float], daemon: int
) -> None:
    service = service_of(path)
    start, unit, pause_s = start_unit_pause
    async with (
        listening(start, unit, pause_s) as endpoint,
        replaced(harness, service, endpoint),
    ):
        started = monotonic()
        reply = await harness.send_kind(path, daemon, deadline_ms="1000")
        assert monotonic() - started < 2.0
        assert reply.status not in (200, *NOT_RUN_STATUSES)
        # All connections that carried a request.
        await harness.wait_until(lambda: endpoint.resets >= len(endpoint.requests))
        assert endpoint.sent_bytes < MAX_SENT_BYTES
        await require_nothing_held(harness, f"{service}-1")
        endpoint.start, endpoint.unit = answer_to, b""
        assert (await send_until_served(harness, path)).body in (b"ok", EVENT)


@pytest.mark.parametrize("daemon", [0, 1], ids=["relayed", "direct"])
@pytest.mark.parametrize("leaves", [True, False], ids=["caller_leaves", "deadline"])
@pytest.mark.parametrize("path", PATHS)
async def test_endpoint_is_told_of_a_request_that_is_given_up_behind_a_copy(
    harness: PlatformHarness, path: str, leaves: bool, daemon: int
) -> None:
    # A close without a reset would let it go on: the copy was read to its end.
    copied = asyncio.Event()

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.read_body()
        await connection.send(refusal(OTHER_REQUEST))
        copied.set()

    service = service_of(path)
    async with scripted(answer) as endpoint, replaced(harness, service, endpoint):
        sending = asyncio.create_task(harness.send_kind(path, daemon, deadline_ms="600"))
        await copied.wait()
        await asyncio.sleep(0.1)
        assert (endpoint.open_connections, len(endpoint.requests)) == (1, 1)
        if leaves:
            sending.cancel()
        else:
            assert (await sending).status not in (200, *NOT_RUN_STATUSES)
        await harness.wait_until(lambda: endpoint.resets == len(endpoint.requests))
        assert endpoint.closed == 0
        await require_nothing_held(harness, f"{service}-1")
