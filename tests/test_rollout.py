"""Roll-outs: one driver at a time, orders under leases, every step resumed by a successor."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec import Struct
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.daemon.versions.rollout import RolloutDriver, RolloutStore
from comfreyhatch.decisions.rollout import (
    Lease,
    LeaseTimes,
    LeaseTracker,
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
SHORT = LeaseTimes(lease_s=4.0, guard_s=1.0, max_order_s=2.0)
KEY = "lease/coach"
NAMES = ("a", "b", "c")
NOWHERE = Address("127.0.0.1", 1)


class Driver:
    """A daemon that wants the lease; its clock runs a little wrong."""

    def __init__(self, name: str, rate: float) -> None:
        self.tracker = LeaseTracker(KEY, name, SHORT)
        self.rate = rate


class OrderSpan(Struct):
    fence: int
    start: float
    end: float


class LeaseMachine(RuleBasedStateMachine):
    """Drivers that pause at any moment, lose write answers and run on clocks that drift.

    At each tick some drivers renew and some order wherever they may; the others are paused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = MemoryTable()
        rates = zip(NAMES, (1.0, 0.95, 1.05), strict=True)
        self.driver_by_name = {name: Driver(name, rate) for name, rate in rates}
        self.unfenced: list[OrderSpan] = []

    def clock(self, driver: Driver) -> float:
        return self.now * driver.rate

    @rule(
        seconds=st.sampled_from([0.5, 1.0]),
        renewing=st.sets(st.sampled_from(NAMES)),
        ordering=st.sets(st.sampled_from(NAMES)),
        lost=st.booleans(),
    )
    def tick(self, seconds: float, renewing: set[str], ordering: set[str], lost: bool) -> None:
        self.now += seconds
        for name in sorted(renewing):
            self.renew(self.driver_by_name[name], lost)
        for name in sorted(ordering):
            self.order(self.driver_by_name[name])

    @rule(name=st.sampled_from(NAMES), delay=st.sampled_from([1.0, 2.0]))
    def renew_slowly(self, name: str, delay: float) -> None:
        self.renew(self.driver_by_name[name], False, delay)

    def renew(self, driver: Driver, answer_lost: bool, delay: float = 0.0) -> None:
        tracker = driver.tracker
        row = self.table.row_by_key.get(KEY)
        tracker.observe(row, decode(row.value, type=Lease) if row else None, self.clock(driver))
        sent_at = self.clock(driver)
        if not tracker.should_write(sent_at):
            return
        wanted = tracker.next_lease(sent_at)
        outcome = self.table.commit_now([tracker.operation(encode(wanted))])
        self.now += delay
        if outcome is WriteOutcome.DONE and not answer_lost:
            tracker.record_write(wanted, sent_at, self.table.row_by_key[KEY].revision)

    def order(self, driver: Driver) -> None:
        if driver.tracker.may_order(checks_fencing=False, now=self.clock(driver)):
            end = self.now + SHORT.max_order_s
            self.unfenced.append(OrderSpan(driver.tracker.fence, self.now, end))

    @invariant()
    def no_two_drivers_order_an_endpoint_that_ignores_fencing(self) -> None:
        """Orders of the next driver begin a guard time after the last of the one before."""
        for one, other in zip(self.unfenced, self.unfenced[1:], strict=False):
            assert one.fence <= other.fence
            if one.fence < other.fence:
                assert other.start >= one.end + SHORT.guard_s

    def teardown(self) -> None:
        """Once nobody pauses, some driver may order both kinds of endpoints."""
        for _ in range(20):
            self.tick(0.5, set(NAMES), set(), False)
        drivers = self.driver_by_name.values()
        assert sum(d.tracker.may_order(False, self.clock(d)) for d in drivers) == 1


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=200, stateful_step_count=50)


