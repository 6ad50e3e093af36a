"""Headers of callers and endpoints on the platform's wire."""

from msgspec import Struct
from msgspec.json import encode

from comfreyhatch.adapters.http_server import HttpRequest, HttpResponse
from comfreyhatch.codes import Ran, ResultCode, http_status
from comfreyhatch.domain.exchange import (
    AnswerHead,
    Dispatch,
    Exchange,
    Headers,
    PromptPart,
    ReportedLoad,
)
from comfreyhatch.errors import ComfreyhatchError

MS_PER_S = 1000.0
MISDIRECTED = 421
# A caller takes these as a promise that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MIN_TIME_LEFT_MS = 1

_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Set by the router alone, or meant for it alone.
_OWN_HEADERS = frozenset(
    {
        b"authorization",
        b"deadline-ms",
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"last-event-id",
    }
)
_BEARER = "bearer "


class _RefusalBody(Struct, omit_defaults=True):
    code: int
    name: str
    message: str
    ran: str
    retry_after_s: float | None = None


class PlatformHeaderCodec:
    """Codec of the platform's headers."""

    def read_exchange(self, request: HttpRequest) -> Exchange:
        """Return the request of a caller as an exchange."""
        named = _named_by_connection(request.headers)
        dropped = _CONNECTION_HEADERS | _OWN_HEADERS | named
        tokens = _numbers(request.header("token-counts"))
        last_event = request.header("last-event-id").strip()
        return Exchange(
            request_id=request.header("attempt-id"),
            method=request.method,
            target=request.target,
            host=_host(request.header("host")),
            path=request.target.partition("?")[0],
            headers=[(n, v) for n, v in request.headers if n not in dropped],
            body=request.body,
            api_key=_bearer(request.header("authorization")),
            timeout_s=_seconds(request.header("deadline-ms")),
            model=request.header("model"),
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens=tokens[1] if len(tokens) > 1 else 0,
            parts=_parts(request.header("prompt-prefix")),
            session=request.header("session"),
            last_event_id=int(last_event) if last_event.isdecimal() else None,
        )

    def dispatch_headers(self, exchange: Exchange, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request is sent to an endpoint."""
        headers = [
            pair for pair in exchange.headers if not (dispatch.model and pair[0] == b"model")
        ]
        left_ms = max(MIN_TIME_LEFT_MS, int(dispatch.time_left_s * MS_PER_S))
        headers.append((b"deadline-ms", b"%d" % left_ms))
        headers.append((b"expect-instance", dispatch.endpoint_id.encode()))
        if dispatch.workspace:
            headers.append((b"tenant", dispatch.workspace.encode()))
        if dispatch.model:
            headers.append((b"model", dispatch.model.encode()))
        if dispatch.last_event_id is not None:
            headers.append((b"last-event-id", b"%d" % dispatch.last_event_id))
        if dispatch.engine_priority is not None:
            headers.append((b"request-priority", b"%d" % dispatch.engine_priority))
        return headers

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
        value_by_name = dict(headers)
        dropped = _CONNECTION_HEADERS | _named_by_connection(headers)
        cold = _text(value_by_name, b"cold-ms")
        confidence = _text(value_by_name, b"confidence")
        return AnswerHead(
            status=status,
            headers=[(n, v) for n, v in headers if n not in dropped],
            request_id=_text(value_by_name, b"attempt-id"),
            has_receipt=b"server-stamp" in value_by_name,
            refused=b"not-executed" in value_by_name or status == MISDIRECTED,
            implies_not_run=status in NOT_RUN_STATUSES,
            misdirected=status == MISDIRECTED,
            encoded=b"content-encoding" in value_by_name,
            load=_load(_text(value_by_name, b"server-load")),
            cold_s=_seconds(cold),
            confidence=int(confidence) if confidence.isdecimal() else None,
        )

    def refusal(self, error: ComfreyhatchError) -> HttpResponse:
        """Return the answer to a caller whose request is not served."""
        status = http_status(error.code)
        if status in NOT_RUN_STATUSES and error.ran is not Ran.NO:
            status = http_status(ResultCode.ENDPOINT_FAILED)
        after = error.retry_after_s
        body = _RefusalBody(int(error.code), error.code.name, str(error), error.ran.value, after)
        headers: Headers = [(b"content-type", b"application/json")]
        if after is not None and status in NOT_RUN_STATUSES:
            headers.append((b"retry-after", b"%.2f" % after))
        return HttpResponse(status, encode(body), headers=headers)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the headers that `Connection` names as meant for this connection only."""
    values = [value for name, value in headers if name == b"connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))


def _host(value: str) -> str:
    name, colon, port = value.rpartition(":")
    return (name if colon and port.isdecimal() else value).strip().lower()


def _bearer(value: str) -> str:
    return value[len(_BEARER) :].strip() if value.lower().startswith(_BEARER) else ""


def _seconds(value: str) -> float | None:
    try:
        return max(0.0, float(value)) / MS_PER_S if value else None
    except ValueError:
        return None


def _numbers(value: str) -> list[int]:
    return [int(part) for part in value.split(",") if part.strip().isdecimal()]


def _parts(value: str) -> tuple[PromptPart, ...]:
    pairs = [part.strip().partition(":") for part in value.split(",") if part]
    return tuple(PromptPart(name, int(count)) for name, _, count in pairs if count.isdecimal())


def _text(value_by_name: dict[bytes, bytes], name: bytes) -> str:
    return value_by_name.get(name, b"").decode("latin-1").strip()


def _load(value: str) -> ReportedLoad | None:
    numbers = _numbers(value)
    return ReportedLoad(numbers[0], numbers[1], numbers[2]) if len(numbers) == 3 else None
