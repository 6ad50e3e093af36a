"""Endpoint selection by least expected delay, with affinity for shared prompt prefixes.

Many daemons decide from the same, slightly outdated load reports. So that they do not all pick the
same endpoint, each adds its own requests under way and breaks ties by a hash of the request. For a
shared prompt prefix all of them prefer the same endpoint, by rendezvous hashing.
"""

from collections.abc import Callable, Iterable

from xxhash import xxh64_intdigest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Exchange

HASH_RANGE = float(2**64)
# Relative increase of the cost for each unit of failure share above the tolerated share.
FAILURE_COST_FACTOR = 1.5
TOLERATED_FAILURE_SHARE = 0.2
OTHER_ZONE_PENALTY_S = 0.004
# Largest term that breaks ties between endpoints of nearly equal cost.
MAX_TIE_BREAK_S = 0.004


def choose_endpoint(
    exchange: Exchange,
    candidates: Iterable[EndpointTracker],
    zone: str,
    work_s: float,
    now: float,
    expected_delay_s: Callable[[EndpointTracker], float] | None = None,
) -> EndpointTracker | None:
    """Return the candidate with the least expected delay, or None when there is none.

    Args:
        exchange: Request to place.
        candidates: Endpoints that may run it.
        zone: Availability zone of this daemon.
        work_s: Time that an idle endpoint needs for it, in seconds.
        now: Monotonic time in seconds.
        expected_delay_s: Returns the expected queueing delay at an endpoint, in seconds, by its
            present load; None to go by earlier answers.
    """
    found = list(candidates)
    if not found:
        return None
    affinity = preferred_by_prefix(exchange, found)
    delay_s = expected_delay_s or (lambda endpoint: endpoint.delay_s(now))
    return min(found, key=lambda e: _cost_s(exchange, e, zone, affinity, work_s, delay_s(e), now))


def preferred_by_prefix(
    exchange: Exchange, candidates: list[EndpointTracker]
) -> EndpointTracker | None:
    """Return the endpoint that all daemons prefer for a request's prompt prefix; None without."""
    prefix = _shared_prefix(exchange)
    return _affinity_endpoint(prefix, candidates) if prefix and candidates else None


def _cost_s(
    exchange: Exchange,
    endpoint: EndpointTracker,
    zone: str,
    affinity: EndpointTracker | None,
    work_s: float,
    delay_s: float,
    now: float,
) -> float:
    """Return the expected time to an answer from an endpoint, in seconds, with penalties."""
    utilization = (endpoint.running(now) + 1) / endpoint.record.slots
    cost = endpoint.pace * (delay_s + work_s * (1 + utilization))
    cost *= 1 + FAILURE_COST_FACTOR * max(0.0, endpoint.failure_share - TOLERATED_FAILURE_SHARE)
    if endpoint.record.zone != zone:
        cost += OTHER_ZONE_PENALTY_S
    if affinity is not None and endpoint is not affinity:
        # Any other endpoint has to process the shared prefix anew.
        cost += work_s * shared_fraction(exchange)
    return cost + MAX_TIE_BREAK_S * _unit_hash(exchange.request_id, endpoint.record.endpoint_id)


def shared_fraction(exchange: Exchange) -> float:
    """Return the fraction of the prompt's tokens that other requests may share."""
    total = sum(part.tokens for part in exchange.parts)
    return 1 - exchange.parts[-1].tokens / total if total else 0.0


def _shared_prefix(exchange: Exchange) -> str:
    """Return the id of the last prompt part that other requests may share; empty if none."""
    shared = exchange.shared_part_ids
    return shared[-1] if shared else ""


def _affinity_endpoint(prefix: str, candidates: list[EndpointTracker]) -> EndpointTracker:
    """Return the endpoint that all daemons prefer for a shared prefix."""
    return min(candidates, key=lambda e: _unit_hash(prefix, e.record.endpoint_id))


def _unit_hash(key: str, name: str) -> float:
    """Return a hash of a key and a name, as a number in [0, 1)."""
    return xxh64_intdigest(f"{key}\0{name}".encode()) / HASH_RANGE


def session_point(session_key: str, salt: str) -> float:
    """Return the hash of a session key as a number in [0, 1), the same at every daemon.

    Args:
        session_key: Key that the requests of a session share.
        salt: Makes the points of a session independent of each other.
    """
    return _unit_hash(session_key, salt)
