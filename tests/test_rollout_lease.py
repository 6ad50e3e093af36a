"""Leases of roll-outs: orders of two holders never overlap, whatever their clocks do."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.decisions.rollout import Lease, LeaseTimes, LeaseTracker
from comfreyhatch.ports.table import MemoryTable, WriteOutcome

SHORT = LeaseTimes(lease_s=4.0, guard_s=1.0, max_order_s=2.0)
KEY = "lease/coach"
NAMES = ("a", "b", "c")


class Driver:
    """A daemon that competes for the lease, with a clock that runs too fast or too slow."""

    def __init__(self, name: str, rate: float) -> None:
        self.tracker = LeaseTracker(KEY, name, SHORT)
        self.rate = rate


class OrderSpan(Struct):
    """Time in which an order may take effect, and its fencing number."""

    fence: int
    start: float
    end: float


class LeaseMachine(RuleBasedStateMachine):
    """Random runs of drivers with pauses, lost answers of writes and clock drift.

    At each tick a set of drivers renews the lease and a set sends orders if allowed; drivers in
    neither set are paused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = MemoryTable()
        rates = zip(NAMES, (1.0, 0.95, 1.05), strict=True)
        self.driver_by_name = {name: Driver(name, rate) for name, rate in rates}
        self.unfenced_orders: list[OrderSpan] = []

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
        lease = tracker.next_lease(sent_at)
        outcome = self.table.commit_now([tracker.operation(encode(lease))])
        self.now += delay
        if outcome is WriteOutcome.DONE and not answer_lost:
            tracker.record_write(lease, sent_at, self.table.row_by_key[KEY].revision)

    def order(self, driver: Driver) -> None:
        if driver.tracker.may_order(checks_fencing=False, now=self.clock(driver)):
            end = self.now + SHORT.max_order_s
            self.unfenced_orders.append(OrderSpan(driver.tracker.fence, self.now, end))

    @invariant()
    def no_two_drivers_order_an_endpoint_that_ignores_fencing(self) -> None:
        """Orders of a new holder start a guard time after the last order of the previous one."""
        for one, other in zip(self.unfenced_orders, self.unfenced_orders[1:], strict=False):
            assert one.fence <= other.fence
            if one.fence < other.fence:
                assert other.start >= one.end + SHORT.guard_s

    def teardown(self) -> None:
        """Once no driver is paused, one driver may order endpoints with and without fencing."""
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
    """The holder sends orders until the last moment allowed, the successor from the first.

    The first write of the lease is answered after `write_s`, and takes effect after the fraction
    `effect` of that time.
    """
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
            next_lease = tracker.next_lease(clock)
            assert table.commit_now([tracker.operation(encode(next_lease))]) is WriteOutcome.DONE
            tracker.record_write(next_lease, clock, table.row_by_key[KEY].revision)
        if tracker.may_order(checks_fencing=False, now=clock):
            first = now
    assert last > 0 and first >= last + SHORT.max_order_s + SHORT.guard_s
