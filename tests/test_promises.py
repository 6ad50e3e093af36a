"""Steps of the scenarios in promises.feature; the stand-ins record what ran."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress
from time import monotonic

import pytest
from msgspec.json import decode
from msgspec.structs import replace
from pytest_bdd import given, parsers, scenarios, then, when

from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.settlement import settle
from comfreyhatch.domain.change import SetContract, SetShare, SetZone, WithdrawVersion
from comfreyhatch.domain.journal import BILL_PREFIX, decode_bill
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import ComfreyhatchError, HttpError
from comfreyhatch.standins.fleet import CONTRACT, LARGE, SMALL, FleetPlan
from comfreyhatch.standins.text import token
from tests.calls import book, chat, content, error_of
from tests.fleet_harness import IN_FORCE_LIMIT_S, MAX_TOKENS, FleetHarness

SMALL_2 = replace(SMALL, name="2", replaces=SMALL.version_id, share=0)

scenarios("promises.feature")


@pytest.fixture
def harness() -> Iterator[FleetHarness]:
    harness = FleetHarness()
    yield harness
    harness.close()


def complete_answers(reply: HttpReply) -> list[str]:
    """Return the texts that an engine may generate for a reply's request, one for each run."""
    request_id, version_id = (reply.header_by_name[n] for n in ("x-request-id", "x-version"))
    quality = next(v.prior_quality for v in (SMALL, LARGE) if v.version_id == version_id)
    # Only the more expensive version can be the second run of a cascade.
    runs = [request_id] if version_id == SMALL.version_id else [request_id, f"{request_id}-e"]
    return ["".join(token(run, index, quality) for index in range(MAX_TOKENS)) for run in runs]


# Contracts


@given(parsers.parse('a fleet whose contract allows only "{model}"'))
def fleet_with_one_model(harness: FleetHarness, model: str) -> None:
    contract = replace(CONTRACT, allowed=(model,), default_model=model)
    harness.run(harness.start(FleetPlan(contracts=(contract,))))


@when(parsers.parse('a caller asks for no model, for "{first}" and for "{second}"'))
def ask_for_models(harness: FleetHarness, first: str, second: str) -> None:
    for number, model in enumerate(("", first, second)):
        harness.replies += [harness.run(harness.chat(n, model=model)) for n in (number, number + 1)]


@then(parsers.parse('the engines ran only "{version_id}"'))
def engines_ran_only(harness: FleetHarness, version_id: str) -> None:
    ran = {
        version
        for engine in harness.fleet.engine_by_id.values()
        for version in engine.witness.run_count_by_version
    }
    assert ran == {version_id}


@then(parsers.parse('the request for "{model}" was refused as not run'))
def refused_not_run(harness: FleetHarness, model: str) -> None:
    assert [reply.status for reply in harness.replies] == [200, 200, 200, 200, 403, 403]
    assert {error_of(reply)["ran"] for reply in harness.replies[4:]} == {"no"}


# Traffic


@given(parsers.parse('a fleet under steady traffic for "{model}"'))
def steady_traffic(harness: FleetHarness, model: str) -> None:
    harness.run(harness.start())

    async def begin() -> None:
        harness.traffic = asyncio.create_task(harness.keep_sending(model))
        harness.revision_watch = asyncio.create_task(harness.keep_recording_revisions())
        await harness.fleet.until(lambda: len(harness.replies) >= 20)

    harness.run(begin())


@when(parsers.parse('an operator withdraws "{version_id}"'))
def withdraw(harness: FleetHarness, version_id: str) -> None:
    harness.run(harness.fleet.apply(WithdrawVersion(version_id)))
    harness.changed_at = monotonic()
    harness.run(harness.wait(IN_FORCE_LIMIT_S + 1))


@then(parsers.parse('no engine receives work for "{version_id}" after 4 seconds'))
def no_work_for_version(harness: FleetHarness, version_id: str) -> None:
    arrivals = [a for e in harness.fleet.engine_by_id for a in harness.engine_arrivals(e)]
    times = [a.at_s for a in arrivals if a.version_id == version_id]
    assert times and max(times) <= harness.changed_at + IN_FORCE_LIMIT_S


