"""The HTTP client against endpoints whose answers do not end, or that send no HTTP at all."""

import asyncio
from collections.abc import Callable

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from comfreyhatch.adapters.http_client import READ_SIZE_BYTES, HttpClient
from comfreyhatch.adapters.http_link import UNREAD_LIMIT_BYTES, AnswerPart
from comfreyhatch.adapters.http_reply import EVENTS_PER_TURN
from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import AnswerTooLargeError, ExchangeTimeoutError, HttpError
from tests.raw_endpoint import RawEndpoint, listening

OK = b"HTTP/1.1 200 OK\r\n"
SIZED = OK + b"content-length: 2\r\n\r\nok"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
UNSIZED = OK + b"\r\n"
FILL = b"x" * 65536
# Longest time for an error that does not depend on a timeout; the timeouts of the tests are longer.
AT_ONCE_S = 5.0
LONG_S = 30.0


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(AT_ONCE_S):
        while not condition():
            await asyncio.sleep(0.01)


async def failure(endpoint: RawEndpoint, timeout_s: float = LONG_S) -> HttpError:
    """Return the error of a request; it has to end the connection, and to leave open what ran."""
    client = HttpClient()
    with pytest.raises(HttpError) as caught:
        async with asyncio.timeout(AT_ONCE_S):
            await client.request(endpoint.address, "GET", "/", timeout_s=timeout_s)
    assert caught.value.ran is Ran.UNKNOWN
    await wait_until(lambda: endpoint.resets)
    return caught.value


@pytest.mark.parametrize(
    ("start", "unit", "pause_s"),
    [
        (OK + b"x: ", FILL, 0.0),
        (OK, b"x: y\r\n" * 1000, 0.0),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100, 0.0),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.001),
        (b"", FILL, 0.0),
        (b"garbage", b"x", 0.1),
        (b"HTTP/2", b"x", 0.1),
        (b"HTTP/1.1 100 Continue\r\n\r\n", b"x", 0.1),
        (b"\x16\x03\x01", FILL, 0.0),
    ],
    ids=[
        "header_line",
        "headers",
        "fast_informational",
        "slow_informational",
        "no_http",
        "slow_no_http",
        "no_http_after_similar_bytes",
        "no_http_after_informational",
        "binary",
    ],
)
async def test_head_without_end_ends_the_request_at_once(
    start: bytes, unit: bytes, pause_s: float
) -> None:
    async with listening(start, unit, pause_s) as endpoint:
        assert not isinstance(await failure(endpoint), ExchangeTimeoutError)


async def test_answer_that_is_too_large_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async with listening(OK + b"x: ", FILL) as endpoint:
        await failure(endpoint)
        assert f"event=answer_too_large address={endpoint.address} part=head" in caplog.text


@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (CHUNKED + b"2;", FILL),
        (CHUNKED, FILL),
        (CHUNKED + b"2\r\nok\r\n0\r\n", b"x: y\r\n" * 1000),
    ],
    ids=["extension", "no_chunk", "trailers"],
)
async def test_framing_without_end_ends_the_request_at_once(start: bytes, unit: bytes) -> None:
    async with listening(start, unit) as endpoint:
        assert not isinstance(await failure(endpoint), ExchangeTimeoutError)


@pytest.mark.parametrize(
    "start", [OK + b"x: ", CHUNKED + b"2;", CHUNKED + b"0\r\n"], ids=["head", "chunk", "trailer"]
)
async def test_drip_that_completes_nothing_ends_with_the_wait_for_a_piece(start: bytes) -> None:
    # Each byte renewed the wait, so that a byte now and then kept a stream waiting for ever.
    async with listening(start, b"x", 0.02) as endpoint:
        client = HttpClient()
        with pytest.raises(ExchangeTimeoutError):
            async with (
                asyncio.timeout(AT_ONCE_S),
                client.stream(endpoint.address, "GET", "/", timeout_s=0.3) as reply,
            ):
                _ = [piece async for piece in reply.pieces(0.3)]
        await wait_until(lambda: endpoint.resets)


@settings(max_examples=50)
@given(
    garbage=st.binary(min_size=1, max_size=300),
    cuts=st.lists(st.integers(0, 300), max_size=5),
    informational=st.booleans(),
)
async def test_garbage_is_never_a_success(
    garbage: bytes, cuts: list[int], informational: bool
) -> None:
    lead = b"HTTP/1.1 100 Continue\r\n\r\n" if informational else b""
    bounds = sorted({0, *(cut for cut in cuts if cut < len(garbage)), len(garbage)})
    parts = [lead] + [garbage[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assume(not garbage.startswith(b"HTTP/1."))
    server = await _serve_parts(parts)
    with pytest.raises(HttpError):
        await HttpClient().request(_address(server), "GET", "/", timeout_s=LONG_S)
    server.close()


@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (UNSIZED, FILL),
        (CHUNKED, b"%x\r\n%s\r\n" % (len(FILL), FILL)),
        (CHUNKED, b"1\r\nx\r\n" * 4096),
        (OK + b"content-length: 99999999999\r\n\r\n", FILL),
        (OK + b"content-length: 99999999999\r\n\r\n", b""),
    ],
    ids=["unsized", "chunks", "small_chunks", "sized", "declared_only"],
)
async def test_body_without_end_ends_the_request_within_the_limit(
    start: bytes, unit: bytes
) -> None:
    # The body was kept in memory until the timeout: as many bytes as the endpoint could send.
    limit_bytes = 200_000
    client = HttpClient(whole_limit_bytes=limit_bytes)
    async with listening(start, unit) as endpoint:
        with pytest.raises(AnswerTooLargeError):
            async with asyncio.timeout(AT_ONCE_S):
                await client.request(endpoint.address, "GET", "/", timeout_s=LONG_S)
        await wait_until(lambda: endpoint.resets)
        assert client.too_large_by_part[AnswerPart.BODY] == 1


