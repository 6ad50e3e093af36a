"""Stall detection for streamed answers: when to retry a stream on another endpoint.

A stream stalls when its endpoint falls silent or when its request hangs. A loaded engine answers
late but still sends to other requests; a retry would then only repeat the same work elsewhere.
Therefore an endpoint that still sends has much longer limits than a silent one.

A stream leaves a silent endpoint only for one that responds; a silent one wins nothing. While
others are silent too, an idle one is trusted only once the stream exceeds the longer limit. Those
that pause together have sent their last events at different moments, so an endpoint responds
only while it is silent for a part of that limit.
"""

from msgspec import Struct

# Limits for the first event, as factors of the typical time (a high quantile) and the target time.
MIN_FIRST_EVENT_LIMIT_S = 1.2
FIRST_EVENT_SILENT_FACTOR = 2.5
FIRST_EVENT_ALIVE_FACTOR = 4.0
FIRST_EVENT_ALIVE_AIM_FACTOR = 2.0
# Limits for the gap between two events, as factors of the longest gap that is on time.
MIN_GAP_LIMIT_S = 0.4
GAP_SILENT_AIM_FACTOR = 0.65
GAP_ALIVE_AIM_FACTOR = 2.0
# Share of the limit for silent endpoints up to which an endpoint counts as one that responds.
RESPONSIVE_SHARE = 0.5


class StallLimits(Struct, frozen=True):
    """Longest waits for the next event of a stream.

    Attributes:
        silent_s: Limit while the endpoint sends nothing at all, in seconds.
        alive_s: Limit while the endpoint sends to other requests, in seconds.
    """

    silent_s: float
    alive_s: float

    @property
    def responsive_s(self) -> float:
        """Silence from which an endpoint doesn't count as one that responds, in seconds."""
        return RESPONSIVE_SHARE * self.silent_s


def first_event_limits(aim_s: float, typical_s: float | None) -> StallLimits:
    """Return the limits for the first event of an answer.

    Args:
        aim_s: Target time to the first event, in seconds.
        typical_s: High quantile of recent times to the first event, in seconds; None while there
            are too few.
    """
    if typical_s is None:
        return StallLimits(
            max(MIN_FIRST_EVENT_LIMIT_S, aim_s), FIRST_EVENT_ALIVE_AIM_FACTOR * aim_s
        )
    return StallLimits(
        max(MIN_FIRST_EVENT_LIMIT_S, FIRST_EVENT_SILENT_FACTOR * typical_s),
        max(FIRST_EVENT_ALIVE_AIM_FACTOR * aim_s, FIRST_EVENT_ALIVE_FACTOR * typical_s),
    )


def gap_limits(gap_aim_s: float) -> StallLimits:
    """Return the limits for the gap between two events.

    Args:
        gap_aim_s: Longest gap that is on time, in seconds.
    """
    return StallLimits(
        max(MIN_GAP_LIMIT_S, GAP_SILENT_AIM_FACTOR * gap_aim_s), GAP_ALIVE_AIM_FACTOR * gap_aim_s
    )


def stalled(limits: StallLimits, waited_s: float, endpoint_silent_s: float) -> bool:
    """Return whether a stream has stalled.

    Args:
        limits: Longest waits.
        waited_s: Time since the request was sent or since its last event, in seconds.
        endpoint_silent_s: Time since the endpoint last sent anything to any request, in seconds.
    """
    if waited_s >= limits.alive_s:
        return True
    return min(waited_s, endpoint_silent_s) >= limits.silent_s
