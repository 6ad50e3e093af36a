"""Configuration of daemon processes: pauses, outages and lost answers of the platform."""

import asyncio
import signal
from pathlib import Path

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.settings import PeerSettings, PlatformSettings
from comfreyhatch.daemon.daemon import Daemon
from comfreyhatch.decisions.configuration import ConfigTiming, Freshness
from comfreyhatch.domain.change import SetContract, WithdrawVersion
from comfreyhatch.standins.fleet import CONTRACT, FLEET_KEY, SMALL, FleetPlan, LocalFleet
from tests.calls import chat
from tests.processes import start_daemon_process

PAUSE_S = ConfigTiming().lease_s + 1.0


def seed_address_of(fleet: LocalFleet) -> str:
    control = fleet.daemon_by_id["entry-a0"].membership.own.control
    return f"{control.host}:{control.port}"


async def test_a_resumed_process_dispatches_nothing_on_an_outdated_configuration(
    tmp_path: Path,
) -> None:
    async with LocalFleet(FleetPlan(engine_zones=("a", "b"), service_zones=())) as fleet:
        daemon = await start_daemon_process(tmp_path, "proc-a", "a", fleet.platform.address)
        clients = [HttpClient() for _ in range(8)]
        try:
            async with asyncio.timeout(30):
                while (await chat(clients[0], daemon.callers)).status != 200:
                    await asyncio.sleep(0.05)
            daemon.signal(signal.SIGSTOP)
            pending_requests = [
                asyncio.create_task(chat(client, daemon.callers, model=SMALL.model))
                for client in clients
            ]
            await fleet.apply(WithdrawVersion(SMALL.version_id))
            await asyncio.sleep(PAUSE_S)
            engines = fleet.engine_by_id.values()
            before = sum(e.witness.run_count_by_version.get(SMALL.version_id, 0) for e in engines)
            daemon.signal(signal.SIGCONT)
            replies = await asyncio.gather(*pending_requests)
            after = sum(e.witness.run_count_by_version.get(SMALL.version_id, 0) for e in engines)
            assert after == before
            assert {reply.status for reply in replies} <= {403, 410, 503}
            await fleet.until(lambda: "pause_noticed" in daemon.log())
            reply = await chat(clients[0], daemon.callers)
            assert (reply.status, reply.header_by_name["x-version"]) == (200, "coach-large@1")
        finally:
            for client in clients:
                client.close()
            assert await daemon.terminate() == 0


@pytest.mark.parametrize("with_peer", [True, False])
async def test_a_start_while_the_platform_is_down(tmp_path: Path, with_peer: bool) -> None:
    async with LocalFleet(FleetPlan(engine_zones=("a",), service_zones=())) as fleet:
        fleet.platform.faults.outage = True
        fleet.platform.faults.list_down = True
        peers = f"[peers]\nseeds = {seed_address_of(fleet)}\n" if with_peer else ""
        settings = f"{peers}[shutdown]\nbalancer_s = 0\n"
        daemon = await start_daemon_process(
            tmp_path, "proc-a", "a", fleet.platform.address, settings
        )
        client = HttpClient()
        try:

            async def status() -> int:
                return (await client.request(daemon.operators, "GET", "/ready")).status

            if with_peer:
                async with asyncio.timeout(30):
                    while await status() != 200:
                        await asyncio.sleep(0.05)
                config = await client.request(daemon.operators, "GET", "/config")
                revision = fleet.daemon_by_id["entry-a0"].config_editor.config.revision
                assert f'"revision":{revision}'.encode() in config.body
            else:
                async with asyncio.timeout(30):
                    while daemon.log().count("event=head_unavailable") < 3:
                        await asyncio.sleep(0.05)
                assert await status() == 503
                refused = await chat(client, daemon.callers)
                assert refused.status == 503
                fleet.platform.faults.outage = False
                async with asyncio.timeout(30):
                    while await status() != 200:
                        await asyncio.sleep(0.05)
        finally:
            client.close()
            await daemon.terminate()


async def test_a_zone_without_the_platform_gets_changes_from_another_zone() -> None:
    async with LocalFleet(FleetPlan(zones=("a", "a"), service_zones=())) as fleet:
        settings = fleet.settings("entry-c0", "c")
        settings = settings.__class__(
            instance=settings.instance,
            platform=PlatformSettings("127.0.0.1", 1),
            peers=PeerSettings(seeds=(seed_address_of(fleet),)),
        )
        cut_off = Daemon(settings, FLEET_KEY, seed=9)
        await cut_off.start()
        try:
            await fleet.until(cut_off.ready)
            await fleet.apply(SetContract(CONTRACT))
            revision = fleet.daemon_by_id["entry-a0"].config_editor.config.revision
            await fleet.until(lambda: cut_off.config_sync.config.revision == revision)
            loop = asyncio.get_running_loop()
            await fleet.until(lambda: cut_off.config_sync.freshness(loop.time()) is Freshness.FRESH)
        finally:
            await cut_off.stop()


async def test_an_edit_whose_answer_is_lost_is_committed_once() -> None:
    async with LocalFleet(FleetPlan(engine_zones=(), service_zones=())) as fleet:
        fleet.platform.faults.lose_write_answers = 1
        before = fleet.daemon_by_id["entry-a0"].config_editor.config.revision
        revision = await fleet.apply_at("entry-a0", SetContract(CONTRACT), "edit-1")
        again = await fleet.apply_at("entry-b1", SetContract(CONTRACT), "edit-1")
        assert (revision, again) == (before + 1, before + 1)
        assert fleet.platform.witness.lost_answers == 1
        rows = [key for key in fleet.platform.table.row_by_key if key.startswith("change/")]
        assert len(rows) == before + 1
