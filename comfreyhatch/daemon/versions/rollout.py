"""The driver of roll-outs: one holder a model, each step recorded before it is ordered."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from time import monotonic

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from comfreyhatch.decisions.rollout import (
    Lease,
    LeaseTimes,
    LeaseTracker,
    Rollout,
    Step,
    StepKind,
    change_for_step,
    next_step,
    step_id,
    with_step_done,
    with_step_ordered,
)
from comfreyhatch.domain.change import Change
from comfreyhatch.domain.instance import Instance
from comfreyhatch.errors import (
    ComfreyhatchError,
    ConflictError,
    PlatformError,
    StaleFenceError,
)
from comfreyhatch.ports.engine import Engine, Order, OrderKind
from comfreyhatch.ports.platform import WeightStore
from comfreyhatch.ports.table import Insert, Operation, Require, Row, Table, Update, WriteOutcome

ROLLOUT_PREFIX = "rollout/"
LEASE_PREFIX = "lease/"
TICK_S = 1.0

Editor = Callable[[Change, str], Awaitable[None]]

log = logging.getLogger("comfreyhatch.rollout")


class _Driven(Struct):
    """A roll-out as this daemon knows it."""

    rollout: Rollout
    revision: int
    changed_at: float


class RolloutStore:
    """Reads and writes the rows of roll-outs; used by operators and by the driver."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def start(self, rollout: Rollout) -> None:
        """Begin a roll-out.

        Raises:
            ConflictError: If one of the model is under way.
            PlatformError: If it is not certain that it was written.
        """
        row = await self._table.read(ROLLOUT_PREFIX + rollout.model)
        known = decode(row.value, type=Rollout) if row else None
        if known is not None and known.state != "finished":
            raise ConflictError(f"a roll-out of {known.version_id} is under way")
        await self._write(row, rollout)

    async def set_halted(self, model: str, halted: bool) -> Rollout:
        """Halt a roll-out after its current step, or let it go on.

        Raises:
            ConflictError: If there is none, it is finished, or it was changed meanwhile.
            PlatformError: If it is not certain that it was written.
        """
        row = await self._table.read(ROLLOUT_PREFIX + model)
        known = decode(row.value, type=Rollout) if row else None
        if known is None or known.state == "finished":
            raise ConflictError(f"no roll-out of {model} is under way")
        changed = replace_state(known, halted)
        await self._write(row, changed)
        return changed

    async def all(self) -> list[tuple[Rollout, Row]]:
        """Return all roll-outs with their rows; a row that cannot be read is passed over."""
        rows = await self._table.scan(ROLLOUT_PREFIX)
        found = [(_decoded(row), row) for row in rows]
        return [(rollout, row) for rollout, row in found if rollout is not None]

    async def _write(self, row: Row | None, rollout: Rollout) -> None:
        key, value = ROLLOUT_PREFIX + rollout.model, encode(rollout)
        write: Operation = Update(key, value, row.revision) if row else Insert(key, value)
        outcome = await self._table.commit([write])
        if outcome is WriteOutcome.REFUSED:
            raise ConflictError(f"the roll-out of {rollout.model} was changed meanwhile")
        if outcome is WriteOutcome.UNKNOWN:
            read = await self._table.read(key)
            if read is None or read.value != value:
                raise PlatformError("the roll-out was not written")


