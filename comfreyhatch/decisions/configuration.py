"""Configuration: adoption, freshness, relays, racing edits, and service while cut off."""

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
    """Times of the configuration.

    Attributes:
        lease_s: Age of a confirmation up to which the configuration counts as fresh.
        relay_timeout_s: Time without news of a relay after which a daemon polls for itself.
        poll_interval_s: Interval of a relay's polls of the head.
        notice_interval_s: Interval of a relay's notices.
        fallback_poll_interval_s: Interval of the polls of a daemon that is no relay.
        cut_off_hold_s: Time that a failed confirmation counts for.
        max_attempt_s: Longest time that an attempt to confirm may take to count as failed.
        platform_timeout_s: Time for the platform to tell the head and what follows.
        tick_s: Interval of the loop that decides whether to poll.
        ask_timeout_s: Time for a peer to answer.
        clock_offset_max_age_s: Time that a measured difference of two daemons' clocks is used for.
        fan_out: Daemons that a daemon passes a notice on to.
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
    """Whether the configuration may be acted on: fresh, to be confirmed first, or cut off."""

    FRESH = "fresh"
    MUST_CONFIRM = "must confirm"
    CUT_OFF = "cut off"


class EditState(Enum):
    """What is known of an edit: accepted, lost to another, to be tried again."""

    ACCEPTED = "accepted"
    LOST = "lost"
    RETRY = "retry"


class DispatchIntent(Struct, frozen=True):
    """What a dispatch wants to use while the daemon may be cut off.

    Attributes:
        version_id: Version that is to run; empty for a plain service.
        pinned: Whether the request belongs to a session that is on the version.
        repeatable: Whether running it twice does no harm.
        claimed: Whether its claim is recorded.
    """

    version_id: str
    pinned: bool = False
    repeatable: bool = True
    claimed: bool = False


def adopt(config: FleetConfig, records: Iterable[ChangeRecord]) -> FleetConfig:
    """Return the configuration after the records that follow it without a gap."""
    for record in records:
        if record.revision == config.revision + 1:
            config = apply_change(config, record)
    return config


def newest(config: FleetConfig, other: FleetConfig) -> FleetConfig:
    """Return the configuration of the higher revision; the first of equals."""
    return other if other.revision > config.revision else config


def freshness(
    confirmed_at: float | None, failed_at: float | None, now: float, timing: ConfigTiming
) -> Freshness:
    """Return whether the configuration may be acted on.

    Args:
        confirmed_at: When it was last known to be the newest, in monotonic seconds.
        failed_at: When the last attempt to confirm it failed.
        now: Monotonic time, in seconds.
        timing: Times.
    """
    if confirmed_at is not None and now - confirmed_at <= timing.lease_s:
        return Freshness.FRESH
    if failed_at is not None and now - failed_at <= timing.cut_off_hold_s:
        return Freshness.CUT_OFF
    return Freshness.MUST_CONFIRM


def may_serve_while_cut_off(config: FleetConfig, use: DispatchIntent) -> bool:
    """Return whether a daemon that cannot confirm its configuration may serve.

    Sessions stay on their version, settled versions go on, and a call that may not be
    repeated needs its claim.
    """
    if not use.repeatable and not use.claimed:
        return False
    if not use.version_id:
        return True
    version = config.version_by_id.get(use.version_id)
    if version is None or version.state is VersionState.WITHDRAWN:
        return False
    if use.pinned:
        return True
    return version.state is VersionState.ACTIVE and not config.rolling_out(version.model)


def relay_order(members: Iterable[Member], zone: str) -> list[str]:
    """Return the zone's daemons in the order in which they relay the configuration."""
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

    The first relay always does, the second when it misses the first's notices, and the
    rest of the zone a little later.

    Args:
        rank: Its place in the zone's order of relays.
        confirmed_at: When its configuration was last known to be the newest.
        polled_at: When it last read the head.
        now: Monotonic time, in seconds.
        timing: Times.
    """
    interval_s = (
        timing.poll_interval_s if rank < RELAYS_PER_ZONE else timing.fallback_poll_interval_s
    )
    if polled_at is not None and now - polled_at < interval_s:
        return False
    if rank == 0 or confirmed_at is None:
        return True
    relay_timeout_s = timing.relay_timeout_s * (0.9 if rank < RELAYS_PER_ZONE else 1.0)
    return now - confirmed_at > relay_timeout_s


def edit_state(outcome: WriteOutcome, recorded: bool) -> EditState:
    """Return what became of an edit.

    Args:
        outcome: What is known of the transaction.
        recorded: Whether the edit's row was found after the transaction.
    """
    if recorded or outcome is WriteOutcome.DONE:
        return EditState.ACCEPTED
    return EditState.LOST if outcome is WriteOutcome.REFUSED else EditState.RETRY


def describe_changes(records: Sequence[ChangeRecord]) -> str:
    """Return the changes as text, one a line, for an operator whose edit came too late."""
    return "\n".join(
        f"+ revision {record.revision} by {record.author!r}: {encode(record.change).decode()}"
        for record in records
    )
