"""Roll-outs of versions: their steps, and the fenced lease of the daemon that drives them.

The driver of a model's roll-out holds a lease with a fencing number. Orders to endpoints carry the
number, so that an endpoint can refuse those of an earlier holder.
"""

from enum import Enum
from typing import Literal

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.change import Change, DrainVersion, SetShare
from comfreyhatch.ports.table import Insert, Operation, Row, Update

RENEWALS_PER_LEASE = 4
# Shares of new sessions, in hundredths.
DEFAULT_SHARES = (1, 10, 50, 100)


class LeaseTimes(Struct, frozen=True):
    """Times of a driver's lease, in seconds.

    Attributes:
        lease_s: Duration of a lease after its last renewal.
        guard_s: Safety margin for clock drift, message delay and a pause between the check of the
            lease and the order.
        max_order_s: Longest time that an endpoint takes to carry out an order.
    """

    lease_s: float = 10.0
    guard_s: float = 2.0
    max_order_s: float = 30.0

    @property
    def unfenced_wait_s(self) -> float:
        """Wait before a new holder may send orders to an endpoint that ignores fencing numbers.

        It starts with the last renewal seen of the earlier lease. At its end all orders of the
        earlier holder have been carried out.
        """
        return self.lease_s + self.guard_s + self.max_order_s


class Lease(Struct, frozen=True):
    """The row `lease/<model>`.

    Attributes:
        holder: Incarnation of the daemon that holds the lease.
        fence: Fencing number; increases with each take-over.
    """

    holder: str
    fence: int


class StepKind(Enum):
    """Kind of a step of a roll-out."""

    LOAD = "load"
    SHARE = "share"
    DRAIN = "drain"
    UNLOAD = "unload"


class Step(Struct, frozen=True):
    """One step of a roll-out.

    Attributes:
        kind: Its kind.
        argument: Endpoint that gets the order, or the share to set; empty for draining.
    """

    kind: StepKind
    argument: str = ""


class Rollout(Struct, frozen=True):
    """The row `rollout/<model>`.

    Attributes:
        model: Model that is rolled out.
        version_id: The new version.
        replaces: Version that it replaces; empty for none.
        endpoints: Engines that load the new version, in order.
        shares: Shares of new sessions for the new version, in order, in hundredths.
        settle_s: Time between two shares, in seconds.
        unload: Whether the engines unload the replaced version at the end.
        step: Index of the next step.
        ordered: Whether the order for that step may have been sent already.
        fence: Fencing number under which the row was last written.
        state: Progress; a halted roll-out makes no further step.
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
    """Return the step to carry out; None if the roll-out is halted or finished."""
    steps = rollout_steps(rollout)
    if rollout.state != "running" or rollout.step >= len(steps):
        return None
    return steps[rollout.step]


def step_id(rollout: Rollout) -> str:
    """Return the id of the current step; repeated orders and edits carry the same id."""
    return f"rollout/{rollout.version_id}/{rollout.step}"


def with_step_ordered(rollout: Rollout, fence: int) -> Rollout:
    """Return the row to write before the order for the current step is sent."""
    return replace(rollout, ordered=True, fence=fence)


def with_step_done(rollout: Rollout, fence: int) -> Rollout:
    """Return the row to write after the current step has been carried out."""
    step = rollout.step + 1
    state = "finished" if step >= len(rollout_steps(rollout)) else rollout.state
    return replace(rollout, step=step, ordered=False, fence=fence, state=state)


def change_for_step(rollout: Rollout, step: Step) -> Change | None:
    """Return the configuration change that a step makes; None if it is an order to an engine."""
    if step.kind is StepKind.SHARE:
        return SetShare(rollout.version_id, int(step.argument))
    return DrainVersion(rollout.replaces) if step.kind is StepKind.DRAIN else None


class LeaseTracker:
    """One daemon's view of a lease: held by itself, held by another daemon, or free.

    All times are of this daemon's clock. A lease of another daemon counts as expired when its row
    has not changed for the duration of a lease, so clocks of different daemons are not compared.
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
        """Fencing number of the lease as last read; 0 before the first."""
        return self.lease.fence if self.lease else 0

    def observe(self, row: Row | None, lease: Lease | None, now: float) -> None:
        """Record the row as read; a changed row restarts the time to the lease's expiry.

        Args:
            row: The row; None if there is none.
            lease: The lease decoded from it; None if there is none.
            now: Monotonic time in seconds.
        """
        revision = row.revision if row else 0
        if revision != self.row_revision or self._seen_at == float("-inf"):
            self._seen_at = now
        self.row_revision = revision
        self.lease = lease

    def holds(self, now: float) -> bool:
        """Return whether this daemon holds the lease and it has not expired."""
        return self._is_own() and now < self._renewed_at + self.times.lease_s

    def should_write(self, now: float) -> bool:
        """Return whether to write the lease now, to renew it or to take it over."""
        if self.lease is None:
            return True
        if self.holds(now):
            return now >= self._renewed_at + self.times.lease_s / RENEWALS_PER_LEASE
        return now >= self._seen_at + self.times.lease_s

    def next_lease(self, now: float) -> Lease:
        """Return the lease to write: the same to renew it, the next fencing number to take over."""
        if self.lease is not None and self.holds(now):
            return self.lease
        return Lease(self.holder, self.fence + 1)

    def operation(self, value: bytes) -> Operation:
        """Return the conditional write of the row; it fails if the row has changed meanwhile."""
        if self.row_revision == 0:
            return Insert(self.key, value)
        return Update(self.key, value, self.row_revision)

    def record_write(self, lease: Lease, sent_at: float, revision: int) -> None:
        """Record a successful write of the lease.

        Args:
            lease: The lease written.
            sent_at: Monotonic time at which the write was sent, in seconds; the lease starts then.
            revision: Revision of the row after the write.
        """
        if self.lease is not None and lease.fence != self.lease.fence:
            self._unfenced_from = self._seen_at + self.times.unfenced_wait_s
        self.lease = lease
        self.row_revision = revision
        self._renewed_at = sent_at
        self._seen_at = sent_at

    def may_order(self, checks_fencing: bool, now: float) -> bool:
        """Return whether an order may be sent to an endpoint now; check right before sending.

        Args:
            checks_fencing: Whether the endpoint refuses outdated fencing numbers.
            now: Monotonic time in seconds.
        """
        in_time = now < self._renewed_at + self.times.lease_s - self.times.guard_s
        waited = checks_fencing or now >= self._unfenced_from
        return self._is_own() and in_time and waited

    def _is_own(self) -> bool:
        return self.lease is not None and self.lease.holder == self.holder
