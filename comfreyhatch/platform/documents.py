"""Decodes the JSON documents of operators and endpoints into domain types.

A document that cannot be decoded is logged and ignored.
"""

import logging
import re
from collections import Counter
from collections.abc import Iterable
from typing import Annotated, Any

from msgspec import DecodeError, Meta, Struct, ValidationError, convert
from msgspec.json import decode

from comfreyhatch.decisions.catalog_check import key_name
from comfreyhatch.domain.catalog import (
    BackendService,
    Catalog,
    EngineSpec,
    ListenerLimits,
    ModelPrice,
    RequestKind,
    Route,
    ServiceShare,
    Workspace,
    group_routes,
)
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.finding import Finding, FindingCode
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import RolloutOrder
from comfreyhatch.platform.rows import Row

MS_PER_S = 1000.0
STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_PORT = 65535
# Larger numbers can't be told to peers, or be divided by, and are no sensible counts or times.
MAX_COUNT = 2**31 - 1
MAX_TIME_MS = 2**53

_HOST = re.compile(r"[A-Za-z0-9.:_\-\[\]]{1,255}")
_PORT = re.compile(r"[0-9]{1,5}")
_HEALTH_PATH = re.compile(r"/[!-~]{0,255}")

_KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}

_UNREADABLE = (DecodeError, ValidationError, UnicodeDecodeError, RecursionError)

log = logging.getLogger("comfreyhatch.platform")


