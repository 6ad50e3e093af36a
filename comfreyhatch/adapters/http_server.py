"""An HTTP/1.1 server on h11 with limits, keep-alive and streamed answers."""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Annotated
from urllib.parse import parse_qsl, urlsplit

import h11
from msgspec import Meta, Struct, field
from msgspec.json import encode as encode_json

from comfreyhatch.codes import ResultCode, http_status
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ComfreyhatchError, ListenError, RequestError

READ_SIZE_BYTES = 65536
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

Size = Annotated[int, Meta(ge=1)]
Wait = Annotated[float, Meta(gt=0)]

log = logging.getLogger("comfreyhatch.http")


class HttpLimits(Struct, frozen=True):
    """Limits of a listener.

    Attributes:
        header_bytes: Largest header section.
        body_bytes: Largest body.
        connections: Connections open at once; more are closed at once.
        header_timeout_s: Time for a caller to send a request, from its first byte.
        idle_timeout_s: Time that a connection may stay idle between requests.
        write_timeout_s: Time for a caller to take what is buffered for it.
        buffer_bytes: Bytes buffered for a slow caller before the answer is held back.
    """

    header_bytes: Size = 32768
    body_bytes: Size = 4_194_304
    connections: Size = 4096
    header_timeout_s: Wait = 10.0
    idle_timeout_s: Wait = 75.0
    write_timeout_s: Wait = 30.0
    buffer_bytes: Size = 65536


