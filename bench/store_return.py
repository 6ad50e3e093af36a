"""Return of the platform's store from an older copy, seen by daemons in processes of their own.

Usage: python -m bench.store_return DAEMONS SEEDS AT_ONCE [FIRST_SEED]

Each seed is run twice, with a store that comes back from an older copy and with one that was merely
away. The store and the endpoints run in this process. Nothing is sent to the platform.
"""

import asyncio
import os
import sys
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from msgspec import Struct
from msgspec.json import decode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_server import HttpRequest, HttpResponse
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.usage import UsageBatch
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.platform.main import METRICS_PORT
from tests.platform_harness import API_KEY, HOST, config
from tests.platform_store import StandInStore
from tests.platform_worker import StandInWorker

# Batches of usage are stored every 15 s, so that some fall into the lost seconds.
COPY_AT_S = 13.5
OUTAGE_AT_S = 16.5
RETURN_AT_S = 17.5
END_AT_S = 25.0
REQUEST_GAP_S = 0.1
START_TIMEOUT_S = 30.0
CALLERS_PORT = 18000
CONTROL_PORT = 18001
READY_PORT = 18002
SERVED = 200


class TimedStore(StandInStore):
    """Notes the time of each call."""

    def __init__(self) -> None:
        super().__init__()
        self.call_times: list[tuple[float, str]] = []

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.call_times.append((asyncio.get_running_loop().time(), request.path))
        return await super()._respond(request)

    def most_per_second(self, first: float, last: float, writes: bool) -> int:
        """Return the most calls in any second between two times."""
        times = [
            at
            for at, path in self.call_times
            if first <= at <= last and (path == "/rows-tx") == writes
        ]
        return max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)


class Outcome(Struct):
    """What one run showed.

    Attributes:
        seed: Seed of the run.
        older_copy: Whether the store came back from an older copy.
        answers: Number of answers by status; 0 for none.
        failed_near_return: Requests without success from 0.5 s before the outage to 6 s after it.
        ran_twice: Calls that run at most once and ran more often.
        late_to_draining: Requests that reached an endpoint over 2 s after it was draining.
        billed: Requests in the stored batches of usage.
        answered_with_success: Requests answered with success.
        decided_s: Time from the return until all daemons had the store's generation, in seconds.
        config_undone: Observations of a daemon with the older configuration.
        reads_per_s: Most reading calls of all daemons in a second of the 6 s after the return.
        writes_per_s: The same for writing calls.
    """

    seed: int
    older_copy: bool
    answers: Counter[int]
    failed_near_return: int = 0
    ran_twice: int = 0
    late_to_draining: int = 0
    billed: int = 0
    answered_with_success: int = 0
    decided_s: float = 0.0
    config_undone: int = 0
    reads_per_s: int = 0
    writes_per_s: int = 0


