"""Choice of the endpoint for a request.

Answers many daemons with the same stale reports: each counts its own work, spreads ties by a hash
of the request, and prefers for a shared prompt the endpoint that all daemons prefer for it.
"""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Exchange

HASH_RANGE = float(2**64)
FAILURE_PENALTY = 1.5
FAILURE_NORMAL = 0.2
OTHER_ZONE_PENALTY_S = 0.004
TIE_SPREAD_S = 0.004


def choose_endpoint(
    exchange: Exchange,
    candidates: Iterable[EndpointTracker],
    zone: str,
    work_s: float,
    now: float,
) -> EndpointTracker | None:
    """Return the candidate with the least expected delay, or None when there is none.

    Args:
        exchange: Request to place.
        candidates: Endpoints that may run it.
        zone: Availability zone of this daemon.
        work_s: Time that an idle endpoint needs for it.
        now: Monotonic time in seconds.
    """
    found = list(candidates)
    if not found:
        return None
    shared = _shared_prefix(exchange)
    home = _preferred(shared, found) if shared else None
    return min(found, key=lambda e: _cost_s(exchange, e, zone, home, work_s, now))


def _cost_s(
    exchange: Exchange,
    endpoint: EndpointTracker,
    zone: str,
    home: EndpointTracker | None,
    work_s: float,
    now: float,
) -> float:
    """Return the expected time to an answer there, failures included, in seconds."""
    crowd = (endpoint.running(now) + 1) / endpoint.record.slots
    cost = endpoint.delay_s(now) + work_s * (1 + crowd)
    cost *= 1 + FAILURE_PENALTY * max(0.0, endpoint.failure_share - FAILURE_NORMAL)
    if endpoint.record.zone != zone:
        cost += OTHER_ZONE_PENALTY_S
    if home is not None and endpoint is not home:
        cost += work_s * _shared_part(exchange)
    return cost + TIE_SPREAD_S * _unit(exchange.request_id, endpoint.record.endpoint_id)


def _shared_part(exchange: Exchange) -> float:
    """Return the share of the prompt that other requests have too."""
    whole = sum(part.tokens for part in exchange.parts)
    return 1 - exchange.parts[-1].tokens / whole if whole else 0.0


def _shared_prefix(exchange: Exchange) -> str:
    """Return the last part of the prompt that other requests have too; empty if none."""
    return exchange.parts[-2].part_id if len(exchange.parts) > 1 else ""


def _preferred(key: str, candidates: list[EndpointTracker]) -> EndpointTracker:
    return min(candidates, key=lambda e: _unit(key, e.record.endpoint_id))


def _unit(key: str, name: str) -> float:
    return xxh64_intdigest(f"{key}\0{name}".encode()) / HASH_RANGE


def session_point(session_key: str, salt: str) -> float:
    """Return a session's fixed point in [0, 1), the same at every daemon."""
    return _unit(session_key, salt)
