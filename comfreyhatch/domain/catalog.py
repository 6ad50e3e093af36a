"""What operators publish: routes, services, workspaces and the limits of the listener."""

from enum import Enum

from msgspec import Struct


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(Struct, frozen=True):
    """A service that a route sends to, and its weight among the route's services."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True):
    """Where the requests below a path prefix of a host go, and how they are treated.

    Attributes:
        name: Unique name.
        host: Host, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        aim_s: Time within which an answer (of a stream: its first event) is worth most.
        rank: Urgency; 0 is the most urgent.
        shares: Services of the route.
        models: Models that may answer, smallest first; empty when callers name the model.
        max_attempts: Endpoints that one request may run on.
        public: Whether requests need no API key.
        resumable: Whether a stream may go on at another endpoint.
        gap_aim_s: Longest pause between events of a stream that is still on time.
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
    """A model of an engine and its price for 1,000 generated tokens."""

    name: str
    cost: float


class EngineSpec(Struct, frozen=True):
    """What is known of a model engine.

    Attributes:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that its memory holds.
        models: Models that it serves.
        tokens_per_event: Tokens that an event of a stream holds.
    """

    slots: int
    memory_tokens: int
    models: tuple[ModelPrice, ...] = ()
    tokens_per_event: int = 1

    def price(self, model: str) -> float:
        """Return a model's price for 1,000 generated tokens; 0 when none is told."""
        return next((found.cost for found in self.models if found.name == model), 0.0)


class BackendService(Struct, frozen=True):
    """A service of equal endpoints.

    Attributes:
        name: Unique name.
        max_connections: Connections that an endpoint takes from all callers together.
        cold_s: How long an endpoint is cold after its start.
        cold_per_s: Requests a second that a cold endpoint bears; 0 when it bears all.
        engine: Facts of the model engine; None for a plain service.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


class Workspace(Struct, frozen=True):
    """A workspace of callers; `rank` goes before that of a route, if there is one."""

    name: str
    rank: int | None = None


class ListenerLimits(Struct, frozen=True):
    """What callers may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Catalog(Struct, frozen=True):
    """One accepted configuration.

    Attributes:
        version: Number of the configuration; higher is newer.
        routes_by_host: Routes of a host, the longest prefix first.
        service_by_name: Services.
        workspace_by_key: Workspaces by API key.
        limits: Limits of the callers' listener.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, BackendService]
    workspace_by_key: dict[str, Workspace]
    limits: ListenerLimits | None = None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
