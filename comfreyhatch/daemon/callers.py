"""The callers' listener: parses requests, finds the contract, writes answers."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from hashlib import sha256
from itertools import count
from time import monotonic, time
from urllib.parse import quote

from msgspec import Struct, ValidationError, field
from msgspec.json import decode, encode

from comfreyhatch.adapters.http_server import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
)
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.draft import RecordDraft
from comfreyhatch.daemon.router import Router
from comfreyhatch.daemon.services import ServiceRouter
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request import ChatMessage, ChatRequest, Priority, Usage
from comfreyhatch.domain.request_id import new_request_id
from comfreyhatch.domain.version import VersionState
from comfreyhatch.errors import ComfreyhatchError, NotReadyError, RequestError
from comfreyhatch.ports.engine import Chunk, ServiceRequest

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
KEYS_PATH = "/v1/keys"
FIRST_ATTEMPT_HEADER = "x-first-attempt"
REPLAYED_HEADER = "x-idempotent-replay"
REQUEST_ID_HEADER = "x-request-id"
SESSION_TOKEN_HEADER = "x-session-token"
SESSION_MOVED_HEADER = "x-session-moved"
MAX_SESSION_CHARS = 256
MAX_PRIORITY = 9


class ChatBody(Struct):
    """The caller's JSON body; fields that the router does not use are ignored."""

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    max_tokens: int = 256


class Delta(Struct, omit_defaults=True):
    """New text of a streamed choice."""

    role: str = ""
    content: str = ""


class StreamedChoice(Struct):
    """The choice of a streamed piece."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


class ChoiceMessage(Struct):
    """The message of a whole answer."""

    content: str
    role: str = "assistant"


class WholeChoice(Struct):
    """The choice of a whole answer."""

    message: ChoiceMessage
    finish_reason: str
    index: int = 0


class TokenCounts(Struct):
    """Tokens used, in the callers' format."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatPiece(Struct, omit_defaults=True):
    """One server-sent event of a streamed answer."""

    id: str
    model: str
    choices: list[StreamedChoice]
    created: int
    object: str = field(default="chat.completion.chunk")
    usage: TokenCounts | None = None


class ChatAnswer(Struct):
    """A whole answer."""

    id: str
    model: str
    choices: list[WholeChoice]
    usage: TokenCounts
    created: int
    object: str = "chat.completion"


class ModelEntry(Struct):
    """One version that the contract allows."""

    id: str
    model: str
    state: str
    object: str = "model"


class ModelList(Struct):
    """The versions that the contract allows."""

    data: list[ModelEntry]
    object: str = "list"


class MintedKeyBody(Struct):
    """A minted idempotency key."""

    idempotency_key: str


