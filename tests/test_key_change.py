"""Tests of the change of the fleet key, daemon by daemon, in a running fleet."""

import asyncio
from pathlib import Path

import pytest
from msgspec.json import decode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.adapters.settings import FleetSettings, accepted_fleet_keys
from comfreyhatch.daemon.daemon import Daemon
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import SettingsError
from comfreyhatch.standins.fleet import FLEET_KEY, FleetPlan, LocalFleet
from tests.calls import AUTHORIZATION, book, chat

NEW_KEY = b"next key of the local fleet"


async def pin_of(client: HttpClient, operators: Address, reply: HttpReply) -> str:
    target = f"/explain/{reply.header_by_name['x-request-id']}"
    return str(decode((await client.request(operators, "GET", target)).body)["pin"])


def knows_incarnation_of(one: Daemon, other: Daemon) -> bool:
    member = one.membership.view.member_by_id.get(other.membership.own.instance_id)
    return member is not None and member.incarnation == other.incarnation


async def test_daemons_that_sign_with_the_old_and_the_new_key_work_together() -> None:
    plan = FleetPlan(zones=("a",), engine_zones=("b",), service_zones=("b",))
    async with LocalFleet(plan) as fleet:
        old = Daemon(fleet.settings("old", "b"), FLEET_KEY, 1, accepted_keys=(NEW_KEY,))
        new = Daemon(fleet.settings("new", "c"), NEW_KEY, 2, accepted_keys=(FLEET_KEY,))
        client = HttpClient()
        at = {"old": await old.start(), "new": await new.start()}
        try:
            await fleet.until(lambda: old.ready() and new.ready() and old.pool.all_loads_known())
            # The instance list holds no incarnations: only messages between daemons carry them.
            for one, other in ((old, new), (new, old)):
                await fleet.until(lambda one=one, other=other: knows_incarnation_of(one, other))
            # The daemon "old" gets its slots shortly after its start.
            async with asyncio.timeout(20):
                while (await chat(client, at["new"].callers)).status != 200:
                    await asyncio.sleep(0.05)
            session = {"x-session": "s-1"}
            first = await chat(client, at["old"].callers, session)
            session["x-session-token"] = first.header_by_name["x-session-token"]
            second = await chat(client, at["new"].callers, session)
            assert second.header_by_name["x-version"] == first.header_by_name["x-version"]
            assert await pin_of(client, at["new"].operators, second) == "token"
            minted = await client.request(
                at["old"].callers, "POST", "/v1/keys", headers=AUTHORIZATION
            )
            key = decode(minted.body)["idempotency_key"]
            booked = await book(client, at["new"].callers, key)
            assert booked.status == 200, booked.body
            # A daemon that accepts only the old key rejects messages signed with the new one.
            outside = fleet.daemon_by_id["entry-a0"]
            await fleet.until(lambda: outside.bus.count_by_event["unauthenticated"] > 0)
        finally:
            client.close()
            await new.stop()
            await old.stop()


def test_accepted_keys_come_from_files_with_keys_of_sufficient_length(tmp_path: Path) -> None:
    good, short = tmp_path / "good", tmp_path / "short"
    good.write_bytes(NEW_KEY + b"\n")
    short.write_bytes(b"short")
    assert accepted_fleet_keys(FleetSettings(accepted_key_files=(str(good),))) == (NEW_KEY,)
    for bad in (short, tmp_path / "absent"):
        with pytest.raises(SettingsError, match="key"):
            accepted_fleet_keys(FleetSettings(accepted_key_files=(str(good), str(bad))))
