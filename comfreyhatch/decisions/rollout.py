"""Roll-outs: their steps, the lease of their driver, and when orders may be given."""

from enum import Enum
from typing import Literal

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.change import Change, DrainVersion, SetShare
from comfreyhatch.ports.table import Insert, Operation, Row, Update

RENEWALS_PER_LEASE = 4
DEFAULT_SHARES = (1, 10, 50, 100)


class LeaseTimes(Struct, frozen=True):
    """Times of a driver's lease, in seconds.

    Attributes:
        lease_s: How long a lease lasts after its last renewal.
        guard_s: Bound of clock drift, message delay and of a pause between check and order.
        max_order_s: How long an endpoint carries an order out at most.
    """

    lease_s: float = 10.0
    guard_s: float = 2.0
    max_order_s: float = 30.0

    @property
    def unfenced_wait_s(self) -> float:
        """Wait before a successor orders an endpoint that ignores fencing numbers."""
        return self.lease_s + self.guard_s + self.max_order_s


class Lease(Struct, frozen=True):
    """The row `lease/<model>`.

    Attributes:
        holder: Incarnation of the daemon that holds it.
        fence: Fencing number; each take-over raises it.
    """

    holder: str
    fence: int


class StepKind(Enum):
    """What a step of a roll-out does."""

    LOAD = "load"
    SHARE = "share"
    DRAIN = "drain"
    UNLOAD = "unload"


class Step(Struct, frozen=True):
    """One step of a roll-out.

    Attributes:
        kind: What it does.
        argument: Endpoint to order, or the share to set; empty for draining.
    """

    kind: StepKind
    argument: str = ""


class Rollout(Struct, frozen=True):
    """The row `rollout/<model>`.

    Attributes:
        model: Model that is rolled out.
        version_id: The new version.
        replaces: Version that it takes over from; empty for none.
        endpoints: Engines that load it, in order.
        shares: Shares of new sessions that it gets, in order, in hundredths.
        settle_s: Time between two shares, in seconds.
        unload: Whether the engines unload the replaced version at the end.
        step: Index of the next step.
        ordered: Whether that step may have been begun.
        fence: Fencing number that the row was last written under.
        state: Whether it goes on.
    """

    model: str
    version_id: str
    replaces: str = ""
    endpoints: tuple[str, ...] = ()
    shares: tuple[int, ...] = DEFAULT_SHARES
    settle_s: float = 60.0
    unload: bool = False
    step: int = 0
    ordered: bool = False
    fence: int = 0
    state: Literal["running", "halted", "finished"] = "running"


def rollout_steps(rollout: Rollout) -> tuple[Step, ...]:
    """Return the steps of a roll-out, in order."""
    steps = [Step(StepKind.LOAD, endpoint_id) for endpoint_id in rollout.endpoints]
    steps += [Step(StepKind.SHARE, str(share)) for share in rollout.shares]
    if rollout.replaces:
        steps.append(Step(StepKind.DRAIN))
        if rollout.unload:
            steps += [Step(StepKind.UNLOAD, endpoint_id) for endpoint_id in rollout.endpoints]
    return tuple(steps)


def next_step(rollout: Rollout) -> Step | None:
    """Return the step to carry out; None if the roll-out does not go on."""
    steps = rollout_steps(rollout)
    if rollout.state != "running" or rollout.step >= len(steps):
        return None
    return steps[rollout.step]


def step_id(rollout: Rollout) -> str:
    """Return the id of the current step; a repeated order or edit carries the same."""
    return f"rollout/{rollout.version_id}/{rollout.step}"


def with_step_ordered(rollout: Rollout, fence: int) -> Rollout:
    """Return the row that is written before the step is ordered."""
    return replace(rollout, ordered=True, fence=fence)


def with_step_done(rollout: Rollout, fence: int) -> Rollout:
    """Return the row that is written after the step was carried out."""
    step = rollout.step + 1
    state = "finished" if step >= len(rollout_steps(rollout)) else rollout.state
    return replace(rollout, step=step, ordered=False, fence=fence, state=state)


def change_for_step(rollout: Rollout, step: Step) -> Change | None:
    """Return the change of configuration that a step makes; None for orders to engines."""
    if step.kind is StepKind.SHARE:
        return SetShare(rollout.version_id, int(step.argument))
    return DrainVersion(rollout.replaces) if step.kind is StepKind.DRAIN else None


class LeaseClaim:
    """One daemon's view of a lease: held, watched, or free to take.

    Times are this daemon's own; a lease counts as lapsed when its row has not changed for the
    time of a lease, so no clock is compared with another.
    """

    def __init__(self, key: str, holder: str, times: LeaseTimes) -> None:
        self.key = key
        self.holder = holder
        self.times = times
        self.row_revision = 0
        self.lease: Lease | None = None
        self._seen_at = float("-inf")
        self._renewed_at = float("-inf")
        self._unfenced_from = float("-inf")

    @property
    def fence(self) -> int:
        """Fencing number of the lease as last seen; 0 before any."""
        return self.lease.fence if self.lease else 0

    def observe(self, row: Row | None, lease: Lease | None, now: float) -> None:
        """Take in the row as read; a changed row starts the watch anew."""
        revision = row.revision if row else 0
        if revision != self.row_revision or self._seen_at == float("-inf"):
            self._seen_at = now
        self.row_revision = revision
        self.lease = lease

    def holds(self, now: float) -> bool:
        """Return whether this daemon holds the lease still."""
        return self._is_mine() and now < self._renewed_at + self.times.lease_s

    def should_write(self, now: float) -> bool:
        """Return whether to renew the lease or to take it over now."""
        if self.lease is None:
            return True
        if self.holds(now):
            return now >= self._renewed_at + self.times.lease_s / RENEWALS_PER_LEASE
        return now >= self._seen_at + self.times.lease_s

    def next_lease(self, now: float) -> Lease:
        """Return the lease to write: the same renewed, or one with a higher fencing number."""
        if self.lease is not None and self.holds(now):
            return self.lease
        return Lease(self.holder, self.fence + 1)

    def operation(self, value: bytes) -> Operation:
        """Return the write of the row, refused if another daemon wrote it since."""
        if self.row_revision == 0:
            return Insert(self.key, value)
        return Update(self.key, value, self.row_revision)

    def record_write(self, lease: Lease, sent_at: float, revision: int) -> None:
        """Take in that a write took effect.

        Args:
            lease: What was written.
            sent_at: When the write was sent; the lease lasts from then.
            revision: Revision of the row.
        """
        if self.lease is not None and lease.fence != self.lease.fence:
            self._unfenced_from = self._seen_at + self.times.unfenced_wait_s
        self.lease = lease
        self.row_revision = revision
        self._renewed_at = sent_at
        self._seen_at = sent_at

    def may_order(self, checks_fencing: bool, now: float) -> bool:
        """Return whether an endpoint may be ordered now; ask at the moment of the order."""
        in_time = now < self._renewed_at + self.times.lease_s - self.times.guard_s
        waited = checks_fencing or now >= self._unfenced_from
        return self._is_mine() and in_time and waited

    def _is_mine(self) -> bool:
        return self.lease is not None and self.lease.holder == self.holder
