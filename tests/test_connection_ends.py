"""How connections end, as processes on the other side see it."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_pool import IDLE_PER_ADDRESS
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.errors import (
    AnswerMemoryError,
    AnswerTooLargeError,
    ExchangeTimeoutError,
    RefusedError,
)
from tests.lost_paths import Loss, LostPaths
from tests.other_side import (
    EOF,
    PART_BYTES,
    RESET,
    OtherSide,
    caller_process,
    endpoint_process,
)
from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_raw_worker import replace_worker

SHORT_S = 0.2
BODY_BYTES = 300_000
WAIT_S = 30.0

Finish = Callable[[HttpClient, OtherSide, Callable[[], None]], Awaitable[None]]


@pytest.fixture
async def endpoint() -> AsyncIterator[OtherSide]:
    async with endpoint_process() as running:
        yield running


async def time_out_before_the_head(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    meanwhile()
    with pytest.raises(ExchangeTimeoutError):
        async with client.stream(endpoint.address, "GET", "/silent", timeout_s=SHORT_S):
            pass


async def time_out_as_a_whole(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    meanwhile()
    with pytest.raises(ExchangeTimeoutError):
        await client.request(endpoint.address, "GET", "/silent", timeout_s=SHORT_S)


async def cancel_before_the_head(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    meanwhile()
    sending = asyncio.create_task(client.request(endpoint.address, "GET", "/silent"))
    await asyncio.sleep(SHORT_S)
    sending.cancel()
    with suppress(asyncio.CancelledError):
        await sending


async def time_out_between_pieces(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    with pytest.raises(ExchangeTimeoutError):
        async with client.stream(endpoint.address, "GET", "/part") as reply:
            meanwhile()
            await reply.whole(SHORT_S, PART_BYTES)


async def time_out_by_the_end(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    with pytest.raises(ExchangeTimeoutError):
        async with client.stream(endpoint.address, "GET", "/part") as reply:
            meanwhile()
            await reply.whole(SHORT_S, PART_BYTES, until=0.0)


async def leave_in_the_body(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    async with client.stream(endpoint.address, "GET", "/part"):
        meanwhile()


async def abort_in_the_body(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    async with client.stream(endpoint.address, "GET", "/part") as reply:
        meanwhile()
        reply.abort()
        await asyncio.sleep(0)


async def refuse_a_large_answer(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    with pytest.raises(AnswerTooLargeError):
        async with client.stream(endpoint.address, "GET", "/part") as reply:
            meanwhile()
            await reply.whole(SHORT_S, PART_BYTES - 1)


async def lack_memory(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    with pytest.raises(AnswerMemoryError):
        async with client.stream(endpoint.address, "GET", "/part") as reply:
            meanwhile()
            await reply.whole(SHORT_S, PART_BYTES, take=lambda size: False)


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize(
    "abandon",
    [
        time_out_before_the_head,
        time_out_as_a_whole,
        cancel_before_the_head,
        time_out_between_pieces,
        time_out_by_the_end,
        leave_in_the_body,
        abort_in_the_body,
        refuse_a_large_answer,
        lack_memory,
    ],
)
async def test_endpoint_sees_a_reset_where_a_request_was_given_up(
    endpoint: OtherSide, abandon: Finish, paused: bool
) -> None:
    client = HttpClient()
    try:
        await abandon(client, endpoint, endpoint.pause if paused else lambda: None)
        # The transport closes at the next turn of the loop.
        await asyncio.sleep(0.05)
    finally:
        endpoint.resume()
    await endpoint.wait_until(lambda: endpoint.ends)
    assert endpoint.ends == [RESET]
    assert len(endpoint.targets) == 1


async def keep_connection(client: HttpClient, endpoint: OtherSide) -> None:
    assert (await client.request(endpoint.address, "GET", "/whole")).body == b"ok"
    assert client._idle.at(endpoint.address)


async def stop_client(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    await keep_connection(client, endpoint)
    meanwhile()
    client.close()


async def drop_idle(client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]) -> None:
    await keep_connection(client, endpoint)
    meanwhile()
    client.drop_idle(endpoint.address)


async def let_idle_connection_age(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    await keep_connection(client, endpoint)
    client._idle.at(endpoint.address)[0].idle_life_s = 0.0
    await client.request(endpoint.address, "GET", "/whole")


async def keep_too_many(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    meanwhile()
    for _ in range(IDLE_PER_ADDRESS + 1):
        assert await client.can_connect(endpoint.address)


async def read_a_last_answer(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    assert (await client.request(endpoint.address, "GET", "/last")).body == b"ok"


async def get_bytes_after_an_answer(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    assert (await client.request(endpoint.address, "GET", "/stray")).body == b"ok"


async def send_nothing(
    client: HttpClient, endpoint: OtherSide, meanwhile: Callable[[], None]
) -> None:
    def refuse() -> None:
        raise RefusedError("not now")

    client._before_send = refuse
    meanwhile()
    with pytest.raises(RefusedError):
        await client.request(endpoint.address, "GET", "/whole")


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize(
    "close",
    [
        stop_client,
        drop_idle,
        let_idle_connection_age,
        keep_too_many,
        read_a_last_answer,
        get_bytes_after_an_answer,
        send_nothing,
    ],
)
async def test_endpoint_sees_an_ordinary_end_where_no_request_was_given_up(
    endpoint: OtherSide, close: Finish, paused: bool
) -> None:
    client = HttpClient()
    try:
        await close(client, endpoint, endpoint.pause if paused else lambda: None)
        # The transport closes at the next turn of the loop.
        await asyncio.sleep(0.05)
    finally:
        endpoint.resume()
    await endpoint.wait_until(lambda: endpoint.ends)
    assert endpoint.ends[0] == EOF
    client.close()


@pytest.fixture
async def harness(endpoint: OtherSide) -> AsyncIterator[PlatformHarness]:
    """Yield a harness whose daemon knows the endpoint's process as a worker of each service."""
    async with running_harness() as running:
        for worker_id in ("desk-1", "desk-2", "engine-1", "engine-2"):
            await replace_worker(running, worker_id, endpoint)
        yield running


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("path", ["/pay/silent", "/read/silent", "/draft/silent", "/draft/part"])
async def test_endpoint_sees_a_reset_where_the_caller_has_left(
    harness: PlatformHarness, endpoint: OtherSide, path: str, paused: bool
) -> None:
    sending = asyncio.create_task(harness.send_kind(path))
    await endpoint.wait_until(lambda: endpoint.targets)
    if paused:
        endpoint.pause()
    try:
        sending.cancel()
        await asyncio.sleep(SHORT_S)
    finally:
        endpoint.resume()
    await endpoint.wait_until(lambda: len(endpoint.ends) >= len(endpoint.targets))
    assert set(endpoint.ends) == {RESET}


