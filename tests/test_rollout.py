"""Roll-outs: one driver at a time, orders only under a lease, steps resumed by a successor."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.daemon.versions.rollout import RolloutDriver, RolloutStore
from comfreyhatch.decisions.rollout import (
    LeaseTimes,
    Rollout,
    StepKind,
    next_step,
    rollout_steps,
)
from comfreyhatch.domain.change import Change, DrainVersion, SetShare
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import BackendError, ConflictError, PlatformError, StaleFenceError
from comfreyhatch.ports.engine import Order
from comfreyhatch.ports.table import MemoryTable, Operation, Row, WriteOutcome
from comfreyhatch.standins.engine import EngineStandin

TIMES = LeaseTimes(lease_s=10.0, guard_s=2.0, max_order_s=30.0)
NOWHERE = Address("127.0.0.1", 1)


class FaultyTable(MemoryTable):
    """Counts commits and loses the answers of selected ones."""

    def __init__(self) -> None:
        super().__init__()
        self.commits = 0
        self.unanswered: set[int] = set()

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        self.commits += 1
        outcome = self.commit_now(operations)
        return WriteOutcome.UNKNOWN if self.commits in self.unanswered else outcome


class FakeEngine:
    """Records orders; fails after a number of them."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, Order]] = []
        self.fail_after: int | None = None

    async def order(self, endpoint: Instance, order: Order) -> None:
        self.orders.append((endpoint.instance_id, order))
        if self.fail_after is not None and len(self.orders) > self.fail_after:
            raise BackendError("the answer was lost")


class FakeWeights:
    """A weight store that grants a limited number of loads."""

    def __init__(self) -> None:
        self.grants = 100

    async def acquire(self, version_id: str) -> bool:
        self.grants -= 1
        return self.grants >= 0


