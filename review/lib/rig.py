"""Small stand-ins of the platform's store, workers and requesters, and the daemons under test.

Only the standard library is used. All addresses are loopback addresses. The daemons are started as
separate processes with the `run` command of `deploy/system.toml`.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "svc.example"
HEARTBEAT_S = 1.2
PIECE_BYTES = 65536

BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "max_stretch_ms": "5000",
    "strict_revoke": "false",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.9",
    "budget_window_s": "10",
    "retry_slack": "52",
    "expose_share": "0.15",
    "expose_slack": "30",
    "rollback_ms": "5000",
    "cold_over": "1.5",
    "cold_slack": "5",
    "evac_ms": "5000",
    "recover_s": "12",
    "pass_ms": "120",
    "again_s": "7.3",
    "session_s": "5",
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A listener whose channels are handled one request after the other."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.host, self.port = "", 0

    async def listen(self, host: str, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._accept, host, port, limit=2**20)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]
        return f"{self.host}:{self.port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store(Listener):
    """The platform's store: rows in one partition, whose name is empty."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.rows: dict[tuple[str, str], dict[str, object]] = {}
        self.ver = 100
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.ver += 1
        self.rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": b64encode(data).decode(),
            "ver": self.ver,
        }
        self._wake()

    def remove(self, table: str, key: str) -> None:
        self.ver += 1
        self.rows[table, key] = {
            "table": table,
            "part": "",
            "key": key,
            "value": "",
            "ver": self.ver,
            "removed": True,
        }
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            status, body = await self._respond(request)
            head = {"Content-Type": "application/json"}
            writer.write(answer_bytes(status, head, json.dumps(body).encode()))
            await writer.drain()

    async def _respond(self, request: Request) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        if request.path == "/rows-get":
            return 200, self._get(request.query)
        if request.path == "/rows-feed":
            return 200, await self._feed(request.query)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        found = sorted(
            (r for (t, k), r in self.rows.items() if t == query["table"] and "removed" not in r),
            key=lambda row: str(row["key"]).encode(),
        )
        found = [r for r in found if str(r["key"]) >= query.get("from", "")]
        limit = min(500, int(query.get("limit", "500")))
        return self._answer(found[:limit], len(found) > limit)

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            found = [
                r for (t, _), r in self.rows.items() if t == query["table"] and r["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return self._answer(sorted(found, key=lambda row: row["ver"]), False)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        for ref in body["expected_rev"]:
            row = self.rows.get((ref["table"], ref["key"]))
            held = row["ver"] if row and "removed" not in row else 0
            if held != ref["ver"]:
                return 412, self._answer([row] if row else [], False)
        for write in body["writes"]:
            if write["table"] in ("op", "servers"):
                return 403, {}
        self.ver += 1
        for write in body["writes"]:
            self.rows[write["table"], write["key"]] = {**write, "ver": self.ver}
        self._wake()
        return 200, {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    def _answer(self, rows: list[dict[str, object]], more: bool) -> dict[str, object]:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "has_more": more, "ver": self.ver, "now_ms": now_ms}


class Worker(Listener):
    """A sound worker of one service; `work_s` is how long a request takes."""

    def __init__(self, record: Record, worker_id: str, service: str, zone: str) -> None:
        super().__init__()
        self._record = record
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.work_s = 0.02
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str, str]] = []
        self.ended: set[str] = set()

    def entry(self, state: str = "ready") -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 64,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            await self.respond(request, writer)

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance", self.worker_id) != self.worker_id:
            headers = {"Attempt-Id": attempt, "Instance-Id": self.worker_id, "Not-Executed": "1"}
            writer.write(answer_bytes(421, headers, b""))
            return
        tenant = request.headers.get("tenant", "")
        self.runs.append((self._record.now(), attempt, tenant))
        self._record.note(
            f"worker {self.worker_id} runs {attempt} {request.method} {request.target}"
            f" tenant={tenant or '-'} body={len(request.body)}"
        )
        await asyncio.sleep(self.work_s)
        self.ended.add(attempt)
        self._record.note(f"worker {self.worker_id} has run {attempt} and answers 200")
        headers = {"Attempt-Id": attempt, "Server-Stamp": f"{self.worker_id}.{attempt}"}
        writer.write(answer_bytes(200, headers, b"ok:" + attempt.encode()))
        await writer.drain()


