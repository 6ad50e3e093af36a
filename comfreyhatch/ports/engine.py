"""Client interfaces for model engines and plain services, and their messages."""

from collections.abc import AsyncGenerator
from enum import Enum
from typing import Protocol

from msgspec import Struct

from comfreyhatch.domain.instance import Instance
from comfreyhatch.domain.request import ChatMessage, Usage


class LoadReport(Struct, frozen=True):
    """An endpoint's report of its own load, which may be out of date.

    Attributes:
        endpoint_id: Instance id of the endpoint.
        in_flight: Number of requests running.
        queued: Number of requests waiting in the engine.
        bears: Current concurrency limit, in requests; reduced during a cold start.
        cold: Whether it is in cold start.
        versions: Ids of the loaded versions; empty for plain services.
        age_s: Age of the report when it was sent, in seconds.
    """

    endpoint_id: str
    in_flight: int
    queued: int
    bears: int
    cold: bool
    versions: tuple[str, ...] = ()
    age_s: float = 0.0


class GenerateRequest(Struct, frozen=True):
    """A generation request to an engine.

    Attributes:
        request_id: Echoed in each chunk of the answer.
        version_id: Version to run.
        messages: Messages of the chat.
        max_tokens: Largest length of the answer, in tokens.
        priority: 0 to 9; higher runs first.
        session: Session id, for prefix caching; may be empty.
        resume_offset: Index of the first token to send; above 0 if an answer is resumed.
        deadline_s: Time until the deadline, in seconds.
        pinned: Whether earlier requests of the session used the version.
        customer: Customer whose contract must allow the version at the time of dispatch.
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
    """Endpoint, zone, daemon and slot that produced an answer.

    Attributes:
        endpoint_id: Endpoint that ran it.
        zone: Zone of the endpoint.
        dispatcher: Daemon that sent the request to the endpoint.
        slot: Slot that the request held, as "number/limit".
    """

    endpoint_id: str
    zone: str
    dispatcher: str
    slot: str


class Chunk(Struct, frozen=True, omit_defaults=True):
    """A chunk of a streamed answer.

    Attributes:
        request_id: Echo of the request's id.
        offset: Index of the first token of the chunk.
        tokens: Tokens of the chunk, as text.
        finish: Finish reason, in the last chunk; empty in all others.
        usage: Number of tokens used, in the last chunk.
        load: Load report of the endpoint, in the last chunk.
        served: Origin of the answer, added to the last chunk by the dispatching daemon.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    finish: str = ""
    usage: Usage | None = None
    load: LoadReport | None = None
    served: AnswerOrigin | None = None


class OrderKind(Enum):
    """Kinds of orders to an engine."""

    LOAD_VERSION = "load-version"
    UNLOAD_VERSION = "unload-version"
    CHANGE_ROLE = "change-role"


class Order(Struct, frozen=True):
    """An order to an engine, with the fencing number of the lease under which it was issued."""

    order_id: str
    kind: OrderKind
    argument: str
    fence: int


class Engine(Protocol):
    """Client of model engines."""

    def generate(self, endpoint: Instance, request: GenerateRequest) -> AsyncGenerator[Chunk, None]:
        """Stream an answer; the last chunk has a `finish` reason.

        Raises:
            BackendRefusedError: If the engine did not run the request.
            AnswerBrokenError: If the answer was cut off or belongs to another request.
            BackendError: If the engine failed in another way.
        """
        ...

    async def cancel(self, endpoint: Instance, request_id: str) -> None:
        """Cancel a request; has no effect if the engine no longer runs it."""
        ...

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        ...

    async def order(self, endpoint: Instance, order: Order) -> None:
        """Send an order and wait until the engine has executed it.

        Raises:
            StaleFenceError: If the engine has seen a higher fencing number.
            BackendError: If the outcome is unknown.
        """
        ...


class ServiceRequest(Struct, frozen=True):
    """A call to a plain service.

    Attributes:
        request_id: Echoed in the service's answer.
        method: HTTP method.
        path: Path with query within the service.
        body: Request body.
        content_type: Media type of the body.
        idempotency_key: Key by which the service detects repeated calls; empty for none.
        claimed: Whether a claim on the key has been recorded.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    idempotency_key: str = ""
    claimed: bool = False


class ServiceAnswer(Struct, frozen=True):
    """A plain service's answer; `replayed` is True if it is that of an earlier execution."""

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
            BackendRefusedError: If the service did not run the call.
            BackendError: If the outcome is unknown.
        """
        ...

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        ...
