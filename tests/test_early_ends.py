"""An answer that ends with its connection is whole only if its request was sent and nothing broke.

An endpoint that crashes, or gives a request up, closes its connection as one that is done does.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager

import pytest
from msgspec.json import decode, encode

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_link import AnswerFault
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.adapters.service_http import HttpPlainService
from comfreyhatch.adapters.socket_state import unsent_bytes, was_reset
from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import AnswerBrokenError, BackendError, ConnectionEndedError, HttpError
from comfreyhatch.ports.engine import Chunk, GenerateRequest, LoadReport, ServiceRequest
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import book, chat
from tests.platform_harness import API_KEY, HOST, PlatformHarness
from tests.platform_raw_worker import answer_head, replace_worker, stream_head, success_head
from tests.platform_worker import EVENTS_PER_STREAM
from tests.raw_endpoint import listening
from tests.scripted_endpoint import ScriptedConnection, ScriptedEndpoint, scripted
from tests.test_copied_relayed_answers import lose_paths

OK = b"HTTP/1.1 200 OK\r\n"
PART = OK + b"\r\npart"
EVENTS = [b"id: %d\ndata: small\n\n" % n for n in range(1, EVENTS_PER_STREAM + 1)]
# Large enough for the rest of it to wait in the process that sends it.
LARGE_UPLOAD = bytes(8 * 1024 * 1024)
# The kernel that sends it takes all of it; with the receive buffer below the other one doesn't.
SMALL_UPLOAD = bytes(300_000)
RECEIVE_BUFFER_BYTES = 4096
RESET_AFTER_S = 0.2
UPLOADS = {"in_process": LARGE_UPLOAD, "in_kernel": SMALL_UPLOAD}
INVALID_STATUSES = [b"000", b"099", b"0", b"20", b"600", b"999"]

Answer = Callable[[ScriptedConnection, bytes], Awaitable[None]]


def ending_early(answer: Callable[[bytes], bytes]) -> Answer:
    """Return an endpoint's coroutine that ends each answer before it has read the request.

    Args:
        answer: Returns the bytes that are sent before the end of file, by the request's head.
    """

    async def serve(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(answer(head))
        connection.end()
        await asyncio.sleep(RESET_AFTER_S)
        connection.reset()

    return serve


def limited(answer: Answer) -> AbstractAsyncContextManager[ScriptedEndpoint]:
    """Return an endpoint whose kernel takes little of a request that is not read."""
    return scripted(answer, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)


@pytest.mark.parametrize("upload", UPLOADS.values(), ids=UPLOADS)
async def test_whole_answer_that_ends_before_its_request_is_broken(
    client: HttpClient, caplog: pytest.LogCaptureFixture, upload: bytes
) -> None:
    async with limited(ending_early(lambda head: PART)) as endpoint:
        with pytest.raises(ConnectionEndedError) as caught:
            await client.request(endpoint.address, "POST", "/", upload)
        assert f"event=answer_rejected address={endpoint.address}" in caplog.text
    assert caught.value.ran is Ran.UNKNOWN
    assert client.rejected_by_fault[AnswerFault.REQUEST_UNSENT] == 1
    assert not client._idle.at(endpoint.address)


@pytest.mark.parametrize("upload", UPLOADS.values(), ids=UPLOADS)
async def test_streamed_answer_that_ends_before_its_request_is_broken(
    client: HttpClient, upload: bytes
) -> None:
    pieces: list[bytes] = []
    async with limited(ending_early(lambda head: PART)) as endpoint:
        with pytest.raises(ConnectionEndedError):
            async with client.stream(endpoint.address, "POST", "/", upload) as reply:
                async for piece in reply.pieces(5.0):
                    pieces.append(piece)
    assert b"".join(pieces) in (b"", b"part")


async def test_what_the_kernel_has_not_sent_counts_as_unsent(client: HttpClient) -> None:
    # The process has handed the whole request to its kernel, and sees nothing left.
    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(OK + b"content-length: 2\r\n\r\nok")
        await asyncio.sleep(0.3)
        await connection.read_body()

    async with (
        limited(answer) as endpoint,
        client.stream(endpoint.address, "POST", "/", SMALL_UPLOAD) as reply,
    ):
        transport = reply._link.transport
        assert transport.get_write_buffer_size() == 0
        assert unsent_bytes(transport) > 0
        async with asyncio.timeout(5.0):
            while unsent_bytes(transport):
                await asyncio.sleep(0.01)


async def test_state_of_a_closed_connection_is_unknown() -> None:
    async with listening(b"") as endpoint:
        _, writer = await asyncio.open_connection(endpoint.address.host, endpoint.address.port)
        assert (unsent_bytes(writer.transport), was_reset(writer.transport)) == (0, False)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        assert (unsent_bytes(writer.transport), was_reset(writer.transport)) == (0, False)


async def test_answer_whose_end_is_followed_by_a_reset_at_once_is_broken(
    client: HttpClient,
) -> None:
    # Reads return the end of file, and hide the reset behind it.
    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        # In one turn of the loop, so that the client finds all of it when it reads.
        await connection.send(PART)
        connection.end()
        connection.reset()

    async with scripted(answer) as endpoint:
        with pytest.raises(ConnectionEndedError):
            await client.request(endpoint.address, "GET", "/")
    assert client.rejected_by_fault[AnswerFault.RESET] == 1


@pytest.mark.parametrize(
    "start",
    [OK + b"content-length: 9\r\n\r\npart", OK + b"transfer-encoding: chunked\r\n\r\n4\r\npart"],
    ids=["length", "chunked"],
)
@pytest.mark.parametrize("upload", [b"", LARGE_UPLOAD], ids=["sent", "unsent"])
async def test_delimited_answer_that_ends_early_stays_broken(
    client: HttpClient, start: bytes, upload: bytes
) -> None:
    async with limited(ending_early(lambda head: start)) as endpoint:
        with pytest.raises(HttpError):
            await client.request(endpoint.address, "POST", "/", upload)


EARLY = {
    "length": OK + b"content-length: 2\r\n\r\nok",
    "chunked": OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "empty": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not_modified": b"HTTP/1.1 304 Not Modified\r\n\r\n",
}


@pytest.mark.parametrize("answer", EARLY.values(), ids=EARLY)
@pytest.mark.parametrize("upload", UPLOADS.values(), ids=UPLOADS)
async def test_answer_that_tells_its_end_is_taken_though_its_request_was_not_read(
    client: HttpClient, answer: bytes, upload: bytes
) -> None:
    async with limited(ending_early(lambda head: answer)) as endpoint:
        reply = await client.request(endpoint.address, "POST", "/", upload)
    assert reply.body == (b"ok" if b"ok" in answer else b"")
    assert sum(client.rejected_by_fault.values()) == 0


async def test_answer_to_head_is_taken_though_its_request_was_not_read(client: HttpClient) -> None:
    async with limited(ending_early(lambda head: OK + b"\r\n")) as endpoint:
        assert (await client.request(endpoint.address, "HEAD", "/", LARGE_UPLOAD)).status == 200


@pytest.mark.parametrize("upload", [b"", *UPLOADS.values()], ids=["none", *UPLOADS])
async def test_answer_that_begins_early_and_ends_after_its_request_is_whole(
    client: HttpClient, upload: bytes
) -> None:
    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(PART)
        await asyncio.sleep(0.1)
        await connection.read_body()
        await connection.send(b" and rest")
        connection.end()

    async with limited(answer) as endpoint:
        reply = await client.request(endpoint.address, "POST", "/", upload)
    assert reply.body == b"part and rest"


@pytest.mark.parametrize("upload", UPLOADS.values(), ids=UPLOADS)
async def test_connection_of_an_early_answer_whose_request_is_read_later_is_kept(
    client: HttpClient, upload: bytes
) -> None:
    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(OK + b"content-length: 2\r\n\r\nok")
        await asyncio.sleep(0.1)
        assert await connection.read_body() == upload

    async with limited(answer) as endpoint:
        for _ in range(2):
            assert (await client.request(endpoint.address, "POST", "/", upload)).body == b"ok"
        async with asyncio.timeout(5.0):
            while len(endpoint.requests) < 2:
                await asyncio.sleep(0.01)
    assert client.connections_opened == 1


@asynccontextmanager
async def early_workers(
    harness: PlatformHarness, ids: tuple[str, ...], answer: Callable[[bytes], bytes]
) -> AsyncIterator[list[ScriptedEndpoint]]:
    """Replace workers of the harness by endpoints that end each answer before its request."""
    async with AsyncExitStack() as stack:
        endpoints = []
        for worker_id in ids:
            endpoint = await stack.enter_async_context(limited(ending_early(answer)))
            await replace_worker(harness, worker_id, endpoint)
            endpoints.append(endpoint)
        yield endpoints


async def upload_to(harness: PlatformHarness, path: str, daemon: int = -1) -> HttpReply:
    """Send a request with a body that endpoints with a small receive buffer don't take at once."""
    headers = {"host": HOST, "attempt-id": "upload", "deadline-ms": "1500"}
    headers["authorization"] = f"Bearer {API_KEY}"
    if path.startswith("/draft/"):
        headers |= {"model": "*", "token-counts": "1000,60"}
    callers = harness.deployments[daemon].callers
    return await harness.client.request(callers, "POST", path, SMALL_UPLOAD, headers, 10.0)