class Proxy(Listener):
    """Forwards channels to an address; open channels can be made silent while new ones work."""

    def __init__(self) -> None:
        super().__init__()
        self._target = ("", 0)
        self._epoch = 0
        self._silent = asyncio.Event()
        self.opened = 0

    def to(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))

    def silence(self) -> int:
        """Let the open channels fall silent for good; return their number."""
        self._epoch += 1
        return len(self._tasks)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        epoch = self._epoch
        other_reader, other_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                self._pump(reader, other_writer, epoch), self._pump(other_reader, writer, epoch)
            )
        finally:
            other_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, epoch: int
    ) -> None:
        while True:
            data = await reader.read(65536)
            if epoch != self._epoch:
                # What still comes is taken and goes nowhere; nobody is told.
                while await reader.read(65536):
                    pass
                await asyncio.sleep(3600)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Reply:
    """An answer as the requester saw it; status 0 if the channel closed without one."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Channel:
    """A requester's channel to a daemon."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(
        self,
        method: str,
        target: str,
        attempt: str,
        key: str,
        body: bytes = b"",
        wait_s: float = 5,
        upload_s: float = 0.0,
    ) -> Reply:
        """Send a request, its body evenly over a time, and return its answer."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {int(wait_s * 1000)}",
            f"Authorization: Bearer {key}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            await self._send_body(body, upload_s)
            found = await read_head(self._reader)
            if found is None:
                return Reply(0, {}, b"")
            first, headers = found
            content = await self._reader.readexactly(int(headers.get("content-length", "0")))
        except (ConnectionError, asyncio.IncompleteReadError):
            return Reply(0, {}, b"")
        return Reply(int(first.split(" ")[1]), headers, content)

    async def _send_body(self, body: bytes, upload_s: float) -> None:
        started = time.monotonic()
        for start in range(0, len(body), PIECE_BYTES):
            due_at = started + upload_s * start / len(body)
            if (left_s := due_at - time.monotonic()) > 0:
                await asyncio.sleep(left_s)
            self._writer.write(body[start : start + PIECE_BYTES])
            await self._writer.drain()

    def close(self) -> None:
        self._writer.close()


async def send_once(
    address: str, method: str, target: str, attempt: str, key: str, wait_s: float = 5
) -> Reply:
    """Send one request over a channel of its own."""
    try:
        channel = await Channel.open(address)
    except OSError:
        return Reply(0, {}, b"")
    try:
        return await asyncio.wait_for(channel.send(method, target, attempt, key), wait_s + 1)
    except TimeoutError:
        return Reply(0, {}, b"")
    finally:
        channel.close()


class Daemon:
    """A daemon process on a loopback address of its own."""

    def __init__(self, rig: "Rig", number: int, zone: str, memory_mb: int) -> None:
        self._rig = rig
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"127.{rig.net}.{number}.1"
        self.memory_mb = memory_mb
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready_port = free_port(self.host)
        self.control = f"{self.host}:{free_port(self.host)}"
        self.relay_port = free_port(self.host)
        self.store_address = ""
        self.process: asyncio.subprocess.Process | None = None
        self._log = open(rig.folder / f"{self.name}.log", "ab")

    @property
    def settings_path(self) -> Path:
        return self._rig.folder / f"{self.name}.conf"

    def write_settings(self) -> None:
        zones = sorted({d.zone for d in self._rig.daemons})
        seeds = ",".join(d.control for d in self._rig.daemons[:3])
        lines = [
            f"node_name={self.name}",
            "role=router",
            "machine_class=front",
            "serves=front,control",
            f"ip={self.host}",
            f"zone={self.zone}",
            "region=bengal-delta",
            *(f"zones.{zone}=bengal-delta" for zone in zones),
            f"bind.front={self.front}",
            f"bind.ready={self.host}:{self.ready_port}",
            f"bind.control={self.control}",
            f"port_range={self.relay_port},{self.relay_port + 1}",
            f"seeds={seeds}",
            "bootstrap=true",
            "fault_counted=false",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            f"limits.memory_mb={self.memory_mb}",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=virtual_ip",
            "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout",
            "fault_tolerance.machines=2",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
            f"platform.address={self.store_address}",
            "platform.form=table",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.tx_ms=3.0",
            "platform.part_writes_s=300",
            "platform.row_bytes=65536",
            "platform.across=true",
            "platform.history_s=20",
        ]
        self.settings_path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self) -> None:
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["router"]["run"])
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "COMFREYHATCH_SETTINGS": str(self.settings_path),
        }
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        self._rig.record.note(f"daemon {self.name} started, pid {self.process.pid}")

    async def is_ready(self) -> bool:
        """Ask the daemon's ready address as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, for_s: float = 20.0) -> None:
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                self._rig.record.note(f"daemon {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} did not become ready")

    def rss_mb(self) -> float:
        """Return the resident memory of the process, in megabytes; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError, AttributeError):
            return 0.0

    def send_signal(self, number: signal.Signals) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()


class Rig:
    """A small deployment: a store, workers and daemons."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randrange(20, 250)
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.daemons: list[Daemon] = []
        self._listeners: list[Listener] = [self.store]
        self._tasks: list[asyncio.Task[None]] = []

    async def start_store(self) -> str:
        return await self.store.listen(f"127.{self.net}.200.1")

    async def add_worker(self, worker: Worker, listed: bool = True) -> Worker:
        await worker.listen(f"127.{self.net}.201.{len(self.workers) + 1}")
        self.workers.append(worker)
        self._listeners.append(worker)
        if listed:
            self.store.put("servers", worker.worker_id, worker.entry())
        return worker

    def add_listener(self, listener: Listener) -> None:
        self._listeners.append(listener)

    def add_daemon(self, zone: str, store_address: str, memory_mb: int = 150) -> Daemon:
        daemon = Daemon(self, len(self.daemons) + 1, zone, memory_mb)
        daemon.store_address = store_address
        self.daemons.append(daemon)
        return daemon

    def run_beside(self, work: Awaitable[None]) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def heartbeats(self) -> None:
        """Let the workers renew their entries, one after the other, about every heartbeat."""
        while True:
            for worker in list(self.workers):
                await asyncio.sleep(HEARTBEAT_S / len(self.workers))
                row = self.store.rows.get(("servers", worker.worker_id), {"removed": True})
                if "removed" not in row:
                    self.store.put("servers", worker.worker_id, worker.entry())

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.stop()
        for listener in self._listeners:
            await listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        **changes,
    }


def config(version: int, routes: list[dict[str, object]], **changes: object) -> dict[str, object]:
    services = sorted({str(r["service"]) for r in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
                "cold_s": 0.0,
                "cold_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t-one", "api_keys": ["key-one"], "priority": 1}],
        **changes,
    }


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[Rig], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a case; exit with 1 if it says that the rule was broken."""

    async def run() -> int:
        rig = Rig(folder)
        own = asyncio.current_task()
        assert own is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(rig)
            rig.record.note("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
            rig.record.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await rig.close()

    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of deploy/system.toml", file=sys.stderr)
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(run()))
