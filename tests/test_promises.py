"""The promises of the system as scenarios in plain words; the witnesses are the stand-ins."""

import asyncio
from collections.abc import Iterator
from contextlib import suppress
from time import monotonic

import pytest
from msgspec.json import decode
from msgspec.structs import replace
from pytest_bdd import given, parsers, scenarios, then, when

from comfreyhatch.adapters.http_client import HttpReply
from comfreyhatch.decisions.settlement import settle
from comfreyhatch.domain.change import SetContract, SetShare, SetZone, WithdrawVersion
from comfreyhatch.domain.journal import BILL_PREFIX, decode_bill
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import ComfreyhatchError, HttpError
from comfreyhatch.standins.fleet import CONTRACT, LARGE, SMALL, FleetPlan
from comfreyhatch.standins.text import token
from tests.calls import book, chat, content, error_of
from tests.world import IN_FORCE_S, TOKENS, World

SECOND = replace(SMALL, name="2", replaces=SMALL.version_id, share=0)

scenarios("promises.feature")


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.close()


def whole_answers(reply: HttpReply) -> list[str]:
    """Return what an engine generates for the request of a reply, in its first or second run."""
    request_id, version_id = (reply.header_by_name[n] for n in ("x-request-id", "x-version"))
    quality = next(v.prior_quality for v in (SMALL, LARGE) if v.version_id == version_id)
    # Only the dearer version can be the second run of a cascade.
    runs = [request_id] if version_id == SMALL.version_id else [request_id, f"{request_id}-e"]
    return ["".join(token(run, index, quality) for index in range(TOKENS)) for run in runs]


# Contracts


@given(parsers.parse('a fleet whose contract allows only "{model}"'))
def fleet_with_one_model(world: World, model: str) -> None:
    contract = replace(CONTRACT, allowed=(model,), default_model=model)
    world.run(world.start(FleetPlan(contracts=(contract,))))


@when(parsers.parse('a caller asks for no model, for "{first}" and for "{second}"'))
def ask_for_models(world: World, first: str, second: str) -> None:
    for number, model in enumerate(("", first, second)):
        world.replies += [world.run(world.chat(n, model=model)) for n in (number, number + 1)]


@then(parsers.parse('the engines ran only "{version_id}"'))
def engines_ran_only(world: World, version_id: str) -> None:
    ran = {
        version
        for engine in world.fleet.engine_by_id.values()
        for version in engine.witness.run_count_by_version
    }
    assert ran == {version_id}


@then(parsers.parse('the request for "{model}" was refused as not run'))
def refused_not_run(world: World, model: str) -> None:
    assert [reply.status for reply in world.replies] == [200, 200, 200, 200, 403, 403]
    assert {error_of(reply)["ran"] for reply in world.replies[4:]} == {"no"}


# Traffic


@given(parsers.parse('a fleet under steady traffic for "{model}"'))
def steady_traffic(world: World, model: str) -> None:
    world.run(world.start())

    async def begin() -> None:
        world.traffic = asyncio.create_task(world.keep_sending(model))
        world.watch = asyncio.create_task(world.keep_watching())
        await world.fleet.until(lambda: len(world.replies) >= 20)

    world.run(begin())


@when(parsers.parse('an operator withdraws "{version_id}"'))
def withdraw(world: World, version_id: str) -> None:
    world.run(world.fleet.apply(WithdrawVersion(version_id)))
    world.ordered_at = monotonic()
    world.run(world.wait(IN_FORCE_S + 1))


@then(parsers.parse('no engine receives work for "{version_id}" after 4 seconds'))
def no_work_for_version(world: World, version_id: str) -> None:
    arrivals = [a for e in world.fleet.engine_by_id for a in world.engine_arrivals(e)]
    times = [a.at_s for a in arrivals if a.version_id == version_id]
    assert times and max(times) <= world.ordered_at + IN_FORCE_S


