"""Parsing of callers' requests: API key, chat requests and calls to plain services."""

from hashlib import sha256

from msgspec import Struct, ValidationError
from msgspec.json import decode

from comfreyhatch.adapters.http_message import HttpRequest
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request import ChatMessage, ChatRequest, Priority
from comfreyhatch.errors import RequestError
from comfreyhatch.ports.engine import ServiceRequest

SESSION_TOKEN_HEADER = "x-session-token"
MAX_SESSION_ID_CHARS = 256
MAX_TASK_CHARS = 64
MAX_PRIORITY = 9
# Upper bound, exclusive, of the time that a caller may set for its request.
MAX_DEADLINE_S = 86400


class ChatBody(Struct):
    """JSON body of a chat request; unknown fields are ignored."""

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    max_tokens: int = 256


def authenticate(request: HttpRequest, config: FleetConfig) -> Contract:
    """Return the contract that the request's API key belongs to.

    Args:
        request: The HTTP request; the key is its bearer token.
        config: Configuration in force.

    Raises:
        RequestError: If the key is missing or unknown.
    """
    scheme, _, key = request.header("authorization").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise RequestError("an API key is required", ResultCode.UNAUTHENTICATED)
    contract = config.contract_of_key(sha256(key.strip().encode("latin-1")).hexdigest())
    if contract is None:
        raise RequestError("the API key is unknown", ResultCode.UNAUTHENTICATED)
    return contract


def parse_chat(
    request: HttpRequest, request_id: str, contract: Contract, now: float
) -> ChatRequest:
    """Parse the body and headers of a chat request.

    A header that asks for more than the contract grants is not an error: `x-priority` is lowered
    to the contract's highest priority, and `x-critical` is ignored unless the contract allows it.

    Args:
        request: The HTTP request.
        request_id: Identifier assigned to the request.
        contract: Contract of the caller.
        now: Monotonic time, in seconds.

    Raises:
        RequestError: If the body or a header is malformed.
    """
    try:
        body = decode(request.body, type=ChatBody)
    except ValidationError as error:
        raise RequestError(f"the body is not a valid chat request: {error}") from error
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
        task=_task(request),
        session=_session(request),
        session_token=request.header(SESSION_TOKEN_HEADER),
        stream=body.stream,
        max_tokens=body.max_tokens,
        priority=Priority.CRITICAL if critical else _priority(request, contract),
        critical=critical,
        deadline=now + deadline_s(request, contract),
    )


def service_request(request: HttpRequest, request_id: str, path: str) -> ServiceRequest:
    """Return the call to a plain service that an HTTP request describes.

    Args:
        request: The HTTP request.
        request_id: Identifier assigned to the request.
        path: Path within the service, without the leading slash; the query is appended unchanged.
    """
    return ServiceRequest(
        request_id=request_id,
        method=request.method,
        path=f"/{path}?{request.raw_query}" if request.raw_query else f"/{path}",
        body=request.body,
        content_type=request.header("content-type", "application/json"),
        idempotency_key=request.header("idempotency-key"),
    )


def _task(request: HttpRequest) -> str:
    task = request.header("x-task", "chat")
    if len(task) > MAX_TASK_CHARS:
        raise RequestError(f"x-task is longer than {MAX_TASK_CHARS} characters")
    return task


def _session(request: HttpRequest) -> str:
    session = request.header("x-session")
    if len(session) > MAX_SESSION_ID_CHARS:
        raise RequestError(f"x-session is longer than {MAX_SESSION_ID_CHARS} characters")
    return session


def _priority(request: HttpRequest, contract: Contract) -> int:
    text = request.header("x-priority", str(int(Priority.NORMAL)))
    if not text.isdecimal() or int(text) > MAX_PRIORITY:
        raise RequestError(f"x-priority is not between 0 and {MAX_PRIORITY}")
    return min(int(text), contract.max_priority)


def deadline_s(request: HttpRequest, contract: Contract) -> float:
    """Return the time that a request has left, in seconds; none if it was read late.

    It is allowed `x-deadline-s` or the contract's default from its arrival on.

    Raises:
        RequestError: If the header is malformed.
    """
    text = request.header("x-deadline-s")
    if not text:
        return contract.default_deadline_s - request.waited_s
    try:
        allowed_s = float(text)
    except ValueError:
        raise RequestError("x-deadline-s is not a number of seconds") from None
    if not 0 < allowed_s < MAX_DEADLINE_S:
        raise RequestError(f"x-deadline-s is not between 0 and {MAX_DEADLINE_S}")
    return allowed_s - request.waited_s
