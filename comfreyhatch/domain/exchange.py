"""A caller's request with the fields that routing needs, and the head of an endpoint's answer."""

from msgspec import Struct

from comfreyhatch.domain.catalog import Route

Headers = list[tuple[bytes, bytes]]


class PromptPart(Struct, frozen=True):
    """A part of a prompt, which several requests may have in common."""

    part_id: str
    tokens: int


class Exchange(Struct, frozen=True):
    """A request as received from a caller.

    Attributes:
        request_id: Id of the request; a caller's retry has another one.
        method: HTTP method.
        target: Path with query, as sent.
        host: Host, in lower case, without a port.
        path: Path without query.
        headers: Headers to forward.
        body: Body.
        api_key: API key of the caller; empty if there is none.
        timeout_s: Time limit set by the caller, in seconds; None if it set none.
        waited_s: Time from its arrival at this machine to its reading, in seconds.
        model: Model named by the caller; empty if none.
        prompt_tokens: Length of the prompt in tokens; 0 if unknown.
        output_tokens: Largest length of the answer in tokens; 0 if unknown.
        parts: Parts of the prompt, in order.
        session: Session that the request belongs to; empty if there is none.
        last_event_id: Last event of the stream that the caller has received; None to start from the
            beginning.
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
    waited_s: float = 0.0
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""
    last_event_id: int | None = None

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share; the last part is its own."""
        return tuple(part.part_id for part in self.parts[:-1])


class Job(Struct, frozen=True):
    """An authorized request with its route, service, rank and deadline.

    Attributes:
        exchange: The request.
        route: Its route.
        workspace: Workspace to be billed; empty on public routes.
        service: Service of the route that was chosen.
        rank: Priority rank; 0 is the most urgent.
        arrived: Monotonic time at which it arrived, in seconds.
        deadline: Monotonic time by which its final answer is due, in seconds.
        identity: Hash by which it is known again when the caller repeats it.
    """

    exchange: Exchange
    route: Route
    workspace: str
    service: str
    rank: int
    arrived: float
    deadline: float
    identity: bytes = b""

    @property
    def identity_text(self) -> str:
        """The identity as it stands in logs."""
        return self.identity.hex()

    @property
    def session_key(self) -> str:
        """Key for session affinity: the session, or the request id if there is no session."""
        return self.exchange.session or self.exchange.request_id


class Dispatch(Struct, frozen=True):
    """Parameters of one attempt to send a request to an endpoint.

    Attributes:
        endpoint_id: Endpoint that the attempt is addressed to.
        time_left_s: Time until the deadline, in seconds.
        workspace: Workspace to be billed; empty on public routes.
        model: Model to run; empty to keep the caller's choice.
        last_event_id: Last event that the caller has received; None for a stream from its start.
        engine_priority: Position in the engine's admission order, 0 first; None to send none and
            get the engine's usual position.
    """

    endpoint_id: str
    time_left_s: float
    workspace: str = ""
    model: str = ""
    last_event_id: int | None = None
    engine_priority: int | None = None


class ReportedLoad(Struct, frozen=True):
    """Load of an endpoint as reported by itself; a figure that it does not tell is None.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait there.
        slots: Requests that it runs at once.
        pace: Time that work takes there now, as a multiple of the usual time.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None = None


class AnswerHead(Struct, frozen=True):
    """Status and headers of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        request_id: Id of the request that it answers; empty if not sent.
        has_receipt: Whether it contains the endpoint's confirmation that it ran the request.
        refused: Whether the endpoint states that it did not run the request.
        implies_not_run: Whether callers conclude from the status that the request did not run.
        misdirected: Whether the address now belongs to another endpoint.
        encoded: Whether the body has a content encoding and so is not the endpoint's own bytes.
        load: Load reported by the endpoint; None if not sent.
        cold_s: Remaining time of the endpoint's cold start, in seconds; None if not sent.
        confidence: The model's confidence in its answer, 0 to 100; None if not sent.
        endpoint_id: Id of the endpoint that answers; empty if not sent.
        limit_per_s: Requests a second that the endpoint takes from all daemons together; None if it
            names no limit.
        limit_unreadable: Whether it names a limit that cannot be read.
        leaving: Whether the endpoint says that it is leaving.
        brittle_per_s: Refusals in a second beyond which the endpoint falls over; None if it is not
            brittle.
        rest_s: Time for which the endpoint wants no requests from this daemon, in seconds; None if
            it names none.
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
    endpoint_id: str = ""
    limit_per_s: float | None = None
    limit_unreadable: bool = False
    leaving: bool = False
    rest_s: float | None = None
    brittle_per_s: float | None = None

    @property
    def success(self) -> bool:
        """Whether the status is in the range 200 to 299."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> bytes:
        """Media type of the body in lower case, without parameters; empty if not sent."""
        value = next((value for name, value in self.headers if name == b"content-type"), b"")
        return value.partition(b";")[0].strip().lower()
