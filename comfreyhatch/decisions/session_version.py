"""Which version of a service a request runs on while a roll-out is ordered, under way or over."""

from enum import Enum

from comfreyhatch.decisions.placement import session_point
from comfreyhatch.domain.operations import RolloutOrder, RolloutState, TrialRecord


class VersionChoice(Enum):
    """Which of the two versions of a roll-out a request runs on."""

    ANY = "any"
    TARGET = "target"
    OTHER = "other"


def choose_version(
    order: RolloutOrder | None,
    trial: TrialRecord | None,
    distrusted: bool,
    session_key: str,
    pinned: str | None,
    canary_share: float,
) -> VersionChoice:
    """Return the version for a request.

    Args:
        order: Order in force for the service.
        trial: State of the roll-out that carries it out, as far as known.
        distrusted: Whether this daemon has found the target version bad.
        session_key: What keeps requests of one session together.
        pinned: Version on which the session ran a moment ago; None if it has none.
        canary_share: Share of the sessions in the first half of a roll-out.
    """
    if order is None:
        return VersionChoice.ANY
    if trial is not None and trial.state is RolloutState.COMPLETED:
        return VersionChoice.TARGET
    if distrusted or trial is None or trial.state is RolloutState.ROLLED_BACK:
        return VersionChoice.OTHER
    if pinned == order.version:
        return VersionChoice.TARGET
    if pinned is not None and trial.share <= canary_share:
        return VersionChoice.OTHER
    point = session_point(session_key, f"{order.service}/{order.revision}")
    return VersionChoice.TARGET if point < trial.share else VersionChoice.OTHER


def version_matches(choice: VersionChoice, version: str, order: RolloutOrder | None) -> bool:
    """Return whether an endpoint's version fits a choice."""
    if order is None or choice is VersionChoice.ANY:
        return True
    return (version == order.version) == (choice is VersionChoice.TARGET)
