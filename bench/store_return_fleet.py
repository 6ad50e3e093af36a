"""Calls of a fleet to the platform's store around its return from an older copy.

Usage: python -m bench.store_return_fleet DAEMONS REGIONS SEED

The daemons run in one process, without callers; the store is the tests' stand-in in the same
process, so that times are longer than on instances of their own. The copy lacks what all daemons
have written.
"""

import asyncio
import logging
import sys
from random import Random

from bench.store_return import CALLERS_PORT, CONTROL_PORT, READY_PORT, TimedStore
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.usage import UsageKey, UsageTotals
from comfreyhatch.exchange.daemon import ExchangeDaemon
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.header_codec import PlatformHeaderCodec
from comfreyhatch.platform.store import StoreClient
from tests.platform_harness import config

SETTLE_S = 20.0
OUTAGE_S = 2.0
AFTER_S = 12.0


def deployment(number: int, regions: int, store: Address) -> Deployment:
    """Return the settings of one daemon on an address of its own."""
    host = f"127.200.{number // 200}.{number % 200 + 1}"
    return Deployment(
        instance=f"front-{number}",
        zone="a",
        zones=("a",),
        callers=Address(host, CALLERS_PORT),
        readiness=Address(host, READY_PORT),
        control=Address(host, CONTROL_PORT),
        seeds=(),
        store=store,
        heartbeat_s=0.5,
        memory_mb=256,
        max_fds=1024,
        bounds=Bounds(),
        region=f"r{number % regions}",
    )


async def measure(daemons: int, regions: int, seed: int) -> None:
    """Play one outage and return, and print the most calls a second in each phase."""
    loop = asyncio.get_running_loop()
    store = TimedStore()
    await store.start()
    store.put("op", "config", config(1))
    copy = store.copy()
    fleet = []
    for number in range(daemons):
        settings = deployment(number, regions, store.address)
        directory = StoreDirectory(StoreClient(store.address))
        rng = Random(f"{seed}/{number}")
        fleet.append(ExchangeDaemon(settings, directory, PlatformHeaderCodec(), rng, 1))
    await asyncio.gather(*(daemon.start() for daemon in fleet))
    for daemon in fleet:
        daemon._billing.add_usage(UsageKey("club", "desk"), UsageTotals(1))
    await asyncio.sleep(SETTLE_S)
    away_at = loop.time()
    store.refusing = True
    await asyncio.sleep(OUTAGE_S)
    store.restore(copy)
    store.refusing = False
    returned_at = loop.time()
    decided_s = [0.0] * daemons
    while loop.time() < returned_at + AFTER_S:
        for number, daemon in enumerate(fleet):
            if not decided_s[number] and daemon.view.generation == store.era:
                decided_s[number] = loop.time() - returned_at
        await asyncio.sleep(0.02)
    for name, first, last in (
        ("before", away_at - 5.0, away_at),
        ("away", away_at, returned_at),
        ("after", returned_at, returned_at + AFTER_S),
    ):
        reads = store.most_per_second(first, last, writes=False)
        writes = store.most_per_second(first, last, writes=True)
        print(f"{name}: {reads} reads and {writes} writes in the busiest second")
    print(f"decided after {max(decided_s):.2f} s at most; {decided_s.count(0.0)} daemons never")
    tables = [table for (table, _), row in store.row_by_key.items() if not row.removed]
    addresses, batches = tables.count("comfreyhatch"), tables.count("comfreyhatch-usage")
    print(f"rows: {addresses} addresses, {batches} batches of usage")
    for daemon in fleet:
        await daemon.close()
    await store.stop()


if __name__ == "__main__":
    logging.basicConfig(level=logging.CRITICAL)
    asyncio.run(measure(*map(int, sys.argv[1:4])))
