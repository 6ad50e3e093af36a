"""The operator port of a stand-in: its fault switches and its witness over HTTP."""

from collections.abc import AsyncIterator, Callable
from typing import Generic, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode as decode_json

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import (
    HttpHandler,
    HttpRequest,
    HttpResponse,
    json_response,
)
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import BackendError, RequestError

F = TypeVar("F", bound=Struct)
W = TypeVar("W", bound=Struct)


class SwitchPort(Generic[F]):
    """Serves GET and POST /faults and GET /witness."""

    def __init__(
        self, read: Callable[[], F], write: Callable[[F], None], witness: Callable[[], Struct]
    ) -> None:
        self._read = read
        self._write = write
        self._witness = witness
        self._server = HttpServer(self._handle)

    async def start(self, host: str, port: int = 0) -> Address:
        """Listen and return the address."""
        return await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop(0)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ("GET", "/faults"):
                return json_response(self._read())
            case ("POST", "/faults"):
                self._write(decode_body(request, type(self._read())))
                return json_response(self._read())
            case ("GET", "/witness"):
                return json_response(self._witness())
        raise RequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)


class Standin(Generic[F, W]):
    """A stand-in with its listener and its operator port.

    Attributes:
        faults: Its fault switches; may be replaced.
        witness: What it saw.
        switch_address: Where its operator port listens; None before the start.
    """

    def __init__(
        self, handler: HttpHandler, faults: F, witness: W, limits: HttpLimits | None = None
    ) -> None:
        self.faults = faults
        self.witness = witness
        self.switch_address: Address | None = None
        self._server = HttpServer(handler, limits)
        self._switches = SwitchPort(lambda: self.faults, self._set_faults, lambda: self.witness)

    async def _listen(self, address: Address) -> Address:
        """Listen, on a free port if the port is 0, and return the address."""
        bound = await self._server.start(address.host, address.port)
        self.switch_address = await self._switches.start(address.host)
        return bound

    async def stop(self) -> None:
        """Stop at once; what runs is cut."""
        await self._server.stop(0)
        await self._switches.stop()

    def _set_faults(self, faults: F) -> None:
        self.faults = faults


M = TypeVar("M")


def decode_body(request: HttpRequest, kind: type[M]) -> M:
    """Return the JSON body of a request.

    Raises:
        RequestError: If the body is malformed.
    """
    try:
        return decode_json(request.body, type=kind)
    except (DecodeError, ValidationError) as error:
        raise RequestError(f"the body is malformed: {error}") from error


def cut_response() -> HttpResponse:
    """Return an answer that breaks off, as from a process that crashed or a lost connection."""
    return HttpResponse(200, stream=_cut())


async def _cut() -> AsyncIterator[bytes]:
    raise BackendError("the stand-in cuts the connection")
    yield b""
