"""A daemon with stand-ins of the platform's store and workers in one process, for tests."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from functools import partial
from itertools import cycle
from random import Random

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import HttpRequest
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.session_version import FIRST_SHARE_DELAY_MS
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.instance import Address
from comfreyhatch.exchange.daemon import ExchangeDaemon
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.header_codec import PlatformHeaderCodec
from comfreyhatch.platform.store import StoreClient
from tests.platform_store import StandInStore
from tests.platform_worker import StandInWorker

HOST = "caller.example"
API_KEY = "key-of-club"
WAIT_TIMEOUT_S = 5.0
PORT_BASE = 20000
PORTS_PER_PROCESS = 700
PORT_RANGES = 16
MEMORY_MB = 256.0
MS_PER_S = 1000.0
BOUNDS = Bounds(grace_s=4.0, retry_ratio=1.0, retry_slack=200.0)


def config(version: int, **route_changes: object) -> dict[str, object]:
    """Return a configuration with a streaming, an idempotent and a non-idempotent route.

    Args:
        version: Version of the configuration.
        route_changes: Replaced fields of all routes.
    """
    stream = {
        "name": "draft",
        "host": HOST,
        "prefix": "/draft/",
        "kind": "streaming",
        "timeout_ms": 4000,
        "goal_ms": 1000,
        "priority": 0,
        "service": "engines",
        "max_attempts": 3,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 400,
        "sizes": ["small", "large"],
    }
    plain = {
        "host": HOST,
        "timeout_ms": 1000,
        "goal_ms": 200,
        "priority": 1,
        "service": "desk",
        "public": False,
    }
    read = {**plain, "name": "read", "prefix": "/read/", "kind": "idempotent", "max_attempts": 2}
    pay = {**plain, "name": "pay", "prefix": "/pay/", "kind": "non_idempotent", "max_attempts": 1}
    return {
        "version": version,
        "routes": [{**route, **route_changes} for route in (stream, read, pay)],
        "services": [
            {
                "name": "engines",
                "max_conns": 100,
                "cold_s": 1.0,
                "cold_per_s": 10.0,
                "engine": {
                    "capacity": 4,
                    "kv_capacity": 100000,
                    "models": [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 1.0}],
                },
            },
            {"name": "desk", "max_conns": 100, "cold_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "club", "api_keys": [API_KEY], "priority": 1}],
    }


def _reserve_range(first: int) -> socket.socket | None:
    """Hold the first port of a range; return None if another process holds it."""
    guard = socket.socket()
    try:
        guard.bind(("127.0.0.1", first))
    except OSError:
        guard.close()
        return None
    return guard


def _process_ports() -> Iterator[int]:
    """Yield ports of a range below the ephemeral ports, a separate one for each test process.

    Test runs that run beside this one hold other ranges.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    for offset in range(PORT_RANGES):
        first = PORT_BASE + (worker + offset) % PORT_RANGES * PORTS_PER_PROCESS
        guard = _reserve_range(first)
        if guard is not None:
            with guard:
                yield from cycle(range(first + 1, first + PORTS_PER_PROCESS))
    raise RuntimeError("other test processes hold all ranges of ports")


_ports = _process_ports()


