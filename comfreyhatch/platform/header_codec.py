"""Codec for the platform's HTTP headers of callers and endpoints."""

from math import isfinite

from msgspec import Struct
from msgspec.json import encode

from comfreyhatch.adapters.answer_identity import RequestIdentity
from comfreyhatch.adapters.http_message import HOP_BY_HOP_HEADERS
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
HTTP_MISDIRECTED_REQUEST = 421
HTTP_SERVICE_UNAVAILABLE = 503
# Longest time for which an endpoint can keep requests away by one answer.
MAX_REST_S = 3600.0
# Callers conclude from these statuses that their request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MIN_DEADLINE_MS = 1
MIN_LOAD_FIGURES = 3
PERCENT = 100.0
# Longer integers are no sensible counts, and Python refuses to convert those of 4,300 digits.
MAX_INTEGER_DIGITS = 15

# Headers that only the router may set or that are addressed to it; not forwarded from callers.
_ROUTER_HEADERS = frozenset(
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
_BEARER_PREFIX = "bearer "
_ID_HEADER = b"attempt-id"


class _RefusalBody(Struct, omit_defaults=True):
    """JSON body of the response to a caller whose request failed with an error."""

    code: int
    name: str
    message: str
    ran: str
    retry_after_s: float | None = None


class PlatformHeaderCodec:
    """Implements `exchange.header_codec.HeaderCodec` for the platform's headers.

    Values that cannot be parsed are treated as absent.
    """

    def read_exchange(self, request: HttpRequest) -> Exchange:
        """Decode the request of a caller."""
        connection_options = _connection_options(request.headers)
        dropped = HOP_BY_HOP_HEADERS | _ROUTER_HEADERS | connection_options
        tokens = _parse_integers(request.header("token-counts"))
        last_event = request.header("last-event-id").strip()
        return Exchange(
            request_id=request.header(_ID_HEADER.decode()),
            method=request.method,
            target=request.target,
            host=_strip_port(request.header("host")),
            path=request.target.partition("?")[0],
            headers=[(n, v) for n, v in request.headers if n not in dropped],
            body=request.body,
            api_key=_bearer_token(request.header("authorization")),
            timeout_s=_parse_ms(request.header("deadline-ms")),
            waited_s=request.waited_s,
            model=request.header("model"),
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens=tokens[1] if len(tokens) > 1 else 0,
            parts=_parse_prompt_parts(request.header("prompt-prefix")),
            session=request.header("session"),
            last_event_id=int(last_event) if _is_integer(last_event) else None,
        )

    def dispatch_headers(self, exchange: Exchange, dispatch: Dispatch) -> Headers:
        """Return the headers of a request that is sent to an endpoint.

        The model of the dispatch, if set, replaces the one that the caller named.
        """
        headers = [
            pair for pair in exchange.headers if not (dispatch.model and pair[0] == b"model")
        ]
        deadline_ms = max(MIN_DEADLINE_MS, int(dispatch.time_left_s * MS_PER_S))
        headers.append((b"deadline-ms", b"%d" % deadline_ms))
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

    def identity(self, headers: Headers) -> RequestIdentity:
        """Return what the answer to a request with some headers says of it."""
        return RequestIdentity(dict(headers).get(_ID_HEADER, b"").strip(), _ID_HEADER)

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode status and headers of an endpoint's answer."""
        value_by_name = dict(headers)
        dropped = HOP_BY_HOP_HEADERS | _connection_options(headers)
        cold = _header_text(value_by_name, b"cold-ms")
        confidence = _header_text(value_by_name, b"confidence")
        limits = [_parse_limit(value) for name, value in headers if name == b"server-limit"]
        return AnswerHead(
            status=status,
            headers=[(n, v) for n, v in headers if n not in dropped],
            request_id=_header_text(value_by_name, _ID_HEADER),
            has_receipt=b"server-stamp" in value_by_name,
            refused=b"not-executed" in value_by_name or status == HTTP_MISDIRECTED_REQUEST,
            implies_not_run=status in NOT_RUN_STATUSES,
            misdirected=status == HTTP_MISDIRECTED_REQUEST,
            encoded=b"content-encoding" in value_by_name,
            load=_parse_load(_header_text(value_by_name, b"server-load")),
            cold_s=_parse_ms(cold),
            confidence=int(confidence) if _is_integer(confidence) else None,
            endpoint_id=_header_text(value_by_name, b"instance-id"),
            limit_per_s=min((limit for limit in limits if limit is not None), default=None),
            limit_unreadable=bool(limits) and limits.count(None) == len(limits),
            rest_s=_parse_rest(status, _header_text(value_by_name, b"retry-after")),
            brittle_per_s=_parse_limit(value_by_name.get(b"server-brittle", b"")),
            leaving=_header_text(value_by_name, b"server-leaving") == "1",
        )

    def refusal(self, error: ComfreyhatchError) -> HttpResponse:
        """Return the response to a caller whose request failed with an error.

        An error after which the request may have run never gets a status of NOT_RUN_STATUSES.
        """
        status = http_status(error.code)
        if status in NOT_RUN_STATUSES and error.ran is not Ran.NO:
            status = http_status(ResultCode.ENDPOINT_FAILED)
        after = error.retry_after_s
        body = _RefusalBody(int(error.code), error.code.name, str(error), error.ran.value, after)
        headers: Headers = [(b"content-type", b"application/json")]
        if after is not None and status in NOT_RUN_STATUSES:
            headers.append((b"retry-after", b"%.2f" % after))
        return HttpResponse(status, encode(body), headers=headers)


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers that `Connection` lists."""
    values = [value for name, value in headers if name == b"connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))


def _strip_port(value: str) -> str:
    """Return the host of a `Host` header in lower case, without its port."""
    name, colon, port = value.rpartition(":")
    return (name if colon and port.isdecimal() else value).strip().lower()


def _bearer_token(value: str) -> str:
    """Return the token of an `Authorization` header; empty for other schemes."""
    return value[len(_BEARER_PREFIX) :].strip() if value.lower().startswith(_BEARER_PREFIX) else ""


def _parse_number(value: str) -> float | None:
    """Convert text to a finite number, 0 or more; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    return max(0.0, number) if isfinite(number) else None


def _parse_ms(value: str) -> float | None:
    """Convert text in milliseconds to seconds, 0 or more; None if it is no finite number."""
    number = _parse_number(value)
    return None if number is None else number / MS_PER_S


def _parse_rest(status: int, value: str) -> float | None:
    """Parse the time for which an endpoint that refuses wants no requests, in seconds.

    Returns:
        The time, at most `MAX_REST_S`; None for a date, anything else that is no positive number,
        and any other status.
    """
    number = _parse_number(value) if status == HTTP_SERVICE_UNAVAILABLE else None
    return min(number, MAX_REST_S) if number else None


def _parse_limit(value: bytes) -> float | None:
    """Parse a rate, 0 or more; None for anything else, a negative number too."""
    text = value.decode("latin-1").strip()
    return None if text.startswith("-") else _parse_number(text)


def _is_integer(value: str) -> bool:
    return value.isdecimal() and len(value) <= MAX_INTEGER_DIGITS


def _parse_integers(value: str) -> list[int]:
    """Return the integers of a comma-separated list; other items are left out."""
    return [int(part) for part in value.split(",") if _is_integer(part.strip())]


def _parse_prompt_parts(value: str) -> tuple[PromptPart, ...]:
    """Parse NAME:TOKENS,...; items without a number of tokens are left out."""
    pairs = [part.strip().partition(":") for part in value.split(",") if part]
    return tuple(PromptPart(name, int(count)) for name, _, count in pairs if _is_integer(count))


def _header_text(value_by_name: dict[bytes, bytes], name: bytes) -> str:
    return value_by_name.get(name, b"").decode("latin-1").strip()


def _parse_load(value: str) -> ReportedLoad | None:
    """Parse a load report RUNNING,WAITING,SLOTS[,PACE[,...]], with the pace in percent.

    Returns:
        The report, in which a figure that cannot be read is None; None with fewer than three
        figures, or without one that is of use by itself.
    """
    figures = [figure.strip() for figure in value.split(",")]
    if len(figures) < MIN_LOAD_FIGURES:
        return None
    running, waiting, slots = (int(f) if _is_integer(f) else None for f in figures[:3])
    percent = _parse_number(figures[3]) if len(figures) > MIN_LOAD_FIGURES else None
    if running is None and not percent:
        return None
    return ReportedLoad(running, waiting, slots, percent / PERCENT if percent else None)
