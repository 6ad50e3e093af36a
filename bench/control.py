"""Control costs of idle daemons, and the time until a change is in force.

Usage: python -m bench.control ENDPOINTS SECONDS CHANGES DAEMONS[/ZONES]...

The daemons are spread over one zone, or over as many as given; each is a process of its own.
The platform's stand-in runs in this one. The endpoints are listed in another zone, so that they
are in each view and their load is not polled.
"""

import asyncio
import re
import sys
from datetime import UTC, datetime
from pathlib import Path
from statistics import mean
from tempfile import TemporaryDirectory
from time import time

from msgspec import Struct
from msgspec.json import encode

from bench.processes import MeasuredProcess, process_use, start_daemon
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.change import SetContract
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.ports.operators import Edit
from comfreyhatch.standins.platform import PlatformStandin

SETTLE_S = 8.0
CHANGE_GAP_S = 0.7
AT_ONCE = 10
SETTINGS = "[shutdown]\nbalancer_s = 0\n"
ADOPTED = re.compile(r"at=(\S+)Z .*event=configuration_adopted revision=(\d+)")


class Cost(Struct, frozen=True):
    """What control costs a daemon a second, and its memory."""

    core_percent: float
    sent_bytes: float
    received_bytes: float
    frames: float
    memory_mb: float


class Measured(Struct, frozen=True):
    """One row of the result."""

    daemons: str
    cost_by_id: dict[str, Cost]
    reads_per_s: float
    in_force_s: list[float]


async def peer_counts(client: HttpClient, daemon: MeasuredProcess) -> dict[str, float]:
    reply = await client.request(daemon.address_by_name["operators"], "GET", "/metrics")
    found = re.findall(r'peer_events_total\{event="(\w+)"\} (\S+)', reply.body.decode())
    return {event: float(count) for event, count in found}


async def costs(
    client: HttpClient, daemon_by_id: dict[str, MeasuredProcess], seconds: float
) -> dict[str, Cost]:
    async def read() -> dict[str, tuple[float, dict[str, float]]]:
        return {
            name: (daemon.use().processor_s, await peer_counts(client, daemon))
            for name, daemon in daemon_by_id.items()
        }

    before = await read()
    started = time()
    await asyncio.sleep(seconds)
    used = {name: daemon.use() for name, daemon in daemon_by_id.items()}
    passed_s = time() - started
    after = await read()

    def rate(name: str, event: str) -> float:
        return (after[name][1].get(event, 0) - before[name][1].get(event, 0)) / passed_s

    return {
        name: Cost(
            100 * (used[name].processor_s - before[name][0]) / passed_s,
            rate(name, "bytes_sent"),
            rate(name, "bytes_received"),
            rate(name, "frames_sent") + rate(name, "frames_received"),
            used[name].memory_bytes / 1e6,
        )
        for name in daemon_by_id
    }


async def make_changes(client: HttpClient, daemon: MeasuredProcess, count: int) -> list[float]:
    """Make changes through one daemon; return when each was asked for."""
    asked_at = []
    for number in range(count):
        change = SetContract(Contract(customer=f"customer-{number % 10}", allowed=("coach",)))
        edit = Edit(change, f"bench-{number}-{time()}", "bench")
        asked_at.append(time())
        reply = await client.request(
            daemon.address_by_name["operators"], "POST", "/changes", encode(edit)
        )
        assert reply.status == 200, reply.body
        await asyncio.sleep(CHANGE_GAP_S)
    return asked_at


def adopted_at(log_path: Path) -> dict[int, float]:
    found = ADOPTED.findall(log_path.read_text())
    return {
        int(revision): datetime.fromisoformat(at).replace(tzinfo=UTC).timestamp()
        for at, revision in found
    }


def first_with(at_by_revision: dict[int, float], revision: int) -> float:
    """Return when a revision or a later one was adopted."""
    return min((at for r, at in at_by_revision.items() if r >= revision), default=float("inf"))


