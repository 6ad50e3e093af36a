"""The HTTP server and client against each other and against raw bytes."""

import asyncio
from collections.abc import AsyncIterator
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse, json_response
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, ExchangeTimeoutError, HttpError, RefusedError

LIMITS = HttpLimits(header_bytes=2048, body_bytes=1000, header_timeout_s=0.2, write_timeout_s=0.3)


async def handle(request: HttpRequest) -> HttpResponse:
    match request.path:
        case "/echo":
            return json_response({"body": request.body.decode(), **request.query})
        case "/stream":
            return HttpResponse(200, stream=pieces(3))
        case "/cut":
            return HttpResponse(200, stream=pieces(2, fail=True))
        case "/slow":
            await asyncio.sleep(5)
        case "/refuse":
            raise RefusedError("busy", retry_after_s=2)
        case "/crash":
            raise ValueError("a bug")
    return HttpResponse(204)


async def pieces(count: int, fail: bool = False) -> AsyncIterator[bytes]:
    for index in range(count):
        yield b"piece %d\n" % index
    if fail:
        raise RefusedError("cut")


@pytest.fixture
async def address() -> AsyncIterator[Address]:
    server = HttpServer(handle, LIMITS)
    yield await server.start("127.0.0.1", 0)
    await server.stop(0.1)


async def raw(address: Address, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 3)
    writer.close()
    return answer


async def test_answers_follow_on_one_connection(address: Address) -> None:
    client = HttpClient()
    for number in range(3):
        reply = await client.request(address, "POST", f"/echo?n={number}", b"hi")
        assert reply.body == b'{"body":"hi","n":"%d"}' % number
    assert len(client._idle.at(address)) == 1
    client.close()


async def test_stream_arrives_whole(address: Address) -> None:
    reply = await HttpClient().request(address, "GET", "/stream")
    assert reply.body == b"piece 0\npiece 1\npiece 2\n"


async def test_cut_stream_is_not_taken_as_whole(address: Address) -> None:
    with pytest.raises(HttpError) as caught:
        await HttpClient().request(address, "GET", "/cut")
    assert caught.value.ran is Ran.UNKNOWN


async def test_refusal_carries_code_and_retry_after(address: Address) -> None:
    reply = await HttpClient().request(address, "GET", "/refuse")
    assert (reply.status, reply.header_by_name["retry-after"]) == (503, "2")
    assert b'"code":2003' in reply.body and b'"ran":"no"' in reply.body


async def test_bug_in_handler_is_an_internal_error(address: Address) -> None:
    assert (await HttpClient().request(address, "GET", "/crash")).status == 500


async def test_timeout_says_unknown_and_connect_failure_says_not_run(address: Address) -> None:
    with pytest.raises(ExchangeTimeoutError) as caught:
        await HttpClient().request(address, "GET", "/slow", timeout_s=0.1)
    assert caught.value.ran is Ran.UNKNOWN
    with pytest.raises(ConnectError) as refused:
        await HttpClient().request(Address("127.0.0.1", 1), "GET", "/")
    assert refused.value.ran is Ran.NO


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70000, b"431"),
        (b"GET / HTTP/1.1\r\nhost: a", b"408"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n" + b"z" * 1001, b"413"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nslow", b"408"),
    ],
)
async def test_bad_requests_are_refused(address: Address, data: bytes, status: bytes) -> None:
    answer = await raw(address, data)
    assert answer.split()[1] == status


async def test_half_closed_caller_gets_its_answer(address: Address) -> None:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n")
    writer.write_eof()
    assert (await reader.read()).endswith(b"0\r\n\r\n")
    writer.close()