class CallerHandler:
    """Handler of the callers' listener."""

    def __init__(
        self,
        instance_id: str,
        incarnation: str,
        router: Router,
        services: ServiceRouter,
        config: Callable[[], FleetConfig],
        latest: Callable[[], Awaitable[FleetConfig]],
        ready: Callable[[], bool],
        mint: Callable[[str], str],
    ) -> None:
        self._mint = mint
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._router = router
        self._services = services
        self._config = config
        self._latest = latest
        self._ready = ready
        self._sequence = count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller's request."""
        request_id = new_request_id(self._incarnation, time(), next(self._sequence))
        try:
            response = await self._route(request, request_id)
        except ComfreyhatchError as error:
            return error_response(error, request_id)
        response.header_by_name.setdefault(REQUEST_ID_HEADER, request_id)
        return response

    async def _route(self, request: HttpRequest, request_id: str) -> HttpResponse:
        if not self._ready():
            raise NotReadyError("the instance has no configuration yet", retry_after_s=1)
        config = await self._latest()
        contract = authenticate(request, config)
        if request.path == CHAT_PATH:
            _require_method(request, ("POST",))
            return await self._chat(request, request_id, contract)
        if request.path == MODELS_PATH:
            _require_method(request, ("GET",))
            return json_response(_models(config, contract))
        if request.path == KEYS_PATH:
            _require_method(request, ("POST",))
            return json_response(MintedKeyBody(self._mint(contract.customer)), 201)
        if request.path.startswith(SERVICES_PREFIX):
            _require_method(request, ("GET", "POST"))
            return await self._service(request, request_id, contract)
        raise RequestError(f"no resource at {request.path}", ResultCode.NOT_FOUND)

    async def _chat(
        self, request: HttpRequest, request_id: str, contract: Contract
    ) -> HttpResponse:
        now = monotonic()
        call = parse_chat(request, request_id, contract, now)
        draft = self._draft(call, contract, "chat", call.task, now)
        chunks = self._router.answer(call, contract, draft)
        first = await anext(chunks)
        version_id = draft.served_version
        headers = {REQUEST_ID_HEADER: request_id, "x-version": version_id}
        if draft.session_token:
            headers[SESSION_TOKEN_HEADER] = draft.session_token
        if draft.moved_from:
            headers[SESSION_MOVED_HEADER] = f"{draft.moved_from} > {version_id}"
        if call.stream:
            stream = _stream_pieces(request_id, version_id, first, chunks)
            return HttpResponse(
                200, content_type=EVENT_STREAM_TYPE, header_by_name=headers, stream=stream
            )
        response = json_response(await _whole_answer(request_id, version_id, first, chunks))
        response.header_by_name.update(headers)
        return response

    async def _service(
        self, request: HttpRequest, request_id: str, contract: Contract
    ) -> HttpResponse:
        now = monotonic()
        name, _, path = request.path.removeprefix(SERVICES_PREFIX).partition("/")
        if name not in contract.services:
            raise RequestError(f"the contract allows no service {name!r}", ResultCode.NOT_ALLOWED)
        call = service_request(request, request_id, path)
        deadline = now + _deadline_s(request, contract)
        draft = self._service_draft(request_id, name, contract, now, deadline - now)
        first_attempt = request.header(FIRST_ATTEMPT_HEADER) == "true"
        answer = await self._services.answer(name, call, deadline, draft, first_attempt)
        headers = {REPLAYED_HEADER: "true"} if answer.replayed else {}
        return HttpResponse(answer.status, answer.body, answer.content_type, headers)

    def _draft(
        self, call: ChatRequest, contract: Contract, kind: str, task: str, now: float
    ) -> RecordDraft:
        return RecordDraft(
            request_id=call.request_id,
            customer=contract.customer,
            daemon=self._instance_id,
            incarnation=self._incarnation,
            revision=self._config().revision,
            kind=kind,
            task=task,
            session=call.session,
            critical=call.critical,
            started_unix_s=time(),
            started=now,
            deadline_s=call.deadline - now,
        )

    def _service_draft(
        self, request_id: str, name: str, contract: Contract, now: float, deadline_s: float
    ) -> RecordDraft:
        return RecordDraft(
            request_id=request_id,
            customer=contract.customer,
            daemon=self._instance_id,
            incarnation=self._incarnation,
            revision=self._config().revision,
            kind="service",
            task=name,
            session="",
            critical=False,
            started_unix_s=time(),
            started=now,
            deadline_s=deadline_s,
            clause=f"services={','.join(contract.services)}",
        )


def authenticate(request: HttpRequest, config: FleetConfig) -> Contract:
    """Return the contract that the request's API key belongs to.

    Raises:
        RequestError: If the key is missing or unknown.
    """
    scheme, _, key = request.header("authorization").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise RequestError("an API key is needed", ResultCode.UNAUTHENTICATED)
    contract = config.contract_of_key(sha256(key.strip().encode("latin-1")).hexdigest())
    if contract is None:
        raise RequestError("the API key is unknown", ResultCode.UNAUTHENTICATED)
    return contract