async def test_error_of_a_body_without_end_does_not_keep_the_body() -> None:
    # Errors are in reference cycles with their tasks, and live until the next collection.
    client = HttpClient(whole_limit_bytes=4_000_000)
    async with listening(UNSIZED, FILL) as endpoint:
        with pytest.raises(AnswerTooLargeError) as caught:
            await client.request(endpoint.address, "GET", "/", timeout_s=LONG_S)
    frames = [entry.frame for entry in caught.traceback]
    kept = [value for frame in frames for value in frame.f_locals.values()]
    sizes = [len(value) for value in kept if isinstance(value, bytes | bytearray)]
    assert sum(sizes) <= 4 * READ_SIZE_BYTES


async def test_body_of_the_limit_is_returned_whole() -> None:
    body = FILL * 4
    answer = OK + b"content-length: %d\r\n\r\n" % len(body) + body
    client = HttpClient(whole_limit_bytes=len(body))
    async with listening(answer) as endpoint:
        assert (await client.request(endpoint.address, "GET", "/")).body == body
        client.close()


async def test_answer_to_head_has_no_body_whatever_length_it_tells() -> None:
    client = HttpClient(whole_limit_bytes=10)
    async with listening(OK + b"content-length: 4000\r\n\r\n") as endpoint:
        assert (await client.request(endpoint.address, "HEAD", "/")).body == b""
        client.close()


async def test_stream_longer_than_the_limit_of_whole_bodies_passes() -> None:
    client = HttpClient(whole_limit_bytes=10)
    async with (
        listening(UNSIZED, FILL) as endpoint,
        client.stream(endpoint.address, "GET", "/") as reply,
    ):
        size = 0
        async for piece in reply.pieces(1.0):
            size += len(piece)
            if size >= 40 * len(FILL):
                break


@settings(max_examples=50)
@given(cut=st.integers(0, 60), garbage=st.binary(max_size=40), pauses=st.lists(st.integers(0, 99)))
async def test_chunked_answer_cut_and_followed_by_garbage_is_never_a_success(
    cut: int, garbage: bytes, pauses: list[int]
) -> None:
    whole = CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    sent = whole[: len(whole) - cut] + garbage
    bounds = sorted({0, *(pause for pause in pauses if pause < len(sent)), len(sent)})
    server = await _serve_parts([sent[a:b] for a, b in zip(bounds, bounds[1:], strict=False)])
    request = HttpClient().request(_address(server), "GET", "/", timeout_s=LONG_S)
    if sent.startswith(whole):
        assert (await request).body == b"abc"
    else:
        with pytest.raises(HttpError):
            await request
    server.close()


async def test_bytes_after_an_answer_that_was_read_late_reset_the_connection() -> None:
    # Reading was paused while an answer waited for its reader, and stayed paused once the
    # connection was idle: what came after the answer was read as the answer to the next request.
    body = b"x" * (UNREAD_LIMIT_BYTES * 3 // 2)
    answer = OK + b"content-length: %d\r\n\r\n" % len(body) + body
    client = HttpClient()
    async with listening(answer, OK + b"\r\n", pause_s=0.5) as endpoint:
        async with client.stream(endpoint.address, "GET", "/", timeout_s=LONG_S) as reply:
            await wait_until(lambda: not reply._link.transport.is_reading())
            received = [piece async for piece in reply.pieces(LONG_S)]
        assert b"".join(received) == body
        await wait_until(lambda: endpoint.resets)
    client.close()


async def test_endless_bytes_after_an_answer_reset_the_connection() -> None:
    client = HttpClient()
    async with listening(SIZED, FILL) as endpoint:
        assert (await client.request(endpoint.address, "GET", "/")).body == b"ok"
        await wait_until(lambda: endpoint.resets)


async def test_reading_pauses_while_nobody_takes_an_answer_without_end() -> None:
    client = HttpClient()
    async with (
        listening(UNSIZED, FILL) as endpoint,
        client.stream(endpoint.address, "GET", "/", timeout_s=LONG_S) as reply,
    ):
        await wait_until(lambda: not reply._link.transport.is_reading())
        pieces = reply.pieces(LONG_S)
        assert len(await anext(pieces)) <= UNREAD_LIMIT_BYTES + READ_SIZE_BYTES


async def test_other_tasks_go_on_while_small_chunks_come_without_end() -> None:
    # All chunks of one read were handled in a row, up to 43,000 of them.
    client = HttpClient()
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    counting = asyncio.create_task(count_turns())
    async with (
        listening(CHUNKED, b"1\r\nx\r\n" * 4096) as endpoint,
        client.stream(endpoint.address, "GET", "/", timeout_s=LONG_S) as reply,
    ):
        number = 0
        async for piece in reply.pieces(LONG_S):
            assert len(piece) <= EVENTS_PER_TURN
            number += 1
            assert turns >= number - 1
            if number == 200:
                break
    counting.cancel()


def _address(server: asyncio.Server) -> Address:
    return Address(*server.sockets[0].getsockname()[:2])


async def _serve_parts(parts: list[bytes]) -> asyncio.Server:
    """Serve the parts of an answer one after another, and then close the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)
