"""Readiness of a daemon that is cut off from the directory and all peers.

Guards against a partitioned zone whose daemons callers still reach: the few endpoints left there
get all of the zone's requests, although daemons in other zones could serve them. Such a daemon
fails its readiness check, so that new callers are sent elsewhere.
"""

from msgspec import Struct

# Above this delay or load the reachable endpoints of a service count as overloaded.
MAX_QUEUE_DELAY_S = 0.4
MAX_LOAD = 0.6
# Share of unreachable endpoints above which a service is degraded if the rest is overloaded.
MAX_UNREACHABLE_SHARE = 0.5


class ServiceReachability(Struct, frozen=True):
    """Reachable endpoints of a service and their load.

    Attributes:
        unreachable: Share of the endpoints that have recently been unreachable.
        delay_s: Median queueing delay at the reachable endpoints, in seconds.
        load: Running and waiting requests as a share of the slots of reachable endpoints.
    """

    unreachable: float
    delay_s: float
    load: float


def should_report_unready(
    cut_off: bool, services: list[ServiceReachability], was_unready: bool
) -> bool:
    """Return whether the daemon should fail its readiness check.

    Args:
        cut_off: Whether the daemon reaches neither the directory nor any peer.
        services: Reachability of each service.
        was_unready: The previous result; it holds until the partition heals, so that callers
            don't switch back and forth.
    """
    if not cut_off:
        return False
    return was_unready or any(map(_is_degraded, services))


def _is_degraded(service: ServiceReachability) -> bool:
    """Return whether all endpoints are unreachable, or most of them and the rest overloaded."""
    if service.unreachable >= 1.0:
        return True
    overloaded = service.delay_s > MAX_QUEUE_DELAY_S or service.load > MAX_LOAD
    return service.unreachable > MAX_UNREACHABLE_SHARE and overloaded
