"""Configuration published by operators: routes, services, workspaces and listener limits."""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct


class RequestKind(Enum):
    """Retry semantics of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(Struct, frozen=True):
    """A service that a route sends requests to, and its relative weight."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True):
    """Routing rule for the requests of a host below a path prefix.

    Attributes:
        name: Unique name.
        host: Host, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Retry semantics.
        timeout_s: Longest time until the final answer, in seconds.
        aim_s: Target time for the answer or, of a stream, for its first event, in seconds.
        rank: Priority rank of its requests; 0 is the most urgent.
        shares: Services that the requests are distributed to, with their weights.
        models: Models that may answer, smallest first; empty when callers name the model.
        max_attempts: Largest number of endpoints that one request may run on.
        public: Whether requests need no API key.
        resumable: Whether an interrupted stream may be resumed on another endpoint.
        gap_aim_s: Longest gap between two events of a stream that is on time, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    aim_s: float
    rank: int
    shares: tuple[ServiceShare, ...]
    models: tuple[str, ...] = ()
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class ModelPrice(Struct, frozen=True):
    """A model of an engine and its price per 1,000 generated tokens."""

    name: str
    cost: float


class EngineSpec(Struct, frozen=True):
    """Capacity and models of a kind of model engine.

    Attributes:
        slots: Number of requests that it runs at once.
        memory_tokens: Capacity of its memory, in tokens.
        models: Models that it serves.
        tokens_per_event: Number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    models: tuple[ModelPrice, ...] = ()
    tokens_per_event: int = 1

    def price(self, model: str) -> float:
        """Return a model's price per 1,000 generated tokens; 0 if the engine does not list it."""
        return next((found.cost for found in self.models if found.name == model), 0.0)


class BackendService(Struct, frozen=True):
    """A service whose endpoints are interchangeable.

    Attributes:
        name: Unique name.
        max_connections: Largest number of connections to an endpoint from all clients together.
        cold_s: Duration of the cold start of an endpoint, in seconds.
        cold_per_s: Largest request rate to an endpoint in cold start, in requests per second; 0 for
            no limit.
        engine: Capacity and models of its model engine; None for a plain service.
        health_path: Path that its endpoints answer beside callers' requests; empty for none, and
            from daemons of a build that doesn't know it.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None
    health_path: str = ""


class Workspace(Struct, frozen=True):
    """A workspace of callers; its `rank`, if set, overrides the rank of the route."""

    name: str
    rank: int | None = None


class ListenerLimits(Struct, frozen=True):
    """Limits on the size of requests and on the time that callers take to send them."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first; the order given does not matter."""
    grouped: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: (-len(r.prefix), r.prefix, r.name)):
        grouped.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in grouped.items()}


class Catalog(Struct, frozen=True):
    """One accepted configuration.

    Attributes:
        version: Number of the configuration; a higher number is newer.
        routes_by_host: Routes of each host, longest prefix first.
        service_by_name: Services by name.
        workspace_by_key: Workspaces by API key.
        limits: Limits of the callers' listener.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, BackendService]
    workspace_by_key: dict[str, Workspace]
    limits: ListenerLimits | None = None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def health_path(self, service: str) -> str:
        """Return the path that a service's endpoints answer beside requests; empty for none."""
        found = self.service_by_name.get(service)
        return found.health_path if found else ""
