"""What the scripts of the cases share: set-up, the record, and the exit status."""

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic

from review.standins import http1
from review.standins.config import HOST, KEYS, config
from review.standins.daemons import PORTS, Daemon, Fleet
from review.standins.platform import Store
from review.standins.worker import Run, Worker

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_S = 110.0
# Shared first parts of prompts.
SUBJECTS = 40


class CannotRunError(Exception):
    """The case could not be run."""


class Scene:
    """A store, workers and daemons on loopback addresses, and a record of what happens."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.rng = Random(7)
        self.began_at = monotonic()
        self._folder = folder
        self._record = record.open("w")
        self._ids = count(1)
        self.fleet: Fleet

    def note(self, text: str) -> None:
        """Write a line with the time since the begin to the record."""
        self._record.write(f"{monotonic() - self.began_at:8.3f} {text}\n")

    def result(self, text: str) -> None:
        self.note(text)
        print(text)

    async def start(self, zones: list[str], workers: list[Worker], **settings: object) -> None:
        """Start the store, workers and one daemon a zone, with the first configuration."""
        for worker in workers:
            self.workers[worker.worker_id] = worker
            await worker.start("127.0.0.1")
        address = f"{self.store.server.host}:{self.store.server.port}"
        self.fleet = Fleet(self._folder, address, sorted(set(zones)))
        for zone in zones:
            self.fleet.add(zone, **settings)
        if not await self.fleet.start_all():
            raise CannotRunError("the daemons did not become ready")
        # Daemons come to know each other.
        await asyncio.sleep(3.0)

    def next_id(self) -> str:
        return f"{next(self._ids):016x}"

    async def send(
        self,
        daemon: Daemon,
        path: str,
        session: str = "",
        body: bytes = b"",
        timeout_s: float = 26.0,
        tenant: str = "hule930",
        model: str = "",
        method: str = "",
    ) -> tuple[str, http1.Answer | None]:
        """Send a request as a requester would; return its id and its answer."""
        request_id = self.next_id()
        headers = {
            "host": HOST,
            "attempt-id": request_id,
            "deadline-ms": str(int(timeout_s * 1000)),
            "authorization": f"Bearer {KEYS[tenant]}",
        }
        if session:
            headers["session"] = session
        if model:
            headers["model"] = model
            headers["token-counts"] = "660,60"
            subject = self.rng.randrange(SUBJECTS)
            headers["prompt-prefix"] = f"5c1e{subject:04x}:128,{request_id}:532"
        method = method or ("POST" if model or body else "GET")
        sent_at = monotonic()
        answer = await http1.request(
            daemon.host, PORTS["front"], method, path, headers, body, timeout_s + 1.0
        )
        status = f"{answer.status} complete={answer.complete}" if answer else "no answer"
        self.note(
            f"sent id={request_id} at={sent_at - self.began_at:.3f} to={daemon.name}"
            f" path={path} session={session or '-'} answer={status}"
        )
        return request_id, answer

    def close(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.close()
        for worker in self.workers.values():
            worker.crash()
        self.store.server.stop()
        runs = sorted(
            (run for worker in self.workers.values() for run in worker.runs), key=lambda r: r.at
        )
        for run in runs:
            self._record.write(
                f"{run.at - self.began_at:8.3f} run id={run.request_id} worker={run.worker_id}"
                f" service={run.service} version={run.version} session={run.session or '-'}"
                f" path={run.request.target}\n"
            )
        self._record.close()


def main(case: str, play: Callable[[Scene], Awaitable[bool]]) -> None:
    """Play a case and exit with its status; `play` returns whether the rule held."""
    record = Path(case).resolve().parent / "record.txt"
    sys.exit(asyncio.run(_run(record, play)))


async def _run(record: Path, play: Callable[[Scene], Awaitable[bool]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script early still gets all its processes ended.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(Path(folder), record)
        await scene.store.start("127.0.0.1")
        scene.store.put("op", "config", config(1))
        try:
            async with asyncio.timeout(LONGEST_S):
                held = await play(scene)
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            scene.result(f"the case could not run: {error!r}")
            held = None
        finally:
            log = scene.fleet.log if hasattr(scene, "fleet") else None
            scene.close()
            if log is not None and (keep := os.environ.get("KEEP_LOG")):
                Path(keep).write_bytes(log.read_bytes())
    if held is None:
        return CANNOT_RUN
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


__all__ = ["CannotRunError", "Run", "Scene", "Worker", "config", "main"]