@given(st.floats(0.95, 1.05), st.floats(0.95, 1.05), st.floats(0, 2), st.floats(0, 1))
def test_successor_orders_a_guard_time_after_the_last_order_of_the_holder_has_ended(
    holder_rate: float, successor_rate: float, write_s: float, effect: float
) -> None:
    """The holder orders as late, and the successor as early, as each may."""
    table, now, last, first = MemoryTable(), 0.0, 0.0, 0.0
    holder, successor = (
        Driver(name, rate) for name, rate in (("a", holder_rate), ("b", successor_rate))
    )
    holder.tracker.observe(None, None, 0.0)
    lease = holder.tracker.next_lease(0.0)
    while not first:
        now += 0.05
        if table.row_by_key.get(KEY) is None and now >= effect * write_s:
            table.commit_now([holder.tracker.operation(encode(lease))])
        if holder.tracker.lease is None and now >= write_s and table.row_by_key:
            holder.tracker.record_write(lease, 0.0, 1)
        if holder.tracker.may_order(checks_fencing=False, now=now * holder_rate):
            last = now
        row = table.row_by_key.get(KEY)
        if row is None:
            continue
        tracker, clock = successor.tracker, now * successor_rate
        tracker.observe(row, decode(row.value, type=Lease), clock)
        if tracker.should_write(clock):
            wanted = tracker.next_lease(clock)
            assert table.commit_now([tracker.operation(encode(wanted))]) is WriteOutcome.DONE
            tracker.record_write(wanted, clock, table.row_by_key[KEY].revision)
        if tracker.may_order(checks_fencing=False, now=clock):
            first = now
    assert last > 0 and first >= last + SHORT.max_order_s + SHORT.guard_s


class FaultyTable(MemoryTable):
    """Counts commits; ends the process before or after one, or loses its answer."""

    def __init__(self) -> None:
        super().__init__()
        self.commits = 0
        self.lost: set[int] = set()

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        self.commits += 1
        outcome = self.commit_now(operations)
        return WriteOutcome.UNKNOWN if self.commits in self.lost else outcome


class FakeEngine:
    def __init__(self) -> None:
        self.orders: list[tuple[str, Order]] = []
        self.fail_after: int | None = None

    async def order(self, endpoint: Instance, order: Order) -> None:
        self.orders.append((endpoint.instance_id, order))
        if self.fail_after is not None and len(self.orders) > self.fail_after:
            raise BackendError("the answer was lost")


class FakeWeights:
    def __init__(self) -> None:
        self.grants = 100

    async def acquire(self, version_id: str) -> bool:
        self.grants -= 1
        return self.grants >= 0


