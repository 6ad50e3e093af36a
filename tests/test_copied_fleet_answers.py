"""The own fleet with endpoints that send the copy of an earlier answer before the next one."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from random import Random
from typing import Any

import pytest
from msgspec.json import decode, encode
from msgspec.structs import replace

from comfreyhatch.adapters.answer_identity import AnswerOwner
from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient, HttpReply
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.service_http import HttpPlainService
from comfreyhatch.codes import Ran
from comfreyhatch.daemon.requests.forwarding import (
    MAX_HOPS,
    ForwardedMintedCall,
    ForwardedRequestHandler,
    Forwarder,
    SigningClient,
)
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    BackendRefusedError,
    StaleFenceError,
)
from comfreyhatch.ports.engine import GenerateRequest, Order, OrderKind, ServiceRequest
from comfreyhatch.ports.peers import Member, MembershipView
from comfreyhatch.standins.engine import EngineStandin
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from comfreyhatch.standins.service import ServiceStandin
from tests.calls import AUTHORIZATION, book, chat
from tests.copying_proxy import CopyingProxy, copying, with_id, without_id
from tests.test_forwarding import FakeDispatcher

KEY = b"fleet key"
CALL = ServiceRequest("r-1", "POST", "/orders", b"{}")
CHAT = GenerateRequest("r-1", "m@1", (ChatMessage("user", "hello there"),), 5, 5, deadline_s=5)
CALLS = 8

Rewrite = Callable[[bytes], bytes]


def is_refusal(answer: bytes) -> bool:
    return answer.startswith(b"HTTP/1.1 503")


def is_work(answer: bytes) -> bool:
    """Return whether an answer is none to a question for the load."""
    return b'"bears"' not in answer or b"event-stream" in answer


@pytest.fixture
async def service() -> AsyncIterator[ServiceStandin]:
    standin = ServiceStandin(Instance("s-1", Role.SERVICE, "z1", Address("127.0.0.1", 0)))
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def engine() -> AsyncIterator[EngineStandin]:
    standin = EngineStandin(
        Instance("e-1", Role.ENGINE, "z1", Address("127.0.0.1", 0), checks_fencing=True), ("m@1",)
    )
    await standin.start()
    yield standin
    await standin.stop()


def behind(instance: Instance, proxy: CopyingProxy) -> Instance:
    return replace(instance, address=proxy.address)


@pytest.mark.parametrize("rewrite", [with_id, without_id])
@pytest.mark.parametrize("refused", [True, False])
@pytest.mark.parametrize(("method", "key"), [("POST", ""), ("POST", "k"), ("GET", "")])
async def test_call_that_a_service_runs_is_answered_though_the_copy_of_another_answer_comes_first(
    service: ServiceStandin, rewrite: Rewrite, refused: bool, method: str, key: str
) -> None:
    client = HttpPlainService(HttpClient())
    async with copying(service.instance.address) as proxy:
        proxy.rewrite_copy = rewrite
        instance = behind(service.instance, proxy)
        service.faults.refuse_next = int(refused)
        if refused:
            with pytest.raises(BackendRefusedError):
                await client.call(instance, replace(CALL, request_id="r-0"), 2)
        else:
            await client.call(instance, replace(CALL, request_id="r-0"), 2)
        call = replace(CALL, method=method, idempotency_key=key)
        answer = await client.call(instance, call, 2)
        assert answer.status == 200 and decode(answer.body)["request_id"] == "r-1"
        assert proxy.copies == (0 if key else 1)


async def test_refusal_without_id_on_a_connection_that_may_hold_a_copy_is_not_told_as_not_run(
    service: ServiceStandin,
) -> None:
    """A service that names no ids in its refusals gives no sign which call it has refused."""
    client = HttpPlainService(HttpClient())
    async with copying(service.instance.address, is_refusal) as proxy:
        proxy.rewrite = lambda answer: without_id(answer) if is_refusal(answer) else answer
        instance = behind(service.instance, proxy)
        ran_by_id: dict[str, Ran] = {}
        for number in range(CALLS):
            call = replace(CALL, request_id=f"r-{number}")
            service.faults.refuse_next = 1 - number % 2
            try:
                await client.call(instance, call, 2)
            except BackendError as error:
                ran_by_id[call.request_id] = error.ran
    runs = service.witness.run_count_by_id
    assert len(ran_by_id) >= CALLS // 2 and runs
    assert all(ran is Ran.UNKNOWN for own, ran in ran_by_id.items() if own in runs)


async def test_refusal_by_a_service_that_names_none_is_found_soon_and_the_next_ones_at_once(
    service: ServiceStandin,
) -> None:
    """Such a service names its successes, so that connections to it are kept.

    A refusal over one of them may be a copy; waiting for another answer until the end of the call
    would keep its slot, and its caller.
    """
    client = HttpPlainService(HttpClient())
    async with copying(service.instance.address, lambda answer: False) as proxy:
        proxy.rewrite = lambda answer: without_id(answer) if is_refusal(answer) else answer
        instance = behind(service.instance, proxy)
        rans: list[Ran] = []
        async with asyncio.timeout(8.0):
            for _ in range(CALLS):
                assert (await client.call(instance, CALL, 20)).status == 200
                service.faults.refuse_next = 1
                with pytest.raises(BackendError) as caught:
                    await client.call(instance, replace(CALL, request_id="r-2"), 20)
                rans.append(caught.value.ran)
        assert rans == [Ran.UNKNOWN] + [Ran.NO] * (CALLS - 1)


async def test_second_attempt_of_a_call_does_not_meet_the_copy_of_the_refusal_of_the_first(
    service: ServiceStandin,
) -> None:
    # Both attempts of a hedged call go to the only endpoint, with the same id.
    client = HttpPlainService(HttpClient())
    async with copying(service.instance.address, is_refusal) as proxy:
        instance = behind(service.instance, proxy)
        for number in range(CALLS):
            call = replace(CALL, request_id=f"r-{number}", method="GET")
            service.faults.refuse_next = 1
            with pytest.raises(BackendRefusedError):
                await client.call(instance, call, 2)
            assert (await client.call(instance, call, 2)).status == 200
    assert service.witness.reads == CALLS


async def text_of(engine: HttpEngine, instance: Instance, request: GenerateRequest) -> str:
    chunks = [chunk async for chunk in engine.generate(instance, request)]
    assert chunks[-1].finish
    return "".join(token for chunk in chunks for token in chunk.tokens)


@pytest.mark.parametrize("rewrite", [with_id, without_id])
async def test_chat_answer_comes_though_the_copy_of_another_comes_first(
    engine: EngineStandin, rewrite: Rewrite
) -> None:
    client = HttpEngine(HttpClient())
    async with copying(engine.instance.address) as proxy:
        proxy.rewrite_copy = rewrite
        for number in range(CALLS):
            request = replace(CHAT, request_id=f"r-{number}")
            expected = await text_of(HttpEngine(HttpClient()), engine.instance, request)
            assert await text_of(client, behind(engine.instance, proxy), request) == expected
        assert proxy.copies > 0
    assert set(engine.witness.run_count_by_id.values()) == {2}


async def test_chat_request_that_comes_again_does_not_get_the_copy_of_its_earlier_answer(
    engine: EngineStandin,
) -> None:
    # The copy of a whole answer with the own id would hide that the engine is at work again.
    client = HttpEngine(HttpClient())
    async with copying(engine.instance.address) as proxy:
        for _ in range(CALLS):
            await text_of(client, behind(engine.instance, proxy), CHAT)
        assert proxy.copies == 0
    assert engine.witness.run_count_by_id == {"r-1": CALLS}


@pytest.mark.parametrize("earlier", ["cancel", "load", "order"])
async def test_copy_of_another_answer_is_not_taken_for_that_of_an_order(
    engine: EngineStandin, earlier: str
) -> None:
    client = HttpEngine(HttpClient())
    async with copying(engine.instance.address) as proxy:
        instance = behind(engine.instance, proxy)
        if earlier == "cancel":
            await client.cancel(instance, "r-0")
        elif earlier == "load":
            await client.load(instance)
        else:
            await client.order(instance, Order("o-0", OrderKind.LOAD_VERSION, "m@2", 7))
        engine.fence = 7
        with pytest.raises(StaleFenceError):
            await client.order(instance, Order("o-1", OrderKind.LOAD_VERSION, "m@3", 6))
    assert "m@3" not in engine.versions


async def fleet_behind_proxies(stack: AsyncExitStack, plan: FleetPlan) -> LocalFleet:
    """Start a fleet whose daemons reach each endpoint through a proxy, in `proxy_by_id`."""
    fleet = await stack.enter_async_context(LocalFleet(plan))
    for standin in (*fleet.engine_by_id.values(), *fleet.service_by_id.values()):
        proxy = await stack.enter_async_context(copying(standin.instance.address, is_work))
        fleet.platform.put_instance(behind(standin.instance, proxy))
        own_id, address = standin.instance.instance_id, proxy.address
        await fleet.until(
            lambda own_id=own_id, address=address: all(
                daemon.directory.endpoint_by_id[own_id].address == address
                for daemon in fleet.daemon_by_id.values()
            )
        )
    return fleet


def total_runs(standins: list[Any]) -> dict[str, int]:
    """Return the number of runs by request id over several endpoints."""
    runs: dict[str, int] = {}
    for standin in standins:
        for own, count in standin.witness.run_count_by_id.items():
            runs[own] = runs.get(own, 0) + count
    return runs


@pytest.mark.parametrize("keyed", [True, False])
async def test_call_of_a_caller_runs_once_though_copies_of_refusals_come(keyed: bool) -> None:
    plan = FleetPlan(zones=("a", "b"), engine_zones=(), service_zones=("a", "b"))
    client = HttpClient()
    replies: list[HttpReply] = []
    async with AsyncExitStack() as stack:
        fleet = await fleet_behind_proxies(stack, plan)
        callers = fleet.callers("entry-a0")
        for number in range(CALLS):
            fleet.service_by_id["service-a0"].faults.refuse_next = 1 - number % 2
            if keyed:
                replies.append(await book(client, callers, f"k-{number}"))
            else:
                target = "/services/booking/deposits"
                sent = client.request(callers, "POST", target, b"{}", AUTHORIZATION, timeout_s=20)
                replies.append(await sent)
        runs = total_runs(list(fleet.service_by_id.values()))
        client.close()
    assert [reply.status for reply in replies] == [200] * CALLS
    assert runs == {reply.header_by_name["x-request-id"]: 1 for reply in replies}


async def test_chat_of_a_caller_runs_once_though_copies_of_answers_come() -> None:
    plan = FleetPlan(zones=("a", "b"), engine_zones=("a", "a", "b"), service_zones=())
    client = HttpClient()
    async with AsyncExitStack() as stack:
        fleet = await fleet_behind_proxies(stack, plan)
        critical = {"x-critical": "true"}
        replies = [
            await chat(client, fleet.callers("entry-a0"), critical, stream=number % 2 == 0)
            for number in range(3 * CALLS)
        ]
        runs = total_runs(list(fleet.engine_by_id.values()))
        client.close()
    assert [reply.status for reply in replies] == [200] * (3 * CALLS)
    assert set(runs.values()) == {1}


class Peer:
    """A daemon's listener for forwarded requests, behind a proxy that sends copies.

    Attributes:
        proxy: The proxy.
        dispatcher: Its dispatcher, which notes what has run.
        member: The daemon, as others know it.
        forwarder: Forwards requests to it.
    """

    def __init__(self, dispatcher: FakeDispatcher, proxy: CopyingProxy) -> None:
        self.proxy = proxy
        self.dispatcher = dispatcher
        self.member = Member("x", "1", "a", proxy.address, proxy.address)
        view = MembershipView({"x": self.member})
        self.forwarder = Forwarder("caller", "a", KEY, lambda: view, Random(1))


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    dispatcher: Any = FakeDispatcher("x")
    next_hop = Forwarder("x", "a", KEY, lambda: MembershipView({}), Random(1), hop=MAX_HOPS)
    handler = ForwardedRequestHandler(dispatcher, (KEY,), next_hop)
    server = HttpServer(handler.handle)
    async with copying(await server.start("127.0.0.1", 0)) as proxy:
        handler.address = proxy.address
        yield Peer(dispatcher, proxy)
    await server.stop(0)


async def forwarded_text(peer: Peer, request: GenerateRequest) -> str:
    chunks = [chunk async for chunk in peer.forwarder.generate_via(peer.member)(request)]
    return "".join(token for chunk in chunks for token in chunk.tokens)


async def test_forwarded_request_gets_its_own_answer_after_the_copy_of_that_of_a_call(
    peer: Peer,
) -> None:
    for number in range(CALLS):
        await peer.forwarder.call(peer.member, "booking", CALL, 2.0)
        assert await forwarded_text(peer, replace(CHAT, request_id=f"r-{number}")) == "ab"
    assert peer.dispatcher.served.count("r-1") == CALLS + 1


async def test_forwarded_request_that_runs_is_not_told_as_refused_for_the_copy_of_a_refusal(
    peer: Peer,
) -> None:
    for number in range(CALLS):
        # This daemon runs no calls under minted keys, and refuses them.
        with pytest.raises(BackendError):
            minted = ForwardedMintedCall("trackline", "booking", CALL, 2.0)
            await peer.forwarder.call_runner(peer.member, minted)
        assert await forwarded_text(peer, replace(CHAT, request_id=f"r-{number}")) == "ab"
    assert peer.dispatcher.served == [f"r-{number}" for number in range(CALLS)]


async def test_daemon_of_the_build_before_runs_what_is_forwarded_to_it_once(peer: Peer) -> None:
    """It repeats no ids, so that copies of its answers are met on no connection."""
    peer.proxy.rewrite = without_id
    ids = [f"r-{number}" for number in range(CALLS)]
    for own in ids:
        if own < "r-4":
            await peer.forwarder.call(peer.member, "booking", replace(CALL, request_id=own), 2.0)
        else:
            assert await forwarded_text(peer, replace(CHAT, request_id=own)) == "ab"
    assert peer.dispatcher.served == ids
    assert peer.proxy.copies == 0


async def test_engine_that_repeats_no_id_goes_on_working_and_its_copies_are_never_met(
    engine: EngineStandin,
) -> None:
    client = HttpEngine(HttpClient())
    async with copying(engine.instance.address) as proxy:
        proxy.rewrite = without_id
        instance = behind(engine.instance, proxy)
        for number in range(CALLS):
            assert await text_of(client, instance, replace(CHAT, request_id=f"r-{number}"))
        refused = replace(CHAT, request_id="r-refused", version_id="m@9")
        with pytest.raises(BackendRefusedError):
            await text_of(client, instance, refused)
        engine.faults.cut_next = 1
        with pytest.raises(AnswerBrokenError):
            await text_of(client, instance, replace(CHAT, request_id="r-cut"))
        assert proxy.copies == 0


@pytest.mark.parametrize("headers", [{}, {"x-request-id": "r-1"}], ids=["build_before", "this"])
async def test_endpoints_and_daemons_repeat_the_id_of_a_request_only_if_its_head_names_it(
    engine: EngineStandin, service: ServiceStandin, peer: Peer, headers: dict[str, str]
) -> None:
    refused = encode(replace(CHAT, version_id="m@9"))
    service.faults.refuse_next = 1
    work = (
        (HttpClient(), engine.instance.address, "/generate", encode(CHAT)),
        (HttpClient(), engine.instance.address, "/generate", refused),
        (HttpClient(), service.instance.address, "/orders", b"{}"),
        (SigningClient(KEY), peer.member.http, "/generate", encode(CHAT)),
        (SigningClient(KEY), peer.member.http, "/generate", b"{}"),
    )
    replies = [
        await client.request(to, "POST", path, body, headers) for client, to, path, body in work
    ]
    assert [reply.status for reply in replies] == [200, 503, 503, 200, 400]
    named = {reply.header_by_name.get("x-request-id") for reply in replies}
    assert named == {headers.get("x-request-id")}
    assert b'"request_id":"r-1"' in replies[0].body


@pytest.mark.parametrize("forwarder", ["router", "_forwarded"], ids=["first_hop", "second_hop"])
async def test_answers_skipped_for_forwarded_requests_are_counted(forwarder: str) -> None:
    async with LocalFleet(FleetPlan(("a",), ("a",), ("a",))) as fleet:
        part = getattr(fleet.daemon_by_id["entry-a0"], forwarder)
        client = (part._forwarder if forwarder == "router" else part._next_hop).client
        client.skipped_by_owner[AnswerOwner.OTHER] += 3
        operators = fleet.addresses_by_id["entry-a0"].operators
        page = (await HttpClient().request(operators, "GET", "/metrics")).body.decode()
    assert 'comfreyhatch_answers_skipped_total{named="other_id"} 3.0' in page