@then("the refusals say not run")
def refusals_say_not_run(harness: FleetHarness) -> None:
    refused = [reply for reply in harness.replies if reply.status != 200]
    assert refused and {error_of(reply)["ran"] for reply in refused} == {"no"}


@when(parsers.parse('an operator takes zone "{zone}" out'))
def take_zone_out(harness: FleetHarness, zone: str) -> None:
    harness.run(harness.fleet.apply(SetZone(zone, out=True)))
    harness.changed_at = monotonic()
    harness.run(harness.wait(IN_FORCE_LIMIT_S + 1))


@then(parsers.parse('no endpoint of zone "{zone}" receives work after 4 seconds'))
def no_work_in_zone(harness: FleetHarness, zone: str) -> None:
    engines = [e for e, s in harness.fleet.engine_by_id.items() if s.instance.zone == zone]
    assert engines
    for engine_id in engines:
        engine_gets_no_work(harness, engine_id)


@when(parsers.parse('the platform lists engine "{engine_id}" as leaving'))
def engine_leaves(harness: FleetHarness, engine_id: str) -> None:
    instance = harness.fleet.engine_by_id[engine_id].instance
    harness.fleet.platform.put_instance(replace(instance, leaving=True))
    harness.changed_at = monotonic()
    harness.run(harness.wait(IN_FORCE_LIMIT_S + 1))


@then(parsers.parse('engine "{engine_id}" receives no work after 4 seconds'))
def engine_gets_no_work(harness: FleetHarness, engine_id: str) -> None:
    times = [arrival.at_s for arrival in harness.engine_arrivals(engine_id)]
    assert times and max(times) <= harness.changed_at + IN_FORCE_LIMIT_S


@then("no caller's request has failed")
def no_request_failed(harness: FleetHarness) -> None:
    assert harness.failures == []
    assert [reply.body for reply in harness.replies if reply.status != 200] == []


# Sessions


@given(parsers.parse('a fleet in which {count:d} sessions have begun on "{model}"'))
def sessions_begun(harness: FleetHarness, count: int, model: str) -> None:
    plan = FleetPlan(versions=(SMALL, SMALL_2, LARGE))
    harness.run(harness.start(plan))
    for number in range(count):
        harness.run(begin_session(harness, f"session-{number}", number, model))


async def begin_session(harness: FleetHarness, session: str, number: int, model: str) -> None:
    reply = await harness.chat(number, model=model, headers={"x-session": session})
    assert reply.status == 200, reply.body
    harness.version_by_session[session] = reply.header_by_name["x-version"]
    harness.token_by_session[session] = reply.header_by_name["x-session-token"]


@when(parsers.parse('"{version_id}" is rolled out to half and then to all new sessions'))
def roll_out(harness: FleetHarness, version_id: str) -> None:
    for share in (50, 100):
        harness.run(harness.fleet.apply(SetShare(version_id, share)))
        for number in range(10):
            session = f"session-{share}-{number}"
            harness.run(begin_session(harness, session, number, "coach-small"))
    assert version_id in harness.version_by_session.values()


@when("every daemon is replaced by a new one")
def replace_daemons(harness: FleetHarness) -> None:
    harness.run(harness.fleet.replace_daemons())


@then("each session with its token still runs on its first version")
def sessions_kept(harness: FleetHarness) -> None:
    for number, (session, version_id) in enumerate(harness.version_by_session.items()):
        headers = {"x-session": session, "x-session-token": harness.token_by_session[session]}
        reply = harness.run(harness.chat(number, model="coach-small", headers=headers))
        assert reply.header_by_name["x-version"] == version_id


# Cold start


@given(parsers.parse("a fleet whose only engine turns cold with a limit of {limit:d}"))
def cold_engine(harness: FleetHarness, limit: int) -> None:
    harness.run(harness.start(FleetPlan(engine_zones=("a",), zones=("a", "a", "b"))))
    engine = harness.fleet.engine_by_id["engine-a0"]
    engine.faults.cold_bears = limit
    engine.faults.cold = True
    harness.run(harness.wait(IN_FORCE_LIMIT_S))
    engine.witness.excess_peak = 0


@when(parsers.parse("{count:d} requests arrive at once at all daemons"))
def requests_at_once(harness: FleetHarness, count: int) -> None:
    async def send_all() -> None:
        harness.replies += await asyncio.gather(*(harness.chat(n) for n in range(count)))

    harness.run(send_all())


