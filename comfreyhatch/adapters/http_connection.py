"""A caller's connection to an HTTP/1.1 listener, on h11."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from urllib.parse import parse_qsl, urlsplit

import h11

from comfreyhatch.adapters.client_memory import BodyMemory
from comfreyhatch.adapters.http_limits import HttpLimits, RequestWait
from comfreyhatch.adapters.http_message import (
    HttpHandler,
    HttpRequest,
    HttpResponse,
    error_response,
)
from comfreyhatch.adapters.http_response_writer import ResponseWriter
from comfreyhatch.adapters.socket_times import since_last_byte_s
from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.memory_account import MemoryAccount
from comfreyhatch.errors import BackendError, ComfreyhatchError, RefusedError, RequestError

READ_SIZE_BYTES = 65536
# Read at a time from a connection on which no body is being read, and the limit of what waits to be
# read: it bounds what a client can send in advance. asyncio reads 256 KiB at a time.
IDLE_READ_SIZE_BYTES = 16384
WAITING_LIMIT_BYTES = 8192
# Time for which what a caller sends after its last answer is read and dropped. A connection that is
# closed with bytes unread is reset, and the reset destroys an answer that is still on its way.
LINGER_S = 0.5

log = logging.getLogger("comfreyhatch.http")


class HttpConnection:
    """One caller's connection; serves one request at a time.

    Attributes:
        busy: Whether a request is being answered.
        source: Address of the client.
        answered: Whether a request has been answered.
        idle_since: Monotonic time in seconds at which the connection was opened or a request ended.
        head_since: Monotonic time in seconds since which the head of a request is being read; None
            if none is.
    """

    def __init__(
        self,
        handler: HttpHandler,
        limits_in_force: Callable[[], HttpLimits],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outlives_caller: Callable[[HttpRequest], bool] = lambda _: False,
        account: MemoryAccount | None = None,
        refuse: Callable[[ComfreyhatchError], HttpResponse] = error_response,
    ) -> None:
        """Take a connection over; nothing is read yet.

        Args:
            handler: Answers requests.
            limits_in_force: Returns the present limits of the listener; each request has those that
                are in force as it begins.
            reader: What the caller sends.
            writer: What is sent to the caller.
            outlives_caller: Returns whether a request is handled to its end after its caller left.
            account: Memory held for clients; nothing is counted if None.
            refuse: Returns the answer to a request that is refused for want of memory.
        """
        self._account = account
        self._refuse = refuse
        self.source = source_of(writer)
        self._body_memory: BodyMemory | None = None
        self._timeout: asyncio.Timeout | None = None
        self.answered = False
        self.head_since: float | None = None
        self.idle_since = asyncio.get_running_loop().time()
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
        self._responses = ResponseWriter(writer, self._protocol, self._limits, account, self.source)
        self._set_read_size(IDLE_READ_SIZE_BYTES)

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

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self.busy and not self._reading

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._writer.transport.is_closing()

    def make_way(self) -> None:
        """Close the connection at once; what its caller has not taken is dropped."""
        if self._writer.transport.get_write_buffer_size():
            self._writer.transport.abort()
        else:
            self._writer.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if self.idle:
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
        try:
            await self._serve_requests(is_closing)
            if not (self._left or self._cut):
                await self._linger()
        finally:
            self._release_body()
            self._responses.close()

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
                self._release_body()
                self.answered = True
                self.idle_since = asyncio.get_running_loop().time()
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
            await self._responses.send(error_response(error), close=True)
        except RefusedError as error:
            self._release_body()
            # What has come of the request is dropped: the connection cannot carry another one.
            await self._responses.send(self._refuse(error), close=True)
        except h11.RemoteProtocolError as error:
            code = (
                ResultCode.HEADERS_TOO_LARGE
                if error.error_status_hint == 431
                else ResultCode.BAD_REQUEST
            )
            if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                refusal = error_response(RequestError(str(error), code))
                await self._responses.send(refusal, close=True)
        return None

    async def _read_request(self) -> HttpRequest | None:
        if not await self._await_first_byte():
            return None
        self._reading = True
        self.head_since = asyncio.get_running_loop().time()
        self._take_limits()
        wait = self._wait(lambda: self._limits_in_force().header_timeout_s)
        first = await self._next_event(wait)
        if not isinstance(first, h11.Request):
            return None
        declared_bytes = self._check_head(first)
        self.head_since = None
        if declared_bytes != 0:
            if self._account is not None:
                self._body_memory = BodyMemory(self._account, self.source, self._stop_reading)
                await self._reserve(declared_bytes or 0, wait)
            self._set_read_size(READ_SIZE_BYTES)
        body = await self._read_body(wait, declared_bytes is None)
        self._set_read_size(IDLE_READ_SIZE_BYTES)
        if body is None:
            return None
        waited_s = since_last_byte_s(self._writer.transport)
        if self._body_memory is not None:
            self._body_memory.begin_request(len(body))
            # What the caller sent while this side did not read may have waited for that long.
            waited_s = max(waited_s, self._body_memory.paused_s)
        return _request_of(first, body, waited_s)

    async def _read_body(self, wait: RequestWait, chunked: bool) -> bytes | None:
        """Return the body; None if it does not end.

        Args:
            wait: Wait for the request.
            chunked: Whether its length is not declared.
        """
        body = bytearray()
        try:
            event = await self._next_event(wait)
            while isinstance(event, h11.Data):
                size_bytes = len(body) + len(event.data)
                if size_bytes > self._limits.body_bytes:
                    raise RequestError("the body is too large", ResultCode.BODY_TOO_LARGE)
                if chunked:
                    await self._reserve(size_bytes, wait, chunked=True)
                body += event.data
                if self._body_memory is not None:
                    self._body_memory.note_read(len(event.data))
                event = await self._next_event(wait)
            return bytes(body) if isinstance(event, h11.EndOfMessage) else None
        finally:
            # The traceback of an error keeps this frame, and the body, until it is collected.
            body.clear()

    async def _reserve(self, size_bytes: int, wait: RequestWait, chunked: bool = False) -> None:
        """Wait for memory for a body; the caller's time to send it does not run meanwhile.

        Raises:
            RefusedError: If there is none in time.
        """
        memory = self._body_memory
        if memory is None:
            return
        paused_s = memory.paused_s
        longest_wait_s = self._limits.header_timeout_s
        if chunked:
            await memory.reserve_chunked(size_bytes, self._limits.body_bytes, longest_wait_s)
        else:
            await memory.reserve(size_bytes, longest_wait_s)
        wait.extend(memory.paused_s - paused_s)

    def _release_body(self) -> None:
        if self._body_memory is not None:
            self._body_memory.close()
            self._body_memory = None

    def _stop_reading(self) -> None:
        """End the wait for the caller, who is refused as `BodyMemory.refusal` says."""
        if self._timeout is not None:
            # The time may be over already.
            with suppress(RuntimeError):
                self._timeout.reschedule(asyncio.get_running_loop().time())

    def _set_read_size(self, size_bytes: int) -> None:
        """Bound the bytes that one read takes from the connection."""
        if self._account is not None:
            # The attribute of asyncio's transports over sockets; others ignore it.
            self._writer.transport.max_size = size_bytes  # type: ignore[attr-defined]

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
        self._responses.limits = self._limits
        if self._limits.header_bytes != before.header_bytes:
            begun = self._protocol.trailing_data[0]
            self._protocol = _parser(self._limits.header_bytes)
            self._protocol.receive_data(begun)
            self._responses.protocol = self._protocol

    def _wait(self, limit_s: Callable[[], float]) -> RequestWait:
        return RequestWait(limit_s, asyncio.get_running_loop().time())

    async def _read(self, wait: RequestWait) -> bytes | None:
        """Return bytes of the caller, none at their end; None if the time is over.

        Bytes that have come as the time ends are returned still.
        """
        while not wait.over:
            try:
                async with asyncio.timeout_at(wait.until()) as timeout:
                    self._timeout = timeout
                    return await self._reader.read(READ_SIZE_BYTES)
            except TimeoutError:
                if not timeout.expired():
                    raise
                if self._body_memory is not None and self._body_memory.refusal is not None:
                    raise self._body_memory.refusal from None
                wait.over = wait.until() <= asyncio.get_running_loop().time()
            finally:
                self._timeout = None
        try:
            async with asyncio.timeout(0) as timeout:
                return await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            if not timeout.expired():
                raise
            return None

    def _check_head(self, request: h11.Request) -> int | None:
        """Check the head of a request; return the length of its body, None if that is not known.

        Raises:
            RequestError: If it cannot be served.
        """
        # h11 bounds only a header section that is incomplete after a read.
        size = len(request.target) + sum(len(n) + len(v) + 4 for n, v in request.headers)
        if size > self._limits.header_bytes:
            raise RequestError("the header section is too large", ResultCode.HEADERS_TOO_LARGE)
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Peers that disagree on which of the two counts could be made to see two requests.
            raise RequestError("the request has both a length and a transfer encoding")
        length = int(next((v for n, v in request.headers if n == b"content-length"), b"0"))
        if length > self._limits.body_bytes:
            raise RequestError("the body is too large", ResultCode.BODY_TOO_LARGE)
        return None if b"transfer-encoding" in names else length

    async def _next_event(self, wait: RequestWait) -> object:
        """Return the next event of the request.

        Raises:
            RequestError: If it did not come in time.
        """
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                self._responses.write(h11.InformationalResponse(status_code=100, headers=[]))
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
        await self._responses.send(response, is_closing())


def _parser(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def source_of(writer: asyncio.StreamWriter) -> str:
    """Return the address from which a client has connected; empty if it is not known."""
    peer = writer.get_extra_info("peername")
    return str(peer[0]) if isinstance(peer, tuple) else ""


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