class Run:
    """One run: a store, endpoints, daemons and callers."""

    def __init__(
        self, seed: int, older_copy: bool, daemons: int, network: int, folder: Path
    ) -> None:
        self._rng = Random(seed)
        self._older_copy = older_copy
        self._hosts = [f"127.{network}.0.{number + 1}" for number in range(daemons)]
        self._folder = folder
        self._store = TimedStore()
        self._workers: dict[str, StandInWorker] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._client = HttpClient()
        self._number = count(seed * 1_000_000)
        self._outcome = Outcome(seed, older_copy, Counter())
        self._began = 0.0

    async def run(self) -> Outcome:
        """Play the run and return what it showed."""
        await self._store.start()
        self._store.put("op", "config", config(1))
        for name, service in (("e1", "engines"), ("e2", "engines"), ("k1", "desk"), ("k2", "desk")):
            worker = self._workers[name] = StandInWorker(name)
            await worker.start()
            self._store.put("servers", name, worker.record(service, "a"))
        try:
            for host in self._hosts:
                self._processes.append(await self._start_daemon(host))
            await asyncio.gather(*map(self._wait_until_ready, self._hosts))
            await self._play()
        finally:
            await self._stop_daemons()
        self._count_usage()
        self._client.close()
        for worker in self._workers.values():
            await worker.stop()
        await self._store.stop()
        return self._outcome

    async def _start_daemon(self, host: str) -> asyncio.subprocess.Process:
        settings = self._folder / f"{host}.conf"
        settings.write_text(
            f"node_name=front-{host}\nzone=a\nzones.a=r\nregion=r\n"
            f"bind.front={host}:{CALLERS_PORT}\nbind.control={host}:{CONTROL_PORT}\n"
            f"bind.ready={host}:{READY_PORT}\nplatform.address={self._store.address}\n"
            "heartbeat_ms=500\nbounds.grace_s=4\n"
        )
        with (self._folder / f"{host}.log").open("wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "comfreyhatch.platform.start",
                stdout=log,
                stderr=log,
                env={**os.environ, "COMFREYHATCH_SETTINGS": str(settings)},
            )

    async def _wait_until_ready(self, host: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self._get(Address(host, READY_PORT), "/ready") is None:
                await asyncio.sleep(0.1)

    async def _get(self, address: Address, path: str) -> str | None:
        """Return the body of an answer with status 200, otherwise None."""
        try:
            reply = await self._client.request(address, "GET", path, b"", {}, 2.0)
        except ComfreyhatchError:
            return None
        return reply.body.decode() if reply.status == SERVED else None

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        load = asyncio.create_task(self._send_load())
        await self._sleep_until(COPY_AT_S + self._rng.random())
        copy = self._store.copy()
        self._store.put("op", "config", config(2))
        draining = {**self._workers["k2"].record("desk", "a"), "state": "draining"}
        self._store.put("servers", "k2", draining)
        await self._sleep_until(OUTAGE_AT_S)
        received = len(self._workers["k2"].received)
        self._store.refusing = True
        await self._sleep_until(RETURN_AT_S)
        returned_at = loop.time()
        if self._older_copy:
            self._store.restore(copy)
        self._store.refusing = False
        watch = asyncio.create_task(self._watch(returned_at))
        await asyncio.sleep(0.2 + 1.8 * self._rng.random())
        self._store.put("servers", "k2", draining)
        self._store.put("op", "config", config(2))
        await self._sleep_until(END_AT_S)
        await load
        await watch
        self._outcome.late_to_draining = len(self._workers["k2"].received) - received
        first, last = returned_at, returned_at + 6.0
        self._outcome.reads_per_s = self._store.most_per_second(first, last, writes=False)
        self._outcome.writes_per_s = self._store.most_per_second(first, last, writes=True)

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(self._began + at_s - asyncio.get_running_loop().time())

    async def _watch(self, returned_at: float) -> None:
        """Note when all daemons decide from the store's generation, and their configurations."""
        loop = asyncio.get_running_loop()
        generation = float(self._store.era)
        while loop.time() < returned_at + 5.0:
            pages = [await self._get(Address(h, METRICS_PORT), "/metrics") for h in self._hosts]
            values = [_samples(page or "") for page in pages]
            self._outcome.config_undone += sum(
                v.get("comfreyhatch_configuration", 2) < 2 for v in values
            )
            if all(v.get("comfreyhatch_store_generation") == generation for v in values):
                self._outcome.decided_s = self._outcome.decided_s or loop.time() - returned_at
            await asyncio.sleep(0.1)

    async def _send_load(self) -> None:
        tasks = []
        while asyncio.get_running_loop().time() < self._began + END_AT_S - 2.0:
            for kind in ("read", "pay", "draft"):
                tasks.append(asyncio.create_task(self._send(kind)))
            await asyncio.sleep(REQUEST_GAP_S)
        await asyncio.gather(*tasks)

    async def _send(self, kind: str) -> None:
        sent_at = asyncio.get_running_loop().time()
        method = "GET" if kind == "read" else "POST"
        headers = {
            "host": HOST,
            "attempt-id": f"{next(self._number):016x}",
            "deadline-ms": "3000",
            "authorization": f"Bearer {API_KEY}",
        }
        if kind == "draft":
            headers |= {"model": "*", "token-counts": "1000,60"}
        host = self._rng.choice(self._hosts)
        body = b"" if method == "GET" else b"body"
        try:
            reply = await self._client.request(
                Address(host, CALLERS_PORT), method, f"/{kind}/x", body, headers, 10.0
            )
            status = reply.status
        except ComfreyhatchError:
            status = 0
        self._outcome.answers[status] += 1
        near = OUTAGE_AT_S - 0.5 < sent_at - self._began < RETURN_AT_S + 6.0
        self._outcome.failed_near_return += near and status != SERVED
        self._outcome.answered_with_success += status == SERVED

    async def _stop_daemons(self) -> None:
        for process in self._processes:
            process.terminate()
        await asyncio.gather(*(process.wait() for process in self._processes))

    def _count_usage(self) -> None:
        """Count what was billed, and what ran twice, from the rows and the endpoints."""
        for (table, _), row in self._store.row_by_key.items():
            if table == "comfreyhatch-usage" and not row.removed:
                batch = decode(row.value, type=UsageBatch)
                self._outcome.billed += sum(line.usage.requests for line in batch.lines)
        runs: Counter[str] = Counter()
        for worker in self._workers.values():
            for request in worker.received:
                if request.path.startswith("/pay/"):
                    runs[request.header_by_name["attempt-id"]] += 1
        self._outcome.ran_twice = sum(number > 1 for number in runs.values())


def _samples(page: str) -> dict[str, float]:
    """Return the samples without labels of a page of metrics."""
    lines = (line.split(" ") for line in page.splitlines() if line and not line.startswith("#"))
    return {line[0]: float(line[1]) for line in lines if "{" not in line[0]}


async def measure(daemons: int, seeds: int, at_once: int, first: int) -> None:
    """Run all seeds and print one line for each run."""
    slots = asyncio.Semaphore(at_once)
    networks = count(10)

    async def run(seed: int, older_copy: bool) -> None:
        async with slots:
            with TemporaryDirectory() as folder:
                one = Run(seed, older_copy, daemons, next(networks), Path(folder))
                print(await one.run(), flush=True)

    pairs = [(seed, older) for seed in range(first, first + seeds) for older in (True, False)]
    await asyncio.gather(*(run(seed, older) for seed, older in pairs))


if __name__ == "__main__":
    numbers = [int(argument) for argument in sys.argv[1:]]
    asyncio.run(measure(*numbers[:3], numbers[3] if len(numbers) > 3 else 1))
