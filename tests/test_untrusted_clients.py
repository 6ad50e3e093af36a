"""Clients that make a daemon's process hold memory or descriptors, and what they are held to."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import HttpResponse
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.instance import Address
from comfreyhatch.standins.fleet import FleetPlan as LocalFleetPlan
from comfreyhatch.standins.fleet import LocalFleet
from tests.fleet_daemons import PORT, Daemons
from tests.fleet_plan import FleetPlan
from tests.platform_harness import API_KEY, HOST, config
from tests.platform_store import StandInStore
from tests.platform_worker import StandInWorker
from tests.processes import start_daemon_process
from tests.untrusted_clients import BodyKind, Crowd, ProcessWatch, crowd, watched

MEMORY_MB = 100
MAX_FDS = 700
BYTES_PER_MB = 1_000_000
BODY_BYTES = 4_194_304
BODY_CLIENTS = 40
ANSWER_BYTES = 3_000_000
ANSWER_READERS = 60
STREAM_READERS = 240
EVENT_BYTES = 16_000
IDLE_CONNECTIONS = 800
# More than the endpoints of the tests are given at a time.
SLOTS = 1000
# Memory of the own daemon without a setting, in megabytes.
OWN_MEMORY_MB = 256
OWN_BODY_CLIENTS = 72
PORT_BY_LISTENER = {"callers": PORT, "readiness": PORT + 1, "relay": PORT + 3, "metrics": 9464}
BODY_CASES = pytest.mark.parametrize(
    ("listener", "kind"),
    [
        *(("callers", kind) for kind in BodyKind),
        ("relay", BodyKind.SIZED),
        ("readiness", BodyKind.SIZED),
    ],
    ids=lambda value: value.value.replace(" ", "_") if isinstance(value, BodyKind) else value,
)


@dataclass
class Running:
    """A daemon process with two endpoints.

    Attributes:
        host: Its loopback address.
        pid: Its process id.
        workers: The endpoints: an engine and a plain service.
    """

    host: str
    pid: int
    workers: list[StandInWorker]

    def address(self, listener: str) -> Address:
        return Address(self.host, PORT_BY_LISTENER[listener])

    async def ask(self, method: str, target: str, body: bytes = b"") -> HttpReply:
        """Send a request on a new connection."""
        headers = {
            "host": HOST,
            "attempt-id": "0123456789abcdef",
            "deadline-ms": "15000",
            "authorization": f"Bearer {API_KEY}",
        }
        client = HttpClient()
        try:
            address = self.address("callers")
            return await client.request(address, method, target, body, headers, timeout_s=20.0)
        finally:
            client.close()


@pytest.fixture
async def daemon(tmp_path: Path) -> AsyncIterator[Running]:
    """Run a daemon process with little memory, few descriptors and more slots than it needs."""
    store = StandInStore()
    workers = [StandInWorker("engine-1"), StandInWorker("desk-1")]
    settings = (f"limits.memory_mb={MEMORY_MB}", f"limits.max_fds={MAX_FDS}")
    daemons = Daemons(tmp_path, await store.start(), FleetPlan(daemons=1), settings)
    found = config(1, timeout_ms=20000, gap_aim_ms=10000)
    found["limits"]["max_body_bytes"] = BODY_BYTES  # type: ignore[index]
    for service in found["services"]:  # type: ignore[attr-defined]
        service.update(max_conns=SLOTS, cold_s=0.0)
        if "engine" in service:
            service["engine"].update(capacity=SLOTS, kv_capacity=10**9)
    store.put("op", "config", found)
    for worker, service in zip(workers, ("engines", "desk"), strict=True):
        await worker.start()
        record = {**worker.record(service, "a"), "capacity": SLOTS}
        store.put("servers", worker.worker_id, record)
    try:
        await daemons.start_all()
        host = daemons.hosts[0]
        yield Running(host, daemons.by_host[host].process.pid, workers)
        assert daemons.by_host[host].process.returncode is None
    finally:
        await daemons.close()
        for worker in workers:
            await worker.stop()
        await store.stop()


@pytest.fixture
async def clients() -> AsyncIterator[Crowd]:
    async with crowd() as found:
        yield found


def head(method: str, target: str, *lines: str) -> bytes:
    """Return the beginning of a head, whose end is still to be added."""
    fixed = (f"host: {HOST}", f"authorization: Bearer {API_KEY}", "attempt-id: 00000000000000ff")
    return "\r\n".join([f"{method} {target} HTTP/1.1", *fixed, *lines, ""]).encode()


def assert_within(watch: ProcessWatch, memory_mb: int, max_fds: int) -> None:
    """Require that the process has never held more than its settings allow."""
    peak_mb = watch.peak_memory_bytes / BYTES_PER_MB
    print(f"peak memory {peak_mb:.0f} MB of {memory_mb}, {watch.peak_fds} descriptors")
    assert peak_mb <= memory_mb
    assert watch.peak_fds <= max_fds


async def assert_serves(daemon: Running, watch: ProcessWatch) -> None:
    """Require that the process is within its settings and answers an ordinary request."""
    reply = await daemon.ask("GET", "/read/one")
    assert_within(watch, MEMORY_MB, MAX_FDS)
    assert reply.status == 200


@BODY_CASES
async def test_bodies_that_stop_short_leave_a_daemon_within_its_memory(
    daemon: Running, clients: Crowd, listener: str, kind: BodyKind
) -> None:
    """Guards against bodies that are held for as long as their clients like."""
    address = daemon.address(listener)
    request = head("POST", "/pay/one")
    async with watched(daemon.pid) as watch:
        await clients.run(
            BODY_CLIENTS, lambda: clients.send_short(address, request, BODY_BYTES, kind)
        )
        await watch.settle()
        await assert_serves(daemon, watch)
        clients.leave()
        assert (await daemon.ask("POST", "/pay/one", b"x" * BODY_BYTES)).status == 200
        assert_within(watch, MEMORY_MB, MAX_FDS)


async def test_long_answers_that_are_not_read_leave_a_daemon_within_its_memory(
    daemon: Running, clients: Crowd
) -> None:
    """Guards against whole answers that wait in memory for clients that do not read them."""
    desk = daemon.workers[1]
    desk.transform = lambda response: HttpResponse(
        200, b"x" * ANSWER_BYTES, headers=response.headers
    )
    request = head("GET", "/read/one") + b"\r\n"
    async with watched(daemon.pid) as watch:
        address = daemon.address("callers")
        await clients.run(ANSWER_READERS, lambda: clients.leave_unread(address, request))
        await watch.settle()
        desk.transform = lambda response: response
        await assert_serves(daemon, watch)


async def test_endless_streams_that_are_not_read_leave_a_daemon_within_its_memory(
    daemon: Running, clients: Crowd
) -> None:
    """Guards against streams whose events pile up for clients that do not read them."""

    async def events() -> AsyncIterator[bytes]:
        number = 0
        while True:
            number += 1
            yield b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)

    daemon.workers[0].transform = lambda response: HttpResponse(
        200, stream=events(), headers=response.headers
    )
    lines = ("model: *", "token-counts: 10,10", "content-length: 0", "")
    request = head("POST", "/draft/one", *lines) + b"\r\n"
    async with watched(daemon.pid) as watch:
        address = daemon.address("callers")
        await clients.run(STREAM_READERS, lambda: clients.leave_unread(address, request))
        await watch.settle()
        await assert_serves(daemon, watch)


@pytest.mark.parametrize("listener", list(PORT_BY_LISTENER))
async def test_idle_connections_leave_a_daemon_within_its_descriptors(
    daemon: Running, clients: Crowd, listener: str
) -> None:
    """Guards against listeners that accept more connections than the process may open."""

    async def connect() -> None:
        await clients.connect(daemon.address(listener))

    async with watched(daemon.pid) as watch:
        await clients.run(IDLE_CONNECTIONS, connect)
        await watch.settle()
        await assert_serves(daemon, watch)


@pytest.mark.parametrize("listener", ["callers", "operators"])
async def test_bodies_that_stop_short_leave_the_own_daemon_within_its_memory(
    tmp_path: Path, clients: Crowd, listener: str
) -> None:
    """Guards against listeners of the own daemon that hold bodies without a bound."""
    plan = LocalFleetPlan(zones=("a",), engine_zones=(), service_zones=())
    async with LocalFleet(plan) as fleet:
        process = await start_daemon_process(tmp_path, "proc-b", "a", fleet.platform.address)
        address = process.callers if listener == "callers" else process.operators
        client = HttpClient()
        try:
            async with watched(process.process.pid) as watch:
                request = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
                await clients.run(
                    OWN_BODY_CLIENTS,
                    lambda: clients.send_short(address, request, BODY_BYTES, BodyKind.SIZED),
                )
                await watch.settle()
                reply = await client.request(process.operators, "GET", "/metrics")
                assert_within(watch, OWN_MEMORY_MB, MAX_FDS)
                assert reply.status == 200
        finally:
            client.close()
            await process.terminate()
