"""Daemons and endpoints as processes, and a load of callers, for tests that stop endpoints."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from time import monotonic

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.instance import Address
from tests.endpoint_processes import EndpointEvent, EndpointProcess
from tests.faulty_link import FaultyLink, LinkFault
from tests.fleet_callers import Call, Callers
from tests.fleet_daemons import PORT, Daemons
from tests.fleet_plan import MAX_ATTEMPTS_BY_KIND, SERVICE_BY_KIND, SIZE_BY_SERVICE, FleetPlan
from tests.platform_harness import MS_PER_S, config
from tests.platform_store import StandInStore
from tests.platform_worker import HEALTH_PATH
from tests.processes import DaemonProcess


class Configured(Struct):
    """A configuration: the monotonic time at which it was stored, and the timeout of its routes."""

    at: float
    route_timeout_s: float


class Fleet:
    """Daemons, endpoints and a store, with callers.

    Attributes:
        endpoint_by_id: Processes of endpoints.
        link_by_id: Links to the endpoints, if the plan has any.
        daemons: The daemons.
        plan: What it consists of.
        notes: Times and descriptions of what was done to the fleet.
        configured: Configurations that were stored, oldest first.
        read_services: Times from which reads were routed to a service, and the service.
    """

    def __init__(self, folder: Path, seed: int, plan: FleetPlan) -> None:
        self.plan = plan
        self.rng = Random(seed)
        self.endpoint_by_id: dict[str, EndpointProcess] = {}
        self.link_by_id: dict[str, FaultyLink] = {}
        self.notes: list[tuple[float, str]] = []
        self.configured: list[Configured] = []
        self.read_services: list[tuple[float, str]] = []
        self._folder = folder
        self._store = StandInStore()
        self.daemons = Daemons(folder, self._store.address, plan)
        self._callers = Callers(self.daemons.hosts, PORT, seed, plan)
        self._version = 0
        self._reloads = 0

    @property
    def calls(self) -> list[Call]:
        """Requests of callers so far."""
        return self._callers.calls

    @property
    def daemon_by_host(self) -> dict[str, DaemonProcess]:
        """Processes of daemons that run."""
        return self.daemons.by_host

    async def start(self) -> None:
        self.daemons.store_address = await self._store.start()
        self.configure()
        for service, size in SIZE_BY_SERVICE.items():
            for number in range(1, size + 1):
                endpoint = EndpointProcess(f"{service}-{number}", service, self._folder)
                self.endpoint_by_id[endpoint.worker_id] = endpoint
                await self._start_endpoint(endpoint)
        await self.daemons.start_all()

    async def _start_endpoint(self, endpoint: EndpointProcess) -> None:
        number = list(self.endpoint_by_id).index(endpoint.worker_id)
        options = self.plan.endpoints
        if speeds := self.plan.speeds:
            options = replace(options, reports_load=True, speed=speeds[number % len(speeds)])
        zone = self._zone(endpoint.worker_id)
        row = await endpoint.start(options, zone)
        if self.plan.has_links:
            row["address"] = str(await self._link_to(endpoint.worker_id, str(row["address"])))
        self._store.put("servers", endpoint.worker_id, row)

    async def _link_to(self, worker_id: str, address: str) -> Address:
        """Return the address of the link to an endpoint, which keeps it through restarts."""
        host, _, port = address.rpartition(":")
        target = Address(host, int(port))
        link = self.link_by_id.get(worker_id)
        if link is None:
            link = self.link_by_id[worker_id] = FaultyLink(target)
            await link.start()
        link.target = target
        return link.address

    async def close(self) -> None:
        self._callers.close()
        for link in self.link_by_id.values():
            await link.stop()
        for endpoint in self.endpoint_by_id.values():
            await endpoint.kill()
        await self.daemons.close()
        await self._store.stop()

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
        for service in found["services"]:
            service["health_path"] = HEALTH_PATH
        read_service = str(changes.get("read_service", SERVICE_BY_KIND["read"]))
        found["routes"][1]["service"] = read_service
        self.read_services.append((monotonic(), read_service))
        limits = {**found["limits"], "idle_timeout_ms": changes.get("idle_timeout_ms", 15000)}
        self.configured.append(Configured(monotonic(), int(str(timeout_ms)) / MS_PER_S))
        self._store.put("op", "config", {**found, "limits": limits})
        self.note(f"configuration {self._version} {changes}")

    def _chosen(self, service: str, share: float) -> list[EndpointProcess]:
        """Return a share of a service's endpoints, of those that run."""
        mine = [e for e in self.endpoint_by_id.values() if e.service == service]
        found = [e for e in mine if e.runs]
        return self.rng.sample(found, min(len(found), round(share * len(mine))))

    async def silence(self, service: str, share: float, for_s: float) -> None:
        """Stop a share of a service's endpoints for a time."""
        chosen = self._chosen(service, share)
        self.note(f"stopped {_ids(chosen)} for {for_s:.2f} s")
        await asyncio.gather(*(endpoint.silence(for_s) for endpoint in chosen))
        self.note(f"continued {_ids(chosen)}")

    async def refuse(self, service: str, share: float, for_s: float) -> None:
        """Let a share of a service's endpoints refuse all requests for a time."""
        chosen = self._chosen(service, share)
        self.note(f"{_ids(chosen)} refuse for {for_s:.2f} s")
        await asyncio.gather(*(endpoint.refuse(for_s) for endpoint in chosen))

    async def break_links(self, service: str, share: float, fault: LinkFault, for_s: float) -> None:
        """Let the links to a share of a service's endpoints have a fault for a time."""
        chosen = self._chosen(service, share)
        self.note(f"links to {_ids(chosen)} for {for_s:.2f} s: {fault.value}")
        links = [self.link_by_id[endpoint.worker_id] for endpoint in chosen]
        await asyncio.gather(*(link.fail(fault, for_s) for link in links))
        self.note(f"links to {_ids(chosen)} pass all again")

    def ids_in(self, zone: str) -> list[str]:
        """Return the ids of the endpoints of a zone."""
        return [worker_id for worker_id in self.endpoint_by_id if self._zone(worker_id) == zone]

    def _zone(self, worker_id: str) -> str:
        number = list(self.endpoint_by_id).index(worker_id)
        return self.plan.zones[number % len(self.plan.zones)]

    async def break_links_to_zone(self, zone: str, fault: LinkFault, for_s: float) -> None:
        """Let the links to all endpoints of a zone have a fault for a time."""
        self.note(f"links to zone {zone} for {for_s:.2f} s: {fault.value}")
        links = [self.link_by_id[worker_id] for worker_id in self.ids_in(zone)]
        await asyncio.gather(*(link.fail(fault, for_s) for link in links))
        self.note(f"links to zone {zone} pass all again")

    async def silence_store(self, for_s: float) -> None:
        """Let the store answer nothing for a time."""
        self.note(f"the store is silent for {for_s:.2f} s")
        self._store.silent = True
        await asyncio.sleep(for_s)
        self._store.silent = False

    async def crash(self, service: str, down_s: float) -> None:
        """Kill an endpoint, and start it again later."""
        chosen = self._chosen(service, 1.0)
        if not chosen:
            return
        endpoint = chosen[0]
        self.note(f"killed {endpoint.worker_id}, down for {down_s:.2f} s")
        await endpoint.kill()
        await asyncio.sleep(down_s)
        await self._start_endpoint(endpoint)
        self.note(f"started {endpoint.worker_id}")

    async def silence_daemons(self, share: float, for_s: float) -> None:
        """Stop a share of the daemons for a time."""
        running = self.daemons.running
        count = max(1, round(share * self.plan.daemons))
        hosts = self.rng.sample(running, min(len(running), count))
        self.note(f"stopped daemons {','.join(hosts)} for {for_s:.2f} s")
        await self.daemons.silence(hosts, for_s)
        self.note(f"continued daemons {','.join(hosts)}")

    async def restart_daemon(self, kill: bool, down_s: float) -> None:
        """End a daemon, and start it again later.

        Args:
            kill: Whether it is killed; otherwise it shuts down.
            down_s: Time from its end to its start, in seconds.
        """
        if running := self.daemons.running:
            await self._restart(self.rng.choice(running), kill, down_s)

    async def restart_in_series(self, gap_s: float) -> None:
        """Shut the daemons down one after the other; the next one once each is ready again.

        Args:
            gap_s: Time from the one's readiness to the next one's end, in seconds.
        """
        for host in self.daemons.hosts:
            if host in self.daemons.by_host:
                await self._restart(host, False, 0.0)
                await self.daemons.wait_ready(host)
                await asyncio.sleep(gap_s)

    async def kill_in_series(self, down_s: float, gap_s: float) -> None:
        """Kill the daemons one after the other; the next one without waiting for the last.

        Args:
            down_s: Time from the end of each to its start, in seconds.
            gap_s: Time from the start of the one to the end of the next one, in seconds.
        """
        for host in self.daemons.hosts:
            if host in self.daemons.by_host:
                await self._restart(host, True, down_s)
                await asyncio.sleep(gap_s)

    async def _restart(self, host: str, kill: bool, down_s: float) -> None:
        self.note(f"{'killed' if kill else 'ends'} daemon {host}, down for {down_s:.2f} s")
        await self.daemons.restart(host, kill, down_s)
        self.note(f"started daemon {host}")

    async def reload_in_series(self, gap_s: float) -> None:
        """Change the settings of the daemons, and tell one after the other by SIGHUP.

        Args:
            gap_s: Time from the one's signal to the next one's, in seconds.
        """
        self._reloads += 1
        for host in self.daemons.hosts:
            if self.daemons.takes_signals(host):
                self.note(f"settings {self._reloads} of daemon {host}")
                self.daemons.reload(host, self._reloads)
            await asyncio.sleep(gap_s)

    def set_load(self, factor: float) -> None:
        """Send requests at a multiple of the rates of `RATES` from now on."""
        self.note(f"load {factor:g}")
        self._callers.factor = factor

    async def load(self, for_s: float) -> None:
        """Send requests at the rates of `RATES`, and wait until all have ended."""
        await self._callers.load(for_s)

    async def load_until(self, ended: asyncio.Event) -> None:
        """Send requests until an event, and wait until all have ended."""
        await self._callers.load_until(ended.is_set)

    def note(self, text: str) -> None:
        """Note what was done, or what came of it, with the time."""
        self.notes.append((monotonic(), text))


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
