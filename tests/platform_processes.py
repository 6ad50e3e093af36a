"""Daemons and endpoints as processes, and a load of callers, for tests that stop endpoints."""

import asyncio
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random
from time import monotonic

from msgspec import Struct, field

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import HttpError
from tests.endpoint_process import EndpointOptions
from tests.endpoint_processes import START_TIMEOUT_S, EndpointEvent, EndpointProcess
from tests.platform_harness import API_KEY, HOST, config
from tests.platform_store import StandInStore
from tests.processes import DaemonProcess

POLL_S = 0.05
SIZE_BY_SERVICE = {"engines": 5, "desk": 3}
# First of four ports of each daemon, which has a loopback address of its own.
PORT = 21001
# Second numbers of the loopback addresses of fleets.
FIRST_NET = 20
NETS = 230
# From one silence to the next, which lets what one delays fall together with the next.
PERIOD_S = 6.0
# Load from the begin of the last silence.
TAIL_S = 3.0
# Silences of a play with mixed disturbances.
SHORTEST_S = 0.5
LONGEST_S = 6.0
LONGEST_DOWN_S = 2.0
# Share of the disturbances that come with a new configuration, and of the ends that are kills.
CHANGED_SHARE = 0.4
KILLED_SHARE = 0.7
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


class FleetPlan(Struct):
    """What a fleet consists of, and what its callers ask for.

    Attributes:
        daemons: Number of daemons.
        endpoints: How the endpoints behave.
        ratio: Repeats that the budget allows for each request.
        slack: Repeats that it allows besides.
        window_s: Window in which it is counted, in seconds.
        deadline_s: Time that callers give a request, in seconds.
    """

    daemons: int = 2
    endpoints: EndpointOptions = field(default_factory=EndpointOptions)
    ratio: float = 0.15
    slack: int = 6
    window_s: float = 6.0
    deadline_s: float = 5.0


class Call(Struct):
    """A request as its caller saw it; `outcome` is complete, broken or, without a head, nothing."""

    id: str
    kind: str
    kept: bool
    sent: float
    host: str
    ended: float = 0.0
    status: int = 0
    outcome: str = "nothing"
    reason: str = ""


