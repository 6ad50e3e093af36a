"""Cost of counting for the report on burn, and of a report over six hours.

Usage: python -m bench.burn DAEMONS
"""

import sys
from asyncio import run
from random import Random
from time import process_time
from zlib import compress

from msgspec.msgpack import encode

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.history.burn_store import FLUSH_INTERVAL_S, BurnStore
from comfreyhatch.decisions.burn import burn_report, downsample
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.record import Attempt, RequestRecord
from comfreyhatch.ports.objects import MemoryObjectStore

REQUESTS_PER_S = 33
CUSTOMERS = 10
VERSIONS = 10
ENDPOINTS = 357
PERIOD_S = 6 * 3600
NOW = 1_800_000_000.0
CONTRACTS = {f"c-{n}": Contract(f"c-{n}") for n in range(CUSTOMERS)}


def record(rng: Random, at_unix_s: float, bad_share: float) -> RequestRecord:
    bad = rng.random() < bad_share
    code = ResultCode.ENDPOINT_FAILED if bad else ResultCode.OK
    version = f"m@{rng.randrange(VERSIONS)}"
    endpoint = f"engine-{rng.randrange(ENDPOINTS)}"
    attempt = Attempt(endpoint, version, "d", "z", code, Ran.UNKNOWN, at_unix_s, 1.0)
    customer = f"c-{rng.randrange(CUSTOMERS)}"
    return RequestRecord(
        "r",
        customer,
        at_unix_s,
        "d",
        "i",
        1,
        "chat",
        attempts=(attempt,),
        code=code,
        first_token_s=0.1,
        duration_s=1.0,
        deadline_s=30.0,
    )


def segment_records(bad_share: float) -> list[RequestRecord]:
    rng = Random(1)
    count = int(REQUESTS_PER_S * FLUSH_INTERVAL_S)
    return [record(rng, NOW + number / REQUESTS_PER_S, bad_share) for number in range(count)]


def count_costs(bad_share: float) -> None:
    records = segment_records(bad_share)
    book = BurnStore(MemoryObjectStore(), "i", lambda: CONTRACTS, frozenset)
    start = process_time()
    for found in records:
        book.observe(found)
    cost_us = (process_time() - start) / len(records) * 1e6
    (segment,) = book.pending()
    stored = downsample(segment)
    size = len(compress(encode(stored)))
    print(
        f"| {bad_share:.0%} | {cost_us:.1f} | {len(segment.counts)} |"
        f" {len(stored.counts)} | {size} |"
    )


async def report_costs(daemons: int) -> None:
    store = MemoryObjectStore()
    records = segment_records(0.01)
    segments = int(PERIOD_S / FLUSH_INTERVAL_S)
    for number in range(daemons):
        book = BurnStore(store, f"i-{number}", lambda: CONTRACTS, frozenset)
        for index in range(segments):
            for found in records[:: max(1, daemons // 6)]:
                book.observe(found)
            await book.flush(NOW + index)
    start = process_time()
    counts = (await book.stored(NOW - 1, NOW + segments)).counts
    merged = process_time()
    burn_report(counts, CONTRACTS, NOW - PERIOD_S, NOW + FLUSH_INTERVAL_S)
    reported = process_time()
    read_us = (merged - start) / (daemons * segments) * 1e6
    print(
        f"| {daemons} | {daemons * segments} | {len(counts)} |"
        f" {merged - start:.2f} | {read_us:.0f} | {reported - merged:.2f} |"
    )


def main() -> None:
    print("| missed | us a request | counts in memory | counts stored | bytes stored |")
    print("| --- | --- | --- | --- | --- |")
    for bad_share in (0.0, 0.01, 0.2):
        count_costs(bad_share)
    print("\n| daemons | segments | counts | read and merge, s | us a segment | report, s |")
    print("| --- | --- | --- | --- | --- | --- |")
    run(report_costs(int(sys.argv[1])))


if __name__ == "__main__":
    main()
