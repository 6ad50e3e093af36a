"""What engines and plain services have in common: refusals, load reports and their errors."""

from typing import NoReturn

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.errors import BackendError, BackendRefusedError, ConnectError, HttpError
from comfreyhatch.ports.engine import LoadReport

LOAD_TIMEOUT_S = 0.5
MAX_LOAD_BYTES = 1_048_576
REFUSING_STATUSES = (429, 503)


class RefusalDetail(Struct, frozen=True):
    """What an endpoint says of a request that it refused."""

    ran: str = "unknown"
    message: str = ""
    code: int = 0


class RefusalBody(Struct, frozen=True):
    """JSON body of a refusal by an endpoint."""

    error: RefusalDetail


_load_decoder = Decoder(LoadReport)
_refusal_decoder = Decoder(RefusalBody)


def raise_for_status(endpoint: Instance, reply: HttpReply) -> NoReturn:
    """Raise the error that an answer other than a success stands for.

    Raises:
        BackendRefusedError: If the endpoint says that it did not run the request.
        BackendError: If that is unknown.
    """
    try:
        detail = _refusal_decoder.decode(reply.body).error
    except (DecodeError, ValidationError):
        detail = RefusalDetail()
    message = f"endpoint {endpoint.instance_id} answered {reply.status}: {detail.message}"
    if detail.ran == Ran.NO.value and endpoint.role is Role.DAEMON:
        code = _known_code(detail.code)
        raise BackendRefusedError(message, code, retry_after_s=_retry_after(reply))
    if detail.ran == Ran.NO.value and reply.status in REFUSING_STATUSES:
        raise BackendRefusedError(message, retry_after_s=_retry_after(reply))
    raise BackendError(message)


def _known_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.ENDPOINT_REFUSED


def _retry_after(reply: HttpReply) -> float | None:
    text = reply.header_by_name.get("retry-after", "")
    return float(text) if text.isdecimal() else None


def unreachable_error(endpoint: Instance, error: ConnectError) -> BackendRefusedError:
    """Return the error for an endpoint to which no connection could be opened."""
    return BackendRefusedError(
        f"endpoint {endpoint.instance_id}: {error}", code=ResultCode.ENDPOINT_FAILED
    )


def named_report(report: LoadReport, endpoint: Instance) -> LoadReport:
    """Return a report under the endpoint that it came from, whatever name it gives itself."""
    return replace(report, endpoint_id=endpoint.instance_id)


async def read_load(client: HttpClient, endpoint: Instance) -> LoadReport:
    """Return the load report of an endpoint.

    Raises:
        BackendError: If it does not answer with one.
    """
    try:
        reply = await client.request(
            endpoint.address,
            "GET",
            "/load",
            timeout_s=LOAD_TIMEOUT_S,
            limit_bytes=MAX_LOAD_BYTES,
        )
        if reply.status != 200:
            raise_for_status(endpoint, reply)
        return named_report(_load_decoder.decode(reply.body), endpoint)
    except (HttpError, DecodeError, ValidationError) as error:
        raise BackendError(f"endpoint {endpoint.instance_id}: {error}") from error
