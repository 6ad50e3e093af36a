"""Callers of a fleet of processes, and what they saw."""

import asyncio
from collections.abc import Callable
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, HttpError
from tests.fleet_plan import PATH_BY_KIND, RATES, FleetPlan
from tests.platform_harness import API_KEY, HOST

KEPT_SHARE = 0.8
# Tries of a request that its caller sends again under the same id, and the pause before each.
MAX_TRIES = 3
SHORTEST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.3


class Call(Struct):
    """A request as its caller saw it; `outcome` is complete, broken or, without a head, nothing.

    A request that is sent again under the same id is a call of its own.

    Attributes:
        id: Its id.
        kind: A key of `RATES`.
        kept: Whether it may go over a connection that has carried others.
        sent: When it was sent; all times are monotonic, in seconds.
        host: Host of the daemon.
        until: When its caller no longer waits.
        ended: When its answer or connection ended.
        status: Status of the answer.
        answered_id: Id that the answer repeats.
        outcome: How it ended.
        reason: Why it broke.
        opened: Whether its connection was open, so that its daemon may have read it.
        idle_s: Time for which the connection that it was to use had been idle, in seconds.
    """

    id: str
    kind: str
    kept: bool
    sent: float
    host: str
    until: float = 0.0
    ended: float = 0.0
    status: int = 0
    answered_id: str = ""
    outcome: str = "nothing"
    reason: str = ""
    opened: bool = True
    idle_s: float = 0.0

    @property
    def used_share(self) -> float:
        """Share of its time that it had used as it ended."""
        return (self.ended - self.sent) / (self.until - self.sent)


class Callers:
    """Sends requests to the daemons of a fleet.

    Attributes:
        calls: Requests so far, in the order in which they were sent.
        factor: Factor of the rates of `RATES`.
    """

    def __init__(self, hosts: list[str], port: int, seed: int, plan: FleetPlan) -> None:
        self.calls: list[Call] = []
        self.factor = 1.0
        self._hosts = hosts
        self._port = port
        self._seed = seed
        self._plan = plan
        # Of its own, so that the load doesn't change what is done to the fleet.
        self._rng = Random(seed)
        self._requests = 0
        self._client = HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()

    async def load(self, for_s: float) -> None:
        """Send requests at the rates of `RATES`, and wait until all have ended."""
        ends = monotonic() + for_s
        await self.load_until(lambda: monotonic() >= ends)

    async def load_until(self, is_over: Callable[[], bool]) -> None:
        """Send requests until a condition holds, and wait until all have ended."""
        await asyncio.gather(*(self._send_kind(kind, is_over) for kind in RATES))
        while self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _send_kind(self, kind: str, is_over: Callable[[], bool]) -> None:
        while not is_over():
            kept = self._rng.random() < KEPT_SHARE
            host = self._rng.choice(self._hosts)
            request_id = f"{self._requests:016x}"
            self._requests += 1
            task = asyncio.create_task(self._send(Call(request_id, kind, kept, monotonic(), host)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(RATES[kind] * self.factor))

    async def _send(self, call: Call) -> None:
        """Send a request, and some again under the same id while they are refused."""
        rng = Random(f"{self._seed} {call.id}")
        tries = MAX_TRIES if rng.random() < self._plan.again else 1
        deadline = call.sent + self._plan.deadline_s
        for left in reversed(range(tries)):
            await self._send_once(call, deadline)
            if call.status != 503 or not left:
                return
            await asyncio.sleep(rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
            if monotonic() >= deadline:
                return
            # To the same daemon on a new connection, as callers do that trust the answer.
            call = Call(call.id, call.kind, False, monotonic(), call.host)

    async def _send_once(self, call: Call, deadline: float) -> None:
        self.calls.append(call)
        left_s = deadline - call.sent
        call.until = deadline
        headers = {
            "host": HOST,
            "attempt-id": call.id,
            "deadline-ms": str(int(left_s * 1000)),
            "authorization": f"Bearer {API_KEY}",
        }
        if call.kind == "stream":
            headers |= {"model": "*", "token-counts": "1000,60"}
        method, body = ("GET", b"") if call.kind == "read" else ("POST", call.id.encode())
        sent = (Address(call.host, self._port), method, PATH_BY_KIND[call.kind], body, headers)
        if call.kept:
            call.idle_s = self._idle_s(sent[0])
        try:
            async with self._client.stream(*sent, left_s + 2, not call.kept) as reply:
                call.status, call.outcome = reply.status, "broken"
                call.answered_id = reply.header_by_name.get("attempt-id", "")
                await reply.whole(left_s + 2, 1_000_000)
                call.outcome = "complete"
        except HttpError as error:
            call.reason = repr(error)
            call.opened = not isinstance(error, ConnectError)
        finally:
            call.ended = monotonic()

    def _idle_s(self, address: Address) -> float:
        """Return how long the next connection to a daemon has been idle; 0 without one."""
        links = self._client._idle.at(address)
        return asyncio.get_running_loop().time() - links[-1].idle_since if links else 0.0