class Fleet:
    """Drivers over one table, with a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self.table = FaultyTable()
        self.engine = FakeEngine()
        self.weights = FakeWeights()
        self.edits: list[tuple[Change, str]] = []
        self.grows = True
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
            may_grow=lambda version_id: self.grows,
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


def order_names(fleet: Fleet) -> list[tuple[str, str]]:
    """Orders without their repetitions, in order."""
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
    assert len(order_names(fleet)) == 4
    fences = [order.fence for _, order in fleet.engine.orders]
    assert fences == sorted(fences)
    first_had_it = step > 0 or stopped != "before"
    assert (await fleet.rollout()).fence == 1 + first_had_it


async def stop_during_step(fleet: Fleet, driver: RolloutDriver, stopped: str) -> None:
    """Drive until the step is recorded as ordered, or carried out as well, and no further."""
    carry_out, done = driver._execute, asyncio.Event()

    async def do(*arguments: object) -> bool:
        if stopped == "carried out":
            assert await carry_out(*arguments)  # type: ignore[arg-type]
            done.set()
        return False

    driver._execute = do  # type: ignore[method-assign]
    for _ in range(8):
        await fleet.drive(driver)
    assert done.is_set() == (stopped == "carried out")


@pytest.mark.parametrize("commit", range(1, 16))
async def test_lost_answer_of_any_write_is_read_back(fleet: Fleet, commit: int) -> None:
    fleet.table.lost = {fleet.table.commits + commit}
    await fleet.drive(fleet.driver("a"), ticks=60)
    assert (await fleet.rollout()).state == "finished"
    assert [change for change, _ in fleet.edits] == EDITS


async def test_only_the_holder_acts_while_its_lease_is_renewed(fleet: Fleet) -> None:
    await fleet.drive(fleet.driver("a"), fleet.driver("b"), ticks=40)
    assert {order.fence for _, order in fleet.engine.orders} == {1}
    assert [change for change, _ in fleet.edits] == EDITS


async def test_unreadable_row_holds_no_other_rollout_up(fleet: Fleet) -> None:
    fleet.table.row_by_key["rollout/aaa"] = Row("rollout/aaa", b"not a roll-out", 1)
    await fleet.drive(fleet.driver("a"), ticks=40)
    assert (await fleet.rollout()).state == "finished"


async def test_rate_of_the_weight_store_is_respected(fleet: Fleet) -> None:
    fleet.weights.grants = 1
    await fleet.drive(fleet.driver("a"), ticks=5)
    assert [endpoint for endpoint, _ in fleet.engine.orders] == ["e1"]


async def test_share_does_not_grow_without_evidence_or_before_it_has_settled(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    await fleet.drive(driver, ticks=4, seconds=0.5)
    assert [change for change, _ in fleet.edits] == EDITS[:1]
    fleet.grows = False
    await fleet.drive(driver, ticks=10)
    assert [change for change, _ in fleet.edits] == EDITS[:1]
    fleet.grows = True
    await fleet.drive(driver)
    assert [change for change, _ in fleet.edits] == EDITS[:2]


async def test_halted_rollout_waits_and_goes_on(fleet: Fleet) -> None:
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


async def test_order_with_an_old_fencing_number_is_given_up(fleet: Fleet) -> None:
    async def stale(endpoint: Instance, order: Order) -> None:
        raise StaleFenceError("old")

    fleet.engine.order = stale  # type: ignore[method-assign]
    await fleet.drive(fleet.driver("a"), ticks=5)
    assert (await fleet.rollout()).step == 0


async def test_endpoint_that_left_the_list_is_passed_over(fleet: Fleet) -> None:
    del fleet.endpoint_by_id["e1"]
    await fleet.drive(fleet.driver("a"), ticks=40)
    assert {endpoint for endpoint, _ in fleet.engine.orders} == {"e2"}
    assert (await fleet.rollout()).state == "finished"


async def test_outage_of_the_table_stops_orders_until_it_ends(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    read = fleet.table.scan

    async def down(*_: object, **__: object) -> list[object]:
        raise PlatformError("down")

    fleet.table.scan = down  # type: ignore[method-assign,assignment]
    await fleet.drive(driver, ticks=3)
    assert fleet.engine.orders == []
    fleet.table.scan = read  # type: ignore[method-assign]
    await fleet.drive(driver, ticks=40)
    assert (await fleet.rollout()).state == "finished"


async def test_paused_holder_and_successor_never_both_order_a_real_engine() -> None:
    """The engine's own record is the witness; it ignores fencing numbers."""
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


def test_steps_end_with_the_replaced_version() -> None:
    kinds = [step.kind for step in rollout_steps(PLAN)]
    assert kinds[-3:] == [StepKind.DRAIN, StepKind.UNLOAD, StepKind.UNLOAD]
    assert next_step(replace(PLAN, step=len(kinds))) is None


async def test_concurrent_steps_do_not_start_twice(fleet: Fleet) -> None:
    driver = fleet.driver("a")
    gate = asyncio.Event()
    given: list[str] = []

    async def slow(endpoint: Instance, order: Order) -> None:
        given.append(order.order_id)
        await gate.wait()

    fleet.engine.order = slow  # type: ignore[method-assign]
    for _ in range(3):
        await driver.tick()
        await asyncio.sleep(0)
    gate.set()
    await driver.wait_for_step("coach")
    assert len(given) == 1