def rejected(harness: PlatformHarness, daemon: int, reason: str) -> float:
    registry = harness.daemons[daemon].registry
    labels = {"reason": reason}
    return registry.get_sample_value("comfreyhatch_answers_rejected_total", labels) or 0.0


DESKS = ("desk-1", "desk-2")
ENGINES = ("engine-1", "engine-2")


def part_of_answer(head: bytes) -> bytes:
    return success_head(head) + b"part"


def failed_part(head: bytes) -> bytes:
    return answer_head(head, b"500 Failed") + b"part"


def first_events(head: bytes) -> bytes:
    return stream_head(head) + b"".join(EVENTS[:3])


@pytest.mark.parametrize("path", ["/pay/x", "/read/x"])
@pytest.mark.parametrize("answer", [part_of_answer, failed_part])
async def test_caller_does_not_get_an_answer_that_ends_before_its_request(
    harness: PlatformHarness, path: str, answer: Callable[[bytes], bytes]
) -> None:
    async with early_workers(harness, DESKS, answer) as endpoints:
        reply = await upload_to(harness, path)
        assert (reply.status, decode(reply.body)["ran"]) == (502, "unknown")
    requests = sum(len(endpoint.requests) for endpoint in endpoints)
    assert rejected(harness, 0, "request_unsent") == requests
    trackers = harness.daemons[0].view.tracker_by_id
    assert sum(trackers[desk]._consecutive_failures for desk in DESKS) == requests


