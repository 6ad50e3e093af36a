"""Tests of the graceful shutdown: requests finish, peers are notified, data is flushed."""

import asyncio
from pathlib import Path

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.errors import ConnectError
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat
from tests.processes import DaemonProcess, start_daemon_process

WORKERS = 6
BALANCER_SETTINGS = "[shutdown]\nbalancer_s = 1\n"


class Balancer:
    """Sends requests to a daemon for as long as its readiness check passes."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self.client = HttpClient()
        self.daemon = daemon
        self.statuses: list[int] = []
        self.failures: list[Exception] = []
        self.stream_ends: list[bytes] = []

    async def ready(self) -> bool:
        try:
            reply = await self.client.request(self.daemon.operators, "GET", "/ready")
        except ConnectError:
            return False
        return reply.status == 200

    async def send(self, max_tokens: int) -> None:
        try:
            reply = await chat(self.client, self.daemon.callers, stream=True, max_tokens=max_tokens)
        except Exception as error:
            self.failures.append(error)
            return
        self.statuses.append(reply.status)
        self.stream_ends.append(reply.body[-14:])

    async def keep_sending(self) -> None:
        while await self.ready():
            await self.send(20)


async def test_sigterm_under_load_interrupts_no_request_and_announces_the_departure(
    tmp_path: Path,
) -> None:
    plan = FleetPlan(zones=("a", "b"), engine_zones=("a", "a"), service_zones=())
    async with LocalFleet(plan) as fleet:
        daemon = await start_daemon_process(
            tmp_path, "proc-a", "a", fleet.platform.address, BALANCER_SETTINGS
        )
        balancer = Balancer(daemon)
        async with asyncio.timeout(30):
            while not await balancer.ready():
                await asyncio.sleep(0.05)
        near, far = fleet.daemon_by_id.values()
        await fleet.until(
            lambda: all("proc-a" in d.membership.view.member_by_id for d in (near, far))
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(WORKERS):
                group.create_task(balancer.keep_sending())
            long = group.create_task(balancer.send(400))
            await fleet.until(lambda: len(balancer.statuses) >= WORKERS)
            stopping = group.create_task(daemon.terminate())
            await fleet.until(
                lambda: all(d.membership.view.member_by_id["proc-a"].leaving for d in (near, far))
            )
            answered = len(balancer.statuses)
            await balancer.send(5)
            assert (
                len(balancer.statuses) > answered
            ), "requests are served until the balancer has stopped sending"
            await long
            assert await stopping == 0
        assert balancer.failures == []
        assert set(balancer.statuses) == {200}
        assert all(end == b"data: [DONE]\n\n" for end in balancer.stream_ends)
        # The daemon announced its departure, so the peers need not wait for the failure detector.
        await fleet.until(lambda: "proc-a" not in near.membership.view.member_by_id, 2.0)
        balancer.client.close()


async def test_flushes_run_after_the_last_request_even_if_one_fails() -> None:
    async with LocalFleet(FleetPlan(zones=("a", "a"), service_zones=())) as fleet:
        daemon = fleet.daemon_by_id["entry-a0"]
        client = HttpClient()
        events: list[str] = []

        async def fail() -> None:
            raise RuntimeError("the store is down")

        async def flush() -> None:
            events.append(f"flush with {daemon._caller_server.busy} running")

        async def answer() -> None:
            reply = await chat(client, fleet.callers("entry-a0"), max_tokens=200)
            events.append(str(reply.status))

        daemon.shutdown.on_flush(fail)
        daemon.shutdown.on_flush(flush)
        running = asyncio.create_task(answer())
        await fleet.until(lambda: bool(fleet.engine_by_id["engine-a0"].witness.run_count_by_id))
        await fleet.stop_daemon("entry-a0")
        await running
        assert sorted(events) == ["200", "flush with 0 running"]
        assert not daemon.ready()
        client.close()
