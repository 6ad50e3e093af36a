"""Measures the journal: processor time, bytes, store writes and memory of an outage.

Run: python -m bench.journal [SECONDS]
"""

import asyncio
import sys
import tracemalloc
from time import process_time, time

from comfreyhatch.adapters.peer_bus import NngBus
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.history.journal import SEGMENT_INTERVAL_S, Journal, JournalLimits
from comfreyhatch.daemon.history.journal_copies import JournalCopies
from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.decisions.journal import JournalTail, bill_segment
from comfreyhatch.domain.journal import (
    Entry,
    Intent,
    Outcome,
    encode_bill,
    encode_body,
    encode_segment,
)
from comfreyhatch.domain.record import Attempt, Candidate, RequestRecord
from comfreyhatch.domain.request import Usage
from comfreyhatch.domain.request_id import new_request_id
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.peers import Member, MembershipView
from comfreyhatch.ports.table import MemoryTable

DAEMONS = 420
REQUESTS_PER_S = 14_000 / DAEMONS
NAMES = ("entry-a0", "entry-a1", "entry-b0")


def bodies(number: int) -> tuple[Intent, Outcome]:
    request_id = new_request_id("entry-a0-1a23f108cf1", time(), number)
    customer = f"customer-{number % 20}"
    versions = tuple(
        Candidate(f"coach-{size}@{v}", "dearer at the target", 0.91, 1200)
        for size in ("small", "large")
        for v in (1, 2)
    )
    attempt = Attempt(
        "engine-a17",
        "coach-small@2",
        "entry-a1",
        "a",
        ResultCode.OK,
        Ran.YES,
        time(),
        3.2,
        0.21,
        Usage(220, 450),
        1202,
        "3/16",
    )
    record = RequestRecord(
        request_id=request_id,
        customer=customer,
        at_unix_s=time(),
        daemon="entry-a0",
        incarnation="entry-a0-1a23f108cf1",
        revision=4711,
        kind="chat",
        task="plan",
        clause="allowed=coach-small,coach-large",
        session=f"session-{number}",
        pin="split",
        plan="direct coach-small@2",
        grounds="cheapest whose lower confidence bound meets the target",
        versions=versions,
        endpoints=(Candidate("engine-a17", estimate=0.4), Candidate("engine-a3", "busier", 0.9)),
        attempts=(attempt,),
        ran=Ran.YES,
        cost_micros=1202,
        duration_s=3.3,
        first_token_s=0.22,
        deadline_s=30.0,
    )
    return Intent(request_id, customer, time(), "coach-small@2", 4000), Outcome(record)


async def run_fleet(seconds: float, rate: float) -> tuple[float, float, int]:
    """Return processor seconds, mean wait of a commit and requests, for a writer and buddies."""
    buses = {name: NngBus(name, (b"key",)) for name in NAMES}
    members = {}
    for name, bus in buses.items():
        address = await bus.start("127.0.0.1", 0)
        members[name] = Member(name, f"{name}-1", name[6], address, address)
    for bus in buses.values():
        for member in members.values():
            bus.set_address(member.instance_id, member.control)
    view = MembershipView(members)
    store = SegmentStore(MemoryObjectStore(), MemoryTable())
    limits = JournalLimits(segment_interval_s=seconds / 2)
    journal = Journal(
        buses[NAMES[0]], lambda: view, store, NAMES[0], "a", f"{NAMES[0]}-1", limits=limits
    )
    copies_by_buddies = [
        JournalCopies(buses[name], lambda: view, store, name) for name in NAMES[1:]
    ]
    running = asyncio.create_task(journal.run())
    await journal.commit(bodies(0)[0])
    started, waits, count = process_time(), 0.0, 0
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks: list[asyncio.Task[float]] = []
    while loop.time() < end:
        count += 1
        tasks.append(asyncio.create_task(one_request(journal, count)))
        await asyncio.sleep(1 / rate)
    waits = sum(await asyncio.gather(*tasks))
    used = process_time() - started
    assert all(copies.size_bytes >= 0 for copies in copies_by_buddies)
    running.cancel()
    await journal.close(5)
    for bus in buses.values():
        await bus.stop()
    return used, waits / count, count


async def one_request(journal: Journal, number: int) -> float:
    intent, outcome = bodies(number)
    begun = journal.append(intent)
    await asyncio.sleep(0.3)
    await begun
    loop = asyncio.get_running_loop()
    started = loop.time()
    await journal.commit(outcome)
    return loop.time() - started


async def run_idle(seconds: float, rate: float) -> float:
    """Return processor seconds of making the same records without a journal."""
    started = process_time()
    for number in range(int(seconds * rate)):
        bodies(number)
        await asyncio.sleep(1 / rate)
    return process_time() - started


def measure_bytes() -> None:
    tail = JournalTail("entry-a0-1a23f108cf1", "entry-a0")
    count = round(REQUESTS_PER_S * SEGMENT_INTERVAL_S)
    tracemalloc.start()
    for number in range(count):
        for offset, body in enumerate(bodies(number)):
            tail.add(Entry(2 * number + offset + 1, encode_body(body)))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    segment = tail.next_segment(time())
    assert segment is not None
    started = process_time()
    value = encode_segment(segment)
    encoding_ms = (process_time() - started) * 1000
    bill = encode_bill(bill_segment(segment))
    print(f"entries of a request: {tail.size_bytes / count:.0f} B, two copies of each are sent")
    print(f"segment of {count} requests: {len(value) / count:.0f} B a request compressed,")
    print(f"  {encoding_ms:.1f} ms to encode (in a thread), bill row {len(bill)} B")
    per_minute = held / count * REQUESTS_PER_S * 60 / 1e6
    print(f"memory a minute of outage: {per_minute:.2f} MB own, {3 * per_minute:.2f} MB with two")
    print("  journals of others")
    writes = 2 / SEGMENT_INTERVAL_S
    print(f"store writes: {writes:.3f}/s a daemon, {writes * DAEMONS:.0f}/s for {DAEMONS} daemons")


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    measure_bytes()
    idle = asyncio.run(run_idle(seconds, REQUESTS_PER_S))
    used, wait, count = asyncio.run(run_fleet(seconds, REQUESTS_PER_S))
    each_us = (used - idle) / count * 1e6
    print(f"processor time a request, writer and both buddies: {each_us:.0f} us")
    print(f"  at {REQUESTS_PER_S:.1f} requests/s: {each_us * REQUESTS_PER_S / 1e4:.1f}% of a core")
    print(f"mean wait for the copies of a record: {wait * 1000:.1f} ms")


if __name__ == "__main__":
    main()