@then(parsers.parse("the engine never had more than {limit:d} in flight"))
def limit_not_exceeded(harness: FleetHarness, limit: int) -> None:
    witness = harness.fleet.engine_by_id["engine-a0"].witness
    assert witness.run_count_by_id
    assert witness.excess_peak == 0


@then("every caller got a complete answer or a refusal that says not run")
def complete_or_not_run(harness: FleetHarness) -> None:
    for reply in harness.replies:
        if reply.status == 200:
            assert content(reply) in complete_answers(reply)
        else:
            assert error_of(reply)["ran"] == "no"
    assert any(reply.status == 200 for reply in harness.replies)


# Complete answers


@given("a fleet whose engines mix up, truncate, duplicate and delay answers")
def engines_with_faults(harness: FleetHarness) -> None:
    harness.run(harness.start())
    for engine in harness.fleet.engine_by_id.values():
        engine.faults.cross_next = 3
        engine.faults.cut_next = 3
        engine.faults.double_next = 3
        engine.faults.late_s = 0.05


@when(parsers.parse("{count:d} requests are answered"))
def requests_answered(harness: FleetHarness, count: int) -> None:
    requests_at_once(harness, count)


@then("each answer is complete and belongs to its request")
def answers_complete(harness: FleetHarness) -> None:
    answered = [reply for reply in harness.replies if reply.status == 200]
    assert len(answered) >= len(harness.replies) // 2
    for reply in answered:
        assert content(reply) in complete_answers(reply)


# Deposits


@given("a fleet whose services refuse, crash and lose answers")
def services_with_faults(harness: FleetHarness) -> None:
    harness.run(harness.start(FleetPlan(service_zones=("a", "b"))))
    for service in harness.fleet.service_by_id.values():
        service.faults.refuse_next = 4
        service.faults.crash_before_next = 3
        service.faults.lose_answer_next = 3


async def deposit(harness: FleetHarness, number: int, key: str) -> tuple[str, HttpReply | None]:
    try:
        return key, await book(harness.client, harness.fleet.callers(harness.entry(number)), key)
    except HttpError:
        return key, None


def runs_of(harness: FleetHarness, key: str) -> int:
    services = harness.fleet.service_by_id.values()
    return sum(service.witness.run_count_by_key.get(key, 0) for service in services)


@when(
    parsers.parse("{count:d} deposits with distinct idempotency keys are sent"),
    target_fixture="sent",
)
def deposits_sent(harness: FleetHarness, count: int) -> list[tuple[str, HttpReply | None]]:
    async def send_all() -> list[tuple[str, HttpReply | None]]:
        return await asyncio.gather(*(deposit(harness, n, f"deposit-{n}") for n in range(count)))

    return harness.run(send_all())


@then("no deposit that was refused as not run has run")
def refused_deposits_not_run(
    harness: FleetHarness, sent: list[tuple[str, HttpReply | None]]
) -> None:
    refused = [(key, reply) for key, reply in sent if reply and reply.status >= 400]
    not_run = [key for key, reply in refused if error_of(reply)["ran"] == "no"]
    assert refused
    assert {key: runs_of(harness, key) for key in not_run} == dict.fromkeys(not_run, 0)
    for key, reply in sent:
        assert reply is None or reply.status >= 400 or runs_of(harness, key) == 1


@when(parsers.parse("each of {count:d} deposits is sent repeatedly at every daemon"))
def deposits_repeated(harness: FleetHarness, count: int) -> None:
    async def send_all() -> None:
        for _ in range(4):
            numbers = range(2 * count)
            await asyncio.gather(*(deposit(harness, n, f"again-{n % count}") for n in numbers))

    harness.run(send_all())


@then("each deposit has run at most once")
def deposits_ran_at_most_once(harness: FleetHarness) -> None:
    services = harness.fleet.service_by_id.values()
    keys = {key for service in services for key in service.witness.run_count_by_key}
    assert keys
    assert {key: runs_of(harness, key) for key in keys} == dict.fromkeys(keys, 1)


# Shutdowns


