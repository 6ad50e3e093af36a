"""Choice of a service's version for a request before, during and after an ordered roll-out."""

from enum import Enum

from comfreyhatch.decisions.placement import session_point
from comfreyhatch.domain.operations import RolloutOrder, RolloutRecord, RolloutState

# Time from the start of a roll-out until sessions move to its target; daemons tell each other
# meanwhile which sessions began on a replaced version.
FIRST_SHARE_DELAY_MS = 1000


class VersionChoice(Enum):
    """Which version a request runs on: the roll-out's target version or the replaced one."""

    ANY = "any"
    TARGET = "target"
    OTHER = "other"


def choose_version(
    order: RolloutOrder | None,
    trial: RolloutRecord | None,
    target_is_bad: bool,
    session_key: str,
    pinned: str | None,
    canary_share: float,
    store_ms: int,
) -> VersionChoice:
    """Return which version a request runs on.

    Sessions move to the target `FIRST_SHARE_DELAY_MS` after the start, at all daemons at once.

    Args:
        order: Roll-out order in force for the service; None if there is none.
        trial: Stored state of the roll-out; None while it is not known.
        target_is_bad: Whether this daemon has seen evidence that the target version is bad.
        session_key: Key that the requests of a session share.
        pinned: Version that served the session last; None if there is none.
        canary_share: Share of the sessions in the canary phase of a roll-out; up to it sessions
            stay on their version.
        store_ms: Present time of the store's clock, in milliseconds.
    """
    if order is None:
        return VersionChoice.ANY
    if trial is not None and trial.state is RolloutState.COMPLETED:
        return VersionChoice.TARGET
    if target_is_bad or trial is None or trial.state is RolloutState.ROLLED_BACK:
        return VersionChoice.OTHER
    if pinned == order.version:
        return VersionChoice.TARGET
    if pinned is not None and trial.share <= canary_share:
        return VersionChoice.OTHER
    if store_ms < trial.started_ms + FIRST_SHARE_DELAY_MS:
        return VersionChoice.OTHER
    point = _point(session_key, order)
    return VersionChoice.TARGET if point < trial.share else VersionChoice.OTHER


def may_move_early(session_key: str, order: RolloutOrder, canary_share: float) -> bool:
    """Return whether a session is among the first share of those that get the target version."""
    return _point(session_key, order) < canary_share


def _point(session_key: str, order: RolloutOrder) -> float:
    return session_point(session_key, f"{order.service}/{order.version}")


def version_matches(choice: VersionChoice, version: str, order: RolloutOrder | None) -> bool:
    """Return whether an endpoint's version matches the choice for an order."""
    if order is None or choice is VersionChoice.ANY:
        return True
    return (version == order.version) == (choice is VersionChoice.TARGET)
