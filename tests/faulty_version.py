"""Endpoints of a new version, a part of whose answers fail in one way, and a roll-out to it."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.errors import HttpError
from tests.platform_harness import PlatformHarness, config, running_harness
from tests.platform_raw_worker import answer_head, stream_head, success_head
from tests.platform_worker import HEALTH_PATH, StandInWorker
from tests.scripted_endpoint import Answer, ScriptedConnection, scripted

OLD, NEW = "v1", "v2"
NEW_IDS = ("new-1", "new-2", "new-3")
# A share that brings evidence soon: the tests are about which failures are told.
BOUNDS = Bounds(grace_s=4.0, retry_ratio=1.0, retry_slack=200.0, expose_share=0.6)
OVER_S = 4.0
# Completions are due before the end of the order's time; a busy machine takes longer.
COMPLETED_WITHIN_S = OVER_S + 2.0
WORK_S = 0.01
BODY = b"done"
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 7))
FIRST_EVENT = b"id: 1\ndata: x\n\n"
RATE_PER_S = 80
LOAD_PAUSE_S = 1 / RATE_PER_S
FOREVER_S = 60.0

Failing = Callable[[ScriptedConnection, bytes], Awaitable[None]]


async def succeed(connection: ScriptedConnection, head: bytes) -> None:
    if b"\r\nmodel:" in head:
        length = b"content-length: %d" % len(EVENTS)
        await connection.send(stream_head(head, length) + EVENTS)
    else:
        length = b"content-length: %d" % len(BODY)
        await connection.send(success_head(head, length) + BODY)


def fail_with(status: bytes) -> Failing:
    """Return a failure that is answered with a status, and doesn't say that nothing ran."""

    async def fail(connection: ScriptedConnection, head: bytes) -> None:
        own = answer_head(head, status, b"server-stamp: s", b"content-length: 4")
        await connection.send(own + b"fail")

    return fail


async def lack_receipt(connection: ScriptedConnection, head: bytes) -> None:
    await connection.send(answer_head(head, b"200 OK", b"content-length: 4") + BODY)


async def reset(connection: ScriptedConnection, head: bytes) -> None:
    connection.reset()


async def cut(connection: ScriptedConnection, head: bytes) -> None:
    await connection.send(success_head(head, b"content-length: 800") + BODY)
    connection.end()
    connection.reset()


async def hang(connection: ScriptedConnection, head: bytes) -> None:
    await asyncio.sleep(FOREVER_S)


async def cut_stream(connection: ScriptedConnection, head: bytes) -> None:
    await connection.send(stream_head(head, b"content-length: 800") + FIRST_EVENT)
    await asyncio.sleep(WORK_S)
    connection.reset()


async def silence_stream(connection: ScriptedConnection, head: bytes) -> None:
    await connection.send(stream_head(head, b"content-length: 800") + FIRST_EVENT)
    await asyncio.sleep(FOREVER_S)


def answer_in_part(fail: Failing, every: int = 2) -> Answer:
    """Return answers of an endpoint: a part of the requests fail, its health path is good."""
    count = 0

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        nonlocal count
        if head.startswith(b"GET " + HEALTH_PATH.encode()):
            await connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        await connection.read_body()
        await asyncio.sleep(WORK_S)
        count += 1
        await (fail if count % every == 0 else succeed)(connection, head)

    return answer


def with_health_paths(**route_changes: object) -> dict[str, object]:
    found = config(2, **route_changes)
    services = found["services"]
    assert isinstance(services, list)
    for service in services:
        service["health_path"] = HEALTH_PATH
    return found


class Rollout:
    """A roll-out of one service under load.

    Attributes:
        harness: The daemon and its surroundings.
        service: The service.
        failed: Requests that failed since the order.
        sent: Requests sent since the order.
    """

    def __init__(self, harness: PlatformHarness, service: str) -> None:
        self.harness = harness
        self.service = service
        self.failed = 0
        self.sent = 0

    def state(self) -> str:
        """Return the state of the roll-out; empty before it begins."""
        row = self.harness.store.row_by_key.get(("status", f"rollout/{self.service}"))
        if row is None:
            return ""
        found: str = self.harness.store.value("status", f"rollout/{self.service}")["state"]
        return found

    def is_ended(self) -> bool:
        return self.state() not in ("", "running")

    async def load(self, paths: tuple[str, ...]) -> None:
        """Send requests on some paths in turn until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(RATE_PER_S * int(FOREVER_S)):
                group.create_task(self._send(paths[number % len(paths)]))
                await asyncio.sleep(LOAD_PAUSE_S)

    async def _send(self, path: str) -> None:
        self.sent += 1
        try:
            reply = await self.harness.send_kind(path)
            self.failed += reply.status != 200
        except HttpError:
            self.failed += 1

    async def ended(self, within_s: float) -> str:
        """Return the state of the roll-out once it has ended, or when the time is over."""
        until = asyncio.get_running_loop().time() + within_s
        while not self.is_ended() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
        return self.state()


def register(harness: PlatformHarness, worker: StandInWorker, service: str, version: str) -> None:
    harness.store.put("servers", worker.worker_id, worker.record(service, "a", version))


@asynccontextmanager
async def rollout_to(
    service: str, paths: tuple[str, ...], new: Answer | None, **route_changes: object
) -> AsyncIterator[Rollout]:
    """Yield a roll-out under way, whose new endpoints answer so; as the old ones do if None."""
    async with running_harness(bounds=BOUNDS) as harness, AsyncExitStack() as stack:
        daemon = harness.daemon
        assert daemon is not None
        harness.store.put("op", "config", with_health_paths(**route_changes))
        await harness.wait_until(lambda: daemon.view.catalog and daemon.view.catalog.version == 2)
        for worker in harness.worker_by_id.values():
            worker.answer_delay_s = WORK_S
        rollout = Rollout(harness, service)
        load = asyncio.create_task(rollout.load(paths))
        await asyncio.sleep(0.8)
        rollout.sent = rollout.failed = 0
        for worker_id in NEW_IDS:
            worker = StandInWorker(worker_id)
            worker.answer_delay_s = WORK_S
            if new is not None:
                worker.address = (await stack.enter_async_context(scripted(new))).address
            else:
                harness.worker_by_id[worker_id] = worker
                await worker.start()
            register(harness, worker, service, NEW)
        order = {"service": service, "to": NEW, "over_s": OVER_S}
        harness.store.put("op", f"rollout/{service}", order)
        try:
            yield rollout
        finally:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
