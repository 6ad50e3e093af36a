"""Endpoints as processes, which tests stop, kill and start again."""

import asyncio
import signal
import sys
from pathlib import Path
from time import monotonic

from msgspec import Struct
from msgspec.json import decode, encode

from comfreyhatch.domain.instance import Address
from tests.endpoint_process import EndpointOptions
from tests.platform_worker import StandInWorker
from tests.processes import DaemonProcess

START_TIMEOUT_S = 20.0
POLL_S = 0.05


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
    before: str = ""
    status: int = 0
    endpoint: str = ""


class EndpointProcess:
    """An endpoint's process, its log, and the times for which it was stopped or down."""

    def __init__(self, worker_id: str, service: str, folder: Path) -> None:
        self.worker_id = worker_id
        self.service = service
        self.log_path = folder / f"{worker_id}.jsonl"
        self.stops: list[tuple[float, float]] = []
        self.kills: list[float] = []
        self._born = 0
        self._process: DaemonProcess | None = None

    async def start(self, options: EndpointOptions, zone: str) -> dict[str, object]:
        """Start the process in a zone; return the row that it registers in the store."""
        self.log_path.touch()
        known = len(self._ports())
        command = ("tests.endpoint_process", self.worker_id, str(self.log_path), encode(options))
        # Stopped processes get SIGHUP when their group's last parent outside of it ends.
        started = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, start_new_session=True
        )
        process = DaemonProcess(started, self.log_path)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while len(ports := self._ports()) == known:
                    await asyncio.sleep(POLL_S)
        except BaseException:
            await process.kill()
            raise
        # From now on it may be stopped and killed; before, a silence would delay its start.
        self._process = process
        self._born += 1
        worker = StandInWorker(self.worker_id)
        worker.address = Address("127.0.0.1", ports[-1])
        row = worker.record(self.service, zone)
        return row | {"capacity": options.capacity, "born": self._born, "sequence": self._born}

    def _ports(self) -> list[int]:
        return [event.port for event in self.events() if event.event == "listening"]

    def events(self) -> list[EndpointEvent]:
        lines = self.log_path.read_bytes().splitlines()
        found = [decode(line, type=EndpointEvent) for line in lines]
        for event in found:
            event.endpoint = self.worker_id
        return found

    async def silence(self, for_s: float) -> None:
        """Stop the process for a time; it goes on with the last of those that overlap."""
        process = self._process
        assert process
        stopped_at = monotonic()
        process.suspend()
        try:
            await asyncio.sleep(for_s)
        finally:
            process.resume()
            self.stops.append((stopped_at, monotonic()))

    async def refuse(self, for_s: float) -> None:
        """Refuse all requests for a time."""
        process = self._process
        assert process
        process.signal(signal.SIGUSR1)
        await asyncio.sleep(for_s)
        if process.process.returncode is None:
            process.signal(signal.SIGUSR2)

    @property
    def runs(self) -> bool:
        return self._process is not None and self._process.process.returncode is None

    def awake_s(self, start: float, end: float) -> float:
        """Return the part of a span for which the process was not stopped."""
        stopped = sum(max(0.0, min(end, b) - max(start, a)) for a, b in self.stops)
        return max(0.0, end - start) - stopped

    async def kill(self) -> None:
        """End the process without notice."""
        if self._process:
            self.kills.append(monotonic())
            await self._process.kill()