async def test_stream_that_ends_before_its_request_never_looks_complete(
    harness: PlatformHarness,
) -> None:
    async with early_workers(harness, ENGINES, first_events):
        with pytest.raises(HttpError):
            await upload_to(harness, "/draft/x")
    assert rejected(harness, 0, "request_unsent") > 0


async def test_stream_that_ends_before_its_request_is_resumed(harness: PlatformHarness) -> None:
    async with early_workers(harness, ENGINES[:1], first_events) as (endpoint,):
        while not endpoint.requests:
            reply = await upload_to(harness, "/draft/x")
        assert (reply.status, reply.body) == (200, b"".join(EVENTS))


async def test_relayed_answer_that_ends_before_its_request_is_broken(
    harness: PlatformHarness,
) -> None:
    await harness.add_daemons(1)
    async with early_workers(harness, DESKS, part_of_answer):
        await lose_paths(harness)
        assert (await upload_to(harness, "/pay/x", 0)).status == 502
    assert rejected(harness, 1, "request_unsent") > 0


async def test_relayed_stream_that_ends_before_its_request_never_looks_complete(
    harness: PlatformHarness,
) -> None:
    await harness.add_daemons(1)
    async with early_workers(harness, ENGINES, first_events):
        await lose_paths(harness)
        with pytest.raises(HttpError):
            await upload_to(harness, "/draft/x", 0)
    assert rejected(harness, 1, "request_unsent") > 0


def fleet_answer(answer: Callable[[bytes], bytes]) -> Answer:
    """Return the coroutine of an endpoint of the own fleet that ends its answers early."""
    serve = ending_early(answer)

    async def serve_or_report(connection: ScriptedConnection, head: bytes) -> None:
        if not head.startswith(b"GET /load"):
            await serve(connection, head)
            return
        report = encode(LoadReport("any", 0, 0, 8, False, ("coach-small@1", "coach-large@1")))
        await connection.send(OK + b"content-length: %d\r\n\r\n" % len(report) + report)

    return serve_or_report


def request_id(head: bytes) -> str:
    lines = head.decode().split("\r\n")
    return next(line.partition(": ")[2] for line in lines if line.startswith("x-request-id"))


def echo(head: bytes, body: bytes) -> bytes:
    return OK + b"x-request-id: %s\r\n\r\n" % request_id(head).encode() + body


def service_part(head: bytes) -> bytes:
    return echo(head, b"part")


def whole_chat(head: bytes) -> bytes:
    chunk = Chunk(request_id(head), 0, ("a", "b"), "stop")
    return echo(head, b"data: " + encode(chunk) + b"\n\n")


async def test_call_of_the_own_fleet_whose_answer_ends_before_it_has_an_unknown_outcome() -> None:
    call = ServiceRequest("r-1", "POST", "/orders", SMALL_UPLOAD, idempotency_key="k-1")
    async with limited(ending_early(service_part)) as endpoint:
        service = Instance("s-1", Role.SERVICE, "z1", endpoint.address)
        with pytest.raises(BackendError) as caught:
            await HttpPlainService(HttpClient()).call(service, call, 2.0)
    assert caught.value.ran is Ran.UNKNOWN