async def measure(
    daemons: int, zones: int, endpoints: int, seconds: float, changes: int
) -> Measured:
    platform = PlatformStandin()
    address = await platform.start()
    for number in range(endpoints):
        engine = Instance(f"engine-z{number}", Role.ENGINE, "z", Address("127.0.0.1", 1))
        platform.put_instance(engine)
    client = HttpClient()
    daemon_by_id: dict[str, MeasuredProcess] = {}
    with TemporaryDirectory() as name:
        folder = Path(name)
        try:
            zone_by_id = {f"entry-{n}": chr(ord("a") + n % zones) for n in range(daemons)}
            ids = list(zone_by_id)
            for first in range(0, daemons, AT_ONCE):
                part = ids[first : first + AT_ONCE]
                started = (start_daemon(folder, i, zone_by_id[i], address, SETTINGS) for i in part)
                daemon_by_id.update(zip(part, await asyncio.gather(*started), strict=True))
            first_daemon = daemon_by_id[ids[0]]
            await make_changes(client, first_daemon, 1)
            await asyncio.sleep(SETTLE_S)
            reads = platform.witness.table_reads
            cost_by_id = await costs(client, daemon_by_id, seconds)
            reads_per_s = (platform.witness.table_reads - reads) / seconds
            asked_at = await make_changes(client, first_daemon, changes)
            await asyncio.sleep(4.0)
            found = [adopted_at(folder / f"{i}.log") for i in ids]
        finally:
            await asyncio.gather(*(daemon.end() for daemon in daemon_by_id.values()))
            await platform.stop()
            client.close()
    in_force_s = [
        max(first_with(at, revision) for at in found) - asked
        for revision, asked in enumerate(asked_at, 2)
    ]
    return Measured(f"{daemons} in {zones}", cost_by_id, reads_per_s, in_force_s)


def row(found: Measured, bare_mb: float) -> str:
    costs = list(found.cost_by_id.values())
    most = max(costs, key=lambda cost: cost.sent_bytes + cost.received_bytes)
    extra_mb = max(c.memory_mb for c in costs) - bare_mb
    late = sorted(found.in_force_s)
    cells = [
        found.daemons,
        f"{mean(c.core_percent for c in costs):.2f} / {max(c.core_percent for c in costs):.2f}",
        f"{mean(c.sent_bytes for c in costs):.0f} + {mean(c.received_bytes for c in costs):.0f}",
        f"{most.sent_bytes:.0f} + {most.received_bytes:.0f}",
        f"{mean(c.frames for c in costs):.1f}",
        f"{mean(c.memory_mb for c in costs):.1f} ({extra_mb:+.1f})",
        f"{found.reads_per_s:.1f}",
        f"{late[len(late) // 2]:.3f} / {late[-1]:.3f}" if late else "",
    ]
    return "| " + " | ".join(cells) + " |"


async def bare_memory_mb() -> float:
    """Return the memory of a process that has only imported the daemon."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", "import comfreyhatch.daemon.daemon, time; time.sleep(3)"
    )
    await asyncio.sleep(2.5)
    memory_mb = process_use(process.pid).memory_bytes / 1e6
    await process.wait()
    return memory_mb


async def main() -> None:
    endpoints, seconds, changes = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])
    bare_mb = await bare_memory_mb()
    print(f"bare process with the daemon imported: {bare_mb:.1f} MB; {endpoints} endpoints\n")
    print(
        "| daemons in zones | % of a core, mean / most | bytes/s sent + received, mean"
        " | at the busiest | frames/s | MB (most over bare) | table reads/s in all"
        " | s to be in force, median / most |"
    )
    print("| --- " * 8 + "|")
    for size in sys.argv[4:]:
        daemons, _, zones = size.partition("/")
        found = await measure(int(daemons), int(zones or 1), endpoints, seconds, changes)
        print(row(found, bare_mb), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
