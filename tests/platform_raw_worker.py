"""Heads of answers of the platform's workers, for endpoints that send raw bytes after them."""

import re
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from tests.platform_harness import PlatformHarness
from tests.platform_worker import StandInWorker
from tests.raw_endpoint import RawEndpoint, listening


def success_head(head: bytes, *headers: bytes) -> bytes:
    """Return the head of a successful answer to a request."""
    return answer_head(head, b"200 OK", b"server-stamp: s", *headers)


def stream_head(head: bytes, *headers: bytes) -> bytes:
    """Return the head of an answer to a request whose body is a stream of events."""
    return success_head(head, b"content-type: text/event-stream", *headers)


def refusal_head(head: bytes, *headers: bytes) -> bytes:
    """Return the head of an answer that says that the request did not run."""
    return answer_head(head, b"503 Busy", b"not-executed: 1", *headers)


def answer_head(head: bytes, status: bytes, *headers: bytes) -> bytes:
    """Return the head of an answer to a request with a status line's end and headers."""
    own = b"attempt-id: " + request_id(head)
    return b"\r\n".join([b"HTTP/1.1 " + status, own, *headers, b"", b""])


def request_id(head: bytes) -> bytes:
    """Return the id that the head of a request names."""
    found = re.search(rb"\r\nattempt-id: *([^\r]+)", head, re.IGNORECASE)
    assert found
    return found[1]


async def replace_worker(harness: PlatformHarness, worker_id: str, endpoint: RawEndpoint) -> None:
    """Move a worker of the harness to another address, and wait until the daemon knows."""
    worker = StandInWorker(worker_id)
    worker.address = endpoint.address
    service = "engines" if worker_id.startswith("engine") else "desk"
    harness.store.put("servers", worker_id, worker.record(service, "a"))
    trackers = harness.daemon.view.tracker_by_id
    await harness.wait_until(lambda: trackers[worker_id].record.address == endpoint.address)


@asynccontextmanager
async def raw_workers(
    harness: PlatformHarness,
    ids: tuple[str, ...],
    start: Callable[[bytes], bytes],
    unit: bytes,
    pause_s: float = 0.0,
) -> AsyncIterator[list[RawEndpoint]]:
    """Replace workers of the harness by endpoints that send a unit without end."""
    async with AsyncExitStack() as stack:
        endpoints = []
        for worker_id in ids:
            endpoint = await stack.enter_async_context(listening(start, unit, pause_s))
            await replace_worker(harness, worker_id, endpoint)
            endpoints.append(endpoint)
        yield endpoints
