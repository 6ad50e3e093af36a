"""Forwarded requests: authentication, the hop limit, and errors that keep code and `ran`."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from random import Random
from typing import Any

import pytest
from msgspec.json import decode, encode

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse, error_response
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.forwarding import (
    GENERATE_PATH,
    HOP_HEADER,
    MAX_HOPS,
    SIGNATURE_HEADER,
    STAMP_HEADER,
    Envelope,
    ForwardedRequestHandler,
    Forwarder,
    new_stamp,
    sign,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import BackendError, BackendRefusedError, RefusedError
from comfreyhatch.ports.engine import (
    AnswerOrigin,
    Chunk,
    GenerateRequest,
    ServiceAnswer,
    ServiceRequest,
)
from comfreyhatch.ports.peers import Member, MembershipView
from comfreyhatch.standins.fleet import FLEET_KEY, FleetPlan, LocalFleet

KEY = b"fleet key"
REQUEST = GenerateRequest("r1", "coach@1", (ChatMessage("user", "hi"),), 2, 5)
CALL = ServiceRequest("r2", "POST", "/deposits", b"{}")


class FakeDispatcher:
    """Dispatcher of one daemon; `served` lists the ids of the requests that it ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.holds_slots = True
        self.zone_holders: set[str] = set()
        self.served: list[str] = []
        self.error: Exception | None = None

    def config(self) -> FleetConfig:
        return FleetConfig()

    def has_slots(self, target: str, config: FleetConfig) -> bool:
        return self.holds_slots

    def holders(self, target: str, config: FleetConfig) -> set[str]:
        return self.zone_holders

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[Chunk, None]:
        self.run(request.request_id)
        yield Chunk(request.request_id, 0, ("a",))
        yield Chunk(
            request.request_id, 1, ("b",), "stop", served=AnswerOrigin("e", "a", self.name, "1/1")
        )

    async def call(
        self, name: str, request: ServiceRequest, timeout_s: float
    ) -> tuple[ServiceAnswer, AnswerOrigin]:
        self.run(request.request_id)
        return ServiceAnswer(200, "text/plain", b"done"), AnswerOrigin("e", "a", self.name, "1/1")

    def run(self, request_id: str) -> None:
        if self.error:
            raise self.error
        self.served.append(request_id)


class Daemons:
    """Daemons of one zone with their listeners for forwarded requests."""

    def __init__(self) -> None:
        self.dispatcher_by_id: dict[str, FakeDispatcher] = {}
        self.member_by_id: dict[str, Member] = {}
        self.servers: list[HttpServer] = []

    def forwarder(self, name: str, hop: int) -> Forwarder:
        return Forwarder(
            name, "a", KEY, lambda: MembershipView(self.member_by_id), Random(1), hop=hop
        )

    async def start(self, name: str) -> None:
        dispatcher: Any = FakeDispatcher(name)
        handler = ForwardedRequestHandler(dispatcher, (KEY,), self.forwarder(name, MAX_HOPS))
        server = HttpServer(handler.handle)
        address = handler.address = await server.start("127.0.0.1", 0)
        self.servers.append(server)
        self.dispatcher_by_id[name] = dispatcher
        self.member_by_id[name] = Member(name, "1", "a", address, address)


@pytest.fixture
async def daemons() -> AsyncIterator[Daemons]:
    daemons = Daemons()
    for name in ("x", "y"):
        await daemons.start(name)
    yield daemons
    for server in daemons.servers:
        await server.stop(0.1)


async def generate(daemons: Daemons, hop: int) -> str:
    """Send a request to x and return the daemon that served it."""
    open_answer = daemons.forwarder("caller", hop).generate_via(daemons.member_by_id["x"])
    chunks = [chunk async for chunk in open_answer(REQUEST)]
    assert "".join(token for chunk in chunks for token in chunk.tokens) == "ab"
    assert chunks[-1].served
    return chunks[-1].served.dispatcher


async def test_daemon_without_slots_forwards_to_a_holder_at_most_once(daemons: Daemons) -> None:
    x, y = daemons.dispatcher_by_id.values()
    assert await generate(daemons, hop=1) == "x"
    x.holds_slots, x.zone_holders = False, {"y"}
    y.holds_slots, y.zone_holders = False, {"x"}
    assert await generate(daemons, hop=1) == "y"
    assert await generate(daemons, hop=MAX_HOPS) == "x"
    answer, served = await daemons.forwarder("caller", 1).call(
        daemons.member_by_id["x"], "booking", CALL, 5.0
    )
    assert (answer.body, served and served.dispatcher, y.served[-1]) == (b"done", "y", "r2")