@pytest.mark.parametrize("path", ["/pay/silent", "/read/silent", "/draft/silent", "/draft/part"])
async def test_endpoint_sees_a_reset_where_the_time_of_a_request_is_over(
    harness: PlatformHarness, endpoint: OtherSide, path: str
) -> None:
    await harness.send_kind(path, deadline_ms="800")
    await endpoint.wait_until(lambda: len(endpoint.ends) >= len(endpoint.targets) > 0)
    assert set(endpoint.ends) == {RESET}


async def test_endpoint_sees_a_reset_where_a_hedge_has_answered(endpoint: OtherSide) -> None:
    async with running_harness() as harness:
        await replace_worker(harness, "desk-1", endpoint)
        while not endpoint.targets:
            assert (await harness.send("/read/silent")).status == 200
        await endpoint.wait_until(lambda: len(endpoint.ends) >= len(endpoint.targets))
        assert set(endpoint.ends) == {RESET}


async def test_endpoint_sees_a_reset_where_a_stalled_stream_went_on_elsewhere(
    endpoint: OtherSide,
) -> None:
    async with running_harness() as harness:
        await replace_worker(harness, "engine-1", endpoint)
        while not endpoint.targets:
            await harness.send_kind("/draft/part")
        await endpoint.wait_until(lambda: len(endpoint.ends) >= len(endpoint.targets))
        assert set(endpoint.ends) == {RESET}


async def test_endpoint_sees_a_reset_where_the_caller_of_a_relayed_request_has_left(
    harness: PlatformHarness, endpoint: OtherSide
) -> None:
    await harness.add_daemons(1)
    paths = LostPaths(harness.daemons[0])
    paths.cut(Loss.RESET)
    sending = asyncio.create_task(harness.send("/pay/silent", 0))
    await endpoint.wait_until(lambda: endpoint.targets)
    sending.cancel()
    await endpoint.wait_until(lambda: endpoint.ends)
    assert endpoint.ends == [RESET]


async def handle(request: HttpRequest) -> HttpResponse:
    match request.path:
        case "/cut":
            return HttpResponse(200, stream=cut_pieces())
        case "/slow":
            await asyncio.sleep(WAIT_S)
    return HttpResponse(200, b"x" * BODY_BYTES)


async def cut_pieces() -> AsyncIterator[bytes]:
    yield b"x" * BODY_BYTES
    await asyncio.sleep(SHORT_S)
    raise RefusedError("cut")


@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize(
    ("request_bytes", "least_bytes"),
    [
        (b"GET /idle HTTP/1.1\r\nhost: a\r\n\r\n", BODY_BYTES),
        (b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", BODY_BYTES),
        (b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n", BODY_BYTES),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n" + b"x" * 2000, 1),
        (b"GET / HTTP/1.1\r\nhost:", 1),
        (b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n", 1),
    ],
)
async def test_caller_sees_an_ordinary_end_after_all_bytes_of_its_answer(
    request_bytes: bytes, least_bytes: int, paused: bool
) -> None:
    limits = HttpLimits(body_bytes=1000, header_timeout_s=SHORT_S, idle_timeout_s=SHORT_S)
    server = HttpServer(handle, limits, cancel_on_disconnect=True)
    address = await server.start("127.0.0.1", 0)
    async with caller_process(address, request_bytes) as caller:
        await caller.wait_until(lambda: caller.targets)
        if paused:
            caller.pause()
        stopping = asyncio.create_task(server.stop(4 * SHORT_S))
        await asyncio.sleep(2 * SHORT_S)
        caller.resume()
        await stopping
        await caller.wait_until(lambda: caller.ends)
        assert caller.ends == [EOF]
        assert caller.read_bytes >= least_bytes