Headers = list[tuple[bytes, bytes]]


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
    """

    method: str
    path: str
    query: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes = b""
    raw_query: str = ""
    target: str = ""
    headers: Headers = field(default_factory=list)

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
    headers = {"x-request-id": request_id} if request_id else {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return HttpResponse(
        http_status(error.code), encode_json({"error": body}), header_by_name=headers
    )


class HttpServer:
    """A listener and its connections."""

    def __init__(
        self,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        cancel_on_disconnect: bool = False,
    ) -> None:
        """Create a server.

        Args:
            handler: Answers requests.
            limits: Limits of the listener.
            cancel_on_disconnect: Whether the handler is cancelled when its caller goes away.
        """
        self._handler = handler
        self.limits = limits or HttpLimits()
        self._cancel_on_disconnect = cancel_on_disconnect
        self._server: asyncio.Server | None = None
        self._task_by_connection: dict[_Connection, asyncio.Task[None]] = {}
        self._closing = False
        self._draining = False

    async def start(self, host: str, port: int) -> Address:
        """Listen on an address; port 0 takes a free one.

        Returns:
            The address that the listener has.

        Raises:
            ListenError: If the address cannot be had.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(self._protocol, host, port, backlog=1024)
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return Address(bound_host, bound_port)

    async def start_on(self, listener: socket.socket) -> None:
        """Serve the connections of a socket that listens already, those that wait included."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocol, sock=listener, backlog=1024)

    def drain(self) -> None:
        """Go on serving, but close each connection after its next answer."""
        self._draining = True

    async def stop(self, grace_s: float) -> None:
        """Close the listener, let running requests end, then close what is left."""
        self._closing = True
        if self._server:
            self._server.close()
        for connection in list(self._task_by_connection):
            connection.close_if_idle()
        tasks = list(self._task_by_connection.values())
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=grace_s)
            for task in late:
                task.cancel()
            await asyncio.gather(*late, return_exceptions=True)

    @property
    def busy(self) -> int:
        """Number of requests being answered."""
        return sum(connection.busy for connection in self._task_by_connection)

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request runs or is being read."""
        for connection in list(self._task_by_connection):
            connection.close_if_idle()

    def _protocol(self) -> "_CallerProtocol":
        loop = asyncio.get_running_loop()
        return _CallerProtocol(asyncio.StreamReader(loop=loop), self._accept, loop=loop)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._closing or len(self._task_by_connection) >= self.limits.connections:
            writer.close()
            return
        connection = _Connection(self._handler, self.limits, reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self._task_by_connection[connection] = task
        if self._cancel_on_disconnect:
            protocol = writer.transport.get_protocol()
            assert isinstance(protocol, _CallerProtocol)
            protocol.on_gone = lambda: connection.caller_left(task)
        try:
            await connection.serve(lambda: self._closing or self._draining)
        except (ConnectionError, TimeoutError, h11.ProtocolError) as error:
            log.debug("event=connection_closed reason=%r", error)
        except asyncio.CancelledError:
            # asyncio reports a cancelled connection task as an error in its callback.
            log.debug("event=connection_cancelled")
        finally:
            del self._task_by_connection[connection]
            writer.close()


class _CallerProtocol(asyncio.StreamReaderProtocol):
    """Tells when the caller closes its connection, also while its request is being answered."""

    on_gone: Callable[[], object] | None = None

    def eof_received(self) -> bool | None:
        """Note that the caller sends no more."""
        keep = super().eof_received()
        self._tell()
        return keep

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        super().connection_lost(exc)
        self._tell()

    def _tell(self) -> None:
        if self.on_gone:
            self.on_gone()


class _Connection:
    """One caller's connection; serves one request at a time."""

    def __init__(
        self,
        handler: HttpHandler,
        limits: HttpLimits,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self.busy = False
        self._reading = False
        self._left = False
        writer.transport.set_write_buffer_limits(high=limits.buffer_bytes)

    def caller_left(self, task: asyncio.Task[None]) -> None:
        """Cancel the request that is being answered, or will not be."""
        self._left = True
        if self.busy:
            task.cancel()

    def close_if_idle(self) -> None:
        if not self.busy and not self._reading:
            self._writer.close()

    async def serve(self, is_closing: Callable[[], bool]) -> None:
        while True:
            request = await self._read_or_refuse()
            if request is None or self._left:
                return
            self.busy = True
            self._reading = False
            try:
                await self._answer(request, is_closing)
            finally:
                self.busy = False
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE or is_closing():
                return
            self._protocol.start_next_cycle()

    async def _read_or_refuse(self) -> HttpRequest | None:
        try:
            return await self._read_request()
        except RequestError as error:
            await self._send_response(error_response(error), close=True)
        except h11.RemoteProtocolError as error:
            code = (
                ResultCode.HEADERS_TOO_LARGE
                if error.error_status_hint == 431
                else ResultCode.BAD_REQUEST
            )
            if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                refusal = error_response(RequestError(str(error), code))
                await self._send_response(refusal, close=True)
        return None

    async def _read_request(self) -> HttpRequest | None:
        if not await self._await_first_byte():
            return None
        self._reading = True
        body = bytearray()
        async with _RequestTimeout(self._limits.header_timeout_s):
            first = await self._next_event()
            if not isinstance(first, h11.Request):
                return None
            self._check_head(first)
            event = await self._next_event()
            while isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise RequestError("the body is too large", ResultCode.BODY_TOO_LARGE)
                event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            return None
        return _request_of(first, bytes(body))

    async def _await_first_byte(self) -> bool:
        """Return whether a request begins; False when the connection closed or stayed idle."""
        if self._protocol.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                data = await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            return False
        if data:
            self._protocol.receive_data(data)
        return bool(data)

    def _check_head(self, request: h11.Request) -> None:
        # h11 bounds only a header section that is incomplete after a read.
        size = len(request.target) + sum(len(n) + len(v) + 4 for n, v in request.headers)
        if size > self._limits.header_bytes:
            raise RequestError("the header section is too large", ResultCode.HEADERS_TOO_LARGE)
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Peers that disagree on which of the two counts could be made to see two requests.
            raise RequestError("the request has both a length and a transfer encoding")
        length = next((v for n, v in request.headers if n == b"content-length"), b"0")
        if int(length) > self._limits.body_bytes:
            raise RequestError("the body is too large", ResultCode.BODY_TOO_LARGE)

    async def _next_event(self) -> object:
        """Return the next event of the request."""
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self._protocol.receive_data(await self._reader.read(READ_SIZE_BYTES))

    async def _answer(self, request: HttpRequest, is_closing: Callable[[], bool]) -> None:
        try:
            response = await self._handler(request)
        except ComfreyhatchError as error:
            response = error_response(error)
        except Exception:
            log.exception("event=handler_failed path=%s", request.path)
            response = error_response(ComfreyhatchError("internal error; see the log"))
        await self._send_response(response, is_closing())

    async def _send_response(self, response: HttpResponse, close: bool) -> None:
        headers = _response_headers(response)
        if response.stream is None:
            headers.append((b"content-length", b"%d" % len(response.body)))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        if close:
            headers.append((b"connection", b"close"))
        self._send(h11.Response(status_code=response.status, headers=headers))
        if response.stream is None:
            self._send(h11.Data(data=response.body))
            self._send(h11.EndOfMessage())
            await self._drain()
            return
        await self._send_stream(response.stream)

    async def _send_stream(self, stream: AsyncIterator[bytes]) -> None:
        # A stream that fails ends without its last chunk, so that the caller sees it broken.
        try:
            async for piece in stream:
                self._send(h11.Data(data=piece))
                await self._drain()
            self._send(h11.EndOfMessage())
            await self._drain()
        except ComfreyhatchError as error:
            log.info("event=stream_cut code=%d reason=%r", error.code, str(error))
            self._writer.transport.abort()
            raise ConnectionAbortedError("the stream ended early") from error
        finally:
            close = getattr(stream, "aclose", None)
            if close:
                await close()

    def _send(self, event: h11.Event) -> None:
        data = self._protocol.send(event)
        if data:
            self._writer.write(data)

    async def _drain(self) -> None:
        transport = self._writer.transport
        if transport.is_closing():
            raise ConnectionResetError("the caller closed the connection")
        if transport.get_write_buffer_size() <= self._limits.buffer_bytes:
            return
        async with asyncio.timeout(self._limits.write_timeout_s):
            await self._writer.drain()


def _response_headers(response: HttpResponse) -> Headers:
    if response.headers is not None:
        return list(response.headers)
    headers = [(n.encode(), v.encode("latin-1")) for n, v in response.header_by_name.items()]
    return [(b"content-type", response.content_type.encode()), *headers]


def _request_of(first: h11.Request, body: bytes) -> HttpRequest:
    target = urlsplit(first.target.decode("latin-1"))
    return HttpRequest(
        method=first.method.decode("ascii"),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        header_by_name={
            name.decode("ascii"): value.decode("latin-1") for name, value in first.headers
        },
        body=body,
        raw_query=target.query,
        target=first.target.decode("latin-1"),
        headers=list(first.headers),
    )


class _RequestTimeout:
    """Turns a timeout while a request is read into a refusal."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout = asyncio.timeout(timeout_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, kind: object, error: object, trace: object) -> None:
        try:
            await self._timeout.__aexit__(kind, error, trace)  # type: ignore[arg-type]
        except TimeoutError:
            raise RequestError(
                "the request was not sent in time", ResultCode.REQUEST_TIMEOUT
            ) from None
