"""Daemons and endpoints as processes, and a load of callers, for tests that stop endpoints."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from time import monotonic

from msgspec import Struct
from msgspec.json import decode, encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import HttpError
from tests.endpoint_process import EndpointOptions
from tests.platform_harness import API_KEY, HOST, config
from tests.platform_store import StandInStore
from tests.platform_worker import StandInWorker
from tests.processes import DaemonProcess

START_TIMEOUT_S = 20.0
POLL_S = 0.05
SIZE_BY_SERVICE = {"engines": 5, "desk": 3}
DAEMONS = 2
# First of four ports of each daemon, which has a loopback address of its own.
PORT = 21001
RATIO = 0.15
SLACK = 6
WINDOW_S = 6.0
# From one silence to the next, which lets what one delays fall together with the next.
PERIOD_S = 6.0
# Load from the begin of the last silence.
TAIL_S = 3.0
DEADLINE_S = 5.0
KEPT_SHARE = 0.8
RATES = {"stream": 24.0, "read": 30.0, "pay": 12.0}
PATH_BY_KIND = {"stream": "/draft/one", "read": "/read/one", "pay": "/pay/one"}
SERVICE_BY_KIND = {"stream": "engines", "read": "desk", "pay": "desk"}
MAX_ATTEMPTS_BY_KIND = {"stream": 3, "read": 2, "pay": 1}
CHANGES: list[dict[str, object]] = [
    {"idle_timeout_ms": 400},
    {"timeout_ms": 4500},
    {"read_service": "engines"},
    {"idle_timeout_ms": 1000, "timeout_ms": 5500},
]


class EndpointEvent(Struct):
    """A line of an endpoint's log."""

    t: float
    event: str
    port: int
    id: str = ""
    method: str = ""
    model: str = ""
    last: str = ""
    deadline_ms: str = ""
    how: str = ""
    endpoint: str = ""


class Call(Struct):
    """A request as its caller saw it; `outcome` is complete, broken or, without a head, nothing."""

    id: str
    kind: str
    kept: bool
    sent: float
    ended: float = 0.0
    status: int = 0
    outcome: str = "nothing"
    reason: str = ""

    @property
    def used_share(self) -> float:
        return (self.ended - self.sent) / DEADLINE_S


class EndpointProcess:
    """An endpoint's process, its log, and the times for which it was stopped."""

    def __init__(self, worker_id: str, service: str, folder: Path) -> None:
        self.worker_id = worker_id
        self.service = service
        self.log_path = folder / f"{worker_id}.jsonl"
        self.stops: list[tuple[float, float]] = []
        self._process: DaemonProcess | None = None

    async def start(self, options: EndpointOptions) -> dict[str, object]:
        """Start the process; return the row that it registers in the store."""
        self.log_path.touch()
        command = ("tests.endpoint_process", self.worker_id, str(self.log_path), encode(options))
        # Stopped processes get SIGHUP when their group's last parent outside of it ends.
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, start_new_session=True
        )
        self._process = DaemonProcess(process, self.log_path)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (found := self.events()):
                await asyncio.sleep(POLL_S)
        worker = StandInWorker(self.worker_id)
        worker.address = Address("127.0.0.1", found[0].port)
        return worker.record(self.service, "a") | {"capacity": options.capacity}

    def events(self) -> list[EndpointEvent]:
        lines = self.log_path.read_bytes().splitlines()
        found = [decode(line, type=EndpointEvent) for line in lines]
        for event in found:
            event.endpoint = self.worker_id
        return found

    def signal(self, number: signal.Signals) -> None:
        assert self._process
        self._process.signal(number)

    def awake_s(self, start: float, end: float) -> float:
        """Return the part of a span for which the process was not stopped."""
        stopped = sum(max(0.0, min(end, b) - max(start, a)) for a, b in self.stops)
        return max(0.0, end - start) - stopped

    async def close(self) -> None:
        if self._process:
            await self._process.kill()


