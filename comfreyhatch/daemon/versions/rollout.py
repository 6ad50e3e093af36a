"""Drives roll-outs: one daemon per model holds a lease and carries out the steps.

A roll-out is a row of the platform's table. Each step is recorded in the row before its order is
sent, and again when it is done. Orders carry the fencing number of the lease; a successor under a
higher number resumes the roll-out from the row.
"""

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
TICK_INTERVAL_S = 1.0

EditFunction = Callable[[Change, str], Awaitable[None]]

log = logging.getLogger("comfreyhatch.rollout")


class _KnownRollout(Struct):
    """A roll-out as last read or written by this daemon.

    Attributes:
        rollout: Content of the row.
        revision: Revision of the row.
        changed_at: When this daemon first read or wrote that revision, in monotonic seconds.
    """

    rollout: Rollout
    revision: int
    changed_at: float


class RolloutStore:
    """Reads and writes the rows of roll-outs, for operators and for the driver."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def start(self, rollout: Rollout) -> None:
        """Store a new roll-out.

        Raises:
            ConflictError: If a roll-out of the model is not finished, or the row was changed
                meanwhile.
            PlatformError: If the table is unavailable, or a write without an answer is not found
                in the table afterwards.
        """
        row = await self._table.read(ROLLOUT_PREFIX + rollout.model)
        known = decode(row.value, type=Rollout) if row else None
        if known is not None and known.state != "finished":
            raise ConflictError(f"a roll-out of {known.version_id} is under way")
        await self._write(row, rollout)

    async def set_halted(self, model: str, halted: bool) -> Rollout:
        """Halt a roll-out after its current step, or resume it.

        Args:
            model: Model that is rolled out.
            halted: Whether to halt; otherwise the roll-out is resumed.

        Returns:
            The roll-out as written.

        Raises:
            ConflictError: If there is no unfinished roll-out, or it was changed meanwhile.
            PlatformError: If the table is unavailable, or a write without an answer is not found
                in the table afterwards.
        """
        row = await self._table.read(ROLLOUT_PREFIX + model)
        known = decode(row.value, type=Rollout) if row else None
        if known is None or known.state == "finished":
            raise ConflictError(f"no roll-out of {model} is under way")
        changed = with_halted(known, halted)
        await self._write(row, changed)
        return changed

    async def all(self) -> list[tuple[Rollout, Row]]:
        """Return all roll-outs with their rows; a row that cannot be decoded is skipped."""
        rows = await self._table.scan(ROLLOUT_PREFIX)
        decoded = [(_decode_row(row), row) for row in rows]
        return [(rollout, row) for rollout, row in decoded if rollout is not None]

    async def _write(self, row: Row | None, rollout: Rollout) -> None:
        """Write a roll-out if the row is unchanged; read it back if the outcome is unknown."""
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
    """Carries out the steps of the roll-outs whose leases this daemon holds."""

    def __init__(
        self,
        holder: str,
        table: Table,
        weights: WeightStore,
        engine: Engine,
        endpoints: Callable[[], dict[str, Instance]],
        edit: EditFunction,
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
            endpoints: Returns the endpoints of the instance list by id.
            edit: Changes the configuration under an edit id; a repeated id has no effect.
            may_grow: Returns whether the evidence allows the share of a version to grow.
            is_candidate: Returns whether this daemon may drive roll-outs; only a few daemons
                do, which limits the reads of the table.
            times: Times of leases.
            clock: Returns monotonic time in seconds.
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
        self._known_by_model: dict[str, _KnownRollout] = {}
        self._task_by_model: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Drive roll-outs until cancelled."""
        try:
            while True:
                await self._tick_safely()
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            for task in self._task_by_model.values():
                task.cancel()

    async def _tick_safely(self) -> None:
        """Run one tick; log an unexpected error, so that the loop continues."""
        try:
            await self.tick()
        except Exception:
            log.exception("event=rollouts_tick_failed")

    async def tick(self) -> None:
        """Read the roll-outs, renew or take over leases, and start the steps that are due."""
        if not self._is_candidate():
            return
        try:
            for rollout, row in await RolloutStore(self._table).all():
                await self._update(rollout, row)
        except PlatformError as error:
            log.info("event=rollouts_unread reason=%r", str(error))

    def is_driving(self, model: str) -> bool:
        """Return whether this daemon holds the lease of the roll-out of a model."""
        tracker = self._tracker_by_model.get(model)
        return tracker is not None and tracker.holds(self._clock())

    async def wait_for_step(self, model: str) -> None:
        """Wait until the running step of a model's roll-out has ended, if there is one."""
        task = self._task_by_model.get(model)
        if task:
            await asyncio.gather(task, return_exceptions=True)

    async def _update(self, rollout: Rollout, row: Row) -> None:
        """Store a row as read; renew the lease and start the next step if possible."""
        model, now = rollout.model, self._clock()
        known = self._known_by_model.get(model)
        if known is None or known.revision != row.revision:
            self._known_by_model[model] = _KnownRollout(rollout, row.revision, now)
        if next_step(rollout) is None:
            return
        tracker = self._tracker_by_model.setdefault(
            model, LeaseTracker(LEASE_PREFIX + model, self._holder, self.times)
        )
        if not tracker.holds(now) or tracker.should_write(now):
            await self._renew(tracker)
        running = self._task_by_model.get(model)
        if tracker.holds(self._clock()) and (running is None or running.done()):
            self._task_by_model[model] = asyncio.create_task(self._run_step(tracker, model))

    async def _renew(self, tracker: LeaseTracker) -> None:
        """Renew a lease that this daemon holds, or take over one that has expired."""
        row = await self._table.read(tracker.key)
        tracker.observe(row, decode(row.value, type=Lease) if row else None, self._clock())
        sent_at = self._clock()
        if not tracker.should_write(sent_at):
            return
        lease = tracker.next_lease(sent_at)
        value, expected_revision = encode(lease), tracker.row_revision + 1
        outcome = await self._table.commit([tracker.operation(value)])
        if outcome is WriteOutcome.UNKNOWN:
            row = await self._table.read(tracker.key)
            if row is None or row.value != value or row.revision != expected_revision:
                return
        if outcome is WriteOutcome.REFUSED:
            return
        if lease.fence != tracker.fence:
            log.info("event=lease_taken key=%s fence=%d", tracker.key, lease.fence)
        tracker.record_write(lease, sent_at, expected_revision)

    async def _run_step(self, tracker: LeaseTracker, model: str) -> None:
        """Record the next step of a roll-out as ordered, carry it out, and record it as done."""
        known = self._known_by_model[model]
        rollout = known.rollout
        step = next_step(rollout)
        if step is None or not await self._is_due(known, step):
            return
        try:
            if not rollout.ordered or rollout.fence != tracker.fence:
                ordered = with_step_ordered(rollout, tracker.fence)
                if not await self._write_row(tracker, known, ordered):
                    return
            if await self._execute(tracker, known.rollout, step):
                await self._write_row(tracker, known, with_step_done(known.rollout, tracker.fence))
        except ComfreyhatchError as error:
            log.warning(
                "event=step_failed model=%s step=%s reason=%r; trying again",
                model,
                step_id(rollout),
                str(error),
            )

    async def _is_due(self, known: _KnownRollout, step: Step) -> bool:
        """Return whether a step may start.

        A share after the first waits for the settling time and for evidence that allows growth,
        unless it is recorded as ordered already.
        """
        rollout = known.rollout
        if step.kind is not StepKind.SHARE:
            return True
        is_first_share = rollout.step == len(rollout.endpoints)
        if is_first_share or rollout.ordered:
            return True
        settled = self._clock() >= known.changed_at + rollout.settle_s
        return settled and self._may_grow(rollout.version_id)

    async def _write_row(
        self, tracker: LeaseTracker, known: _KnownRollout, rollout: Rollout
    ) -> bool:
        """Write the row on condition that the lease is unchanged; return whether it was written."""
        key, value = ROLLOUT_PREFIX + rollout.model, encode(rollout)
        if not tracker.holds(self._clock()):
            return False
        outcome = await self._table.commit(
            [Update(key, value, known.revision), Require(tracker.key, tracker.row_revision)]
        )
        if outcome is WriteOutcome.UNKNOWN:
            row = await self._table.read(key)
            written = row is not None and row.value == value
        else:
            written = outcome is WriteOutcome.DONE
        if written:
            known.rollout = rollout
            known.revision += 1
            known.changed_at = self._clock()
        return written

    async def _execute(self, tracker: LeaseTracker, rollout: Rollout, step: Step) -> bool:
        """Try to carry out a step; return whether it is done."""
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
        """Send the order of a load or unload step to an endpoint; return whether it was done."""
        is_load = step.kind is StepKind.LOAD
        kind = OrderKind.LOAD_VERSION if is_load else OrderKind.UNLOAD_VERSION
        version_id = rollout.version_id if is_load else rollout.replaces
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


def _decode_row(row: Row) -> Rollout | None:
    """Return the roll-out of a row; None if it cannot be decoded."""
    try:
        return decode(row.value, type=Rollout)
    except (DecodeError, ValidationError) as error:
        log.error("event=rollout_unreadable key=%s reason=%r", row.key, str(error))
        return None


def with_halted(rollout: Rollout, halted: bool) -> Rollout:
    """Return a copy of a roll-out that is halted or running."""
    return replace(rollout, state="halted" if halted else "running")
