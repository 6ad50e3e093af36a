"""Callers that read a stream slowly, through a daemon."""

import asyncio
from collections.abc import AsyncIterator

from comfreyhatch.adapters.http_message import HttpResponse
from tests.platform_harness import API_KEY, HOST, PlatformHarness

EVENT_BYTES = 60_000
EVENTS = 200
# Longer than the limits of the route for a silent endpoint and for one that sends to others.
PAUSE_S = 1.5
SLOW_ID = "ffffffffffffffff"


async def test_stream_of_a_slow_reader_stays_at_its_endpoint(harness: PlatformHarness) -> None:
    # The daemon stops reading an endpoint whose caller does not read. That looked like a silent
    # endpoint: the stream was run again at the other one, and the endpoint was ejected.
    found = [harness.worker_by_id[f"engine-{number}"] for number in (1, 2)]

    async def events() -> AsyncIterator[bytes]:
        for number in range(1, EVENTS + 1):
            yield b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)

    def long_once(response: HttpResponse) -> HttpResponse:
        """Answer the first request with a long stream."""
        for worker in found:
            worker.transform = lambda other: other
        return HttpResponse(200, headers=response.headers, stream=events())

    for worker in found:
        worker.confidence_by_model = {"small": 90}
        worker.transform = long_once
    reader, writer = await asyncio.open_connection(
        harness.deployment.callers.host, harness.deployment.callers.port
    )
    writer.write(
        (
            f"POST /draft/slow HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n"
            f"attempt-id: {SLOW_ID}\r\ndeadline-ms: 4000\r\nmodel: *\r\n"
            "token-counts: 10,10\r\ncontent-length: 0\r\n\r\n"
        ).encode()
    )
    await reader.readuntil(b"\r\n\r\n")
    until = asyncio.get_running_loop().time() + PAUSE_S
    while asyncio.get_running_loop().time() < until:
        # Both endpoints answer others meanwhile.
        assert (await harness.send_draft()).status == 200
    answer = b""
    while b"id: %d\n" % EVENTS not in answer[-2 * EVENT_BYTES :]:
        answer += await asyncio.wait_for(reader.read(1_000_000), timeout=3.0)
    ids = [request.header("attempt-id") for worker in found for request in worker.received]
    assert ids.count(SLOW_ID) == 1
    trackers = harness.daemon.view.trackers_by_service["engines"]
    assert all(tracker.failure_share == 0 for tracker in trackers)
    writer.close()
