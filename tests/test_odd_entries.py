"""One odd entry among those of the endpoints neither ends a daemon nor stops it from following."""

import asyncio
import json

import pytest

from tests.platform_harness import PlatformHarness, running_harness

DEEP = 100_000
GOOD = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "born": 1,
}


def entry(**changes: object) -> bytes:
    return json.dumps({**GOOD, **changes}).encode()


def with_raw(field: str, raw: str) -> bytes:
    """Return an entry with a field whose value no serializer of Python writes."""
    return entry(**{field: "RAW"}).replace(b'"RAW"', raw.encode())


ODD_ENTRIES = {
    "deep object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "deep array": b"[" * DEEP + b"]" * DEEP,
    "deep unknown field": with_raw("note", "[" * DEEP + "]" * DEEP),
    "large capacity": with_raw("capacity", "9" * 400),
    "larger capacity": with_raw("capacity", "9" * 5000),
    "capacity of 64 bits": entry(capacity=2**64),
    "large start": with_raw("born", "9" * 400),
    "start beyond 64 bits": entry(born=2**80),
    "start before 64 bits": entry(born=-(2**80)),
    "large cold start": with_raw("cold_left_ms", "9" * 400),
    "infinite cold start": with_raw("cold_left_ms", "1e999"),
    "long cold start": entry(cold_left_ms=1e300),
    "port out of range": entry(address="127.0.0.1:70000"),
    "port zero": entry(address="127.0.0.1:0"),
    "negative port": entry(address="127.0.0.1:-80"),
    "long port": entry(address="127.0.0.1:" + "9" * 5000),
    "port in other digits": entry(address="127.0.0.1:\u00b2\u00b2"),
    "no port": entry(address="127.0.0.1"),
    "odd host": entry(address="\u0000:80"),
    "lone surrogate": with_raw("zone", '"\\ud800"'),
    "no text": b"\xff\xfe\x00",
    "no entry": b"",
    "null": b"null",
}


async def follows(harness: PlatformHarness, worker_id: str) -> None:
    """Wait until each daemon knows an endpoint that registers now, and serve requests."""
    await harness.add_worker(worker_id, "desk")
    await harness.wait_until(
        lambda: all(worker_id in d.view.tracker_by_id for d in harness.daemons)
    )
    for daemon in range(len(harness.daemons)):
        replies = await asyncio.gather(*(harness.send("/read/x", daemon) for _ in range(6)))
        # The bodies of refusals say why.
        assert [reply.body for reply in replies if reply.status != 200] == []


@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_daemon_follows_the_list_beside_an_odd_entry(name: str) -> None:
    async with running_harness() as harness:
        second = await harness.start_daemon(harness.deployment.store)
        await harness.wait_until(second.ready)
        harness.store.put("servers", "odd", ODD_ENTRIES[name])
        await follows(harness, "desk-3")
        # Also a daemon that reads all entries at its start.
        third = await harness.start_daemon(harness.deployment.store)
        await harness.wait_until(third.ready)
        await follows(harness, "desk-4")
