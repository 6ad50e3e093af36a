"""Claims under random and fixed interleavings: a key runs at most once.

They interleave lost and delayed writes, unresponsive peers, killed daemons and retries.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyhatch.codes import Ran
from comfreyhatch.daemon.idempotency import claims as claims_module
from comfreyhatch.daemon.idempotency.claims import ClaimedCall, ClaimManager
from comfreyhatch.domain.claim import StoredAnswer
from comfreyhatch.errors import (
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    PeerTimeoutError,
    PlatformError,
)
from comfreyhatch.ports.peers import MemoryNetwork
from comfreyhatch.ports.table import MemoryTable, Operation, Row, WriteOutcome

DAEMONS = 3
MAX_STEPS = 45
KEYS = ("order-1", "order-1", "order-2")


class PendingOperation:
    """An operation of a daemon that waits for the test to choose its result.

    Attributes:
        daemon: Index of the daemon.
        fates: Functions that return the possible results, by name; the first is the usual one.
    """

    def __init__(self, daemon: int, fates: dict[str, Callable[[], Any]]) -> None:
        self.daemon = daemon
        self.fates = fates
        self.future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def end(self, fate: str) -> None:
        outcome = self.fates[fate]()
        if self.future.done():
            return
        if isinstance(outcome, Exception):
            self.future.set_exception(outcome)
        else:
            self.future.set_result(outcome)


class ClaimSimulation:
    """Daemons and a table whose operations end as and when the test chooses.

    Attributes:
        pending: Operations that have not ended.
        late: Writes that may still take effect.
        executions: Executions by key and digest.
        executed_keys: Executions by key.
        first_answer: Answer of the execution of each key.
        dead: Indexes of the killed daemons.
    """

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.pending: list[PendingOperation] = []
        self.late: list[Operation] = []
        self.executions: Counter[tuple[str, str]] = Counter()
        self.executed_keys: Counter[str] = Counter()
        self.first_answer: dict[str, bytes] = {}
        self.dead: set[int] = set()
        self.calls: list[asyncio.Task[None]] = []
        network = MemoryNetwork()
        self.claims = []
        for index in range(DAEMONS):
            bus = network.join(f"d{index}")
            link = SimulatedLink(self, index)
            link.forward = bus.request
            bus.request = link.request  # type: ignore[method-assign, assignment]
            self.claims.append(ClaimManager(link, bus, f"d{index}", f"d{index}~1"))

    async def wait_for_fate(self, daemon: int, fates: dict[str, Callable[[], Any]]) -> Any:
        operation = PendingOperation(daemon, fates)
        self.pending.append(operation)
        return await operation.future

    def delay_write(self, operation: Operation) -> WriteOutcome:
        self.late.append(operation)
        return WriteOutcome.UNKNOWN

    def write_unanswered(self, operation: Operation) -> WriteOutcome:
        self.table.commit_now([operation])
        return WriteOutcome.UNKNOWN

    def execute(self, key: str, digest: str) -> StoredAnswer:
        self.executions[key, digest] += 1
        self.executed_keys[key] += 1
        assert self.executed_keys[key] == 1, f"{key} ran twice"
        body = f"{key} {digest}".encode()
        self.first_answer[key] = body
        return StoredAnswer(200, "text/plain", body)

    def execute_and_cut(self, key: str, digest: str) -> BackendError:
        self.execute(key, digest)
        return BackendError("the answer was cut")

    async def call(self, daemon: int, key: str, digest: str, first: bool) -> None:
        """Make a call and check its answer, or that an error with `ran` NO is correct."""
        ran_before = self.executions[key, digest]
        dispatched: list[str] = []

        async def execute() -> StoredAnswer:
            fates: dict[str, Callable[[], Any]] = {
                "ok": lambda: self.execute(key, digest),
                "refused": lambda: BackendRefusedError("busy"),
                "broken": lambda: self.execute_and_cut(key, digest),
            }
            dispatched.append(key)
            answer: StoredAnswer = await self.wait_for_fate(daemon, fates)
            return answer

        try:
            call = ClaimedCall("trackline", key, digest, first)
            result = await self.claims[daemon].run(call, execute)
            assert result.answer.body == self.first_answer[key]
        except ComfreyhatchError as error:
            if error.ran is Ran.NO:
                assert ran_before == 0, f"{error.code!r} says not run, but it ran before"
            if error.ran is Ran.NO and dispatched:
                assert isinstance(error, BackendRefusedError)

    async def kill(self, daemon: int) -> None:
        self.dead.add(daemon)
        self.pending = [operation for operation in self.pending if operation.daemon != daemon]
        await self.claims[daemon].close()

    async def close(self) -> None:
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        for daemon in range(DAEMONS):
            await self.kill(daemon)


class SimulatedLink:
    """Access of one daemon to the table and the bus; the test chooses the results.

    Fates of a write: "ok"; "lost" takes effect with an unknown outcome; "late" has an unknown
    outcome and may take effect later; "down" fails. A read is "ok" or "down". A query to another
    daemon is delivered ("go") or "lost".
    """

    forward: Callable[..., Awaitable[Any]]

    def __init__(self, simulation: ClaimSimulation, daemon: int) -> None:
        self._simulation = simulation
        self._daemon = daemon

    async def read(self, key: str) -> Row | None:
        fates: dict[str, Callable[[], Any]] = {
            "ok": lambda: self._simulation.table.row_by_key.get(key),
            "down": lambda: PlatformError("down"),
        }
        row: Row | None = await self._simulation.wait_for_fate(self._daemon, fates)
        return row

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        operation = operations[0]
        fates: dict[str, Callable[[], Any]] = {
            "ok": lambda: self._simulation.table.commit_now(operations),
            "lost": lambda: self._simulation.write_unanswered(operation),
            "late": lambda: self._simulation.delay_write(operation),
            "down": lambda: PlatformError("down"),
        }
        outcome: WriteOutcome = await self._simulation.wait_for_fate(self._daemon, fates)
        return outcome

    async def request(self, instance: str, message: Any, reply: type, timeout_s: float) -> Any:
        fates: dict[str, Callable[[], Any]] = {"go": lambda: None, "lost": lambda: silence}
        silence = PeerTimeoutError("no reply")
        await self._simulation.wait_for_fate(self._daemon, fates)
        if int(instance[1:]) in self._simulation.dead:
            raise silence
        return await self.forward(instance, message, reply, timeout_s)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        raise NotImplementedError


async def quiesce() -> None:
    """Let all tasks run until they wait for the test."""
    for _ in range(10):
        await asyncio.sleep(0)


async def run_random_steps(data: st.DataObject) -> None:
    simulation = ClaimSimulation()
    try:
        await choose_steps(simulation, data)
    finally:
        await simulation.close()


async def choose_steps(simulation: ClaimSimulation, data: st.DataObject) -> None:
    """Start calls, end operations, apply delayed writes and kill daemons in random order."""
    called: set[str] = set()
    for _ in range(data.draw(st.integers(5, MAX_STEPS))):
        actions = (
            ["call"] * 2 + ["end"] * 6 * bool(simulation.pending) + ["late"] * bool(simulation.late)
        )
        actions += ["kill"] * (len(simulation.dead) < DAEMONS - 1)
        match data.draw(st.sampled_from(actions)):
            case "call":
                live = [d for d in range(DAEMONS) if d not in simulation.dead]
                daemon, key = data.draw(st.sampled_from(live)), data.draw(st.sampled_from(KEYS))
                digest = data.draw(st.sampled_from(["a", "a", "a", "b"]))
                first = key not in called and data.draw(st.booleans())
                called.add(key)
                simulation.calls.append(
                    asyncio.create_task(simulation.call(daemon, key, digest, first))
                )
            case "end":
                operation = simulation.pending.pop(
                    data.draw(st.integers(0, len(simulation.pending) - 1))
                )
                usual = next(iter(operation.fates))
                operation.end(data.draw(st.sampled_from([usual] * 3 + sorted(operation.fates))))
            case "late":
                late = simulation.late.pop(data.draw(st.integers(0, len(simulation.late) - 1)))
                simulation.table.commit_now([late])
            case "kill":
                live = [d for d in range(DAEMONS) if d not in simulation.dead]
                await simulation.kill(data.draw(st.sampled_from(live)))
        await quiesce()
        for task in simulation.calls:
            if task.done() and not task.cancelled():
                task.result()


@settings(max_examples=200)
@given(st.data())
def test_a_key_runs_at_most_once_and_no_error_wrongly_says_not_run(data: st.DataObject) -> None:
    min_delay_s, max_delay_s = claims_module.MIN_RETRY_DELAY_S, claims_module.MAX_RETRY_DELAY_S
    claims_module.MIN_RETRY_DELAY_S = claims_module.MAX_RETRY_DELAY_S = 0.0
    try:
        asyncio.run(run_random_steps(data))
    finally:
        claims_module.MIN_RETRY_DELAY_S, claims_module.MAX_RETRY_DELAY_S = min_delay_s, max_delay_s


# Each step starts a call on a daemon ("0 call") or ends the daemon's oldest pending operation with
# the named fate; "ok" is the usual one. Each schedule is an interleaving in which the call must run
# exactly once.
SCHEDULES = {
    "a holder that finds its claim written after a lost answer is not abandoned": (
        "0 call, 0 lost, 1 call, 1 ok, 1 ok, 1 ok, 0 ok, 0 ok, 1 ok, 1 ok"
    ),
    "a release does not overwrite the claim of another daemon": (
        "0 call, 0 late, 0 down, 1 call, 1 ok, 0 ok, 0 ok, 2 call, 2 ok, 2 ok, 2 ok, 2 ok, 1 ok"
    ),
    "only one of two daemons takes over an abandoned claim": (
        "0 call, 0 lost, 0 down, 1 call, 2 call, 1 ok, 2 ok, 1 ok, 2 ok, 1 ok, 2 ok, "
        "1 ok, 2 ok, 1 ok, 2 ok, 1 ok, 2 ok"
    ),
    "an abandoned claim is taken over after its holder reports it as abandoned": (
        "0 call, 0 lost, 0 down, 1 call, 1 ok, 1 ok, 1 ok, 1 ok, 1 ok, 0 ok, 0 ok"
    ),
}


@pytest.mark.parametrize("schedule", SCHEDULES.values(), ids=SCHEDULES)
async def test_schedule_runs_the_key_once(schedule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims_module, "MIN_RETRY_DELAY_S", 0.0)
    simulation = ClaimSimulation()
    for step in schedule.split(", "):
        daemon, what = int(step.split()[0]), step.split()[1]
        pending = [operation for operation in simulation.pending if operation.daemon == daemon]
        if what == "call":
            simulation.calls.append(
                asyncio.create_task(simulation.call(daemon, "order-1", "a", False))
            )
        elif pending:
            simulation.pending.remove(pending[0])
            pending[0].end(next(iter(pending[0].fates)) if what == "ok" else what)
        await quiesce()
    assert simulation.executed_keys["order-1"] == 1
    await simulation.close()