class Fleet:
    """Daemons, endpoints and a store, with callers.

    Attributes:
        endpoint_by_id: Processes of endpoints.
        daemon_by_host: Processes of daemons that run.
        plan: What it consists of.
        calls: Requests of callers so far.
        notes: Times and descriptions of what was done to the fleet.
        read_services: Times from which reads were routed to a service, and the service.
    """

    def __init__(self, folder: Path, seed: int, plan: FleetPlan) -> None:
        self.plan = plan
        self.rng = Random(seed)
        # Of its own, so that the load doesn't change what is done to the fleet.
        self._load_rng = Random(seed)
        self.endpoint_by_id: dict[str, EndpointProcess] = {}
        self.daemon_by_host: dict[str, DaemonProcess] = {}
        self.calls: list[Call] = []
        self.notes: list[tuple[float, str]] = []
        self.read_services: list[tuple[float, str]] = []
        self._folder = folder
        self._store = StandInStore()
        # Held until the end, as other test processes may run fleets, too.
        self._guard, net = _reserve_net()
        self._hosts = [f"127.{net}.{number}.1" for number in range(1, plan.daemons + 1)]
        self._client = HttpClient()
        self._version = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        await self._store.start()
        self.configure()
        for service, size in SIZE_BY_SERVICE.items():
            for number in range(1, size + 1):
                endpoint = EndpointProcess(f"{service}-{number}", service, self._folder)
                self.endpoint_by_id[endpoint.worker_id] = endpoint
                await self._start_endpoint(endpoint)
        for host in self._hosts:
            await self._start_daemon(host)
        for host in self._hosts:
            await self._wait_ready(Address(host, PORT + 1))

    async def _start_endpoint(self, endpoint: EndpointProcess) -> None:
        self._store.put("servers", endpoint.worker_id, await endpoint.start(self.plan.endpoints))

    async def _start_daemon(self, host: str) -> None:
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
            f"platform.address={self._store.address}",
            "heartbeat_ms=300",
            f"bounds.retry_budget_ratio={self.plan.ratio}",
            f"bounds.retry_slack={self.plan.slack}",
            f"bounds.budget_window_s={self.plan.window_s}",
        ]
        settings = self._folder / f"{host}.conf"
        settings.write_text("\n".join(lines))
        env = {**os.environ, "COMFREYHATCH_SETTINGS": str(settings)}
        log_path = self._folder / f"{host}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "comfreyhatch.platform.start", stdout=log, stderr=log, env=env
            )
        self.daemon_by_host[host] = DaemonProcess(process, log_path)

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
            await endpoint.kill()
        for daemon in self.daemon_by_host.values():
            await daemon.kill()
        await self._store.stop()
        self._guard.close()

    def events(self) -> list[EndpointEvent]:
        """Return the events of all endpoints, oldest first."""
        found = [event for e in self.endpoint_by_id.values() for event in e.events()]
        return sorted(found, key=lambda event: event.t)

    def routed_to(self, call: Call) -> str:
        """Return the service to which the newest configuration sent a request as it was made."""
        if call.kind != "read":
            return SERVICE_BY_KIND[call.kind]
        return [service for at, service in self.read_services if at <= call.sent][-1]

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
        read_service = str(changes.get("read_service", SERVICE_BY_KIND["read"]))
        found["routes"][1]["service"] = read_service
        self.read_services.append((monotonic(), read_service))
        limits = {**found["limits"], "idle_timeout_ms": changes.get("idle_timeout_ms", 15000)}
        self._store.put("op", "config", {**found, "limits": limits})
        self._note(f"configuration {self._version} {changes}")

    def _chosen(self, service: str, share: float) -> list[EndpointProcess]:
        """Return a share of a service's endpoints, of those that run."""
        mine = [e for e in self.endpoint_by_id.values() if e.service == service]
        found = [e for e in mine if e.runs]
        return self.rng.sample(found, min(len(found), round(share * len(mine))))

    async def silence(self, service: str, share: float, for_s: float) -> None:
        """Stop a share of a service's endpoints for a time."""
        chosen = self._chosen(service, share)
        self._note(f"stopped {_ids(chosen)} for {for_s:.2f} s")
        await asyncio.gather(*(endpoint.silence(for_s) for endpoint in chosen))
        self._note(f"continued {_ids(chosen)}")

    async def refuse(self, service: str, share: float, for_s: float) -> None:
        """Let a share of a service's endpoints refuse all requests for a time."""
        chosen = self._chosen(service, share)
        self._note(f"{_ids(chosen)} refuse for {for_s:.2f} s")
        await asyncio.gather(*(endpoint.refuse(for_s) for endpoint in chosen))

    async def crash(self, service: str, down_s: float) -> None:
        """Kill an endpoint, and start it again later."""
        chosen = self._chosen(service, 1.0)
        if not chosen:
            return
        endpoint = chosen[0]
        self._note(f"killed {endpoint.worker_id}, down for {down_s:.2f} s")
        await endpoint.kill()
        await asyncio.sleep(down_s)
        await self._start_endpoint(endpoint)
        self._note(f"started {endpoint.worker_id}")

    async def silence_daemons(self, share: float, for_s: float) -> None:
        """Stop a share of the daemons for a time."""
        running = self._running_hosts()
        hosts = self.rng.sample(running, min(len(running), max(1, round(share * len(self._hosts)))))
        self._note(f"stopped daemons {','.join(hosts)} for {for_s:.2f} s")
        processes = [self.daemon_by_host[host] for host in hosts]
        for process in processes:
            process.suspend()
        try:
            await asyncio.sleep(for_s)
        finally:
            for process in processes:
                process.resume()
        self._note(f"continued daemons {','.join(hosts)}")

    async def restart_daemon(self, kill: bool, down_s: float) -> None:
        """End a daemon, and start it again later.

        Args:
            kill: Whether it is killed; otherwise it shuts down.
            down_s: Time from its end to its start, in seconds.
        """
        running = self._running_hosts()
        if not running:
            return
        host = self.rng.choice(running)
        process = self.daemon_by_host.pop(host)
        self._note(f"{'killed' if kill else 'ends'} daemon {host}, down for {down_s:.2f} s")
        await (process.kill() if kill else process.terminate())
        await asyncio.sleep(down_s)
        await self._start_daemon(host)
        self._note(f"started daemon {host}")

    def _running_hosts(self) -> list[str]:
        return sorted(self.daemon_by_host)

    async def load(self, for_s: float) -> None:
        """Send requests at the rates of `RATES`, and wait until all have ended."""
        ends = monotonic() + for_s
        await asyncio.gather(*(self._send_kind(kind, ends) for kind in RATES))
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _send_kind(self, kind: str, ends: float) -> None:
        while monotonic() < ends:
            kept = self._load_rng.random() < KEPT_SHARE
            host = self._load_rng.choice(self._hosts)
            call = Call(f"{len(self.calls):016x}", kind, kept, monotonic(), host)
            self.calls.append(call)
            task = asyncio.create_task(self._send(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._load_rng.expovariate(RATES[kind]))

    async def _send(self, call: Call) -> None:
        deadline_s = self.plan.deadline_s
        headers = {
            "host": HOST,
            "attempt-id": call.id,
            "deadline-ms": str(int(deadline_s * 1000)),
            "authorization": f"Bearer {API_KEY}",
        }
        if call.kind == "stream":
            headers |= {"model": "*", "token-counts": "1000,60"}
        method, body = ("GET", b"") if call.kind == "read" else ("POST", call.id.encode())
        sent = (Address(call.host, PORT), method, PATH_BY_KIND[call.kind], body, headers)
        try:
            async with self._client.stream(*sent, deadline_s + 2, not call.kept) as reply:
                call.status, call.outcome = reply.status, "broken"
                await reply.whole(deadline_s + 2, 1_000_000)
                call.outcome = "complete"
        except HttpError as error:
            call.reason = repr(error)
        finally:
            call.ended = monotonic()

    def _note(self, text: str) -> None:
        self.notes.append((monotonic(), text))


def _reserve_net() -> tuple[socket.socket, int]:
    """Return a net of loopback addresses that no other fleet has, and the socket that holds it."""
    for offset in range(NETS):
        net = FIRST_NET + (os.getpid() + offset) % NETS
        guard = socket.socket()
        try:
            guard.bind((f"127.{net}.0.1", PORT))
        except OSError:
            guard.close()
        else:
            return guard, net
    raise RuntimeError("other fleets hold all nets")


def _ids(endpoints: list[EndpointProcess]) -> str:
    return ",".join(endpoint.worker_id for endpoint in endpoints)


@asynccontextmanager
async def running_fleet(
    folder: Path, seed: int, plan: FleetPlan | None = None
) -> AsyncIterator[Fleet]:
    """Yield a fleet whose daemons are ready; the processes are ended at the end."""
    fleet = Fleet(folder, seed, plan or FleetPlan())
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


async def play(
    fleet: Fleet, rounds: int, first_s: float, silence_s: tuple[float, float] = (1.0, 1.3)
) -> None:
    """Send requests while all endpoints of a service, then 0.6 of them, and so on, fall silent.

    Each silence begins just after a new configuration, the first one after `first_s`.

    Args:
        fleet: The fleet.
        rounds: Number of silences.
        first_s: Time until the first one, in seconds.
        silence_s: Shortest and longest silence, in seconds.
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
        await fleet.silence(service, 0.6 if number % 2 else 1.0, fleet.rng.uniform(*silence_s))
    await load


async def play_mixed(fleet: Fleet, disturbances: int, first_s: float, mean_gap_s: float) -> None:
    """Send requests while disturbances of all kinds come one after the other, and overlap."""
    tasks = []
    rng = fleet.rng
    gaps = [first_s, *(rng.expovariate(1 / mean_gap_s) for _ in range(disturbances - 1))]
    load = asyncio.create_task(fleet.load(sum(gaps) + LONGEST_S + TAIL_S))
    for gap_s in gaps:
        await asyncio.sleep(gap_s)
        tasks.append(asyncio.create_task(_disturb(fleet)))
        if rng.random() < CHANGED_SHARE:
            fleet.configure(**rng.choice(CHANGES))
    await asyncio.gather(load, *tasks)


async def _disturb(fleet: Fleet) -> None:
    """Disturb a part of the fleet that is drawn, for a time that is drawn."""
    rng = fleet.rng
    service = rng.choice(list(SIZE_BY_SERVICE))
    share = rng.choice((0.4, 0.6, 1.0))
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    down_s = rng.uniform(0.0, LONGEST_DOWN_S)
    kinds = [
        partial(fleet.silence, service, share, for_s),
        partial(fleet.silence, service, share, for_s),
        partial(fleet.refuse, service, share, for_s),
        partial(fleet.crash, service, down_s),
        partial(fleet.silence_daemons, share / 2, for_s),
        partial(fleet.restart_daemon, rng.random() < KILLED_SHARE, down_s),
    ]
    await rng.choice(kinds)()
