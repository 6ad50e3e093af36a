"""Decodes the operators' and the endpoints' documents into the product's types."""

import logging
from typing import Any

from msgspec import DecodeError, Struct, ValidationError, convert, field
from msgspec.json import decode

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
)
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import RolloutOrder
from comfreyhatch.platform.store import Row

MS_PER_S = 1000.0
READY = "ready"
DRAINING = "draining"
HIGHEST_PORT = 65535

_KIND_BY_WORD = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}

log = logging.getLogger("comfreyhatch.platform")


class _Split(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    backends: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    sizes: list[str] = []


class _Model(Struct):
    name: str
    cost: float = 0.0


class _Engine(Struct):
    capacity: int = 1
    kv_capacity: int = 0
    stride: int = 1  # tokens in an event of a stream
    models: list[_Model] = []


class _Service(Struct):
    name: str
    max_conns: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


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
    to: str
    over_s: float


class _Server(Struct):
    service: str
    address: str
    zone: str
    version: str
    capacity: int
    state: str
    cold_left_ms: float = 0.0
    born: int = field(default=0)


def decode_catalog(value: bytes) -> Catalog | None:
    """Return a configuration, or None (with a log line) when it cannot be read."""
    config = _decode(value, _Config, "config")
    if config is None:
        return None
    routes = [route for route in map(_route, config.routes) if route]
    routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: -len(r.prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    return Catalog(
        version=config.version,
        routes_by_host={host: tuple(found) for host, found in routes_by_host.items()},
        service_by_name={s.name: _service(s) for s in config.services},
        workspace_by_key={
            key: Workspace(tenant.name, tenant.priority)
            for tenant in config.tenants
            for key in tenant.api_keys
        },
        limits=_limits(config.limits),
    )


def decode_order(row: Row) -> RolloutOrder | None:
    """Return the order of a roll-out, or None when it cannot be read."""
    order = _decode(row.value, _Order, f"order {row.key}")
    if order is None:
        return None
    return RolloutOrder(order.service, order.to, order.over_s, row.revision)


def decode_endpoint(row: Row) -> EndpointRecord | None:
    """Return the record of an endpoint, or None when it names no endpoint to use."""
    server = _decode(row.value, _Server, f"endpoint {row.key}")
    if server is None:
        return None
    address = _address(server.address)
    if server.state not in (READY, DRAINING) or address is None:
        log.warning("event=endpoint_unusable endpoint=%s state=%r", row.key, server.state)
        return None
    return EndpointRecord(
        endpoint_id=row.key,
        service=server.service,
        address=address,
        zone=server.zone,
        version=server.version,
        slots=max(1, server.capacity),
        draining=server.state == DRAINING,
        cold_left_s=max(0.0, server.cold_left_ms) / MS_PER_S,
        born_ms=server.born,
        revision=row.revision,
    )


def _address(text: str) -> Address | None:
    """Return HOST:PORT as an address, or None when it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        return None
    return Address(host, int(port))


def _decode(value: bytes, form: type[Any], what: str) -> Any:
    try:
        return convert(decode(value), form, strict=True)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        log.warning("event=document_unreadable what=%r reason=%r", what, str(error))
        return None


def _route(route: _Route) -> Route | None:
    kind = _KIND_BY_WORD.get(route.kind)
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


def _service(service: _Service) -> BackendService:
    engine = None
    if service.engine is not None:
        models = tuple(ModelPrice(m.name, m.cost) for m in service.engine.models)
        engine = EngineSpec(
            service.engine.capacity, service.engine.kv_capacity, models, service.engine.stride
        )
    return BackendService(
        service.name, service.max_conns, service.cold_s, service.cold_per_s, engine
    )


def _limits(limits: _Limits | None) -> ListenerLimits | None:
    if limits is None:
        return None
    return ListenerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / MS_PER_S,
        limits.idle_timeout_ms / MS_PER_S,
    )
