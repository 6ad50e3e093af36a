"""An opaque request with the facts that decide its way, and the head of an answer to it."""

from msgspec import Struct

from comfreyhatch.domain.catalog import Route

Headers = list[tuple[bytes, bytes]]


class PromptPart(Struct, frozen=True):
    """A part of a prompt that requests may share; parts are in order."""

    part_id: str
    tokens: int


class Exchange(Struct, frozen=True):
    """A request as it was read from a caller.

    Attributes:
        request_id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path with query, as sent.
        host: Host, in lower case, without a port.
        path: Path without query.
        headers: Headers to pass on.
        body: Body.
        api_key: Key of the caller; empty when there is none.
        timeout_s: How long the caller will wait; None when it does not say.
        model: Model named by the caller.
        prompt_tokens: Tokens of the prompt; 0 when not told.
        output_tokens: Most tokens of the answer; 0 when not told.
        parts: Parts of the prompt.
        session: Session that the request belongs to; empty when there is none.
        last_event_id: Last event of a stream that the caller holds already.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes
    api_key: str = ""
    timeout_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""
    last_event_id: int | None = None


class Job(Struct, frozen=True):
    """An exchange that is allowed, with where it goes and until when.

    Attributes:
        exchange: The request.
        route: Its route.
        workspace: Workspace that pays; empty on public routes.
        service: Service of the route that it goes to.
        rank: Urgency; 0 is the most urgent.
        arrived: Monotonic time of its arrival, in seconds.
        deadline: Monotonic time by which it needs its final answer.
    """

    exchange: Exchange
    route: Route
    workspace: str
    service: str
    rank: int
    arrived: float
    deadline: float

    @property
    def session_key(self) -> str:
        """What keeps requests of one session together; the request itself without a session."""
        return self.exchange.session or self.exchange.request_id


class Dispatch(Struct, frozen=True):
    """How a request is sent to an endpoint.

    Attributes:
        endpoint_id: Endpoint that is meant.
        time_left_s: How long the caller still waits.
        workspace: Workspace that pays; empty on public routes.
        model: Model to run; empty when the caller's choice stands.
        last_event_id: Last event that the caller holds; None for a stream from its start.
        engine_priority: Place in an engine's admission order, 0 is first; None to send none.
    """

    endpoint_id: str
    time_left_s: float
    workspace: str = ""
    model: str = ""
    last_event_id: int | None = None
    engine_priority: int | None = None


class ReportedLoad(Struct, frozen=True):
    """Requests that run and wait at an endpoint, and its slots, as it says itself."""

    running: int
    waiting: int
    slots: int


class AnswerHead(Struct, frozen=True):
    """Status and headers of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass back.
        request_id: Request that it answers; empty when not told.
        has_receipt: Whether it bears the endpoint's receipt of a run.
        refused: Whether the endpoint says that it has not run the request.
        implies_not_run: Whether a caller would take the status for a promise of not having run.
        misdirected: Whether another endpoint has the address.
        encoded: Whether the body is not the endpoint's own bytes.
        load: Load of the endpoint.
        cold_s: How long the endpoint stays cold; None when not told.
        confidence: The model's opinion of its answer, 0 to 100; None when not told.
    """

    status: int
    headers: Headers
    request_id: str = ""
    has_receipt: bool = False
    refused: bool = False
    implies_not_run: bool = False
    misdirected: bool = False
    encoded: bool = False
    load: ReportedLoad | None = None
    cold_s: float | None = None
    confidence: int | None = None

    @property
    def success(self) -> bool:
        """Whether the status says success."""
        return 200 <= self.status < 300
