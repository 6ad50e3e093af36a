"""When a streamed answer that does not go on is given up for another endpoint.

Answers endpoints that fall silent and requests that hang. Under load an engine answers late while
it still sends to others; giving up then would only add the same work elsewhere, so an endpoint
that was heard of a moment ago gets much longer than a silent one.
"""

from msgspec import Struct

FIRST_LEAST_S = 1.2
FIRST_FACTOR = 2.5
FIRST_ALIVE_AIMS = 2.0
FIRST_ALIVE_FACTOR = 4.0
GAP_LEAST_S = 0.4
GAP_OF_AIM = 0.65
GAP_ALIVE_AIMS = 2.0


class StallLimits(Struct, frozen=True):
    """Longest waits, in seconds.

    Attributes:
        silent_s: While nothing at all is heard of the endpoint.
        alive_s: While the endpoint sends to others.
    """

    silent_s: float
    alive_s: float


def first_event_limits(aim_s: float, usual_s: float | None) -> StallLimits:
    """Return the limits for the first event of an answer.

    Args:
        aim_s: Time within which the first event should come.
        usual_s: High quantile of the usual time; None while it is not known.
    """
    if usual_s is None:
        return StallLimits(max(FIRST_LEAST_S, aim_s), FIRST_ALIVE_AIMS * aim_s)
    return StallLimits(
        max(FIRST_LEAST_S, FIRST_FACTOR * usual_s),
        max(FIRST_ALIVE_AIMS * aim_s, FIRST_ALIVE_FACTOR * usual_s),
    )


def gap_limits(gap_aim_s: float) -> StallLimits:
    """Return the limits for a pause between events, by the longest pause that is on time."""
    return StallLimits(max(GAP_LEAST_S, GAP_OF_AIM * gap_aim_s), GAP_ALIVE_AIMS * gap_aim_s)


def stalled(limits: StallLimits, waited_s: float, endpoint_silent_s: float) -> bool:
    """Return whether to give an answer up.

    Args:
        limits: Longest waits.
        waited_s: Time since the request was sent, or since its last event.
        endpoint_silent_s: Time since anything was heard of the endpoint.
    """
    if waited_s >= limits.alive_s:
        return True
    return min(waited_s, endpoint_silent_s) >= limits.silent_s