class _Backend(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 1000.0  # target time of the answer or first event
    priority: int = 0
    service: str = ""
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0  # longest gap between two events that is on time
    sizes: list[str] = []  # names of models, smallest first


class _Model(Struct):
    name: str
    cost: float = 0.0


class _Engine(Struct):
    capacity: int = 1
    kv_capacity: int = 0  # in tokens
    stride: int = 1  # tokens per event of a stream
    models: list[_Model] = []


class _Service(Struct):
    name: str
    max_conns: int = 0  # to one endpoint, from all clients together
    cold_s: float = 0.0  # duration of an endpoint's cold start
    cold_per_s: float = 0.0  # highest request rate to an endpoint in cold start; 0 for no limit
    engine: _Engine | None = None
    health_path: Any = ""


class _Limits(Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits | None = None


class _Order(Struct):
    service: str
    to: str  # target version
    over_s: float  # planned duration of the roll-out


class _Server(Struct):
    service: str
    address: str
    zone: str
    version: str
    capacity: Annotated[int, Meta(le=MAX_COUNT)]
    state: str
    cold_left_ms: Annotated[float, Meta(le=MAX_TIME_MS)] = 0.0
    # Unix time of its start, in milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_TIME_MS)] = 0


def decode_catalog(value: bytes) -> Catalog | None:
    """Decode a configuration, leaving out routes of unknown kinds; return None if malformed."""
    config = _decode(value, _Config, "config")
    if config is None:
        return None
    routes = [route for route in map(_to_route, config.routes) if route]
    return Catalog(
        version=config.version,
        routes_by_host=group_routes(routes),
        service_by_name={s.name: _to_service(s) for s in config.services},
        workspace_by_key={
            key: Workspace(tenant.name, tenant.priority)
            for tenant in config.tenants
            for key in tenant.api_keys
            # An empty key would admit requests that bear none.
            if key
        },
        limits=_to_limits(config.limits),
    )


def document_findings(value: bytes) -> list[Finding]:
    """Return what `decode_catalog` leaves out of a configuration, or can't read."""
    try:
        config = convert(decode(value), _Config, strict=True)
    except _UNREADABLE as error:
        return [Finding(FindingCode.UNREADABLE, "document", str(error))]
    found = [
        *_duplicates("route", (route.name for route in config.routes)),
        *_duplicates("service", (service.name for service in config.services)),
        *_duplicates("tenant", (tenant.name for tenant in config.tenants)),
        *_shared_keys(config.tenants),
    ]
    for route in config.routes:
        where = f"route {route.name}"
        if route.kind not in _KIND_BY_NAME:
            found.append(Finding(FindingCode.UNREADABLE, where, f"unknown kind {route.kind!r}"))
        if route.max_attempts < 1:
            message = f"max_attempts is {route.max_attempts}"
            found.append(Finding(FindingCode.ZERO_LIMIT, where, message))
        for backend in route.backends:
            if backend.weight <= 0:
                message = f"backend {backend.service} of weight {backend.weight:g} gets nothing"
                found.append(Finding(FindingCode.NEVER_MATCHES, where, message))
    for service in config.services:
        if service.health_path and not _is_health_path(service.health_path):
            message = "its health path can't be sent, and is ignored"
            found.append(Finding(FindingCode.UNUSED, f"service {service.name}", message))
    return found


def decode_order(row: Row) -> RolloutOrder | None:
    """Decode an operator's order of a roll-out; return None if it is malformed."""
    order = _decode(row.value, _Order, f"order {row.key}")
    if order is None:
        return None
    return RolloutOrder(order.service, order.to, order.over_s, row.revision)


def decode_endpoint(row: Row) -> EndpointRecord | None:
    """Decode an endpoint's record; return None if it is malformed or the endpoint is unusable."""
    server = _decode(row.value, _Server, f"endpoint {row.key}")
    if server is None:
        return None
    address = _parse_address(server.address)
    if server.state not in (STATE_READY, STATE_DRAINING) or address is None:
        log.warning("event=endpoint_unusable endpoint=%s state=%r", row.key, server.state)
        return None
    return EndpointRecord(
        endpoint_id=row.key,
        service=server.service,
        address=address,
        zone=server.zone,
        version=server.version,
        slots=max(1, server.capacity),
        draining=server.state == STATE_DRAINING,
        cold_left_s=max(0.0, server.cold_left_ms) / MS_PER_S,
        born_ms=server.born,
        revision=row.revision,
        generation=row.generation,
    )


def _parse_address(text: str) -> Address | None:
    """Parse HOST:PORT; return None if it is malformed or the port is out of range."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    return Address(host, int(port))


def _decode(value: bytes, struct_type: type[Any], what: str) -> Any:
    """Decode JSON into a struct; log a warning and return None if it is malformed."""
    try:
        return convert(decode(value), struct_type, strict=True)
    except _UNREADABLE as error:
        log.warning("event=document_unreadable what=%r reason=%r", what, str(error))
        return None


def _duplicates(kind: str, names: Iterable[str]) -> list[Finding]:
    return [
        Finding(FindingCode.DUPLICATE_NAME, f"{kind} {name}", f"{count} entries have this name")
        for name, count in Counter(names).items()
        if count > 1
    ]


def _shared_keys(tenants: list[_Tenant]) -> list[Finding]:
    """Return tenants without API keys, or with keys that they have twice or share with others."""
    found: list[Finding] = []
    name_by_key: dict[str, str] = {}
    for tenant in tenants:
        where = f"tenant {tenant.name}"
        keys = [key for key in tenant.api_keys if key]
        if not keys:
            found.append(Finding(FindingCode.NO_KEY, where, "it has no API key"))
        if len(keys) < len(tenant.api_keys):
            message = "an empty API key is ignored: requests without a key would match it"
            found.append(Finding(FindingCode.CONTRADICTION, where, message))
        for key, count in Counter(keys).items():
            if count > 1:
                message = f"{key_name(key)} is listed more than once"
                found.append(Finding(FindingCode.COVERED, where, message))
            other = name_by_key.setdefault(key, tenant.name)
            if other != tenant.name:
                message = f"{key_name(key)} is one of tenant {other}, too"
                found.append(Finding(FindingCode.SHARED_KEY, where, message))
    return found


def _to_route(route: _Route) -> Route | None:
    """Convert a route; log a warning and return None if its kind is unknown."""
    kind = _KIND_BY_NAME.get(route.kind)
    if kind is None:
        log.warning("event=route_unreadable route=%s kind=%r", route.name, route.kind)
        return None
    shares = [ServiceShare(s.service, s.weight) for s in route.backends if s.weight > 0]
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=kind,
        timeout_s=route.timeout_ms / MS_PER_S,
        aim_s=route.goal_ms / MS_PER_S,
        rank=route.priority,
        shares=tuple(shares) or (ServiceShare(route.service),),
        models=tuple(route.sizes),
        max_attempts=max(1, route.max_attempts),
        public=route.public,
        resumable=route.resumable,
        gap_aim_s=route.gap_aim_ms / MS_PER_S,
    )


def _to_service(service: _Service) -> BackendService:
    engine = None
    if service.engine is not None:
        models = tuple(ModelPrice(m.name, m.cost) for m in service.engine.models)
        engine = EngineSpec(
            service.engine.capacity, service.engine.kv_capacity, models, service.engine.stride
        )
    return BackendService(
        service.name,
        service.max_conns,
        service.cold_s,
        service.cold_per_s,
        engine,
        _to_health_path(service),
    )


def _to_health_path(service: _Service) -> str:
    """Return the path of a service's health check; empty, which is logged, if it can't be sent."""
    path = service.health_path
    if not path:
        return ""
    if _is_health_path(path):
        return str(path)
    log.warning("event=health_path_ignored service=%s path=%r", service.name, path)
    return ""


def _is_health_path(path: Any) -> bool:
    return isinstance(path, str) and _HEALTH_PATH.fullmatch(path) is not None


def _to_limits(limits: _Limits | None) -> ListenerLimits | None:
    if limits is None:
        return None
    return ListenerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / MS_PER_S,
        limits.idle_timeout_ms / MS_PER_S,
    )