@then("the refusals say not run")
def refusals_say_not_run(world: World) -> None:
    refused = [reply for reply in world.replies if reply.status != 200]
    assert refused and {error_of(reply)["ran"] for reply in refused} == {"no"}


@when(parsers.parse('an operator takes zone "{zone}" out'))
def zone_out(world: World, zone: str) -> None:
    world.run(world.fleet.apply(SetZone(zone, out=True)))
    world.ordered_at = monotonic()
    world.run(world.wait(IN_FORCE_S + 1))


@then(parsers.parse('no endpoint of zone "{zone}" receives work after 4 seconds'))
def no_work_in_zone(world: World, zone: str) -> None:
    engines = [e for e, s in world.fleet.engine_by_id.items() if s.instance.zone == zone]
    assert engines
    for engine_id in engines:
        engine_gets_no_work(world, engine_id)


@when(parsers.parse('the platform lists engine "{engine_id}" as leaving'))
def engine_leaves(world: World, engine_id: str) -> None:
    instance = world.fleet.engine_by_id[engine_id].instance
    world.fleet.platform.put_instance(replace(instance, leaving=True))
    world.ordered_at = monotonic()
    world.run(world.wait(IN_FORCE_S + 1))


@then(parsers.parse('engine "{engine_id}" receives no work after 4 seconds'))
def engine_gets_no_work(world: World, engine_id: str) -> None:
    times = [arrival.at_s for arrival in world.engine_arrivals(engine_id)]
    assert times and max(times) <= world.ordered_at + IN_FORCE_S


@then("no caller's request has failed")
def no_request_failed(world: World) -> None:
    assert world.failures == []
    assert [reply.body for reply in world.replies if reply.status != 200] == []


# Sessions


@given(parsers.parse('a fleet in which {count:d} sessions have begun on "{model}"'))
def sessions_begun(world: World, count: int, model: str) -> None:
    plan = FleetPlan(versions=(SMALL, SECOND, LARGE))
    world.run(world.start(plan))
    for number in range(count):
        world.run(begin_session(world, f"session-{number}", number, model))


async def begin_session(world: World, session: str, number: int, model: str) -> None:
    reply = await world.chat(number, model=model, headers={"x-session": session})
    assert reply.status == 200, reply.body
    world.version_by_session[session] = reply.header_by_name["x-version"]
    world.token_by_session[session] = reply.header_by_name["x-session-token"]


@when(parsers.parse('"{version_id}" is rolled out to half and then to all new sessions'))
def roll_out(world: World, version_id: str) -> None:
    for share in (50, 100):
        world.run(world.fleet.apply(SetShare(version_id, share)))
        for number in range(10):
            session = f"session-{share}-{number}"
            world.run(begin_session(world, session, number, "coach-small"))
    assert version_id in world.version_by_session.values()


@when("every daemon is replaced by a new one")
def replace_daemons(world: World) -> None:
    world.run(world.fleet.replace_daemons())


@then("each session with its token still runs on its first version")
def sessions_kept(world: World) -> None:
    for number, (session, version_id) in enumerate(world.version_by_session.items()):
        headers = {"x-session": session, "x-session-token": world.token_by_session[session]}
        reply = world.run(world.chat(number, model="coach-small", headers=headers))
        assert reply.header_by_name["x-version"] == version_id


# Cold start


@given(parsers.parse("a fleet whose only engine turns cold and bears {bears:d}"))
def cold_engine(world: World, bears: int) -> None:
    world.run(world.start(FleetPlan(engine_zones=("a",), zones=("a", "a", "b"))))
    engine = world.fleet.engine_by_id["engine-a0"]
    engine.faults.cold_bears = bears
    engine.faults.cold = True
    world.run(world.wait(IN_FORCE_S))
    engine.witness.excess_peak = 0


@when(parsers.parse("{count:d} requests arrive at once at all daemons"))
def requests_at_once(world: World, count: int) -> None:
    async def send_all() -> None:
        world.replies += await asyncio.gather(*(world.chat(n) for n in range(count)))

    world.run(send_all())


