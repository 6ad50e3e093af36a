"""Changes of the configuration end no connection on which a request was passed on."""

import asyncio

import pytest

from tests.platform_harness import (
    API_KEY,
    HOST,
    PlatformHarness,
    config,
    sent_to,
    workers,
)

HEAD = (
    f"POST /pay/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n"
    "attempt-id: %016x\r\ndeadline-ms: 3000\r\ncontent-length: 4\r\n\r\nbody"
)
SMALL = {
    "max_header_bytes": 1,
    "max_body_bytes": 1,
    "header_timeout_ms": 100,
    "idle_timeout_ms": 100,
}


def changed(kind: str) -> dict[str, object]:
    """Return a second configuration that differs in one kind of setting."""
    match kind:
        case "limits":
            return {**config(2), "limits": SMALL}
        case "timeout":
            return config(2, timeout_ms=100)
        case "route moved":
            return config(2, service="engines")
        case "route gone":
            return {**config(2), "routes": []}
        case "service gone":
            return {**config(2), "routes": [], "services": []}
        case "key":
            return {**config(2), "tenants": [{"name": "club", "api_keys": ["k"], "priority": 1}]}
        case _:
            return config(2, priority=5, max_attempts=3)


@pytest.mark.parametrize(
    "kind",
    ["limits", "timeout", "route moved", "route gone", "service gone", "key", "route fields"],
)
async def test_request_that_was_passed_on_before_a_change_is_answered_on_its_connection(
    harness: PlatformHarness, kind: str
) -> None:
    assert harness.deployment
    for worker in workers(harness, "desk"):
        worker.hold = asyncio.Event()
    callers = harness.deployment.callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    writer.write((HEAD % 1).encode())
    await harness.wait_until(lambda: sent_to(harness, "desk"))
    harness.store.put("op", "config", changed(kind))
    await harness.wait_until(lambda: harness.daemon.view.catalog.version == 2)
    # Longer than the limits that were lowered.
    await asyncio.sleep(0.3)
    for worker in workers(harness, "desk"):
        worker.hold.set()
    async with asyncio.timeout(5.0):
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    assert len(sent_to(harness, "desk")) == 1
    writer.close()
