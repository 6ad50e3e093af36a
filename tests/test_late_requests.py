"""Requests that a daemon reads late have no more time than their callers gave them."""

import json
import time
from functools import partial

import pytest
from msgspec.msgpack import encode

from comfreyhatch.adapters.http_message import HttpRequest
from comfreyhatch.domain.relay import RELAY_PATH, EndpointRequest
from comfreyhatch.exchange.relay_listener import FAILURE_HEADER, MAX_WAITED_S
from tests.platform_harness import PlatformHarness, workers

LATE_S = 0.6
MS_PER_S = 1000


async def send_read_late(harness: PlatformHarness, deadline_ms: int) -> tuple[int, bytes]:
    """Send a request that the daemon reads `LATE_S` later; return status and body."""
    # Opens a connection, on which the request is written before the event loop stands still.
    await harness.send("/read/x")
    link = harness.client._idle.at(harness.deployments[0].callers)[-1]
    write = link.transport.write

    def write_and_block(data: bytes) -> None:
        write(data)
        time.sleep(LATE_S)

    link.transport.write = write_and_block  # type: ignore[method-assign]
    reply = await harness.send("/read/x", deadline_ms=str(deadline_ms))
    return reply.status, reply.body


async def test_request_that_is_read_after_its_deadline_is_refused_and_does_not_run(
    harness: PlatformHarness,
) -> None:
    status, body = await send_read_late(harness, int(LATE_S * MS_PER_S) - 200)
    assert status == 504 and json.loads(body)["ran"] == "no"
    assert sum(len(worker.received) for worker in workers(harness, "desk")) == 1


async def test_request_that_is_read_late_has_the_time_that_is_left(
    harness: PlatformHarness,
) -> None:
    status, _ = await send_read_late(harness, 900)
    assert status == 200
    received = [request for worker in workers(harness, "desk") for request in worker.received]
    told = [int(request.header("deadline-ms")) for request in received]
    assert min(told) <= 900 - 0.75 * LATE_S * MS_PER_S


@pytest.mark.parametrize(
    ("waited_s", "failure"), [(0.0, b"unreachable"), (MAX_WAITED_S + 0.05, b"busy")]
)
async def test_request_that_was_read_late_is_not_relayed(
    harness: PlatformHarness, waited_s: float, failure: bytes
) -> None:
    relayed = EndpointRequest("unknown-1/1", "GET", "/read/x", [], b"", 1.0)
    request = partial(HttpRequest, "POST", RELAY_PATH, {}, {}, encode(relayed))
    reply = await harness.daemons[0]._relay_listener.handle(request(waited_s=waited_s))
    assert dict(reply.headers or [])[FAILURE_HEADER] == failure