class Fleet:
    """Drivers on one table, with a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 0.0
        self.table = FaultyTable()
        self.engine = FakeEngine()
        self.weights = FakeWeights()
        self.edits: list[tuple[Change, str]] = []
        self.may_grow = True
        self.endpoint_by_id = {
            name: Instance(name, Role.ENGINE, "a", NOWHERE, checks_fencing=name != "e2")
            for name in ("e1", "e2")
        }

    def driver(self, name: str) -> RolloutDriver:
        return RolloutDriver(
            name,
            self.table,
            self.weights,
            self.engine,  # type: ignore[arg-type]
            lambda: self.endpoint_by_id,
            self.edit,
            may_grow=lambda version_id: self.may_grow,
            times=TIMES,
            clock=lambda: self.now,
        )

    async def edit(self, change: Change, edit_id: str) -> None:
        self.edits.append((change, edit_id))

    async def rollout(self) -> Rollout:
        ((rollout, _),) = await RolloutStore(self.table).all()
        return rollout

    async def drive(self, *drivers: RolloutDriver, ticks: int = 1, seconds: float = 2.0) -> None:
        for _ in range(ticks):
            for driver in drivers:
                await driver.tick()
                await driver.wait_for_step("coach")
            self.now += seconds


PLAN = Rollout(
    "coach", "coach@2", "coach@1", ("e1", "e2"), shares=(10, 100), settle_s=6.0, unload=True
)
EDITS = [SetShare("coach@2", 10), SetShare("coach@2", 100), DrainVersion("coach@1")]


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    await RolloutStore(fleet.table).start(PLAN)
    yield fleet


def distinct_orders(fleet: Fleet) -> list[tuple[str, str]]:
    """Return endpoint and id of each order without repetitions, in order of the first sending."""
    named = [(endpoint, order.order_id) for endpoint, order in fleet.engine.orders]
    return list(dict.fromkeys(named))


async def test_rollout_runs_all_steps_in_order(fleet: Fleet) -> None:
    await fleet.drive(fleet.driver("a"), ticks=40)
    assert (await fleet.rollout()).state == "finished"
    assert [change for change, _ in fleet.edits] == EDITS
    kinds = [order.kind.value for _, order in fleet.engine.orders]
    assert kinds == ["load-version"] * 2 + ["unload-version"] * 2
    assert len({order.order_id for _, order in fleet.engine.orders}) == 4


@pytest.mark.parametrize("step", range(len(rollout_steps(PLAN))))
@pytest.mark.parametrize("stopped", ["before", "ordered", "carried out"])
async def test_rollout_stopped_at_any_step_is_resumed(
    fleet: Fleet, step: int, stopped: str
) -> None:
    first, second = fleet.driver("a"), fleet.driver("b")
    for _ in range(60):
        rollout = await fleet.rollout()
        if rollout.step == step:
            break
        await fleet.drive(first)
    if stopped != "before":
        await stop_during_step(fleet, first, stopped)
    rollout = await fleet.rollout()
    assert (rollout.step, rollout.ordered) == (step, stopped != "before")
    await fleet.drive(second, ticks=80)
    assert (await fleet.rollout()).state == "finished"
    assert list(dict.fromkeys(change for change, _ in fleet.edits)) == EDITS
    assert len(distinct_orders(fleet)) == 4
    fences = [order.fence for _, order in fleet.engine.orders]
    assert fences == sorted(fences)
    first_held_the_lease = step > 0 or stopped != "before"
    assert (await fleet.rollout()).fence == 1 + first_held_the_lease


async def stop_during_step(fleet: Fleet, driver: RolloutDriver, stopped: str) -> None:
    """Drive until the step is recorded as ordered or also carried out, but never as done."""
    execute, done = driver._execute, asyncio.Event()

    async def do(*arguments: object) -> bool:
        if stopped == "carried out":
            assert await execute(*arguments)  # type: ignore[arg-type]
            done.set()
        return False

    driver._execute = do  # type: ignore[method-assign]
    for _ in range(8):
        await fleet.drive(driver)
    assert done.is_set() == (stopped == "carried out")


@pytest.mark.parametrize("commit", range(1, 16))
async def test_write_without_an_answer_is_read_back(fleet: Fleet, commit: int) -> None:
    fleet.table.unanswered = {fleet.table.commits + commit}
    await fleet.drive(fleet.driver("a"), ticks=60)
    assert (await fleet.rollout()).state == "finished"
    assert [change for change, _ in fleet.edits] == EDITS


async def test_only_the_holder_sends_orders_while_its_lease_is_renewed(fleet: Fleet) -> None:
    await fleet.drive(fleet.driver("a"), fleet.driver("b"), ticks=40)
    assert {order.fence for _, order in fleet.engine.orders} == {1}
    assert [change for change, _ in fleet.edits] == EDITS


async def test_unreadable_row_does_not_block_other_rollouts(fleet: Fleet) -> None:
    fleet.table.row_by_key["rollout/aaa"] = Row("rollout/aaa", b"not a roll-out", 1)
    await fleet.drive(fleet.driver("a"), ticks=40)
    assert (await fleet.rollout()).state == "finished"


async def test_load_waits_for_a_grant_of_the_weight_store(fleet: Fleet) -> None:
    fleet.weights.grants = 1
    await fleet.drive(fleet.driver("a"), ticks=5)
    assert [endpoint for endpoint, _ in fleet.engine.orders] == ["e1"]


async def test_share_does_not_grow_without_evidence_or_before_it_has_settled(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    await fleet.drive(driver, ticks=4, seconds=0.5)
    assert [change for change, _ in fleet.edits] == EDITS[:1]
    fleet.may_grow = False
    await fleet.drive(driver, ticks=10)
    assert [change for change, _ in fleet.edits] == EDITS[:1]
    fleet.may_grow = True
    await fleet.drive(driver)
    assert [change for change, _ in fleet.edits] == EDITS[:2]


async def test_halted_rollout_waits_until_it_is_resumed(fleet: Fleet) -> None:
    store, driver = RolloutStore(fleet.table), fleet.driver("a")
    await store.set_halted("coach", halted=True)
    await fleet.drive(driver, ticks=5)
    assert fleet.engine.orders == []
    with pytest.raises(ConflictError):
        await store.start(PLAN)
    await store.set_halted("coach", halted=False)
    await fleet.drive(driver, ticks=40)
    assert (await fleet.rollout()).state == "finished"
    with pytest.raises(ConflictError):
        await store.set_halted("coach", halted=True)


async def test_order_refused_for_its_fencing_number_does_not_complete_the_step(
    fleet: Fleet,
) -> None:
    async def stale(endpoint: Instance, order: Order) -> None:
        raise StaleFenceError("old")

    fleet.engine.order = stale  # type: ignore[method-assign]
    await fleet.drive(fleet.driver("a"), ticks=5)
    assert (await fleet.rollout()).step == 0


async def test_endpoint_that_is_no_longer_listed_is_skipped(fleet: Fleet) -> None:
    del fleet.endpoint_by_id["e1"]
    await fleet.drive(fleet.driver("a"), ticks=40)
    assert {endpoint for endpoint, _ in fleet.engine.orders} == {"e2"}
    assert (await fleet.rollout()).state == "finished"


async def test_no_orders_are_sent_during_an_outage_of_the_table(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    scan = fleet.table.scan

    async def down(*_: object, **__: object) -> list[object]:
        raise PlatformError("down")

    fleet.table.scan = down  # type: ignore[method-assign,assignment]
    await fleet.drive(driver, ticks=3)
    assert fleet.engine.orders == []
    fleet.table.scan = scan  # type: ignore[method-assign]
    await fleet.drive(driver, ticks=40)
    assert (await fleet.rollout()).state == "finished"


async def test_paused_holder_and_successor_never_both_order_a_real_engine() -> None:
    """An engine that ignores fencing numbers records the orders that it gets."""
    fleet = Fleet()
    instance = Instance("e2", Role.ENGINE, "a", Address("127.0.0.1", 0), checks_fencing=False)
    standin = EngineStandin(instance, ("coach@1",))
    await standin.start()
    client = HttpClient()
    fleet.endpoint_by_id = {"e2": standin.instance}
    fleet.engine = HttpEngine(client)  # type: ignore[assignment]
    await RolloutStore(fleet.table).start(replace(PLAN, endpoints=("e2",), unload=False))
    holder, successor = fleet.driver("a"), fleet.driver("b")
    fleet.weights.grants = 0
    await fleet.drive(holder, successor)
    assert standin.witness.orders == []
    paused_at = fleet.now
    fleet.weights.grants = 100
    await fleet.drive(successor, ticks=10, seconds=4.0)
    assert fleet.now < paused_at + TIMES.unfenced_wait_s and standin.witness.orders == []
    await fleet.drive(successor, ticks=4, seconds=4.0)
    assert [event.order.fence for event in standin.witness.orders] == [2]
    await fleet.drive(holder, ticks=5, seconds=0.1)
    assert [event.order.fence for event in standin.witness.orders] == [2]
    await standin.stop()
    client.close()


def test_last_steps_drain_and_unload_the_replaced_version() -> None:
    kinds = [step.kind for step in rollout_steps(PLAN)]
    assert kinds[-3:] == [StepKind.DRAIN, StepKind.UNLOAD, StepKind.UNLOAD]
    assert next_step(replace(PLAN, step=len(kinds))) is None


async def test_running_step_is_not_started_again(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    order_may_end = asyncio.Event()
    order_ids: list[str] = []

    async def slow(endpoint: Instance, order: Order) -> None:
        order_ids.append(order.order_id)
        await order_may_end.wait()

    fleet.engine.order = slow  # type: ignore[method-assign]
    for _ in range(3):
        await driver.tick()
        await asyncio.sleep(0)
    order_may_end.set()
    await driver.wait_for_step("coach")
    assert len(order_ids) == 1
