"""Local fleet with its own event loop, for scenarios whose steps are not coroutines."""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, TypeVar

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import HttpError
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat

T = TypeVar("T")
MAX_TOKENS = 6
REQUEST_INTERVAL_S = 0.02
IN_FORCE_LIMIT_S = 4.0


class FleetHarness:
    """A local fleet with its own event loop, its traffic and the observations of a scenario.

    Attributes:
        replies: Replies to the requests of the scenario.
        failures: Errors of requests that got no reply.
        revisions_by_id: Configuration revisions of each daemon in the order observed.
        changed_at: Monotonic time after the operator's change.
        accepted: Revisions that operators' changes made.
    """

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.client = HttpClient()
        self.fleet = LocalFleet()
        self.replies: list[HttpReply] = []
        self.streams: list[asyncio.Task[HttpReply]] = []
        self.failures: list[Exception] = []
        self.traffic: asyncio.Task[None] | None = None
        self.revision_watch: asyncio.Task[None] | None = None
        self.revisions_by_id: dict[str, list[int]] = {}
        self.changed_at = 0.0
        self.version_by_session: dict[str, str] = {}
        self.token_by_session: dict[str, str] = {}
        self.accepted: list[int] = []
        self.record_by_id: dict[str, RequestRecord] = {}

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        return self.runner.run(coroutine)

    async def start(self, plan: FleetPlan | None = None) -> None:
        self.fleet = LocalFleet(plan)
        await self.fleet.start()

    async def stop(self) -> None:
        for task in (self.traffic, self.revision_watch):
            if task:
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task
        self.client.close()
        await self.fleet.stop()

    def close(self) -> None:
        self.run(self.stop())
        self.runner.close()

    def entry(self, number: int) -> str:
        return sorted(self.fleet.addresses_by_id)[number % len(self.fleet.addresses_by_id)]

    async def chat(self, number: int = 0, **arguments: Any) -> HttpReply:
        callers = self.fleet.callers(self.entry(number))
        return await chat(self.client, callers, max_tokens=MAX_TOKENS, **arguments)

    async def keep_sending(self, model: str) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                group.create_task(self.send(number, model))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def send(self, number: int, model: str) -> None:
        try:
            self.replies.append(await self.chat(number, model=model))
        except HttpError as error:
            self.failures.append(error)

    async def keep_recording_revisions(self) -> None:
        while True:
            for instance_id, daemon in self.fleet.daemon_by_id.items():
                seen = self.revisions_by_id.setdefault(instance_id, [])
                seen.append(self.fleet.revision_of(daemon))
            await asyncio.sleep(0.01)

    async def wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def engine_arrivals(self, engine_id: str) -> list[Any]:
        return self.fleet.engine_by_id[engine_id].witness.arrivals