@given(parsers.parse('a fleet with {count:d} answers being streamed by "{instance_id}"'))
def answers_streamed(harness: FleetHarness, count: int, instance_id: str) -> None:
    harness.run(harness.start())

    async def begin() -> None:
        callers = harness.fleet.callers(instance_id)
        harness.streams = [
            asyncio.create_task(chat(harness.client, callers, stream=True, max_tokens=100))
            for _ in range(count)
        ]
        engines = harness.fleet.engine_by_id.values()
        await harness.fleet.until(lambda: sum(e.witness.in_flight for e in engines) == count)

    harness.run(begin())


@when(parsers.parse('"{instance_id}" is stopped'))
def stop_daemon(harness: FleetHarness, instance_id: str) -> None:
    harness.run(harness.fleet.stop_daemon(instance_id))


@then(parsers.parse("all {count:d} answers arrive complete"))
def answers_arrive_complete(harness: FleetHarness, count: int) -> None:
    async def collect() -> list[HttpReply]:
        return await asyncio.gather(*harness.streams)

    replies = harness.run(collect())
    assert [reply.status for reply in replies] == [200] * count
    assert all(reply.body.endswith(b"data: [DONE]\n\n") for reply in replies)


# Configuration


@when(parsers.parse("two operators make {count:d} changes each at different daemons"))
def two_operators(harness: FleetHarness, count: int) -> None:
    async def operate(number: int) -> None:
        instance_id = harness.entry(number)
        for change in range(count):
            contract = replace(CONTRACT, customer=f"customer-{number}-{change}", key_digests=())
            with suppress(ComfreyhatchError):
                edit_id = f"edit-{number}-{change}"
                revision = await harness.fleet.apply_at(instance_id, SetContract(contract), edit_id)
                harness.accepted.append(revision)

    async def both() -> None:
        await asyncio.gather(operate(0), operate(1))

    harness.run(both())
    harness.changed_at = monotonic()


@then("every accepted change is in force at every daemon within 4 seconds")
def in_force(harness: FleetHarness) -> None:
    assert harness.accepted and len(set(harness.accepted)) == len(harness.accepted)
    daemons = harness.fleet.daemon_by_id.values()
    newest = max(harness.accepted)
    harness.run(
        harness.fleet.until(
            lambda: all(harness.fleet.revision_of(d) >= newest for d in daemons), IN_FORCE_LIMIT_S
        )
    )


@then("no daemon's revision has ever gone back")
def revisions_never_decrease(harness: FleetHarness) -> None:
    harness.run(harness.wait(0.1))
    for seen in harness.revisions_by_id.values():
        assert len(seen) > 1 and seen == sorted(seen)


# Bills


@given("a fleet whose platform loses the answers of a third of all writes")
def platform_that_loses_answers(harness: FleetHarness) -> None:
    harness.run(harness.start())
    harness.fleet.platform.faults.lose_write_rate = 1 / 3


@when(parsers.parse("{count:d} requests are answered and the journals are settled"))
def answered_and_settled(harness: FleetHarness, count: int) -> None:
    requests_at_once(harness, count)
    for instance_id in list(harness.fleet.daemon_by_id):
        operators = harness.fleet.addresses_by_id[instance_id].operators
        for reply in harness.replies:
            target = "/explain/" + reply.header_by_name["x-request-id"]
            found = harness.run(harness.client.request(operators, "GET", target))
            if found.status == 200:
                record = decode(found.body, type=RequestRecord)
                harness.record_by_id[record.request_id] = record
    for instance_id in list(harness.fleet.daemon_by_id):
        harness.run(harness.fleet.stop_daemon(instance_id))


@then("the bills hold each request once and nothing else")
def billed_once(harness: FleetHarness) -> None:
    assert [reply.status for reply in harness.replies] == [200] * len(harness.replies)
    rows = harness.run(harness.fleet.platform.table.scan(BILL_PREFIX))
    settlement = settle(decode_bill(row.value) for row in rows)
    assert harness.fleet.platform.witness.lost_answers > 0
    assert sum(line.requests for line in settlement.lines) == len(harness.replies)
    costs = [record.cost_micros for record in harness.record_by_id.values()]
    assert len(costs) == len(harness.replies)
    assert sum(line.cost_micros for line in settlement.lines) == sum(costs)
    assert (settlement.open, settlement.missing) == ((), 0)
