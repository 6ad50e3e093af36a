"""Sessions over HTTP: headers, roll-outs, replaced daemons and withdrawn versions."""

from collections.abc import AsyncIterator

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.change import SetContract, SetShare, WithdrawVersion
from comfreyhatch.domain.version import Version
from comfreyhatch.standins.fleet import CONTRACT, FleetPlan, LocalFleet
from tests.calls import chat, error_of

OLD = Version("coach", "1", input_price=100, output_price=400, prior_quality=0.9)
NEW = replace(OLD, name="2", share=0, replaces="coach@1")
PLAN = FleetPlan(
    zones=("a", "a", "b"),
    engine_zones=("a", "b"),
    service_zones=(),
    versions=(OLD, NEW),
    contracts=(replace(CONTRACT, allowed=("coach",), default_model="coach"),),
)
SESSIONS = [f"rider-{number}" for number in range(12)]


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    async with LocalFleet(PLAN) as running:
        yield running


async def ask(
    fleet: LocalFleet, client: HttpClient, name: str, session: str, token: str = ""
) -> HttpReply:
    headers = {"x-session": session, **({"x-session-token": token} if token else {})}
    return await chat(client, fleet.callers(name), headers, max_tokens=2)


async def set_share(fleet: LocalFleet, share: int) -> None:
    await fleet.apply(SetShare("coach@2", share))
    revision = max(fleet.revision_of(daemon) for daemon in fleet.daemon_by_id.values())
    await fleet.until(
        lambda: all(fleet.revision_of(d) >= revision for d in fleet.daemon_by_id.values())
    )


def ran_on(fleet: LocalFleet, reply: HttpReply) -> str:
    """Return the version that a request ran on according to the engine that ran it."""
    request_id = reply.header_by_name["x-request-id"]
    arrivals = [a for e in fleet.engine_by_id.values() for a in e.witness.arrivals]
    (version_id,) = {a.version_id for a in arrivals if a.request_id == request_id}
    return version_id


@pytest.mark.parametrize("with_token", [True, False])
async def test_sessions_keep_their_versions_through_a_roll_out_and_replaced_daemons(
    fleet: LocalFleet, client: HttpClient, with_token: bool
) -> None:
    await set_share(fleet, 30)
    version_by_session, token_by_session = {}, {}
    for session in SESSIONS:
        reply = await ask(fleet, client, "entry-a0", session)
        assert reply.status == 200
        version_by_session[session] = ran_on(fleet, reply)
        token = reply.header_by_name["x-session-token"]
        token_by_session[session] = token if with_token else ""
    assert set(version_by_session.values()) == {"coach@1", "coach@2"}
    await set_share(fleet, 100)
    await fleet.replace_daemons()
    for name in fleet.daemon_by_id:
        for session, version_id in version_by_session.items():
            reply = await ask(fleet, client, name, session, token_by_session[session])
            assert (reply.status, ran_on(fleet, reply)) == (200, version_id)
    fresh = await ask(fleet, client, next(iter(fleet.daemon_by_id)), "new rider")
    assert ran_on(fleet, fresh) == "coach@2"


@pytest.mark.parametrize("on_withdrawn", ["refuse", "move"])
async def test_session_of_a_withdrawn_version_is_refused_or_moved_by_the_contract(
    fleet: LocalFleet, client: HttpClient, on_withdrawn: str
) -> None:
    contract = replace(PLAN.contracts[0], on_withdrawn=on_withdrawn)  # type: ignore[arg-type]
    await fleet.apply(SetContract(contract))
    reply = await ask(fleet, client, "entry-a0", "rider-1")
    token = reply.header_by_name["x-session-token"]
    assert ran_on(fleet, reply) == "coach@1"
    await fleet.apply(SetShare("coach@2", 100), WithdrawVersion("coach@1"))
    await set_share(fleet, 100)
    after = await ask(fleet, client, "entry-b2", "rider-1", token)
    if on_withdrawn == "refuse":
        error = error_of(after)
        assert (error["name"], error["ran"]) == ("VERSION_WITHDRAWN", "no")
        return
    assert (after.status, ran_on(fleet, after)) == (200, "coach@2")
    assert after.header_by_name["x-session-moved"] == "coach@1 > coach@2"
    again = await ask(fleet, client, "entry-a1", "rider-1")
    assert ran_on(fleet, again) == "coach@2" and "x-session-moved" not in again.header_by_name


async def test_explanation_states_how_the_version_was_found(
    fleet: LocalFleet, client: HttpClient
) -> None:
    operators = fleet.addresses_by_id["entry-a0"].operators
    token = ""
    for pin in ("split", "pin", "token"):
        reply = await ask(fleet, client, "entry-a0", "rider-1", token if pin == "token" else "")
        token = reply.header_by_name["x-session-token"]
        request_id = reply.header_by_name["x-request-id"]
        explained = await client.request(operators, "GET", f"/explain/{request_id}")
        assert f'"pin":"{pin}"'.encode() in explained.body


async def test_session_id_that_is_too_long_is_refused(
    fleet: LocalFleet, client: HttpClient
) -> None:
    assert (await ask(fleet, client, "entry-a0", "x" * 257)).status == 400
