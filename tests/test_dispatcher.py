"""Tests of the dispatcher against engines that break, mix up, repeat or delay their answers."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from time import monotonic

import pytest
from msgspec.json import decode
from msgspec.structs import replace

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import UNANSWERED_S
from comfreyhatch.decisions.endpoint_choice import FAILURES_TO_OPEN, FIRST_OPEN_S, MAX_OPEN_S
from comfreyhatch.decisions.retries import RETRY_BURST, RETRY_SHARE
from comfreyhatch.domain.change import Change, SetContract, WithdrawVersion
from comfreyhatch.domain.instance import Instance
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import RefusedError
from comfreyhatch.ports.engine import Chunk, GenerateRequest, ServiceRequest
from comfreyhatch.standins.engine import EngineStandin, VersionFault
from comfreyhatch.standins.fleet import API_KEY, CONTRACT, LARGE, SMALL, FleetPlan, LocalFleet
from comfreyhatch.standins.text import token
from tests.calls import book, chat, content, error_of

TOKENS = 12


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    plan = FleetPlan(zones=("a",), engine_zones=("a",), service_zones=("a",))
    async with LocalFleet(plan) as running:
        yield running


@pytest.fixture
def engine(fleet: LocalFleet) -> EngineStandin:
    return fleet.engine_by_id["engine-a0"]


def expected_answers(reply: HttpReply) -> list[str]:
    """Return the answers that the engine generates in the first or second run of a request."""
    request_id, version_id = (reply.header_by_name[n] for n in ("x-request-id", "x-version"))
    quality = next(v.prior_quality for v in (SMALL, LARGE) if v.version_id == version_id)
    # Only the more expensive version runs second in a cascade.
    runs = [request_id] if version_id == SMALL.version_id else [request_id, f"{request_id}-e"]
    return ["".join(token(run, index, quality) for index in range(TOKENS)) for run in runs]


def streamed_words(body: bytes) -> list[str]:
    events = [event.removeprefix(b"data: ") for event in body.split(b"\n\n") if event]
    assert events[-1] == b"[DONE]"
    pieces = (decode(event)["choices"][0]["delta"] for event in events[:-1])
    return "".join(piece.get("content", "") for piece in pieces).split()


@pytest.mark.parametrize("cut_after", [1, 5, TOKENS - 1])
@pytest.mark.parametrize("fault", ["cut_next", "double_next"])
async def test_broken_stream_is_resumed_without_a_missing_or_repeated_token(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient, fault: str, cut_after: int
) -> None:
    setattr(engine.faults, fault, 1)
    engine.faults.cut_after_tokens = cut_after
    reply = await chat(client, fleet.callers("entry-a0"), stream=True, max_tokens=TOKENS)
    request_id = reply.header_by_name["x-request-id"]
    assert getattr(engine.faults, fault) == 0
    assert streamed_words(reply.body) in [answer.split() for answer in expected_answers(reply)]
    operators = fleet.addresses_by_id["entry-a0"].operators
    record = decode((await client.request(operators, "GET", f"/explain/{request_id}")).body)
    assert record["attempts"][-1]["usage"]["output_tokens"] == TOKENS


async def test_resumptions_of_answers_that_all_break_stay_within_the_retry_budget(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    count = 20
    engine.faults.cut_next, engine.faults.cut_after_tokens = 10 * count, 1
    critical = {"x-critical": "true"}
    asking = (chat(client, fleet.callers("entry-a0"), critical) for _ in range(count))
    replies = await asyncio.gather(*asking)
    assert {error_of(reply)["ran"] for reply in replies} == {"unknown"}
    assert count < len(engine.witness.arrivals) <= count + RETRY_BURST + RETRY_SHARE * count


async def test_resumed_request_has_only_the_time_that_is_left(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent_s: list[float] = []
    generate = HttpEngine.generate

    def note_and_generate(
        self: HttpEngine, endpoint: Instance, request: GenerateRequest
    ) -> AsyncGenerator[Chunk, None]:
        sent_s.append(request.deadline_s)
        return generate(self, endpoint, request)

    monkeypatch.setattr(HttpEngine, "generate", note_and_generate)
    engine.faults.cut_next, engine.faults.cut_after_tokens = 1, 3
    slow = VersionFault(slowdown=10.0)
    engine.faults.fault_by_version = {SMALL.version_id: slow, LARGE.version_id: slow}
    critical = {"x-critical": "true"}
    assert (await chat(client, fleet.callers("entry-a0"), critical)).status == 200
    first_s, resumed_s = sent_s
    assert 0 < resumed_s < first_s


async def test_stream_that_cannot_be_resumed_ends_without_its_last_chunk(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    engine.faults.cut_next = 10
    engine.faults.cut_after_tokens = 3
    callers = fleet.callers("entry-a0")
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    body = b'{"messages":[{"role":"user","content":"q"}],"max_tokens":12,"stream":true}'
    writer.write(
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {API_KEY}\r\n"
        f"content-length: {len(body)}\r\n\r\n".encode() + body
    )
    data = b""
    with pytest.raises(ConnectionError):
        while piece := await asyncio.wait_for(reader.read(65536), 20):
            data += piece
        # A connection that is closed without a reset is accepted too.
        raise ConnectionResetError
    assert b"[DONE]" not in data
    assert not data.endswith(b"0\r\n\r\n")
    writer.close()


async def test_answer_to_another_request_never_reaches_the_caller(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    engine.faults.cross_next = 1
    replies = await asyncio.gather(
        *(chat(client, fleet.callers("entry-a0"), max_tokens=TOKENS) for _ in range(4))
    )
    assert engine.faults.cross_next == 0
    answered = [reply for reply in replies if reply.status == 200]
    for reply in answered:
        assert content(reply) in expected_answers(reply)
    for reply in replies:
        assert reply.status == 200 or error_of(reply)["ran"] == "unknown"
    assert len(answered) >= 3


async def test_delayed_answer_reaches_its_own_caller(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    engine.faults.late_s = 0.3
    slow = asyncio.create_task(chat(client, fleet.callers("entry-a0"), max_tokens=TOKENS))
    await fleet.until(lambda: engine.witness.in_flight == 1)
    engine.faults.late_s = 0.0
    fast = await chat(client, fleet.callers("entry-a0"), max_tokens=TOKENS)
    for reply in (fast, await slow):
        assert content(reply) in expected_answers(reply)


async def test_request_is_cancelled_at_the_engine_when_its_caller_disconnects(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    async def abandon() -> None:
        await chat(client, fleet.callers("entry-a0"), stream=True, max_tokens=1000)

    caller = asyncio.create_task(abandon())
    await fleet.until(lambda: engine.witness.in_flight == 1)
    caller.cancel()
    await fleet.until(lambda: engine.witness.in_flight == 0)
    (request_id,) = engine.witness.run_count_by_id
    operators = fleet.addresses_by_id["entry-a0"].operators
    reply = await client.request(operators, "GET", f"/explain/{request_id}")
    record = decode(reply.body)
    assert (record["code"], record["ran"]) == (ResultCode.ABANDONED, "yes")
    assert record["cost_micros"] > 0


@pytest.mark.parametrize("stream", [False, True])
async def test_request_is_cancelled_at_a_silent_engine_when_its_caller_disconnects(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient, stream: bool
) -> None:
    slow = VersionFault(slowdown=1e6)
    engine.faults.fault_by_version = {SMALL.version_id: slow, LARGE.version_id: slow}
    caller = asyncio.create_task(
        chat(client, fleet.callers("entry-a0"), stream=stream, max_tokens=1000)
    )
    await fleet.until(lambda: engine.witness.in_flight == 1)
    caller.cancel()
    await fleet.until(lambda: engine.witness.in_flight == 0, timeout_s=10.0)
    assert fleet.daemon_by_id["entry-a0"].dispatcher.has_free_slot()


async def test_call_whose_caller_disconnects_runs_to_its_end(
    fleet: LocalFleet, client: HttpClient
) -> None:
    service = fleet.service_by_id["service-a0"]
    service.faults.slow_s = 0.5
    caller = asyncio.create_task(book(client, fleet.callers("entry-a0"), ""))
    await fleet.until(lambda: service.witness.in_flight == 1)
    caller.cancel()
    await fleet.until(lambda: service.witness.in_flight == 0)
    (request_id,) = service.witness.run_count_by_id
    daemon = fleet.daemon_by_id["entry-a0"]
    await fleet.until(lambda: not daemon.pool._running_by_id)
    operators = fleet.addresses_by_id["entry-a0"].operators
    record = decode((await client.request(operators, "GET", f"/explain/{request_id}")).body)
    assert (len(record["attempts"]), record["ran"]) == (1, "yes")


@pytest.mark.parametrize("end", ["cancelled", "refused"])
async def test_endpoint_whose_trial_ends_undecided_is_tried_again(
    fleet: LocalFleet, end: str
) -> None:
    service, dispatcher = (
        fleet.service_by_id["service-a0"],
        fleet.daemon_by_id["entry-a0"].dispatcher,
    )
    circuits, opened_at = dispatcher._circuits, monotonic() - 2 * FIRST_OPEN_S
    for _ in range(FAILURES_TO_OPEN):
        circuits.record_failure("service-a0", "booking", opened_at)
    service.faults.slow_s, service.faults.refuse_next = 1.0, int(end == "refused")
    request = ServiceRequest("r-1", "GET", "/accounts", b"")
    trial = asyncio.create_task(dispatcher.call("booking", request, 5.0))
    await fleet.until(lambda: bool(service.witness.arrival_times_s))
    if end == "cancelled":
        trial.cancel()
    await asyncio.gather(trial, return_exceptions=True)
    later = monotonic() + 10 * MAX_OPEN_S
    assert not circuits.unhealthy(["service-a0", "service-a1"], "booking", later)


async def test_endpoint_whose_calls_all_lose_to_their_hedges_is_passed_over(
    fleet: LocalFleet,
) -> None:
    # Each call that is given up frees its slot, and made the silent endpoint the least loaded one.
    dispatcher = fleet.daemon_by_id["entry-a0"].dispatcher
    fleet.service_by_id["service-a0"].faults.slow_s = 9.0
    for number in range(FAILURES_TO_OPEN):
        request = ServiceRequest(f"r-{number}", "GET", "/accounts", b"")
        call = asyncio.create_task(dispatcher.call("booking", request, 5.0))
        await asyncio.sleep(1.2 * UNANSWERED_S)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
    endpoints = ["service-a0", "service-a1"]
    assert dispatcher._circuits.unhealthy(endpoints, "booking", monotonic()) == {"service-a0"}


async def test_refusal_by_the_daemon_itself_is_no_failure_of_the_endpoint(
    fleet: LocalFleet, client: HttpClient
) -> None:
    daemon = fleet.daemon_by_id["entry-a0"]

    def refuse(now: float) -> None:
        raise RefusedError("the configuration has to be confirmed first", ResultCode.CUT_OFF)

    daemon.config_sync.require_fresh = refuse  # type: ignore[method-assign]
    daemon.dispatcher._confirm_config = lambda _: asyncio.sleep(0, daemon.config_sync.config)
    for _ in range(FAILURES_TO_OPEN):
        assert error_of(await book(client, fleet.callers("entry-a0"), ""))["ran"] == "no"
    endpoints = ["service-a0", "service-a1"]
    assert not daemon.dispatcher._circuits.unhealthy(endpoints, "booking", monotonic())


async def test_service_answer_to_another_request_never_reaches_the_caller(
    fleet: LocalFleet, client: HttpClient
) -> None:
    service = fleet.service_by_id["service-a0"]
    service.faults.cross_next = 1
    reply = await book(client, fleet.callers("entry-a0"), "deposit-crossed")
    assert error_of(reply)["ran"] == "unknown"
    assert service.witness.run_count_by_key["deposit-crossed"] == 1


@pytest.mark.parametrize(
    ("critical", "checks", "code"),
    [("true", 3, ResultCode.ANSWER_BROKEN), ("false", 4, ResultCode.CUT_OFF)],
)
async def test_request_refused_at_its_resumption_is_not_reported_as_not_run(
    fleet: LocalFleet,
    engine: EngineStandin,
    client: HttpClient,
    critical: str,
    checks: int,
    code: int,
) -> None:
    # A critical request runs directly. Another one is run as a cascade, whose second run is
    # refused too.
    config_sync = fleet.daemon_by_id["entry-a0"].config_sync
    checked_at: list[float] = []

    def refuse_at_the_resumption(now: float) -> None:
        # The first two checks are at admission and before the first byte.
        checked_at.append(now)
        if len(checked_at) > 2:
            raise RefusedError("the configuration has to be confirmed first", ResultCode.CUT_OFF)

    config_sync.require_fresh = refuse_at_the_resumption  # type: ignore[method-assign]
    engine.faults.cut_next, engine.faults.cut_after_tokens = 1, 3
    headers = {"x-critical": critical}
    reply = await chat(client, fleet.callers("entry-a0"), headers, max_tokens=TOKENS)
    assert len(checked_at) == checks
    assert (error_of(reply)["code"], error_of(reply)["ran"]) == (code, "unknown")
    assert sum(engine.witness.run_count_by_id.values()) == 1


@pytest.mark.parametrize("fault", ["full", "gone"])
async def test_request_whose_engine_takes_no_resumption_is_not_reported_as_not_run(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient, fault: str
) -> None:
    slow = VersionFault(slowdown=10.0)
    engine.faults.fault_by_version = {SMALL.version_id: slow, LARGE.version_id: slow}
    engine.faults.cut_next, engine.faults.cut_after_tokens = 1, 3
    headers = {"x-critical": "true"}
    asking = asyncio.create_task(
        chat(client, fleet.callers("entry-a0"), headers, max_tokens=TOKENS)
    )
    await fleet.until(lambda: engine.witness.in_flight == 1)
    if fault == "full":
        engine.faults.cold, engine.faults.cold_bears = True, 0
    else:
        engine.close_listener()
    reply = await asking
    error = error_of(reply)
    assert (error["code"], error["ran"]) == (ResultCode.ANSWER_BROKEN, "unknown")
    operators = fleet.addresses_by_id["entry-a0"].operators
    request_id = reply.header_by_name["x-request-id"]
    record = decode((await client.request(operators, "GET", f"/explain/{request_id}")).body)
    assert record["ran"] == "unknown"
    assert list(engine.witness.run_count_by_id.values()) == [1]


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (SetContract(replace(CONTRACT, allowed=(LARGE.model,))), ResultCode.NOT_ALLOWED),
        (WithdrawVersion(SMALL.version_id), ResultCode.VERSION_WITHDRAWN),
    ],
)
async def test_change_made_while_a_request_waits_applies_at_its_dispatch(
    fleet: LocalFleet, engine: EngineStandin, change: Change, code: ResultCode
) -> None:
    daemon = fleet.daemon_by_id["entry-a0"]

    def request(number: int, tokens: int) -> GenerateRequest:
        messages = (ChatMessage("user", "q"),)
        return GenerateRequest(
            f"r-{number}", SMALL.version_id, messages, tokens, 5, customer=CONTRACT.customer
        )

    async def run(number: int, tokens: int) -> None:
        async for _ in daemon.dispatcher.generate(request(number, tokens)):
            pass

    running: list[asyncio.Task[None]] = []
    while daemon.dispatcher.has_free_slot():
        running.append(asyncio.create_task(run(len(running), 2000)))
        await asyncio.sleep(0)
    waiting = asyncio.create_task(run(9999, 1))
    await fleet.apply(change)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    with pytest.raises(RefusedError) as refusal:
        await waiting
    assert (refusal.value.code, refusal.value.ran) == (code, Ran.NO)
    assert running and "r-9999" not in engine.witness.run_count_by_id


@pytest.mark.parametrize("stream", [False, True])
async def test_request_past_its_deadline_is_cancelled_at_the_engine(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient, stream: bool
) -> None:
    slow = VersionFault(slowdown=400.0)
    engine.faults.fault_by_version = {SMALL.version_id: slow, LARGE.version_id: slow}
    headers = {"x-deadline-s": "0.4", "x-critical": "true"}
    reply = await chat(client, fleet.callers("entry-a0"), headers, stream=stream)
    error = error_of(reply)
    assert (reply.status, error["code"]) == (504, ResultCode.DEADLINE_EXCEEDED)
    assert error["ran"] == "unknown"
    await fleet.until(lambda: engine.witness.in_flight == 0)
    assert len(engine.witness.run_count_by_id) == 1


async def test_request_goes_on_at_an_engine_whose_load_reports_stay_away(
    fleet: LocalFleet, engine: EngineStandin, client: HttpClient
) -> None:
    engine.faults.late_s = 3.0
    engine.faults.load_delay_s = 60.0
    reply = await chat(client, fleet.callers("entry-a0"), max_tokens=TOKENS)
    assert reply.status == 200
    assert content(reply) in expected_answers(reply)
    assert set(engine.witness.run_count_by_id.values()) == {1}