@then(parsers.parse("the engine never had more than {bears:d} in flight"))
def never_more(world: World, bears: int) -> None:
    witness = world.fleet.engine_by_id["engine-a0"].witness
    assert witness.run_count_by_id
    assert witness.excess_peak == 0


@then("every caller got a whole answer or a refusal that says not run")
def whole_or_not_run(world: World) -> None:
    for reply in world.replies:
        if reply.status == 200:
            assert content(reply) in whole_answers(reply)
        else:
            assert error_of(reply)["ran"] == "no"
    assert any(reply.status == 200 for reply in world.replies)


# Whole answers


@given("a fleet whose engines cross, cut, double and delay answers")
def engines_with_faults(world: World) -> None:
    world.run(world.start())
    for engine in world.fleet.engine_by_id.values():
        engine.faults.cross_next = 3
        engine.faults.cut_next = 3
        engine.faults.double_next = 3
        engine.faults.late_s = 0.05


@when(parsers.parse("{count:d} requests are answered"))
def requests_answered(world: World, count: int) -> None:
    requests_at_once(world, count)


@then("each answer is whole and belongs to its request")
def answers_whole(world: World) -> None:
    answered = [reply for reply in world.replies if reply.status == 200]
    assert len(answered) >= len(world.replies) // 2
    for reply in answered:
        assert content(reply) in whole_answers(reply)


# Deposits


@given("a fleet whose services refuse, crash and lose answers")
def services_with_faults(world: World) -> None:
    world.run(world.start(FleetPlan(service_zones=("a", "b"))))
    for service in world.fleet.service_by_id.values():
        service.faults.refuse_next = 4
        service.faults.crash_before_next = 3
        service.faults.lose_answer_next = 3


async def deposit(world: World, number: int, key: str) -> tuple[str, HttpReply | None]:
    try:
        return key, await book(world.client, world.fleet.callers(world.entry(number)), key)
    except HttpError:
        return key, None


def runs_of(world: World, key: str) -> int:
    services = world.fleet.service_by_id.values()
    return sum(service.witness.run_count_by_key.get(key, 0) for service in services)


@when(parsers.parse("{count:d} deposits with keys of their own are sent"), target_fixture="sent")
def deposits_sent(world: World, count: int) -> list[tuple[str, HttpReply | None]]:
    async def send_all() -> list[tuple[str, HttpReply | None]]:
        return await asyncio.gather(*(deposit(world, n, f"deposit-{n}") for n in range(count)))

    return world.run(send_all())


@then("no deposit that was refused as not run has run")
def refusals_true(world: World, sent: list[tuple[str, HttpReply | None]]) -> None:
    refused = [(key, reply) for key, reply in sent if reply and reply.status >= 400]
    not_run = [key for key, reply in refused if error_of(reply)["ran"] == "no"]
    assert refused
    assert {key: runs_of(world, key) for key in not_run} == dict.fromkeys(not_run, 0)
    for key, reply in sent:
        assert reply is None or reply.status >= 400 or runs_of(world, key) == 1


@when(parsers.parse("each of {count:d} deposits is sent again and again at every daemon"))
def deposits_repeated(world: World, count: int) -> None:
    async def send_all() -> None:
        for _ in range(4):
            numbers = range(2 * count)
            await asyncio.gather(*(deposit(world, n, f"again-{n % count}") for n in numbers))

    world.run(send_all())


@then("each deposit has run at most once")
def at_most_once(world: World) -> None:
    services = world.fleet.service_by_id.values()
    keys = {key for service in services for key in service.witness.run_count_by_key}
    assert keys
    assert {key: runs_of(world, key) for key in keys} == dict.fromkeys(keys, 1)


# Stops


