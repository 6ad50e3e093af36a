"""Measures what it costs to know when requests came, and which attempts have arrived.

Run as `python -m bench.arrivals`.
"""

import asyncio
import tracemalloc
from collections.abc import Callable
from time import perf_counter

from comfreyhatch.adapters.socket_times import since_last_byte_s
from comfreyhatch.decisions.request_arrivals import RequestArrivals
from comfreyhatch.decisions.unread_attempts import UnreadAttempts

RUNS = 100_000
ENDPOINTS = 100
UNREAD = 10_000
US_PER_S = 1e6


def measure_us(run: Callable[[], object]) -> float:
    """Return the mean time of a run in microseconds."""
    started = perf_counter()
    for _ in range(RUNS):
        run()
    return (perf_counter() - started) / RUNS * US_PER_S


def answer_request() -> None:
    """Follow a request whose first attempt is answered."""
    arrivals = RequestArrivals()
    arrival = arrivals.begin()
    arrival.note_sent()
    arrival.note_read(0.0)
    arrivals.release_unused()


def fill(unread: UnreadAttempts) -> float:
    """Add attempts that were given up; return the memory of each in bytes."""
    tracemalloc.start()
    for number in range(UNREAD):
        arrival = RequestArrivals().begin()
        arrival.note_sent()
        unread.add(f"endpoint-{number % ENDPOINTS}", arrival, 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / UNREAD


async def main() -> None:
    """Print the figures."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    print(
        f"time of the last byte: {measure_us(lambda: since_last_byte_s(writer.transport)):.2f} us"
    )
    print(f"arrivals of an answered request: {measure_us(answer_request):.2f} us")
    unread = UnreadAttempts()
    print(f"an attempt that waits unread: {fill(unread):.0f} bytes")
    look_us = measure_us(lambda: unread.expire(1.0))
    print(f"a look at {ENDPOINTS} endpoints that hold some: {look_us:.2f} us")
    writer.close()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