def parse_chat(
    request: HttpRequest, request_id: str, contract: Contract, now: float
) -> ChatRequest:
    """Return the chat request of a caller.

    Args:
        request: The HTTP request.
        request_id: Identifier given to it.
        contract: Contract of the caller.
        now: Monotonic time, in seconds.

    Raises:
        RequestError: If the body or a header is malformed.
    """
    try:
        body = decode(request.body, type=ChatBody)
    except ValidationError as error:
        raise RequestError(f"the body does not fit: {error}") from error
    except ValueError as error:
        raise RequestError(f"the body is not JSON: {error}") from error
    if not body.messages:
        raise RequestError("messages is empty")
    if not 1 <= body.max_tokens <= contract.max_output_tokens:
        raise RequestError(f"max_tokens is not between 1 and {contract.max_output_tokens}")
    critical = request.header("x-critical") == "true" and contract.may_be_critical
    return ChatRequest(
        request_id=request_id,
        customer=contract.customer,
        messages=tuple(body.messages),
        model=body.model,
        task=request.header("x-task", "chat"),
        session=_session(request),
        session_token=request.header(SESSION_TOKEN_HEADER),
        stream=body.stream,
        max_tokens=body.max_tokens,
        priority=Priority.CRITICAL if critical else _priority(request, contract),
        critical=critical,
        deadline=now + _deadline_s(request, contract),
    )


def service_request(request: HttpRequest, request_id: str, path: str) -> ServiceRequest:
    """Return the call to a plain service that a caller asks for."""
    query = "&".join(f"{quote(k)}={quote(v)}" for k, v in request.query.items())
    return ServiceRequest(
        request_id=request_id,
        method=request.method,
        path=f"/{path}?{query}" if query else f"/{path}",
        body=request.body,
        content_type=request.header("content-type", "application/json"),
        idempotency_key=request.header("idempotency-key"),
    )


def _session(request: HttpRequest) -> str:
    session = request.header("x-session")
    if len(session) > MAX_SESSION_CHARS:
        raise RequestError(f"x-session is longer than {MAX_SESSION_CHARS} characters")
    return session


def _priority(request: HttpRequest, contract: Contract) -> int:
    text = request.header("x-priority", str(int(Priority.NORMAL)))
    if not text.isdecimal() or int(text) > MAX_PRIORITY:
        raise RequestError(f"x-priority is not between 0 and {MAX_PRIORITY}")
    return min(int(text), contract.max_priority)


def _deadline_s(request: HttpRequest, contract: Contract) -> float:
    text = request.header("x-deadline-s")
    if not text:
        return contract.default_deadline_s
    try:
        deadline_s = float(text)
    except ValueError:
        raise RequestError("x-deadline-s is not a number of seconds") from None
    if not 0 < deadline_s < 86400:
        raise RequestError("x-deadline-s is not between 0 and 86400")
    return deadline_s


def _require_method(request: HttpRequest, methods: tuple[str, ...]) -> None:
    if request.method not in methods:
        raise RequestError(f"{request.path} takes {methods}", ResultCode.METHOD_NOT_ALLOWED)


def _models(config: FleetConfig, contract: Contract) -> ModelList:
    return ModelList(
        [
            ModelEntry(version.version_id, version.model, version.state.value)
            for version in config.allowed_versions(contract)
            if version.state is not VersionState.WITHDRAWN
        ]
    )


async def _stream_pieces(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> AsyncIterator[bytes]:
    created = int(time())
    async with aclosing(_chained(first, chunks)) as pieces:
        async for chunk in pieces:
            choice = StreamedChoice(
                Delta(content="".join(chunk.tokens)), finish_reason=chunk.finish or None
            )
            usage = _counts(chunk.usage) if chunk.usage else None
            piece = ChatPiece(request_id, version_id, [choice], created, usage=usage)
            yield b"data: " + encode(piece) + b"\n\n"
    yield b"data: [DONE]\n\n"


async def _whole_answer(
    request_id: str, version_id: str, first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> ChatAnswer:
    tokens: list[str] = []
    last = first
    async for chunk in _chained(first, chunks):
        tokens += chunk.tokens
        last = chunk
    choice = WholeChoice(ChoiceMessage("".join(tokens)), last.finish)
    usage = _counts(last.usage or Usage())
    return ChatAnswer(request_id, version_id, [choice], usage, int(time()))


async def _chained(
    first: Chunk, chunks: AsyncGenerator[Chunk, None]
) -> AsyncGenerator[Chunk, None]:
    async with aclosing(chunks):
        yield first
        async for chunk in chunks:
            yield chunk


def _counts(usage: Usage) -> TokenCounts:
    total = usage.input_tokens + usage.output_tokens
    return TokenCounts(usage.input_tokens, usage.output_tokens, total)
