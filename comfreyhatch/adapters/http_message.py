"""HTTP requests and answers as the handlers of a listener see them."""

from collections.abc import AsyncIterator, Awaitable, Callable

from msgspec import Struct, field
from msgspec.json import encode as encode_json

from comfreyhatch.codes import http_status
from comfreyhatch.errors import ComfreyhatchError

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
# Header of a request that its answer repeats.
REQUEST_ID_HEADER = "x-request-id"

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only, in lower case.
HOP_BY_HOP_HEADERS = frozenset(
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


class HttpRequest(Struct):
    """A request; header names are in lower case.

    Attributes:
        method: HTTP method.
        path: Path as sent.
        query: Last value of each parameter of the query, decoded.
        header_by_name: Headers.
        body: Body.
        raw_query: Query as sent.
        target: Path with query, as sent.
        headers: Headers in order, repeated ones too; names in lower case.
        waited_s: Time from its last byte's arrival at this machine to its reading, in seconds.
    """

    method: str
    path: str
    query: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes = b""
    raw_query: str = ""
    target: str = ""
    headers: Headers = field(default_factory=list)
    waited_s: float = 0.0

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value by its name in lower case."""
        return self.header_by_name.get(name, default)


class HttpResponse(Struct):
    """An answer: either a body or a stream of pieces, which is closed when it ends.

    Attributes:
        status: HTTP status.
        body: Whole body, where there is no stream.
        content_type: Media type; not sent when `headers` is set.
        header_by_name: Further headers.
        stream: Pieces of the body.
        headers: Headers passed on as they are, in place of content type and `header_by_name`.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    header_by_name: dict[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None
    headers: Headers | None = None


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ErrorBody(Struct, omit_defaults=True):
    """The JSON body of a refusal."""

    code: int
    name: str
    message: str
    ran: str
    request_id: str = ""
    retry_after_s: float | None = None


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return an answer with a value encoded as JSON."""
    return HttpResponse(status, encode_json(value))


def error_response(error: ComfreyhatchError, request_id: str = "") -> HttpResponse:
    """Return the answer for an error, with its code, `ran` and Retry-After."""
    body = ErrorBody(
        code=int(error.code),
        name=error.code.name,
        message=str(error),
        ran=error.ran.value,
        request_id=request_id,
        retry_after_s=error.retry_after_s,
    )
    headers = {REQUEST_ID_HEADER: request_id} if request_id else {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return HttpResponse(
        http_status(error.code), encode_json({"error": body}), header_by_name=headers
    )


async def answer_with_id(answer: Awaitable[HttpResponse], request_id: str) -> HttpResponse:
    """Return an answer, or that for the error it ends with, which names the id of its request.

    Args:
        answer: Makes the answer.
        request_id: Id of the request; no id is named if it is empty.
    """
    try:
        response = await answer
    except ComfreyhatchError as error:
        return error_response(error, request_id)
    if request_id:
        response.header_by_name.setdefault(REQUEST_ID_HEADER, request_id)
    return response
