"""Model engines and plain services as the router uses them."""

from collections.abc import AsyncGenerator
from enum import Enum
from typing import Protocol

from msgspec import Struct

from comfreyhatch.domain.instance import Instance
from comfreyhatch.domain.request import ChatMessage, Usage


class LoadReport(Struct, frozen=True):
    """What an endpoint reports of itself, with a lag.

    Attributes:
        endpoint_id: Instance id of the endpoint.
        in_flight: Requests running.
        queued: Requests waiting in the engine.
        bears: Requests it bears at once now; small in cold start.
        cold: Whether it is in cold start.
        versions: Version ids loaded (engines).
        age_s: Age of the figures when sent, in seconds.
    """

    endpoint_id: str
    in_flight: int
    queued: int
    bears: int
    cold: bool
    versions: tuple[str, ...] = ()
    age_s: float = 0.0


class GenerateRequest(Struct, frozen=True):
    """A request to an engine.

    Attributes:
        request_id: Echoed in each chunk of the answer.
        version_id: Version to run.
        messages: The chat.
        max_tokens: Largest answer, in tokens.
        priority: 0 to 9; higher runs first.
        session: Session, for prefix caching; may be empty.
        resume_offset: First token wanted, when an answer is resumed.
        deadline_s: Time left, in seconds.
        pinned: Whether the session is on the version already.
        customer: Whose contract has to allow the version at the dispatch.
    """

    request_id: str
    version_id: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    priority: int
    session: str = ""
    resume_offset: int = 0
    deadline_s: float = 30.0
    pinned: bool = False
    customer: str = ""


class AnswerOrigin(Struct, frozen=True):
    """Where an answer came from.

    Attributes:
        endpoint_id: Endpoint that ran it.
        zone: Zone of the endpoint.
        dispatcher: Daemon that sent it to the endpoint.
        slot: Slot of the endpoint's limit that it held, as "number/limit".
    """

    endpoint_id: str
    zone: str
    dispatcher: str
    slot: str


class Chunk(Struct, frozen=True, omit_defaults=True):
    """One piece of an answer.

    Attributes:
        request_id: Echo of the request's id.
        offset: Index of the first token in the piece.
        tokens: Tokens of the piece, as text.
        finish: Reason of the end; empty before the end.
        usage: Tokens used; with the end.
        load: Load report; with the end.
        served: Where it ran; added with the end by the dispatching daemon.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    finish: str = ""
    usage: Usage | None = None
    load: LoadReport | None = None
    served: AnswerOrigin | None = None


class OrderKind(Enum):
    """What an engine can be ordered to do."""

    LOAD_VERSION = "load-version"
    UNLOAD_VERSION = "unload-version"
    CHANGE_ROLE = "change-role"


class Order(Struct, frozen=True):
    """An order to an engine, with the fencing number of the lease it was given under."""

    order_id: str
    kind: OrderKind
    argument: str
    fence: int


class Engine(Protocol):
    """Client of model engines."""

    def generate(self, endpoint: Instance, request: GenerateRequest) -> AsyncGenerator[Chunk, None]:
        """Stream an answer; ends after a chunk with `finish`.

        Raises:
            BackendRefusedError: If the engine did not run it.
            AnswerBrokenError: If the answer was cut or belongs to another request.
            BackendError: If the engine failed otherwise.
        """
        ...

    async def cancel(self, endpoint: Instance, request_id: str) -> None:
        """Cancel a running request, as far as the engine still knows it."""
        ...

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        ...

    async def order(self, endpoint: Instance, order: Order) -> None:
        """Give an order and wait until it is carried out.

        Raises:
            StaleFenceError: If the engine saw a newer fencing number.
            BackendError: If the outcome is unknown.
        """
        ...


class ServiceRequest(Struct, frozen=True):
    """A call to a plain service.

    Attributes:
        request_id: Echoed by the service.
        method: HTTP method.
        path: Path with query within the service.
        body: Body.
        content_type: Media type of the body.
        idempotency_key: Key that the service counts executions by; empty for none.
        claimed: Whether the claim of the key is recorded.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    idempotency_key: str = ""
    claimed: bool = False


class ServiceAnswer(Struct, frozen=True):
    """A plain service's answer; `replayed` if it is that of an earlier execution."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class PlainService(Protocol):
    """Client of plain services."""

    async def call(
        self, endpoint: Instance, request: ServiceRequest, timeout_s: float
    ) -> ServiceAnswer:
        """Call the service once.

        Raises:
            BackendRefusedError: If the service did not run it.
            BackendError: If the outcome is unknown.
        """
        ...

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        ...