async def test_a_check_before_sending_keeps_every_byte_back_on_new_and_kept_connections() -> None:
    received: list[bytes] = []

    async def record(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            received.append(data)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        writer.close()

    allowed = False

    def check() -> None:
        if not allowed:
            raise RefusedError("not now")

    server = await asyncio.start_server(record, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    client = HttpClient(check)
    for step in (False, True, False):
        allowed = step
        if allowed:
            assert (await client.request(address, "GET", "/")).status == 200
            continue
        with pytest.raises(RefusedError) as refusal:
            await client.request(address, "GET", "/")
        assert refusal.value.ran is Ran.NO
    await asyncio.sleep(0)
    assert len(received) == 1
    client.close()
    server.close()


@settings(max_examples=20)
@given(delays_ms=st.lists(st.integers(0, 30), min_size=1, max_size=6), stop_ms=st.integers(0, 30))
async def test_stop_lets_every_request_that_runs_end_whole(
    delays_ms: list[int], stop_ms: int
) -> None:
    begun: set[str] = set()

    async def answer_later(request: HttpRequest) -> HttpResponse:
        begun.add(request.query["n"])
        return HttpResponse(200, stream=slow_pieces(int(request.query["ms"])))

    async def slow_pieces(delay_ms: int) -> AsyncIterator[bytes]:
        yield b"begin "
        await asyncio.sleep(delay_ms / 1000)
        yield b"end"

    async def call(number: int, delay_ms: int) -> str | None:
        target = f"/?n={number}&ms={delay_ms}"
        try:
            reply = await HttpClient().request(address, "GET", target, timeout_s=20)
        except HttpError:
            return None
        return reply.body.decode()

    server = HttpServer(answer_later)
    address = await server.start("127.0.0.1", 0)
    calls = [asyncio.create_task(call(n, ms)) for n, ms in enumerate(delays_ms)]
    await asyncio.sleep(stop_ms / 1000)
    await server.stop(20.0)
    answers = await asyncio.gather(*calls)
    assert {str(n) for n, answer in enumerate(answers) if answer == "begin end"} == begun
    assert all(answer in (None, "begin end") for answer in answers)


async def _raw(address: Address, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(65536), 5)
    writer.close()
    return answer


async def _echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, request.body)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", b"400"),
        (b"Content-Length: 999999999999\r\n", b"413"),
    ],
)
async def test_head_that_cannot_be_served_is_refused_at_once(head: bytes, status: bytes) -> None:
    server = HttpServer(_echo)
    address = await server.start("127.0.0.1", 0)
    answer = await _raw(address, b"POST / HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n")
    assert answer.split()[1] == status
    await server.stop(0.0)


async def test_handler_is_cancelled_when_its_caller_leaves() -> None:
    begun, cancelled = asyncio.Event(), asyncio.Event()

    async def wait(request: HttpRequest) -> HttpResponse:
        begun.set()
        try:
            await asyncio.sleep(30)
        finally:
            cancelled.set()
        return HttpResponse(200)

    server = HttpServer(wait, cancel_on_disconnect=True)
    address = await server.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await asyncio.wait_for(begun.wait(), 5)
    writer.close()
    await asyncio.wait_for(cancelled.wait(), 5)
    await server.stop(0.0)


async def _serve_bytes(*answers: bytes, reset: bool = False) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            # Closing with a linger time of zero sends a reset.
            linger = pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def _address(server: asyncio.Server) -> Address:
    return Address(*server.sockets[0].getsockname()[:2])


async def test_answer_without_a_length_ends_with_its_connection() -> None:
    server = await _serve_bytes(b"HTTP/1.1 200 OK\r\n\r\nwhole")
    client = HttpClient()
    assert (await client.request(_address(server), "GET", "/")).body == b"whole"
    server.close()


async def test_answer_without_a_length_that_is_reset_is_not_whole() -> None:
    server = await _serve_bytes(b"HTTP/1.1 200 OK\r\n\r\npart", reset=True)
    client = HttpClient()
    with pytest.raises(HttpError):
        await client.request(_address(server), "GET", "/")
    server.close()


async def test_bytes_after_an_answer_never_reach_the_next_request() -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    server = await _serve_bytes(answer + b"a" + answer + b"x", answer + b"b")
    client = HttpClient()
    first = await client.request(_address(server), "GET", "/")
    await asyncio.sleep(0.02)
    second = await client.request(_address(server), "GET", "/")
    assert (first.body, second.body) == (b"a", b"a")
    assert client.connections_opened == 2
    server.close()


async def test_idle_connection_is_not_used_beyond_the_time_that_its_peer_tells() -> None:
    head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na"
    server = await _serve_bytes(head, head)
    client = HttpClient()
    for _ in range(2):
        await client.request(_address(server), "GET", "/")
    assert client.connections_opened == 2
    server.close()
