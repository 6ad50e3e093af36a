"""A caller's connection to an HTTP/1.1 listener, on h11."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Annotated
from urllib.parse import parse_qsl, urlsplit

import h11
from msgspec import Meta, Struct

from comfreyhatch.adapters.http_message import (
    Headers,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    error_response,
)
from comfreyhatch.adapters.socket_times import since_last_byte_s
from comfreyhatch.codes import ResultCode
from comfreyhatch.errors import BackendError, ComfreyhatchError, RequestError

READ_SIZE_BYTES = 65536
# Time for which what a caller sends after its last answer is read and dropped. A connection that is
# closed with bytes unread is reset, and the reset destroys an answer that is still on its way.
LINGER_S = 0.5

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


class _Wait:
    """A wait for a caller to send; extended when its limit is raised meanwhile.

    A limit that is lowered applies from the next wait on: the caller may count on the longer one.

    Attributes:
        over: Whether the time was over.
    """

    __slots__ = ("_began_at", "_limit_s", "_longest_s", "over")

    def __init__(self, limit_s: Callable[[], float], now: float) -> None:
        self._began_at = now
        self._limit_s = limit_s
        self._longest_s = limit_s()
        self.over = False

    def until(self) -> float:
        """Return the monotonic time in seconds at which the wait ends as things are."""
        self._longest_s = max(self._longest_s, self._limit_s())
        return self._began_at + self._longest_s


class HttpConnection:
    """One caller's connection; serves one request at a time.

    Attributes:
        busy: Whether a request is being answered.
    """

    def __init__(
        self,
        handler: HttpHandler,
        limits_in_force: Callable[[], HttpLimits],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outlives_caller: Callable[[HttpRequest], bool] = lambda _: False,
    ) -> None:
        """Take a connection over; nothing is read yet.

        Args:
            handler: Answers requests.
            limits_in_force: Returns the present limits of the listener; each request has those that
                are in force as it begins.
            reader: What the caller sends.
            writer: What is sent to the caller.
            outlives_caller: Returns whether a request is handled to its end after its caller left.
        """
        self._outlives_caller = outlives_caller
        self._cancellable = True
        self._handler = handler
        self._limits_in_force = limits_in_force
        self._limits = limits_in_force()
        self._reader = reader
        self._writer = writer
        self._protocol = _parser(self._limits.header_bytes)
        self.busy = False
        self._reading = False
        self._left = False
        self._cut = False
        writer.transport.set_write_buffer_limits(high=self._limits.buffer_bytes)

    def caller_left(self, task: asyncio.Task[None]) -> None:
        """Cancel the request that is being answered or read, unless it outlives its caller."""
        self._left = True
        if self.busy and self._cancellable:
            task.cancel()

    def cut(self, task: asyncio.Task[None]) -> None:
        """End the request that is being answered; its caller is told that it may have run."""
        self._cut = True
        task.cancel()

    def note_input(self) -> None:
        """Note that bytes have come, which begin a request unless one is being read or answered."""
        self._reading = self._reading or not self.busy

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.busy and not self._reading:
            self._writer.close()

    async def serve(self, is_closing: Callable[[], bool]) -> None:
        """Answer requests until one side closes the connection.

        Args:
            is_closing: Whether the connection closes after the answer under way.

        Raises:
            ConnectionError: If the caller closed the connection, or a stream ended early.
            TimeoutError: If the caller did not take the answer in time.
            h11.ProtocolError: If the caller broke the protocol.
        """
        await self._serve_requests(is_closing)
        if not (self._left or self._cut):
            await self._linger()

    async def _serve_requests(self, is_closing: Callable[[], bool]) -> None:
        """Answer requests until no further one is to be read."""
        while True:
            request = await self._read_or_refuse()
            if request is None:
                return
            # One turn of the event loop, in which a caller that has left already is noticed.
            await asyncio.sleep(0)
            self._cancellable = not self._outlives_caller(request)
            if self._cancellable and (self._left or self._writer.transport.is_closing()):
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

    async def _linger(self) -> None:
        """Send the end of the answers, and drop what the caller still sends for a short time."""
        if self._protocol.our_state is h11.IDLE or self._writer.transport.is_closing():
            return
        self._writer.write_eof()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_SIZE_BYTES):
                    pass

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
        self._take_limits()
        wait = self._wait(lambda: self._limits_in_force().header_timeout_s)
        body = bytearray()
        first = await self._next_event(wait)
        if not isinstance(first, h11.Request):
            return None
        self._check_head(first)
        event = await self._next_event(wait)
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise RequestError("the body is too large", ResultCode.BODY_TOO_LARGE)
            event = await self._next_event(wait)
        if not isinstance(event, h11.EndOfMessage):
            return None
        return _request_of(first, bytes(body), since_last_byte_s(self._writer.transport))

    async def _await_first_byte(self) -> bool:
        """Return whether a request begins; False when the connection closed or stayed idle."""
        if self._protocol.trailing_data[0]:
            return True
        data = await self._read(self._wait(lambda: self._limits_in_force().idle_timeout_s))
        if data:
            self._protocol.receive_data(data)
        return bool(data)

    def _take_limits(self) -> None:
        """Apply the limits in force to the request that begins."""
        before = self._limits
        self._limits = self._limits_in_force()
        if self._limits.header_bytes != before.header_bytes:
            begun = self._protocol.trailing_data[0]
            self._protocol = _parser(self._limits.header_bytes)
            self._protocol.receive_data(begun)

    def _wait(self, limit_s: Callable[[], float]) -> _Wait:
        return _Wait(limit_s, asyncio.get_running_loop().time())

    async def _read(self, wait: _Wait) -> bytes | None:
        """Return bytes of the caller, none at their end; None if the time is over.

        Bytes that have come as the time ends are returned still.
        """
        while not wait.over:
            try:
                async with asyncio.timeout_at(wait.until()) as timeout:
                    return await self._reader.read(READ_SIZE_BYTES)
            except TimeoutError:
                if not timeout.expired():
                    raise
                wait.over = wait.until() <= asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(0) as timeout:
                return await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            if not timeout.expired():
                raise
            return None

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

    async def _next_event(self, wait: _Wait) -> object:
        """Return the next event of the request.

        Raises:
            RequestError: If it did not come in time.
        """
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            data = await self._read(wait)
            if data is None:
                raise RequestError("the request was not sent in time", ResultCode.REQUEST_TIMEOUT)
            self._protocol.receive_data(data)

    async def _answer(self, request: HttpRequest, is_closing: Callable[[], bool]) -> None:
        try:
            response = await self._handler(request)
        except ComfreyhatchError as error:
            response = error_response(error)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or not self._cut or self._left:
                raise
            task.uncancel()
            response = error_response(BackendError("the instance has stopped"))
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


def _parser(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _response_headers(response: HttpResponse) -> Headers:
    if response.headers is not None:
        return list(response.headers)
    headers = [(n.encode(), v.encode("latin-1")) for n, v in response.header_by_name.items()]
    return [(b"content-type", response.content_type.encode()), *headers]


def _request_of(first: h11.Request, body: bytes, waited_s: float) -> HttpRequest:
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
        waited_s=waited_s,
    )
