"""Processor time of the checks of paths to idle endpoints, by hand.

Usage: python -m bench.paths ENDPOINTS
"""

import asyncio
import sys
from random import Random
from time import process_time

from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.path_probes import PathProbes
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.exchange.endpoint_paths import EndpointPaths
from comfreyhatch.exchange.path_monitor import CHECK_INTERVAL_S, PathMonitor
from comfreyhatch.exchange.view import FleetView
from tests.exchange_values import record

SERVICES = 20
CHECKS = 100


async def measure(endpoints: int) -> float:
    """Return the share of a core that the checks of one daemon take."""
    view, client = FleetView(), HttpClient()
    records = {f"e{n}": record(f"e{n}", service=f"s{n % SERVICES}") for n in range(endpoints)}
    view.apply_endpoints(EndpointList(1, records), 0.0)
    paths = EndpointPaths(view, client, CollectorRegistry())
    monitor = PathMonitor(view, client, paths, PathProbes(Random(1)))
    started = process_time()
    for _ in range(CHECKS):
        await monitor._check()
    return (process_time() - started) / (CHECKS * CHECK_INTERVAL_S)


if __name__ == "__main__":
    print(f"{asyncio.run(measure(int(sys.argv[1]))):.2%} of a core")
