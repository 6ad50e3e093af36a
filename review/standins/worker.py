"""Stand-in of a worker: registers itself, checks what the pages say it checks, records its runs."""

import asyncio
import json
from itertools import count
from time import monotonic, time

from review.standins.http1 import Connection, Request, Server
from review.standins.platform import Store

_stamps = count(1)


class Run:
    """A request that a worker began to work on."""

    def __init__(self, worker: "Worker", request: Request) -> None:
        self.at = monotonic()
        self.worker_id = worker.worker_id
        self.service = worker.service
        self.version = worker.version
        self.request_id = request.headers.get("attempt-id", "")
        self.session = request.headers.get("session", "")
        self.request = request
        self.ended_at: float | None = None


class Worker:
    """A worker of a service.

    It queues nothing: a request beyond `slots` is refused. Requests with `Model` get a stream of
    `events` events, `gap_s` apart; others get a body after `work_s`.
    """

    def __init__(
        self,
        store: Store,
        worker_id: str,
        service: str,
        zone: str,
        version: str = "v1",
        slots: int = 64,
        heartbeat_s: float = 1.2,
    ) -> None:
        self.store = store
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.heartbeat_s = heartbeat_s
        self.work_s = 0.02
        self.events = 4
        self.gap_s = 0.05
        self.cold_s = 0.0
        self.runs: list[Run] = []
        self.refused: list[tuple[float, str, str]] = []
        self.state = "ready"
        self._running = 0
        self._born = 0
        self.started_at = 0.0
        self._sequence = count(1)
        self._beat: asyncio.Task[None] | None = None
        self.server = Server(self._answer)

    async def start(self, host: str, port: int = 0, registers: bool = True) -> None:
        """Start a lifetime: listen, and register."""
        self.server = Server(self._answer)
        await self.server.start(host, port)
        self._born = int(time() * 1000)
        self.started_at = monotonic()
        self._running = 0
        if registers:
            self.register()
            self._beat = asyncio.ensure_future(self._heartbeat())

    def crash(self) -> None:
        """End without a word: connections are reset, nothing listens."""
        if self._beat is not None:
            self._beat.cancel()
        self.server.stop()

    def cold_left_s(self) -> float:
        return max(0.0, self.started_at + self.cold_s - monotonic())

    def report(self) -> dict:
        """Return what `GET /report` tells, the runs under way among it."""
        runs = [run.request_id for run in self.runs if run.ended_at is None]
        return {
            "born": self._born,
            "stage": "hybrid",
            "models": [{"name": "daka510000", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": len(runs),
            "kv_used": 0,
            "kv_total": 623351,
            "handles": 0,
            "runs": [[request_id, 0, 0, 5] for request_id in runs],
        }

    def record(self) -> dict:
        return {
            "service": self.service,
            "address": f"{self.server.host}:{self.server.port}",
            "zone": self.zone,
            "version": self.version,
            "capacity": self.slots,
            "state": self.state,
            "cold_left_ms": int(self.cold_left_s() * 1000),
            "sequence": next(self._sequence),
            "born": self._born,
        }

    def register(self) -> None:
        self.store.put("servers", self.worker_id, self.record())

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_s)
            self.register()

    async def _answer(self, request: Request, connection: Connection) -> None:
        request_id = request.headers.get("attempt-id", "")
        own = {"attempt-id": request_id} if request_id else {}
        if request.path == "/health":
            load = f"{self._running},0,{self.slots}"
            cold = {"cold-ms": str(int(self.cold_left_s() * 1000))} if self.cold_left_s() else {}
            headers = {"instance-id": self.worker_id, "server-load": load, **cold}
            await connection.send(200, headers)
            return
        if request.path == "/report":
            body = json.dumps(self.report()).encode()
            await connection.send(200, {"content-type": "application/json"}, body)
            return
        expected = request.headers.get("expect-instance", self.worker_id)
        if expected != self.worker_id:
            self.refused.append((monotonic(), request_id, "421"))
            await connection.send(421, {**own, "instance-id": self.worker_id})
            return
        if not request_id:
            await connection.send(400, {"not-executed": "1"})
            return
        if not self.serves(request):
            self.refused.append((monotonic(), request_id, "421"))
            await connection.send(421, {**own, "instance-id": self.worker_id})
            return
        if self._running >= self.slots:
            self.refused.append((monotonic(), request_id, "503"))
            await connection.send(503, {**own, "not-executed": "1"})
            return
        run = Run(self, request)
        self.runs.append(run)
        self._running += 1
        try:
            await self.work(run, request, connection, own)
        finally:
            self._running -= 1
            run.ended_at = monotonic()

    def serves(self, request: Request) -> bool:
        """Return whether a request names a model that it serves; may be replaced."""
        return True

    async def work(
        self, run: Run, request: Request, connection: Connection, own: dict[str, str]
    ) -> None:
        """Answer a request; may be replaced."""
        headers = {**own, "server-stamp": f"{self.worker_id}.{next(_stamps)}"}
        headers["server-load"] = f"{self._running},0,{self.slots}"
        if "model" not in request.headers:
            await asyncio.sleep(self.work_s)
            body = f"{self.worker_id} {run.request_id}".encode()
            await connection.send(200, {**headers, "content-type": "text/plain"}, body)
            return
        headers["content-type"] = "text/event-stream"
        headers["weight-versions"] = "1"
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.gap_s)
        await connection.begin_stream(200, headers)
        for number in range(first, self.events + 1):
            if number > first:
                await asyncio.sleep(self.gap_s)
            await connection.piece(f"id: {number}\ndata: {self.version}\n\n".encode())
        await connection.end_stream()