@pytest.mark.parametrize(
    ("error", "ran"),
    [
        (RefusedError("full"), Ran.NO),
        (BackendError("failed"), Ran.UNKNOWN),
        (BackendError("refused", ResultCode.ENDPOINT_REFUSED, Ran.NO), Ran.NO),
    ],
)
@pytest.mark.parametrize("x_holds_slots", [True, False])
async def test_error_states_over_each_hop_whether_the_request_ran(
    daemons: Daemons, error: Exception, ran: Ran, x_holds_slots: bool
) -> None:
    x, y = daemons.dispatcher_by_id.values()
    x.holds_slots, x.zone_holders = x_holds_slots, {"y"}
    x.error = y.error = error
    forwarder = daemons.forwarder("caller", 1)
    with pytest.raises(BackendError) as caught:
        await forwarder.call(daemons.member_by_id["x"], "booking", CALL, 5.0)
    assert caught.value.ran is ran
    with pytest.raises(BackendError) as caught:
        await generate(daemons, hop=1)
    assert caught.value.ran is ran


@pytest.mark.parametrize(
    "forged", ["key", "body", "hop", "path", "recipient", "stamp", "old", "none"]
)
async def test_forged_request_is_refused_and_not_run(daemons: Daemons, forged: str) -> None:
    address, body = daemons.member_by_id["x"].http, encode(REQUEST)
    envelope = Envelope(
        str(daemons.member_by_id["y"].http if forged == "recipient" else address),
        "/call" if forged == "path" else GENERATE_PATH,
        "2" if forged == "hop" else "1",
        new_stamp() if forged != "old" else "1000000.abc",
    )
    signature = sign(b"other key" if forged == "key" else KEY, envelope, body)
    headers = {
        HOP_HEADER: "1",
        STAMP_HEADER: new_stamp() if forged == "stamp" else envelope.stamp,
        SIGNATURE_HEADER: "" if forged == "none" else signature,
    }
    sent = body.replace(b"r1", b"r9") if forged == "body" else body
    assert await post(address, sent, headers) == ResultCode.PEER_REFUSED
    assert daemons.dispatcher_by_id["x"].served == []


async def test_replayed_request_is_refused_and_runs_once(daemons: Daemons) -> None:
    address, body = daemons.member_by_id["x"].http, encode(REQUEST)
    envelope = Envelope(str(address), GENERATE_PATH, "1", new_stamp())
    headers = {
        HOP_HEADER: "1",
        STAMP_HEADER: envelope.stamp,
        SIGNATURE_HEADER: sign(KEY, envelope, body),
    }
    assert await post(address, body, headers) == ResultCode.OK
    assert await post(address, body, headers) == ResultCode.PEER_REFUSED
    assert daemons.dispatcher_by_id["x"].served == ["r1"]


async def post(address: Address, body: bytes, headers: dict[str, str]) -> int:
    """Send a forwarded request with the given headers and return the result code."""
    client = HttpClient()
    reply = await client.request(address, "POST", GENERATE_PATH, body, headers)
    client.close()
    return 0 if reply.status == 200 else int(decode(reply.body)["error"]["code"])


async def test_refusal_by_another_daemon_keeps_its_code() -> None:
    async def handle(request: HttpRequest) -> HttpResponse:
        return error_response(RefusedError("full", ResultCode.OVERLOADED, retry_after_s=2))

    server = HttpServer(handle)
    address = await server.start("127.0.0.1", 0)
    daemon = Instance("entry-b", Role.DAEMON, "b", address)
    request = GenerateRequest("r-1", "m@1", (), 4, 5)
    with pytest.raises(BackendRefusedError) as caught:
        _ = [chunk async for chunk in HttpEngine(HttpClient()).generate(daemon, request)]
    assert (caught.value.code, caught.value.ran) == (ResultCode.OVERLOADED, Ran.NO)
    assert caught.value.retry_after_s == 2
    await server.stop(0)


async def test_call_that_its_sender_gave_up_while_it_waited_for_a_slot_is_not_sent() -> None:
    plan = FleetPlan(zones=("b",), engine_zones=(), service_zones=("b",))
    async with LocalFleet(plan) as fleet:
        daemon, service = fleet.daemon_by_id["entry-b0"], fleet.service_by_id["service-b0"]
        member = daemon.membership.own
        service.faults.cold, service.faults.cold_bears = True, 1
        await fleet.until(lambda: daemon.dispatcher._service_slots("booking") == 1)
        service.faults.slow_s = 1.0
        view = MembershipView({member.instance_id: member})
        forwarder = Forwarder("caller", "a", FLEET_KEY, lambda: view, Random(1))

        def send(number: int) -> asyncio.Task[tuple[ServiceAnswer, AnswerOrigin | None]]:
            request = ServiceRequest(f"r{number}", "GET", "/accounts", b"")
            return asyncio.create_task(forwarder.call(member, "booking", request, 20.0))

        arrivals = service.witness.arrival_times_s
        running = send(1)
        await fleet.until(lambda: len(arrivals) == 1)
        given_up = send(2)
        queue = daemon.dispatcher._service_controller("booking")
        await fleet.until(lambda: queue.waiting == 1)
        given_up.cancel()
        last = send(3)
        assert [(await task)[0].status for task in (running, last)] == [200, 200]
        assert len(arrivals) == 2
