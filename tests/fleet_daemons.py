"""The daemons of a fleet as processes, and the times at which they were disturbed."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from time import monotonic

from msgspec import Struct

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import HttpError
from tests.endpoint_processes import START_TIMEOUT_S
from tests.fleet_plan import FleetPlan
from tests.processes import DaemonProcess

POLL_S = 0.05
# First of four ports of each daemon, which has a loopback address of its own.
PORT = 21001
# Second numbers of the loopback addresses of fleets.
FIRST_NET = 20
NETS = 230
# Time after which a process that was started has a handler of SIGHUP, whose default ends it.
STARTED_S = 3.0
# Settings that a SIGHUP follows; none of them changes what the checks allow.
CHANGED_SETTINGS = (
    ("bounds.session_s=4", "bounds.cold_slack=3"),
    ("bounds.session_s=6", "bounds.rollback_ms=4000"),
    ("bounds.again_s=12",),
)


class Span(Struct):
    """A time for which something was done to a daemon."""

    host: str
    start: float
    end: float = float("inf")


class Daemons:
    """The daemons of a fleet.

    Attributes:
        hosts: Hosts of all daemons.
        by_host: Processes of those that run.
        stops: When daemons were stopped.
        kills: When daemons were killed, until they were started again.
        ends: When daemons were sent SIGTERM, until their processes had ended.
        reloads: When daemons were sent SIGHUP; the spans are empty.
        ended_by_themselves: Daemons whose processes had ended by themselves, once closed.
    """

    def __init__(
        self,
        folder: Path,
        store_address: Address,
        plan: FleetPlan,
        settings: tuple[str, ...] = (),
    ) -> None:
        self._settings = settings
        self.by_host: dict[str, DaemonProcess] = {}
        self.stops: list[Span] = []
        self.kills: list[Span] = []
        self.ends: list[Span] = []
        self.reloads: list[Span] = []
        self.ended_by_themselves: list[str] = []
        self.store_address = store_address
        self._folder = folder
        self._plan = plan
        # Held until the end, as other test processes may run fleets, too.
        self._guard, net = _reserve_net()
        self.hosts = [f"127.{net}.{number}.1" for number in range(1, plan.daemons + 1)]
        self._client = HttpClient()
        self._started_at: dict[str, float] = {}

    async def start_all(self) -> None:
        """Start all daemons, and wait until they are ready."""
        for host in self.hosts:
            await self.start(host)
        for host in self.hosts:
            await self.wait_ready(host)

    async def start(self, host: str) -> None:
        settings = self._write_settings(host, ())
        env = {**os.environ, "COMFREYHATCH_SETTINGS": str(settings)}
        log_path = self._folder / f"{host}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "comfreyhatch.platform.start", stdout=log, stderr=log, env=env
            )
        self.by_host[host] = DaemonProcess(process, log_path)
        self._started_at[host] = monotonic()

    def _write_settings(self, host: str, changed: tuple[str, ...]) -> Path:
        lines = [
            f"node_name={host}",
            f"ip={host}",
            f"zone={self._zone(host)}",
            "region=r",
            *(f"zones.{zone}=r" for zone in self._plan.zones),
            f"bind.front={host}:{PORT}",
            f"bind.ready={host}:{PORT + 1}",
            f"bind.control={host}:{PORT + 2}",
            f"port_range={PORT + 3},{PORT + 3}",
            f"seeds={','.join(f'{host}:{PORT + 2}' for host in self.hosts)}",
            f"platform.address={self.store_address}",
            "heartbeat_ms=300",
            f"bounds.retry_budget_ratio={self._plan.ratio}",
            f"bounds.retry_slack={self._plan.slack}",
            f"bounds.budget_window_s={self._plan.window_s}",
            *self._settings,
            *changed,
        ]
        settings = self._folder / f"{host}.conf"
        settings.write_text("\n".join(lines))
        return settings

    def _zone(self, host: str) -> str:
        return self._plan.zones[self.hosts.index(host) % len(self._plan.zones)]

    async def wait_ready(self, host: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    ready = await self._client.request(Address(host, PORT + 1), "GET", "/ready")
                    if ready.status == 200:
                        return
                except HttpError:
                    pass
                await asyncio.sleep(POLL_S)

    @property
    def running(self) -> list[str]:
        return sorted(self.by_host)

    async def silence(self, hosts: list[str], for_s: float) -> None:
        """Stop daemons for a time."""
        processes = [self.by_host[host] for host in hosts]
        spans = [Span(host, monotonic()) for host in hosts]
        self.stops += spans
        for process in processes:
            process.suspend()
        try:
            await asyncio.sleep(for_s)
        finally:
            for process in processes:
                process.resume()
            for span in spans:
                span.end = monotonic()

    async def restart(self, host: str, kill: bool, down_s: float) -> None:
        """End a daemon, and start it again later.

        Args:
            host: Its host.
            kill: Whether it is killed; otherwise it shuts down.
            down_s: Time from its end to its start, in seconds.
        """
        process = self.by_host.pop(host)
        span = Span(host, monotonic())
        (self.kills if kill else self.ends).append(span)
        await (process.kill() if kill else process.terminate())
        if not kill:
            span.end = monotonic()
        await asyncio.sleep(down_s)
        await self.start(host)
        if kill:
            span.end = monotonic()

    def takes_signals(self, host: str) -> bool:
        """Return whether a daemon runs and has had the time to start."""
        return host in self.by_host and monotonic() - self._started_at[host] > STARTED_S

    def reload(self, host: str, number: int) -> None:
        """Change the settings of a daemon, and tell it by SIGHUP."""
        self._write_settings(host, CHANGED_SETTINGS[number % len(CHANGED_SETTINGS)])
        now = monotonic()
        self.reloads.append(Span(host, now, now))
        self.by_host[host].signal(signal.SIGHUP)

    async def close(self) -> None:
        self._client.close()
        for host, daemon in self.by_host.items():
            status = daemon.process.returncode
            if status is not None:
                self.ended_by_themselves.append(f"{host} ended with {status}")
            await daemon.kill()
        self._guard.close()


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