class Fleet:
    """Daemons, endpoints and a store, with callers.

    Attributes:
        endpoint_by_id: Processes of endpoints.
        calls: Requests of callers so far.
        notes: Times and descriptions of what was done to the fleet.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = Random(seed)
        self.endpoint_by_id: dict[str, EndpointProcess] = {}
        self.calls: list[Call] = []
        self.notes: list[tuple[float, str]] = []
        self._folder = folder
        self._store = StandInStore()
        net = 20 + os.getpid() % 230
        self._hosts = [f"127.{net}.{number}.1" for number in range(1, DAEMONS + 1)]
        self._daemons: list[DaemonProcess] = []
        self._client = HttpClient()
        self._version = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, options: EndpointOptions) -> None:
        address = await self._store.start()
        self.configure()
        for service, size in SIZE_BY_SERVICE.items():
            for number in range(1, size + 1):
                endpoint = EndpointProcess(f"{service}-{number}", service, self._folder)
                self.endpoint_by_id[endpoint.worker_id] = endpoint
                self._store.put("servers", endpoint.worker_id, await endpoint.start(options))
        for host in self._hosts:
            await self._start_daemon(host, address)
        for host in self._hosts:
            await self._wait_ready(Address(host, PORT + 1))

    async def _start_daemon(self, host: str, store: Address) -> None:
        lines = [
            f"node_name={host}",
            f"ip={host}",
            "zone=a",
            "region=r",
            "zones.a=r",
            f"bind.front={host}:{PORT}",
            f"bind.ready={host}:{PORT + 1}",
            f"bind.control={host}:{PORT + 2}",
            f"port_range={PORT + 3},{PORT + 3}",
            f"seeds={','.join(f'{host}:{PORT + 2}' for host in self._hosts)}",
            f"platform.address={store}",
            "heartbeat_ms=300",
            f"bounds.retry_budget_ratio={RATIO}",
            f"bounds.retry_slack={SLACK}",
            f"bounds.budget_window_s={WINDOW_S}",
        ]
        settings = self._folder / f"{host}.conf"
        settings.write_text("\n".join(lines))
        env = {**os.environ, "COMFREYHATCH_SETTINGS": str(settings)}
        log_path = self._folder / f"{host}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "comfreyhatch.platform.start", stdout=log, stderr=log, env=env
            )
        self._daemons.append(DaemonProcess(process, log_path))

    async def _wait_ready(self, address: Address) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if (await self._client.request(address, "GET", "/ready")).status == 200:
                        return
                except HttpError:
                    pass
                await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._client.close()
        for endpoint in self.endpoint_by_id.values():
            await endpoint.close()
        for daemon in self._daemons:
            await daemon.kill()
        await self._store.stop()

    def events(self) -> list[EndpointEvent]:
        """Return the events of all endpoints, oldest first."""
        found = [event for e in self.endpoint_by_id.values() for event in e.events()]
        return sorted(found, key=lambda event: event.t)

    def configure(self, **changes: object) -> None:
        """Store a new configuration.

        Args:
            changes: `idle_timeout_ms`; `timeout_ms` of the routes; `read_service`.
        """
        self._version += 1
        timeout_ms = changes.get("timeout_ms", 6000)
        found: dict[str, list[dict[str, object]]] = config(  # type: ignore[assignment]
            self._version, gap_aim_ms=900, timeout_ms=timeout_ms
        )
        for route, attempts in zip(found["routes"], MAX_ATTEMPTS_BY_KIND.values(), strict=True):
            route["max_attempts"] = attempts
        found["routes"][1]["service"] = changes.get("read_service", "desk")
        limits = {**found["limits"], "idle_timeout_ms": changes.get("idle_timeout_ms", 15000)}
        self._store.put("op", "config", {**found, "limits": limits})
        self._note(f"configuration {self._version} {changes}")

    async def silence(self, service: str, share: float, for_s: float) -> None:
        """Stop a share of a service's endpoints for a time."""
        found = [e for e in self.endpoint_by_id.values() if e.service == service]
        chosen = self.rng.sample(found, round(share * len(found)))
        self._note(f"stopped {','.join(e.worker_id for e in chosen)} for {for_s:.2f} s")
        stopped_at = monotonic()
        for endpoint in chosen:
            endpoint.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            for endpoint in chosen:
                endpoint.signal(signal.SIGCONT)
                endpoint.stops.append((stopped_at, monotonic()))
        self._note("continued")

    async def load(self, for_s: float) -> None:
        """Send requests at the rates of `RATES`, and wait until all have ended."""
        ends = monotonic() + for_s
        await asyncio.gather(*(self._send_kind(kind, ends) for kind in RATES))
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _send_kind(self, kind: str, ends: float) -> None:
        while monotonic() < ends:
            kept = self.rng.random() < KEPT_SHARE
            call = Call(f"{len(self.calls):016x}", kind, kept, monotonic())
            self.calls.append(call)
            task = asyncio.create_task(self._send(call, self.rng.choice(self._hosts)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.expovariate(RATES[kind]))

    async def _send(self, call: Call, host: str) -> None:
        headers = {
            "host": HOST,
            "attempt-id": call.id,
            "deadline-ms": str(int(DEADLINE_S * 1000)),
            "authorization": f"Bearer {API_KEY}",
        }
        if call.kind == "stream":
            headers |= {"model": "*", "token-counts": "1000,60"}
        method, body = ("GET", b"") if call.kind == "read" else ("POST", call.id.encode())
        sent = (Address(host, PORT), method, PATH_BY_KIND[call.kind], body, headers)
        try:
            async with self._client.stream(*sent, DEADLINE_S + 2, not call.kept) as reply:
                call.status, call.outcome = reply.status, "broken"
                await reply.whole(DEADLINE_S + 2, 1_000_000)
                call.outcome = "complete"
        except HttpError as error:
            call.reason = repr(error)
        finally:
            call.ended = monotonic()

    def _note(self, text: str) -> None:
        self.notes.append((monotonic(), text))


@asynccontextmanager
async def running_fleet(
    folder: Path, seed: int, options: EndpointOptions | None = None
) -> AsyncIterator[Fleet]:
    """Yield a fleet whose daemons are ready; the processes are ended at the end."""
    fleet = Fleet(folder, seed)
    try:
        await fleet.start(options or EndpointOptions())
        yield fleet
    finally:
        await fleet.close()


async def play(fleet: Fleet, rounds: int, first_s: float) -> None:
    """Send requests while all endpoints of a service, then 0.6 of them, and so on, fall silent.

    Each silence begins just after a new configuration, the first one after `first_s`.
    """
    load_s = first_s + (rounds - 1) * PERIOD_S + TAIL_S
    load = asyncio.create_task(fleet.load(load_s))
    service = fleet.rng.choice(list(SIZE_BY_SERVICE))
    first_at = monotonic() + first_s
    for number in range(rounds):
        silent_at = first_at + number * PERIOD_S + fleet.rng.uniform(0.0, 0.3)
        await asyncio.sleep(silent_at - fleet.rng.uniform(0.1, 0.6) - monotonic())
        fleet.configure(**CHANGES[number % len(CHANGES)])
        await asyncio.sleep(silent_at - monotonic())
        await fleet.silence(service, 0.6 if number % 2 else 1.0, fleet.rng.uniform(1.0, 1.3))
    await load