def free_port() -> int:
    """Return a free port that no other test process takes.

    An ephemeral port could be taken by an outgoing connection before the test listens on it.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port


class PlatformHarness:
    """A store, workers and one daemon, with a client that sends requests to the daemon.

    Attributes:
        store: Stand-in of the platform's store.
        worker_by_id: Started workers.
        client: Sends requests.
        daemon: The daemon that was started last; None before.
        deployment: Settings of that daemon; None before.
        daemons: All daemons that were started.
        deployments: Their settings.
        metrics: Address at which the daemon serves its metrics.
    """

    def __init__(self) -> None:
        self.store = StandInStore()
        self.worker_by_id: dict[str, StandInWorker] = {}
        self.client = HttpClient()
        self.daemon: ExchangeDaemon | None = None
        self.deployment: Deployment | None = None
        self.daemons: list[ExchangeDaemon] = []
        self.deployments: list[Deployment] = []
        self.metrics = Address("", 0)
        self._store_clients: list[StoreClient] = []
        self._request_number = 0

    async def add_worker(self, worker_id: str, service: str, version: str = "v1") -> StandInWorker:
        worker = StandInWorker(worker_id)
        await worker.start()
        self.worker_by_id[worker_id] = worker
        self.store.put("servers", worker_id, worker.record(service, "a", version))
        return worker

    def add_unreachable_worker(self, worker_id: str, service: str) -> None:
        """Register a worker to which no connection can be opened."""
        record = StandInWorker(worker_id).record(service, "a")
        record["address"] = f"127.0.0.1:{free_port()}"
        self.store.put("servers", worker_id, record)

    async def start_daemon(
        self,
        address: Address,
        bounds: Bounds = BOUNDS,
        memory_mb: float = MEMORY_MB,
        seeds: tuple[Address, ...] = (),
        slack_from: float = 0.0,
    ) -> ExchangeDaemon:
        self.deployment = Deployment(
            instance=f"front-{len(self.daemons) + 1}",
            zone="a",
            zones=("a",),
            callers=Address("127.0.0.1", free_port()),
            readiness=Address("127.0.0.1", free_port()),
            control=Address("127.0.0.1", free_port()),
            seeds=seeds,
            store=address,
            heartbeat_s=0.3,
            memory_mb=memory_mb,
            max_fds=1024,
            bounds=bounds,
            relay=Address("127.0.0.1", free_port()),
        )
        store_client = StoreClient(address)
        self._store_clients.append(store_client)
        directory = StoreDirectory(store_client)
        self.daemon = ExchangeDaemon(
            self.deployment,
            directory,
            PlatformHeaderCodec(),
            Random(1),
            run=1,
            slack_from=slack_from,
        )
        self.metrics = Address("127.0.0.1", free_port())
        self.daemons.append(self.daemon)
        self.deployments.append(self.deployment)
        await self.daemon.start(self.metrics)
        return self.daemon

    def cut_from_store(self, daemon: int) -> None:
        """Let a daemon's calls to the store fail from now on, by its number from 0."""
        client = self._store_clients[daemon]
        client.close()
        client._address = Address("127.0.0.1", free_port())

    async def send(self, path: str, daemon: int = -1, **headers: str) -> HttpReply:
        """Send a request with a valid API key and return its answer.

        Args:
            path: Path of the request.
            daemon: Number of the daemon, from 0; the one that was started last if -1.
            headers: Headers, which may replace the usual ones.
        """
        callers = self.deployments[daemon].callers
        self._request_number += 1
        sent = {
            "host": HOST,
            "attempt-id": f"{self._request_number:016x}",
            "deadline-ms": "3000",
            "authorization": f"Bearer {API_KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        method = "POST" if path.startswith(("/draft/", "/pay/")) else "GET"
        # Requests with different prompts have different bodies.
        body = headers.get("prompt_prefix", "body").encode() if method == "POST" else b""
        return await self.client.request(callers, method, path, body, sent, 10.0)

    async def send_draft(self, daemon: int = -1, **headers: str) -> HttpReply:
        return await self.send("/draft/one", daemon, model="*", token_counts="1000,60", **headers)

    async def send_kind(self, path: str, daemon: int = -1, **headers: str) -> HttpReply:
        """Send a request to any route; those of streams get the headers of a prompt."""
        send_draft = path.startswith("/draft/")
        return await (self.send_draft if send_draft else partial(self.send, path))(
            daemon=daemon, **headers
        )

    async def add_daemons(self, count: int) -> None:
        """Start more daemons, and wait until all daemons know each other."""
        assert self.deployment is not None
        for _ in range(count):
            started = await self.start_daemon(self.deployment.store, self.deployment.bounds)
            await self.wait_until(started.ready)
        known = len(self.daemons)
        await self.wait_until(
            lambda: all(len(each.view.relays_in("")) == known for each in self.daemons)
        )

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds, for `WAIT_TIMEOUT_S` at most."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_for_first_share(self) -> None:
        """Wait until a roll-out of the engines runs and new sessions get the new version."""
        daemon = self.daemon
        assert daemon is not None
        await self.wait_until(lambda: daemon.view.trial("engines"))
        await asyncio.sleep(FIRST_SHARE_DELAY_MS / MS_PER_S)

    async def close(self) -> None:
        self.client.close()
        for daemon in self.daemons:
            await daemon.close()
        for store_client in self._store_clients:
            store_client.close()
        for worker in self.worker_by_id.values():
            await worker.stop()
        await self.store.stop()


def workers(harness: PlatformHarness, service: str) -> list[StandInWorker]:
    """Return both workers of a service, by the beginning of their ids."""
    return [harness.worker_by_id[f"{service}-{number}"] for number in (1, 2)]


def sent_to(harness: PlatformHarness, service: str) -> list[HttpRequest]:
    """Return the requests that both workers of a service have received."""
    return [request for worker in workers(harness, service) for request in worker.received]


@asynccontextmanager
async def running_harness(
    daemon: bool = True, bounds: Bounds = BOUNDS, memory_mb: float = MEMORY_MB
) -> AsyncIterator[PlatformHarness]:
    """Yield a harness with two workers of each service and, if wanted, a ready daemon."""
    harness = PlatformHarness()
    address = await harness.store.start()
    try:
        harness.store.put("op", "config", config(1))
        for number in (1, 2):
            await harness.add_worker(f"engine-{number}", "engines")
            await harness.add_worker(f"desk-{number}", "desk")
        if daemon:
            started = await harness.start_daemon(address, bounds, memory_mb)
            await harness.wait_until(started.ready)
        yield harness
    finally:
        await harness.close()
