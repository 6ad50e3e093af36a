"""Random interleavings of writes, polls, outages and returns of the store from older copies."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.domain.operations import RolloutRecord, RolloutState
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.usage import UsageKey, UsageTotals
from comfreyhatch.errors import PlatformError
from comfreyhatch.exchange.billing import Billing
from comfreyhatch.exchange.carry_over import CARRY_OVER_S
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient
from tests.platform_harness import config
from tests.platform_store import StandInStore, StoreCopy

SERVICE = "engines"
ZONES = ("a", "b")
DAEMONS = 3
POLL_WAIT_S = 0.002
TICK_S = 0.005
KEY = UsageKey("club", SERVICE)

Step = tuple[str, int, int]


def rank(trial: RolloutRecord) -> tuple[int, float]:
    """Return how far a roll-out is; both final states are equally far."""
    if trial.state is RolloutState.RUNNING:
        return 0, trial.share
    return 1, 0.0


class Operator:
    """Writes to the store, and writes again what the store has lost."""

    def __init__(self, store: StandInStore) -> None:
        self._store = store
        self._version = 1
        self._target = 1
        self.zones_out: set[str] = set()
        self.moved_at_by_zone: dict[str, Position] = {}
        self.order: dict[str, object] | None = None

    @property
    def target(self) -> str:
        return f"v{self._target}"

    def write_config(self) -> None:
        self._version += 1
        self._store.put("op", "config", config(self._version))

    def move_zone(self, zone: str) -> None:
        self.zones_out ^= {zone}
        if zone in self.zones_out:
            self._store.put("op", f"evacuate/{zone}", {})
        else:
            self._store.remove("op", f"evacuate/{zone}")
        self.moved_at_by_zone[zone] = Position(self._store.era, self._store.ver)

    def write_order(self) -> None:
        self._target += 1
        self.order = {"service": SERVICE, "to": self.target, "over_s": 60}
        self._store.put("op", f"rollout/{SERVICE}", self.order)

    def write_again(self) -> None:
        """Bring the store's rows to the state that this operator wanted."""
        self._store.put("op", "config", config(self._version))
        for zone in ZONES:
            row = self._store.row_by_key.get(("op", f"evacuate/{zone}"))
            listed = row is not None and not row.removed
            if zone in self.zones_out and not listed:
                self._store.put("op", f"evacuate/{zone}", {})
            elif zone not in self.zones_out and listed:
                self._store.remove("op", f"evacuate/{zone}")
        if self.order is not None:
            row = self._store.row_by_key.get(("op", f"rollout/{SERVICE}"))
            if row is None or self._store.value("op", f"rollout/{SERVICE}") != self.order:
                self._store.put("op", f"rollout/{SERVICE}", self.order)


class Daemon:
    """The store's client, the view and the billing of one daemon, and what it has promised."""

    def __init__(self, name: str, store: StandInStore) -> None:
        self.client = StoreClient(store.address)
        self.directory = StoreDirectory(self.client)
        self.view = FleetView()
        self.billing = Billing(name, 1, self.directory)
        self.billed = 0
        self.now = 1000.0
        self.zones_seen_out: set[str] = set()
        self._generation: int | None = None
        self._version = 0
        self._positions: list[Any] = [None, None, None]
        self._trial: RolloutRecord | None = None

    async def poll(self, table: int) -> None:
        view, directory = self.view, self.directory
        try:
            if table == 0:
                operations = await directory.operations(view.listed_operations, POLL_WAIT_S)
                view.apply_operations(operations, self.now, 1.0)
            elif table == 1:
                endpoints = await directory.endpoints(view.endpoint_list, POLL_WAIT_S)
                view.apply_endpoints(endpoints, self.now)
            else:
                records = await directory.records(view.records, POLL_WAIT_S)
                view.apply_records(records, self.now)
        except PlatformError:
            return
        if self._generation is not None and view.generation != self._generation:
            await self.billing.store_again()
        self._generation = view.generation

    async def step(self, is_bad: bool) -> None:
        """Take the next step of the roll-out, or store a lost one again."""
        view = self.view
        order = view.order(SERVICE)
        if order is None or view.records is None:
            return
        step = view.lost_trial(SERVICE)
        if step is None and view.can_step(SERVICE):
            step = self._next_step(is_bad)
        if step is not None:
            await self.directory.put_rollout(step)
            await self.poll(2)

    def _next_step(self, is_bad: bool) -> RolloutRecord | None:
        order = self.view.order(SERVICE)
        trial = self.view.records.trial_by_service.get(SERVICE)
        if trial is None or trial.order_revision != order.revision:
            fresh = RolloutRecord(
                SERVICE, order.version, order.revision, RolloutState.RUNNING, 0.1, 0, 0
            )
            if trial is None:
                return fresh
            return replace(fresh, revision=trial.revision, generation=trial.generation)
        if trial.state is not RolloutState.RUNNING:
            return None
        if is_bad:
            return replace(trial, state=RolloutState.ROLLED_BACK, share=0.0)
        if trial.share < 1.0:
            return replace(trial, share=trial.share + 0.3)
        return replace(trial, state=RolloutState.COMPLETED)

    async def bill(self) -> None:
        self.billed += 1
        self.billing.add_usage(KEY, UsageTotals(1))
        await self.billing.flush()

    def check(self, operator: Operator) -> None:
        """Check what must hold after each step."""
        view = self.view
        version = view.catalog.version if view.catalog else 0
        assert version >= self._version, "a configuration was undone"
        self._version = version
        held = (view.listed_operations, view.endpoint_list, view.records)
        for number, found in enumerate(held):
            before = self._positions[number]
            assert before is None or found.position >= before, "a position went back"
            self._positions[number] = found.position if found else None
        self.zones_seen_out &= operator.zones_out
        for zone in self.zones_seen_out:
            assert view.zone_out(zone), "a zone out was undone"
        for zone in operator.zones_out:
            # An earlier order for the same zone, taken back since, may be in force still.
            is_current = view.listed_operations.position >= operator.moved_at_by_zone[zone]
            if is_current and view.zone_out(zone):
                self.zones_seen_out.add(zone)
        self._check_trial()

    def _check_trial(self) -> None:
        trial, before = self.view.trial(SERVICE), self._trial
        if before is not None:
            order = self.view.order(SERVICE)
            assert order is not None, "an order was undone"
            assert int(order.version[1:]) >= int(before.version[1:]), "an older order came back"
            # Records may be read before the order whose state they show.
            listed = self.view.records.trial_by_service.get(SERVICE)
            is_behind = listed and int(listed.version[1:]) > int(order.version[1:])
            if order.version == before.version and not is_behind:
                assert trial is not None, "a roll-out was forgotten"
                assert rank(trial) >= rank(before), "a roll-out went back"
        self._trial = trial or before