async def test_chat_answer_of_the_own_fleet_that_ends_before_its_request_is_broken() -> None:
    messages = (ChatMessage("user", "x" * len(SMALL_UPLOAD)),)
    request = GenerateRequest("r-1", "m@1", messages, 5, 5, deadline_s=5)
    async with limited(ending_early(whole_chat)) as endpoint:
        engine = Instance("e-1", Role.ENGINE, "z1", endpoint.address)
        with pytest.raises(AnswerBrokenError):
            async for _ in HttpEngine(HttpClient()).generate(engine, request):
                pass


@asynccontextmanager
async def own_fleet(role: Role, answer: Callable[[bytes], bytes]) -> AsyncIterator[LocalFleet]:
    """Yield a fleet of one daemon whose only endpoint of a role ends its answers early."""
    plan = FleetPlan(zones=("a",), engine_zones=("a",), service_zones=("a",))
    async with LocalFleet(plan) as fleet, limited(fleet_answer(answer)) as endpoint:
        standins = fleet.engine_by_id if role is Role.ENGINE else fleet.service_by_id
        (standin,) = standins.values()
        own = standin.instance
        fleet.platform.put_instance(
            Instance(own.instance_id, own.role, own.zone, endpoint.address, service=own.service)
        )
        (daemon,) = fleet.daemon_by_id.values()
        directory, own_id = daemon.directory, own.instance_id
        await fleet.until(lambda: directory.endpoint_by_id[own_id].address == endpoint.address)
        yield fleet


def only_callers(fleet: LocalFleet) -> Address:
    return fleet.callers(next(iter(fleet.daemon_by_id)))


def fleet_rejections(fleet: LocalFleet) -> float:
    (daemon,) = fleet.daemon_by_id.values()
    labels = {"reason": "request_unsent"}
    name = "comfreyhatch_answers_rejected_total"
    return daemon.registry.get_sample_value(name, labels) or 0.0


async def test_caller_of_the_own_daemon_does_not_get_a_call_that_ends_before_its_request(
    client: HttpClient,
) -> None:
    async with own_fleet(Role.SERVICE, service_part) as fleet:
        reply = await book(client, only_callers(fleet), "k-1", SMALL_UPLOAD)
        assert reply.status == 502
        assert decode(reply.body)["error"]["ran"] == "unknown"
        assert fleet_rejections(fleet) > 0


async def test_caller_of_the_own_daemon_does_not_get_a_chat_that_ends_before_its_request(
    client: HttpClient,
) -> None:
    async with own_fleet(Role.ENGINE, whole_chat) as fleet:
        message = {"role": "user", "content": "x" * len(SMALL_UPLOAD)}
        reply = await chat(client, only_callers(fleet), messages=[message])
        assert reply.status == 502
        assert fleet_rejections(fleet) > 0


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("closes", [True, False])
async def test_answer_with_a_status_outside_the_range_is_broken(
    client: HttpClient, caplog: pytest.LogCaptureFixture, status: bytes, closes: bool
) -> None:
    start = b"HTTP/1.1 " + status + b" Odd\r\ncontent-length: 2\r\n\r\nok"
    async with listening(start) as endpoint:
        endpoint.closes = closes
        with pytest.raises(HttpError) as caught:
            await client.request(endpoint.address, "GET", "/")
        assert "event=answer_rejected" in caplog.text
    assert caught.value.ran is Ran.UNKNOWN
    assert client.rejected_by_fault[AnswerFault.STATUS] == 1
    assert not client._idle.at(endpoint.address)


@pytest.mark.parametrize("status", [200, 299, 404, 599])
async def test_answer_with_a_status_in_the_range_is_taken(client: HttpClient, status: int) -> None:
    lead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
    start = lead + b"HTTP/1.1 %d Odd\r\ncontent-length: 2\r\n\r\nok" % status
    async with listening(start) as endpoint:
        reply = await client.request(endpoint.address, "GET", "/")
    assert (reply.status, reply.body) == (status, b"ok")
    assert sum(client.rejected_by_fault.values()) == 0


@pytest.mark.parametrize("status", [b"000", b"600"])
@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_caller_does_not_get_an_answer_with_a_status_outside_the_range(
    harness: PlatformHarness, status: bytes, path: str
) -> None:
    headers = (b"server-stamp: s", b"content-length: 2")

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        await connection.send(answer_head(head, status + b" Odd", *headers) + b"ok")

    ids = ENGINES if path.startswith("/draft/") else DESKS
    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(scripted(answer)) for _ in ids]
        for worker_id, endpoint in zip(ids, endpoints, strict=True):
            await replace_worker(harness, worker_id, endpoint)
        reply = await harness.send_kind(path, deadline_ms="800")
        assert reply.status in (502, 504)
    requests = sum(len(endpoint.requests) for endpoint in endpoints)
    assert rejected(harness, 0, "status") == requests > 0
    trackers = harness.daemons[0].view.tracker_by_id
    assert sum(trackers[each]._consecutive_failures for each in ids) == requests
