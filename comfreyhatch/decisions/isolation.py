"""Whether a daemon that is cut off leaves its callers to daemons elsewhere.

Answers a zone that is partitioned from the others while callers still reach it: its few endpoints
get all of the zone's work, though the callers could be served elsewhere.
"""

from msgspec import Struct

MAX_QUEUE_DELAY_S = 0.4
MAX_LOAD = 0.6
MAX_UNREACHABLE_SHARE = 0.5


class ServiceReachability(Struct, frozen=True):
    """What a daemon can reach of a service.

    Attributes:
        unreachable: Share of its endpoints that could not be reached lately.
        delay_s: Wait behind other work at those that can be reached, in seconds.
        load: Their running and waiting requests as a share of their slots.
    """

    unreachable: float
    delay_s: float
    load: float


def should_report_unready(
    cut_off: bool, services: list[ServiceReachability], was_unready: bool
) -> bool:
    """Return whether new callers are better served elsewhere.

    Args:
        cut_off: Whether neither the directory nor a peer is heard.
        services: What the daemon can reach, by service.
        was_unready: Whether it was so a moment ago; it stays so until the cut heals, so that
            callers do not come and go.
    """
    if not cut_off:
        return False
    return was_unready or any(map(_is_degraded, services))


def _is_degraded(reach: ServiceReachability) -> bool:
    if reach.unreachable >= 1.0:
        return True
    crowded = reach.delay_s > MAX_QUEUE_DELAY_S or reach.load > MAX_LOAD
    return reach.unreachable > MAX_UNREACHABLE_SHARE and crowded