class World:
    """One store, its operator and daemons; runs steps and checks the promises."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.operator = Operator(self.store)
        self.daemons: list[Daemon] = []
        self._copy: StoreCopy | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, steps: list[Step]) -> None:
        await self.store.start()
        self.store.put("op", "config", config(1))
        self._copy = self.store.copy()
        self.daemons = [Daemon(f"d{number}", self.store) for number in range(DAEMONS)]
        try:
            await self._poll_all()
            for step in steps:
                await self._apply(*step)
                for daemon in self.daemons:
                    daemon.check(self.operator)
            await self._settle()
            await self._check_end()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for daemon in self.daemons:
                daemon.client.close()
            await self.store.stop()

    async def _apply(self, name: str, number: int, choice: int) -> None:
        daemon = self.daemons[number % DAEMONS]
        for one in self.daemons:
            one.now += TICK_S
        is_up = not self.store.refusing
        match name:
            case "config" if is_up:
                self.operator.write_config()
            case "zone" if is_up:
                self.operator.move_zone(ZONES[choice % len(ZONES)])
            case "order" if is_up:
                self.operator.write_order()
            case "other" if is_up:
                self.store.put("elsewhere", f"k{choice}", {})
            case "copy" if is_up:
                self._copy = self.store.copy()
            case "outage":
                self.store.refusing = True
            case "return":
                self.store.restore(self._copy)
                self.store.refusing = False
            case "again" if is_up:
                self.operator.write_again()
            case "hold_answers":
                self.store.delayed_paths = {("/rows-get", "/rows-feed", "/rows-tx")[choice]}
                self.store.delaying_answers = True
            case "hold_writes":
                self.store.delaying_writes = True
            case "release":
                self._release()
                await asyncio.sleep(2 * TICK_S)
            case "poll":
                await self._start(daemon.poll(choice))
            case "step":
                await self._start(daemon.step(choice == 0))
            case "bill":
                await self._start(daemon.bill())

    async def _start(self, action: Coroutine[Any, Any, None]) -> None:
        """Start an action and wait for it, unless the store holds it back."""
        task = asyncio.create_task(action)
        self._tasks.append(task)
        holding = self.store.delaying_answers or self.store.delaying_writes
        await asyncio.wait([task], timeout=TICK_S if holding else None)

    def _release(self) -> None:
        self.store.delaying_answers = self.store.delaying_writes = False

    async def _settle(self) -> None:
        """Let the store work, and all write again what is theirs."""
        self._release()
        self.store.refusing = False
        await asyncio.gather(*self._tasks)
        self.operator.write_again()
        await self._poll_all()
        for daemon in self.daemons:
            daemon.now += CARRY_OVER_S
        for _ in range(3):
            await self._poll_all()
            for daemon in self.daemons:
                if daemon.view.lost_trial(SERVICE) is not None:
                    await daemon.step(False)
        for daemon in self.daemons:
            await daemon.billing.flush()

    async def _poll_all(self) -> None:
        for daemon in self.daemons:
            for table in range(3):
                await daemon.poll(table)
            daemon.check(self.operator)

    async def _check_end(self) -> None:
        batches = await self.daemons[0].directory.usage()
        for number, daemon in enumerate(self.daemons):
            view = daemon.view
            assert view.catalog.version == self.daemons[0].view.catalog.version
            assert view.listed_operations.zones_out == self.operator.zones_out
            assert view.generation == self.store.era
            assert view.lost_trial(SERVICE) is None
            own = [batch for batch in batches if batch.daemon == f"d{number}"]
            stored = sum(line.usage.requests for batch in own for line in batch.lines)
            assert stored == daemon.billed, "usage was billed twice or never"
        trials = [daemon.view.trial(SERVICE) for daemon in self.daemons]
        assert all(trial == trials[0] for trial in trials)
        if trials[0] is not None:
            status = self.store.value("status", f"rollout/{SERVICE}")
            assert status == {"state": trials[0].state.value, "to": self.operator.target}


NAMES = st.sampled_from(
    ["poll"] * 8
    + ["step"] * 4
    + ["bill"] * 2
    + ["config", "zone", "zone", "order", "other", "copy", "outage", "return", "return", "again"]
    + ["hold_answers", "hold_writes", "release"]
)
STEPS = st.lists(
    st.tuples(NAMES, st.integers(0, DAEMONS - 1), st.integers(0, 2)), min_size=5, max_size=40
)


@settings(max_examples=60)
@given(STEPS)
def test_promises_hold_over_random_interleavings(steps: list[Step]) -> None:
    asyncio.run(World().run(steps))
