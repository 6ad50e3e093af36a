"""Callers' listener: parsing, refusals and arbitrary input."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode, encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.requests.caller_request import authenticate, parse_chat, service_request
from comfreyhatch.daemon.requests.callers import CHAT_PATH, CallerHandler
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request import Priority, Usage
from comfreyhatch.errors import RequestError
from comfreyhatch.ports.engine import Chunk, ServiceAnswer
from comfreyhatch.standins.fleet import API_KEY, CONTRACT, CUSTOMER, SMALL
from tests.calls import AUTHORIZATION

CONFIG = FleetConfig(1, {CUSTOMER: CONTRACT}, {SMALL.version_id: SMALL})
GOOD_BODY = encode({"messages": [{"role": "user", "content": "q"}]})

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
bodies = st.binary(max_size=40) | st.builds(
    encode,
    st.fixed_dictionaries(
        {},
        optional={
            "messages": json_values
            | st.just([{"role": "user", "content": "q"}])
            | st.lists(st.fixed_dictionaries({"role": json_values, "content": json_values})),
            "model": json_values | st.sampled_from(["", SMALL.model, SMALL.version_id]),
            "max_tokens": json_values | st.integers(-1, 2000),
            "stream": json_values,
        },
    ),
)
header_names = st.sampled_from(
    ["x-session", "x-deadline-s", "x-priority", "x-critical", "x-task", "idempotency-key"]
)
headers = st.dictionaries(header_names, st.text(max_size=12) | st.integers().map(str))
paths = st.sampled_from([CHAT_PATH, "/v1/models", "/services/booking/x", "/services/", "/"])


class OneTokenRouter:
    """Router stand-in that answers every request with one token."""

    async def answer(self, *arguments: Any) -> AsyncGenerator[Chunk, None]:
        yield Chunk("r", 0, ("word ",), finish="length", usage=Usage(1, 1))


class EmptyServices:
    """Service router stand-in that answers every call with an empty JSON object."""

    async def answer(self, *arguments: Any) -> ServiceAnswer:
        return ServiceAnswer(200, "application/json", b"{}")


def request(
    path: str = CHAT_PATH, body: bytes = GOOD_BODY, method: str = "POST", **header: str
) -> HttpRequest:
    extra = {name.replace("_", "-"): value for name, value in header.items()}
    return HttpRequest(method, path, {}, {**AUTHORIZATION, **extra}, body)


@pytest.fixture
def handler() -> CallerHandler:
    router: Any = OneTokenRouter()
    services: Any = EmptyServices()

    async def confirmed_config() -> FleetConfig:
        return CONFIG

    return CallerHandler(
        "entry-a",
        "entry-a-1",
        router,
        services,
        lambda: CONFIG,
        confirmed_config,
        lambda: True,
        str.upper,
    )


@given(
    path=paths,
    method=st.sampled_from(["GET", "POST", "PUT"]),
    body=bodies,
    extra=headers,
    key=st.sampled_from([f"Bearer {API_KEY}", "Bearer x", "", "Basic \x00"]),
)
async def test_any_request_is_answered_or_refused_with_a_code(
    handler: CallerHandler, path: str, method: str, body: bytes, extra: dict[str, str], key: str
) -> None:
    sent = HttpRequest(method, path, {}, {**extra, "authorization": key}, body)
    response = await handler.handle(sent)
    assert response.header_by_name["x-request-id"].startswith("entry-a-1.")
    if response.status == 200:
        assert key == f"Bearer {API_KEY}"
        if response.stream:
            assert [piece async for piece in response.stream][-1] == b"data: [DONE]\n\n"
        return
    error = decode(response.body)["error"]
    assert 1000 < error["code"] < 2000
    assert error["ran"] == "no"
    assert error["message"]


@given(junk=st.lists(st.binary(max_size=60), max_size=3))
async def test_arbitrary_bytes_leave_the_listener_working(
    handler: CallerHandler, junk: list[bytes]
) -> None:
    server = HttpServer(handler.handle, HttpLimits(header_timeout_s=0.5))
    address = await server.start("127.0.0.1", 0)
    for data in junk:
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        writer.write_eof()
        writer.close()
    client = HttpClient()
    reply = await client.request(address, "POST", CHAT_PATH, GOOD_BODY, AUTHORIZATION)
    assert reply.status == 200
    client.close()
    await server.stop(0)


@pytest.mark.parametrize(
    ("header", "priority", "critical"),
    [
        ({}, Priority.NORMAL, False),
        ({"x_priority": "9"}, CONTRACT.max_priority, False),
        ({"x_priority": "0"}, 0, False),
        ({"x_critical": "true"}, Priority.CRITICAL, True),
    ],
)
def test_priority_is_bounded_by_the_contract(
    header: dict[str, str], priority: int, critical: bool
) -> None:
    call = parse_chat(request(**header), "r", CONTRACT, now=100.0)
    assert (call.priority, call.critical) == (priority, critical)
    assert call.deadline == 100.0 + CONTRACT.default_deadline_s


@pytest.mark.parametrize(
    ("body", "header"),
    [
        (b"{", {}),
        (b'{"messages": []}', {}),
        (b'{"messages": [{"role": "user"}]}', {}),
        (b'{"messages": [{"role": "user", "content": "q"}], "max_tokens": 0}', {}),
        (b'{"messages": [{"role": "user", "content": "q"}], "max_tokens": 4096}', {}),
        (GOOD_BODY, {"x_deadline_s": "soon"}),
        (GOOD_BODY, {"x_deadline_s": "-1"}),
        (GOOD_BODY, {"x_deadline_s": "nan"}),
        (GOOD_BODY, {"x_task": "t" * 65}),
        (GOOD_BODY, {"x_session": "s" * 257}),
        (GOOD_BODY, {"x_priority": "10"}),
        (GOOD_BODY, {"x_priority": "\u00b2"}),
    ],
)
def test_malformed_requests_are_refused(body: bytes, header: dict[str, str]) -> None:
    with pytest.raises(RequestError) as caught:
        parse_chat(request(body=body, **header), "r", CONTRACT, now=0.0)
    assert caught.value.code is ResultCode.BAD_REQUEST


@pytest.mark.parametrize("key", ["", "Bearer", "Bearer ", "Bearer wrong", f"Basic {API_KEY}"])
def test_only_a_known_api_key_is_accepted(key: str) -> None:
    with pytest.raises(RequestError) as caught:
        authenticate(HttpRequest("GET", "/", {}, {"authorization": key}), CONFIG)
    assert caught.value.code is ResultCode.UNAUTHENTICATED
    known = HttpRequest("GET", "/", {}, {"authorization": f"bearer {API_KEY}"})
    assert authenticate(known, CONFIG) is CONTRACT


@pytest.mark.parametrize("path", [CHAT_PATH, "/services/booking/slots"])
async def test_request_that_is_read_after_its_deadline_is_refused_as_not_run(
    handler: CallerHandler, path: str
) -> None:
    late_s = CONTRACT.default_deadline_s + 0.1
    response = await handler.handle(
        HttpRequest("POST", path, {}, dict(AUTHORIZATION), GOOD_BODY, waited_s=late_s)
    )
    error = decode(response.body)["error"]
    assert (error["code"], error["ran"]) == (ResultCode.DEADLINE_EXCEEDED, "no")


def test_request_that_is_read_late_has_the_time_that_is_left() -> None:
    late = request()
    late.waited_s = 0.5
    call = parse_chat(late, "r", CONTRACT, now=100.0)
    assert call.deadline == 99.5 + CONTRACT.default_deadline_s


def test_query_of_a_service_call_is_forwarded_unchanged() -> None:
    raw = "lane=4&lane=5&note=&at=10%3A30+b"
    sent = HttpRequest("GET", "/services/booking/slots", {}, {}, raw_query=raw)
    assert service_request(sent, "r", "slots").path == f"/slots?{raw}"


async def test_caller_that_does_not_read_pauses_its_answer(handler: CallerHandler) -> None:
    """A caller that does not read must stop the source of its answer, or it fills memory."""
    produced = 0

    async def endless() -> AsyncIterator[bytes]:
        nonlocal produced
        while True:
            produced += 1
            yield b"x" * 65536
            await asyncio.sleep(0)

    async def handle(sent: HttpRequest) -> Any:
        response = await handler.handle(sent)
        response.stream = endless()
        return response

    server = HttpServer(handle, HttpLimits(write_timeout_s=0.5))
    address = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(address.host, address.port, limit=1024)
    authorization = AUTHORIZATION["authorization"]
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nhost: a\r\nauthorization: {authorization}\r\n"
    writer.write(f"{head}content-length: {len(GOOD_BODY)}\r\n\r\n".encode() + GOOD_BODY)
    await reader.read(1)
    async with asyncio.timeout(20):
        while server.busy:
            await asyncio.sleep(0.05)
    assert produced < 1000
    writer.close()
    await server.stop(0)