class RolloutDriver:
    """Drives the roll-outs whose leases this daemon holds."""

    def __init__(
        self,
        holder: str,
        table: Table,
        weights: WeightStore,
        engine: Engine,
        endpoints: Callable[[], dict[str, Instance]],
        edit: Editor,
        may_grow: Callable[[str], bool] = lambda version_id: True,
        is_candidate: Callable[[], bool] = lambda: True,
        times: LeaseTimes | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the driver.

        Args:
            holder: Incarnation of this daemon.
            table: The platform's table.
            weights: Weight store, asked before each load.
            engine: Client of model engines.
            endpoints: Endpoints of the instance list, by id.
            edit: Makes a change of configuration under an edit id; idempotent.
            may_grow: Whether the evidence lets a version's share grow.
            is_candidate: Whether this daemon should drive roll-outs; keeps reads few.
            times: Times of leases.
            clock: Monotonic seconds.
        """
        self.times = times or LeaseTimes()
        self._holder = holder
        self._table = table
        self._weights = weights
        self._engine = engine
        self._endpoints = endpoints
        self._edit = edit
        self._may_grow = may_grow
        self._is_candidate = is_candidate
        self._clock = clock
        self._tracker_by_model: dict[str, LeaseTracker] = {}
        self._driven_by_model: dict[str, _Driven] = {}
        self._task_by_model: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Drive roll-outs until cancelled."""
        try:
            while True:
                await self._tick_safely()
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._task_by_model.values():
                task.cancel()

    async def _tick_safely(self) -> None:
        try:
            await self.tick()
        except Exception:
            log.exception("event=rollouts_tick_failed")

    async def tick(self) -> None:
        """Read the roll-outs, keep the leases, and begin the steps that are due."""
        if not self._is_candidate():
            return
        try:
            for rollout, row in await RolloutStore(self._table).all():
                await self._keep(rollout, row)
        except PlatformError as error:
            log.info("event=rollouts_unread reason=%r", str(error))

    def is_driving(self, model: str) -> bool:
        """Return whether this daemon holds the lease of a model's roll-out."""
        tracker = self._tracker_by_model.get(model)
        return tracker is not None and tracker.holds(self._clock())

    async def wait_for_step(self, model: str) -> None:
        """Wait until the step that is being carried out has ended."""
        task = self._task_by_model.get(model)
        if task:
            await asyncio.gather(task, return_exceptions=True)

    async def _keep(self, rollout: Rollout, row: Row) -> None:
        model, now = rollout.model, self._clock()
        driven = self._driven_by_model.get(model)
        if driven is None or driven.revision != row.revision:
            self._driven_by_model[model] = _Driven(rollout, row.revision, now)
        if next_step(rollout) is None:
            return
        tracker = self._tracker_by_model.setdefault(
            model, LeaseTracker(LEASE_PREFIX + model, self._holder, self.times)
        )
        if not tracker.holds(now) or tracker.should_write(now):
            await self._renew(tracker)
        running = self._task_by_model.get(model)
        if tracker.holds(self._clock()) and (running is None or running.done()):
            self._task_by_model[model] = asyncio.create_task(self._carry_out(tracker, model))

    async def _renew(self, tracker: LeaseTracker) -> None:
        """Renew a lease that is held, or take over one that has lapsed."""
        row = await self._table.read(tracker.key)
        tracker.observe(row, decode(row.value, type=Lease) if row else None, self._clock())
        sent_at = self._clock()
        if not tracker.should_write(sent_at):
            return
        lease = tracker.next_lease(sent_at)
        value, expected = encode(lease), tracker.row_revision + 1
        outcome = await self._table.commit([tracker.operation(value)])
        if outcome is WriteOutcome.UNKNOWN:
            row = await self._table.read(tracker.key)
            if row is None or row.value != value or row.revision != expected:
                return
        if outcome is WriteOutcome.REFUSED:
            return
        if lease.fence != tracker.fence:
            log.info("event=lease_taken key=%s fence=%d", tracker.key, lease.fence)
        tracker.record_write(lease, sent_at, expected)

    async def _carry_out(self, tracker: LeaseTracker, model: str) -> None:
        """Carry out the current step of a roll-out: record, order, record."""
        driven = self._driven_by_model[model]
        rollout = driven.rollout
        step = next_step(rollout)
        if step is None or not await self._is_due(driven, step):
            return
        try:
            if not rollout.ordered or rollout.fence != tracker.fence:
                ordered = with_step_ordered(rollout, tracker.fence)
                if not await self._record(tracker, driven, ordered):
                    return
            if await self._do(tracker, driven.rollout, step):
                await self._record(tracker, driven, with_step_done(driven.rollout, tracker.fence))
        except ComfreyhatchError as error:
            log.warning(
                "event=step_failed model=%s step=%s reason=%r; trying again",
                model,
                step_id(rollout),
                str(error),
            )

    async def _is_due(self, driven: _Driven, step: Step) -> bool:
        rollout = driven.rollout
        if step.kind is not StepKind.SHARE:
            return True
        first = rollout.step == len(rollout.endpoints)
        if first or rollout.ordered:
            return True
        settled = self._clock() >= driven.changed_at + rollout.settle_s
        return settled and self._may_grow(rollout.version_id)

    async def _record(self, tracker: LeaseTracker, driven: _Driven, rollout: Rollout) -> bool:
        """Write the row while the lease is held; return whether it was written."""
        key, value = ROLLOUT_PREFIX + rollout.model, encode(rollout)
        if not tracker.holds(self._clock()):
            return False
        outcome = await self._table.commit(
            [Update(key, value, driven.revision), Require(tracker.key, tracker.row_revision)]
        )
        if outcome is WriteOutcome.UNKNOWN:
            row = await self._table.read(key)
            written = row is not None and row.value == value
        else:
            written = outcome is WriteOutcome.DONE
        if written:
            driven.rollout = rollout
            driven.revision += 1
            driven.changed_at = self._clock()
        return written

    async def _do(self, tracker: LeaseTracker, rollout: Rollout, step: Step) -> bool:
        """Carry out a step; return whether it is done."""
        change = change_for_step(rollout, step)
        if change is not None:
            await self._edit(change, step_id(rollout))
            return True
        endpoint = self._endpoints().get(step.argument)
        if endpoint is None:
            log.warning("event=step_skipped step=%s reason='not listed'", step_id(rollout))
            return True
        if step.kind is StepKind.LOAD and not await self._weights.acquire(rollout.version_id):
            return False
        return await self._order(tracker, rollout, step, endpoint)

    async def _order(
        self, tracker: LeaseTracker, rollout: Rollout, step: Step, endpoint: Instance
    ) -> bool:
        load = step.kind is StepKind.LOAD
        kind = OrderKind.LOAD_VERSION if load else OrderKind.UNLOAD_VERSION
        version_id = rollout.version_id if load else rollout.replaces
        order = Order(f"{step_id(rollout)}/{endpoint.instance_id}", kind, version_id, tracker.fence)
        if not tracker.may_order(endpoint.checks_fencing, self._clock()):
            return False
        try:
            async with asyncio.timeout(self.times.max_order_s):
                await self._engine.order(endpoint, order)
        except StaleFenceError:
            log.warning(
                "event=order_stale endpoint=%s fence=%d", endpoint.instance_id, tracker.fence
            )
            return False
        except TimeoutError:
            return False
        log.info(
            "event=order_done endpoint=%s order=%s fence=%d",
            endpoint.instance_id,
            order.order_id,
            tracker.fence,
        )
        return True


def _decoded(row: Row) -> Rollout | None:
    try:
        return decode(row.value, type=Rollout)
    except (DecodeError, ValidationError) as error:
        log.error("event=rollout_unreadable key=%s reason=%r", row.key, str(error))
        return None


def replace_state(rollout: Rollout, halted: bool) -> Rollout:
    """Return a roll-out halted or going on."""
    return replace(rollout, state="halted" if halted else "running")
