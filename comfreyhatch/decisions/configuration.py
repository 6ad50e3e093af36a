"""Fleet configuration: adopting changes, freshness leases, relays, edits, and cut-off service.

Two relays in each zone read the head of the change log, one of them in reserve, and pass notices
of it on to the zone. A daemon may act on its configuration while the confirmation that it is the
newest one is recent. A daemon that can't get a confirmation is cut off and serves only what
`may_serve_while_cut_off` allows.
"""

from collections.abc import Iterable, Sequence
from enum import Enum

from msgspec import Struct
from msgspec.json import encode

from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.domain.change import ChangeRecord, apply_change
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import VersionState
from comfreyhatch.ports.peers import Member
from comfreyhatch.ports.table import WriteOutcome

RELAY_KEY = "relay"
RELAYS_PER_ZONE = 2


class ConfigTiming(Struct, frozen=True):
    """Intervals and timeouts for keeping the configuration current, in seconds.

    Attributes:
        lease_s: Age of a confirmation up to which the configuration counts as fresh.
        relay_timeout_s: Time without a confirmation after which a daemon reads the head itself.
        poll_interval_s: Interval at which a relay reads the head.
        notice_interval_s: Interval at which a relay sends notices.
        fallback_poll_interval_s: Interval at which a daemon that is no relay reads the head.
        cut_off_hold_s: Time for which a failed attempt to confirm counts.
        max_attempt_s: Longest duration at which a failed attempt to confirm counts; a longer one
            means that the process was paused.
        platform_timeout_s: Timeout for reading the head and the records from the platform.
        tick_s: Interval of the loop that decides whether to poll.
        ask_timeout_s: Timeout for the answer of a peer.
        clock_offset_max_age_s: Age up to which a measured clock offset to a peer is used.
        fan_out: Number of daemons to which a daemon forwards a notice.
    """

    lease_s: float = 3.0
    relay_timeout_s: float = 1.5
    poll_interval_s: float = 0.5
    notice_interval_s: float = 1.0
    fallback_poll_interval_s: float = 1.0
    cut_off_hold_s: float = 2.5
    max_attempt_s: float = 2.5
    platform_timeout_s: float = 1.0
    tick_s: float = 0.1
    clock_offset_max_age_s: float = 60.0
    ask_timeout_s: float = 0.5
    fan_out: int = 4


class Freshness(Enum):
    """Whether a daemon may act on its configuration.

    FRESH means that a confirmation is recent, MUST_CONFIRM that one is needed first, CUT_OFF that
    the last attempt to get one failed.
    """

    FRESH = "fresh"
    MUST_CONFIRM = "must confirm"
    CUT_OFF = "cut off"


class EditState(Enum):
    """Result of an edit: accepted, lost to a concurrent edit, or unknown and to be retried."""

    ACCEPTED = "accepted"
    LOST = "lost"
    RETRY = "retry"


class DispatchIntent(Struct, frozen=True):
    """Properties of a dispatch that decide whether a daemon that is cut off may make it.

    Attributes:
        version_id: Version that is to serve the request; empty for a plain service.
        pinned: Whether the request belongs to a session that is pinned to the version.
        repeatable: Whether the request may run twice without harm.
        claimed: Whether a claim for the request is recorded.
    """

    version_id: str
    pinned: bool = False
    repeatable: bool = True
    claimed: bool = False


def adopt(config: FleetConfig, records: Iterable[ChangeRecord]) -> FleetConfig:
    """Return the configuration with the records applied that follow it without a gap."""
    for record in records:
        if record.revision == config.revision + 1:
            config = apply_change(config, record)
    return config


def newest(config: FleetConfig, other: FleetConfig) -> FleetConfig:
    """Return the configuration with the higher revision; `config` if they are equal."""
    return other if other.revision > config.revision else config


def freshness(
    confirmed_at: float | None, failed_at: float | None, now: float, timing: ConfigTiming
) -> Freshness:
    """Return whether the configuration may be acted on; times are monotonic, in seconds.

    Args:
        confirmed_at: Time of the last confirmation; None if there was none.
        failed_at: Time of the last failed attempt to confirm; None if there was none.
        now: Present time.
        timing: Intervals and timeouts.
    """
    if confirmed_at is not None and now - confirmed_at <= timing.lease_s:
        return Freshness.FRESH
    if failed_at is not None and now - failed_at <= timing.cut_off_hold_s:
        return Freshness.CUT_OFF
    return Freshness.MUST_CONFIRM


def may_serve_while_cut_off(config: FleetConfig, intent: DispatchIntent) -> bool:
    """Return whether a daemon that cannot confirm its configuration may make a dispatch.

    Sessions continue on their version. New requests may use an active version whose model has no
    roll-out in progress. A request that may not be repeated needs a claim.
    """
    if not intent.repeatable and not intent.claimed:
        return False
    if not intent.version_id:
        return True
    version = config.version_by_id.get(intent.version_id)
    if version is None or version.state is VersionState.WITHDRAWN:
        return False
    if intent.pinned:
        return True
    return version.state is VersionState.ACTIVE and not config.rolling_out(version.model)


def relay_order(members: Iterable[Member], zone: str) -> list[str]:
    """Return the ids of the zone's daemons in their order as relays; leaving ones are last."""
    members = [member for member in members if member.zone == zone]
    staying = [m.instance_id for m in members if not m.leaving]
    leaving = [m.instance_id for m in members if m.leaving]
    return rendezvous_order(f"{RELAY_KEY}/{zone}", staying) + sorted(leaving)


def must_poll(
    rank: int,
    confirmed_at: float | None,
    polled_at: float | None,
    now: float,
    timing: ConfigTiming,
) -> bool:
    """Return whether a daemon has to read the head itself now.

    The first relay always polls at its interval. The second relay polls if it gets no notices,
    and the other daemons of the zone a little later. Times are monotonic, in seconds.

    Args:
        rank: Position of the daemon in the zone's relay order.
        confirmed_at: Time of the last confirmation; None if there was none.
        polled_at: Time of the last read of the head; None if there was none.
        now: Present time.
        timing: Intervals and timeouts.
    """
    interval_s = (
        timing.poll_interval_s if rank < RELAYS_PER_ZONE else timing.fallback_poll_interval_s
    )
    if polled_at is not None and now - polled_at < interval_s:
        return False
    if rank == 0 or confirmed_at is None:
        return True
    timeout_s = timing.relay_timeout_s * (0.9 if rank < RELAYS_PER_ZONE else 1.0)
    return now - confirmed_at > timeout_s


def edit_state(outcome: WriteOutcome, recorded: bool) -> EditState:
    """Return the result of an edit.

    Args:
        outcome: Outcome of the transaction.
        recorded: Whether the edit's row was found after the transaction.
    """
    if recorded or outcome is WriteOutcome.DONE:
        return EditState.ACCEPTED
    return EditState.LOST if outcome is WriteOutcome.REFUSED else EditState.RETRY


def describe_changes(records: Sequence[ChangeRecord]) -> str:
    """Return the changes that preceded a lost edit as text for the operator, one on each line."""
    return "\n".join(
        f"+ revision {record.revision} by {record.author!r}: {encode(record.change).decode()}"
        for record in records
    )
