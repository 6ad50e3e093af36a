"""Daemons and endpoints in separate processes, for tests that kill, suspend and resume them."""

import asyncio
import os
import re
import signal
import sys
from pathlib import Path

from msgspec.json import decode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.standins.fleet import FLEET_KEY
from comfreyhatch.standins.service import ServiceWitness

KEY_ENV = "COMFREYHATCH_FLEET_KEY"
START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 60.0
NO_BALANCER = "[shutdown]\nbalancer_s = 0\n"


class DaemonProcess:
    """One daemon process, started by start_daemon_process; sends signals only to it."""

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.process = process
        self.log_path = log_path
        self.callers = Address("", 0)
        self.operators = Address("", 0)
        self._suspensions = 0

    def suspend(self) -> None:
        """Stop the process until each suspension has ended."""
        self._suspensions += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """End a suspension; the process goes on with the last one that overlaps."""
        self._suspensions -= 1
        if not self._suspensions and self.process.returncode is None:
            self.signal(signal.SIGCONT)

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def terminate(self) -> int:
        """Shut the process down gracefully and return its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def log(self) -> str:
        return self.log_path.read_text()


async def start_daemon_process(
    folder: Path, instance_id: str, zone: str, platform: Address, extra: str = ""
) -> DaemonProcess:
    """Start a daemon on free ports and wait until it listens.

    Args:
        folder: Folder for the settings and the log.
        instance_id: Id of the daemon.
        zone: Zone of the daemon.
        platform: Address of the platform.
        extra: Further sections of the settings; empty for a shutdown without a balancer.
    """
    settings = folder / f"{instance_id}.ini"
    settings.write_text(
        f"[instance]\nid = {instance_id}\nzone = {zone}\n"
        f"[platform]\nhost = {platform.host}\nport = {platform.port}\n"
        f"{extra or NO_BALANCER}"
    )
    log_path = folder / f"{instance_id}.log"
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "comfreyhatch.daemon.main",
            "--settings",
            str(settings),
            stdout=log,
            stderr=log,
            env={**os.environ, KEY_ENV: FLEET_KEY.decode()},
        )
    daemon = DaemonProcess(process, log_path)
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (found := re.search(r"event=daemon_started .*", daemon.log())):
            assert process.returncode is None, daemon.log()
            await asyncio.sleep(0.05)
    daemon.callers = _address(found.group(), "callers")
    daemon.operators = _address(found.group(), "operators")
    return daemon


class ServiceProcess:
    """The stand-in of a plain service in a process of its own; its witness is read over HTTP.

    Attributes:
        process: The process.
        instance: Its row of the instance list.
    """

    def __init__(
        self, process: asyncio.subprocess.Process, instance: Instance, switches: Address
    ) -> None:
        self.process = process
        self.instance = instance
        self._switches = switches

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def witness(self) -> ServiceWitness:
        """Return what the service saw; it has to run."""
        client = HttpClient()
        try:
            reply = await client.request(self._switches, "GET", "/witness")
        finally:
            client.close()
        return decode(reply.body, type=ServiceWitness)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def start_service_process(name: str, zone: str) -> ServiceProcess:
    """Start an endpoint of a plain service on free ports and wait until it listens.

    Args:
        name: Name of the plain service.
        zone: Zone of the endpoint.
    """
    arguments = ("--versions", "unused@1", "--engine-zone", zone, "--service", f"{name}:{zone}")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "comfreyhatch.standins.main",
        *arguments,
        "--port",
        "0",
        stdout=asyncio.subprocess.PIPE,
    )
    instance_id = f"service-{zone}0"
    assert process.stdout is not None
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (line := (await process.stdout.readline()).decode()).startswith(instance_id):
            assert line, "the stand-ins have ended"
    instance = Instance(instance_id, Role.SERVICE, zone, _address(line, instance_id), service=name)
    return ServiceProcess(process, instance, _address(line, "switches"))


def _address(line: str, name: str) -> Address:
    host, port = re.search(rf"{name}=([\d.]+):(\d+)", line).groups()  # type: ignore[union-attr]
    return Address(host, int(port))