@given(parsers.parse('a fleet with {count:d} answers being streamed by "{instance_id}"'))
def answers_streamed(world: World, count: int, instance_id: str) -> None:
    world.run(world.start())

    async def begin() -> None:
        callers = world.fleet.callers(instance_id)
        world.streams = [
            asyncio.create_task(chat(world.client, callers, stream=True, max_tokens=100))
            for _ in range(count)
        ]
        engines = world.fleet.engine_by_id.values()
        await world.fleet.until(lambda: sum(e.witness.in_flight for e in engines) == count)

    world.run(begin())


@when(parsers.parse('"{instance_id}" is stopped'))
def stop_daemon(world: World, instance_id: str) -> None:
    world.run(world.fleet.stop_daemon(instance_id))


@then(parsers.parse("all {count:d} answers arrive whole"))
def all_arrive(world: World, count: int) -> None:
    async def collect() -> list[HttpReply]:
        return await asyncio.gather(*world.streams)

    replies = world.run(collect())
    assert [reply.status for reply in replies] == [200] * count
    assert all(reply.body.endswith(b"data: [DONE]\n\n") for reply in replies)


# Configuration


@when(parsers.parse("two operators make {count:d} changes each at different daemons"))
def two_operators(world: World, count: int) -> None:
    async def operate(number: int) -> None:
        instance_id = world.entry(number)
        for change in range(count):
            contract = replace(CONTRACT, customer=f"customer-{number}-{change}", key_digests=())
            with suppress(ComfreyhatchError):
                edit_id = f"edit-{number}-{change}"
                revision = await world.fleet.apply_at(instance_id, SetContract(contract), edit_id)
                world.accepted.append(revision)

    async def both() -> None:
        await asyncio.gather(operate(0), operate(1))

    world.run(both())
    world.ordered_at = monotonic()


@then("every accepted change is in force at every daemon within 4 seconds")
def in_force(world: World) -> None:
    assert world.accepted and len(set(world.accepted)) == len(world.accepted)
    daemons = world.fleet.daemon_by_id.values()
    newest = max(world.accepted)
    world.run(
        world.fleet.until(
            lambda: all(world.fleet.revision_of(d) >= newest for d in daemons), IN_FORCE_S
        )
    )


@then("no daemon's revision has ever gone back")
def never_back(world: World) -> None:
    world.run(world.wait(0.1))
    for seen in world.revisions_by_id.values():
        assert len(seen) > 1 and seen == sorted(seen)


# Bills


@given("a fleet whose platform loses every third write's answer")
def losing_platform(world: World) -> None:
    world.run(world.start())
    world.fleet.platform.faults.lose_write_rate = 1 / 3


@when(parsers.parse("{count:d} requests are answered and the journals are settled"))
def answered_and_settled(world: World, count: int) -> None:
    requests_at_once(world, count)
    for instance_id in list(world.fleet.daemon_by_id):
        operators = world.fleet.addresses_by_id[instance_id].operators
        for reply in world.replies:
            target = "/explain/" + reply.header_by_name["x-request-id"]
            found = world.run(world.client.request(operators, "GET", target))
            if found.status == 200:
                record = decode(found.body, type=RequestRecord)
                world.record_by_id[record.request_id] = record
    for instance_id in list(world.fleet.daemon_by_id):
        world.run(world.fleet.stop_daemon(instance_id))


@then("the bills hold each request once and nothing else")
def billed_once(world: World) -> None:
    assert [reply.status for reply in world.replies] == [200] * len(world.replies)
    rows = world.run(world.fleet.platform.table.scan(BILL_PREFIX))
    settlement = settle(decode_bill(row.value) for row in rows)
    assert world.fleet.platform.witness.lost_answers > 0
    assert sum(line.requests for line in settlement.lines) == len(world.replies)
    costs = [record.cost_micros for record in world.record_by_id.values()]
    assert len(costs) == len(world.replies)
    assert sum(line.cost_micros for line in settlement.lines) == sum(costs)
    assert (settlement.open, settlement.missing) == ((), 0)
