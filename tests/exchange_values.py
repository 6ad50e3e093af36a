"""Factories of deployments, exchanges, jobs, endpoint records and crash guards for tests."""

from collections.abc import Awaitable, Callable
from random import Random

from prometheus_client import CollectorRegistry

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import RequestKind, Route, ServiceShare
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import Exchange, Job, PromptPart
from comfreyhatch.domain.instance import Address
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.part_guard import PartGuard
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.request_guard import RequestGuard

TIMEOUT_S = 20.0


def deployment(bounds: Bounds, seeds: tuple[Address, ...] = ()) -> Deployment:
    """Return the settings of a daemon of zone a that listens nowhere."""
    unused = Address("127.0.0.1", 1)
    return Deployment("d1", "a", ("a",), unused, unused, None, seeds, unused, 1.0, 100, 100, bounds)


def exchange(request_id: str = "r1", parts: tuple[PromptPart, ...] = ()) -> Exchange:
    return Exchange(request_id, "POST", "/p/x", "host", "/p/x", [], b"", parts=parts)


def job(aim_s: float = 1.0, arrived: float = 0.0, request_id: str = "r1") -> Job:
    route = Route(
        "route", "host", "/p/", RequestKind.STREAM, TIMEOUT_S, aim_s, 1, (ServiceShare("s"),)
    )
    deadline = arrived + TIMEOUT_S
    identity = request_id.encode()
    return Job(exchange(request_id), route, "club", "s", 1, arrived, deadline, identity)


def record(endpoint_id: str, zone: str = "a", slots: int = 4, **changes: object) -> EndpointRecord:
    values: dict[str, object] = {
        "endpoint_id": endpoint_id,
        "service": "s",
        "address": Address("10.0.0.1", 80),
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "draining": False,
        "cold_left_s": 0.0,
        "born_ms": 1,
        "revision": 1,
    }
    return EndpointRecord(**{**values, **changes})  # type: ignore[arg-type]


def crash_guard(is_down: Callable[[EndpointTracker], Awaitable[bool]]) -> CrashGuard:
    """Return the guard of daemon "d1", which knows no other daemon."""
    registry, reports = CollectorRegistry(), PeerReports(1.0)
    parts = PartGuard("d1", set, registry, reports, Random(1))
    return CrashGuard(parts, RequestGuard("d1", set, registry, reports, Random(1)), is_down)


def crash_probe(down: bool) -> Callable[[EndpointTracker], Awaitable[bool]]:
    """Return a probe that finds each endpoint down, or none."""

    async def is_down(endpoint: EndpointTracker) -> bool:
        return down

    return is_down
