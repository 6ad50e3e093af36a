"""Processes of a measurement: started, measured by /proc, and ended by id."""

import asyncio
import os
import re
import sys
from pathlib import Path

from msgspec import Struct

from comfreyhatch.domain.instance import Address

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_TIMEOUT_S = 30.0
FLEET_KEY = "key of a measured fleet"


class ProcessUse(Struct, frozen=True):
    """What a process has used so far.

    Attributes:
        processor_s: Processor time, in seconds.
        memory_bytes: Resident memory.
        threads: Number of threads.
    """

    processor_s: float
    memory_bytes: int
    threads: int


def process_use(pid: int) -> ProcessUse:
    """Read what a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return ProcessUse(processor_s, int(fields[21]) * PAGE_BYTES, int(fields[17]))


class MeasuredProcess:
    """A process of the measurement and the addresses that it printed."""

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.process = process
        self._log_path = log_path
        self.address_by_name: dict[str, Address] = {}

    def use(self) -> ProcessUse:
        """Return what the process has used so far."""
        return process_use(self.process.pid)

    async def wait_for_addresses(self, names: tuple[str, ...]) -> None:
        """Wait until the process has printed `name=host:port` for each name."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(name in self.address_by_name for name in names):
                await asyncio.sleep(0.05)
                found = re.findall(r"(\w+)=([\d.]+):(\d+)", self._log_path.read_text())
                self.address_by_name = {n: Address(host, int(port)) for n, host, port in found}

    async def end(self) -> None:
        """End the process."""
        if self.process.returncode is None:
            self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 20)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


async def start_module(folder: Path, name: str, module: str, *arguments: str) -> MeasuredProcess:
    """Start a Python module as a process that logs to a file in the folder."""
    log_path = folder / f"{name}.log"
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=log,
            stderr=log,
            env={**os.environ, "COMFREYHATCH_FLEET_KEY": FLEET_KEY},
        )
    return MeasuredProcess(process, log_path)


async def start_daemon(
    folder: Path, instance_id: str, zone: str, platform: Address, extra: str = ""
) -> MeasuredProcess:
    """Start a daemon on free ports and wait until it listens."""
    settings = folder / f"{instance_id}.ini"
    settings.write_text(
        f"[instance]\nid = {instance_id}\nzone = {zone}\n"
        f"[platform]\nhost = {platform.host}\nport = {platform.port}\n"
        f"{extra}"
    )
    daemon = await start_module(
        folder, instance_id, "comfreyhatch.daemon.main", "--settings", str(settings)
    )
    await daemon.wait_for_addresses(("callers", "operators"))
    return daemon
