"""A connection of the HTTP client and the state of its protocol."""

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import h11

from comfreyhatch.adapters.answer_identity import CarriedRequests
from comfreyhatch.adapters.socket_state import unsent_bytes, was_reset
from comfreyhatch.errors import (
    AnswerTooLargeError,
    ConnectionEndedError,
    ExchangeTimeoutError,
    HttpError,
)

# Bytes of an answer that wait for its reader, beyond which nothing more is read from its connection
# for the time being. With the read that exceeds it, a connection holds 128 KiB at most.
UNREAD_LIMIT_BYTES = 65536
# Largest unfinished head, chunk header or trailer section of an answer.
HEAD_LIMIT_BYTES = 32768
HTTP_PREFIX = b"HTTP/1."
# Status that h11 suggests when its buffer is full.
TOO_LARGE_HINT = 431
IDLE_LIFE_S = 20.0
# Value of SO_LINGER (on, 0 s) with which a close sends a reset in place of an end of file.
RESET_AT_CLOSE = pack("ii", 1, 0)
# Beginning of a status line, with what stands in the place of the status.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] +([^ \r\n]*)")
STATUS_LINE_BYTES = 64
VALID_STATUSES = range(100, 600)
# States of the peer in which it has sent its whole answer.
ANSWERED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class AnswerPart(Enum):
    """Part of an answer that can exceed its limit."""

    HEAD = "head"
    INFORMATIONAL = "informational"
    BODY = "body"
    SKIPPED = "skipped"
    EVENT = "event"
    BETWEEN_EVENTS = "between_events"
    AFTER_END = "after_end"


class AnswerFault(Enum):
    """Why what a peer has sent is no answer, although it can be read as one.

    The first two concern answers that end with their connection, whose end can't be told from that
    of a peer that has crashed.
    """

    REQUEST_UNSENT = "request_unsent"
    RESET = "reset"
    STATUS = "status"


class HttpLink(asyncio.BufferedProtocol):
    """A connection and its protocol state.

    Attributes:
        ends_answer: Whether the end of the connection is the end of the answer under way.
        protocol: State of the exchange under way.
        transport: The open connection.
        carried: Requests that it has carried.
        may_be_kept: Whether it may carry another request after the one under way.
        idle: Whether it waits in a pool for its next request.
        idle_since: Monotonic time in seconds since which it has waited.
        idle_life_s: Time for which it may wait, in seconds.
    """

    def __init__(
        self,
        read_buffer: bytearray,
        report: Callable[[AnswerPart, str], None],
        report_fault: Callable[[AnswerFault, str], None],
    ) -> None:
        """Create the state of a connection.

        Args:
            read_buffer: Receives the bytes of one read; may be shared by connections.
            report: Counts and logs an answer that is too large, by its part and the limit.
            report_fault: Counts and logs what is no answer, by its fault and a detail.
        """
        self._read_buffer = read_buffer
        self._report = report
        self._report_fault = report_fault
        self.ends_answer = False
        self.protocol = h11.Connection(h11.CLIENT, HEAD_LIMIT_BYTES)
        self.carried = CarriedRequests()
        self.may_be_kept = True
        self.idle = False
        self.idle_since = 0.0
        self.idle_life_s = IDLE_LIFE_S
        self.transport: asyncio.Transport = _NO_TRANSPORT
        self._waiter: asyncio.Future[None] | None = None
        self._loss: str = ""
        self._end_fault: AnswerFault | None = None
        self._unsent_bytes = 0
        self._unread_bytes = 0
        self._read_until = 0.0
        self._timed_out = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to read to."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand bytes to the parser; bytes on an idle connection belong to no request."""
        if self.idle:
            self._report(AnswerPart.AFTER_END, "0 bytes")
            self.drop()
            return
        self.protocol.receive_data(bytes(memoryview(self._read_buffer)[:nbytes]))
        self._unread_bytes += nbytes
        if self._unread_bytes > UNREAD_LIMIT_BYTES:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Tell the parser that the peer has closed; this ends an answer without a length.

        The end of file acknowledges all that the peer's kernel had received before it.
        """
        self._unsent_bytes = unsent_bytes(self.transport)
        if was_reset(self.transport):
            self._end_fault = AnswerFault.RESET
        elif self._unsent_bytes:
            self._end_fault = AnswerFault.REQUEST_UNSENT
        self.protocol.receive_data(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note why the connection is gone."""
        self._loss = repr(exc) if exc else "closed"
        self._wake()

    async def next_event(self, until: float) -> object:
        """Return the next event of the answer.

        Args:
            until: Monotonic time in seconds at which the wait ends, whatever bytes have come.

        Raises:
            ExchangeTimeoutError: If no event came in time.
            ConnectionEndedError: If the peer ended the connection.
            HttpError: If the answer is malformed.
        """
        while True:
            event = self.buffered_event()
            if event is not h11.NEED_DATA:
                return event
            self._require_http()
            if self._timed_out:
                raise ExchangeTimeoutError("no complete answer came in time")
            if self._loss:
                raise ConnectionEndedError(f"the connection broke: {self._loss}")
            await self._wait(until)

    def buffered_event(self) -> object:
        """Return the next event of what has been read; NEED_DATA when there is none.

        Raises:
            ConnectionEndedError: If the peer ended the connection within it, or before it had the
                whole request.
            HttpError: If the answer is malformed.
        """
        is_head = self.protocol.their_state is h11.SEND_RESPONSE
        # The parser drops a head that it can't read.
        start = self.protocol.trailing_data[0][:STATUS_LINE_BYTES] if is_head else b""
        try:
            event = self.protocol.next_event()
        except h11.ProtocolError as error:
            if error.error_status_hint == TOO_LARGE_HINT:
                raise self.too_large(AnswerPart.HEAD, f"{HEAD_LIMIT_BYTES} bytes") from error
            line = STATUS_LINE.match(start)
            if line and not _is_valid_status(line[1]):
                raise self._invalid_status(line[1]) from error
            ended = self.protocol.trailing_data[1]
            kind = ConnectionEndedError if ended else HttpError
            raise kind(f"the exchange broke: {error}") from error
        if event is h11.NEED_DATA:
            self._resume_reading()
        elif isinstance(event, h11.Response) and event.status_code not in VALID_STATUSES:
            raise self._invalid_status(b"%d" % event.status_code)
        elif isinstance(event, h11.EndOfMessage) and self.ends_answer:
            self._require_whole_exchange()
        return event

    def too_large(self, part: AnswerPart, limit: str) -> AnswerTooLargeError:
        """Reset the connection, count and log the answer, and return the error to raise."""
        self._report(part, limit)
        self.abort()
        return AnswerTooLargeError(f"the answer is too large: {part.value} exceeds {limit}")

    def _require_whole_exchange(self) -> None:
        """Raise an error if the end of the connection is not the end of an answer."""
        fault = self._end_fault
        if fault is None:
            return
        self._report_fault(fault, f"{self._unsent_bytes} bytes unsent")
        self.abort()
        if fault is AnswerFault.RESET:
            raise ConnectionEndedError("the answer ended with a reset of its connection")
        raise ConnectionEndedError(
            f"the answer ended {self._unsent_bytes} bytes before the end of its request"
        )

    def _invalid_status(self, status: bytes) -> HttpError:
        """Reset the connection, count and log the answer, and return the error to raise."""
        self._report_fault(AnswerFault.STATUS, status.decode("latin-1"))
        kind = ConnectionEndedError if self.protocol.trailing_data[1] else HttpError
        self.abort()
        return kind(f"the answer has no valid status: {status!r}")

    def reusable(self) -> bool:
        """Return whether another request may follow, and prepare for it."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        if self.protocol.trailing_data[0]:
            self._report(AnswerPart.AFTER_END, "0 bytes")
            return False
        if self._loss or self.carried.is_full or not self.may_be_kept:
            return False
        self.protocol.start_next_cycle()
        # What comes while the connection is idle has to be seen.
        self._resume_reading()
        return True

    def expect_next_answer(self, method: str) -> None:
        """Begin to read another answer to the request that was sent.

        Args:
            method: HTTP method of that request.
        """
        data, ended = self.protocol.trailing_data
        self.protocol = h11.Connection(h11.CLIENT, HEAD_LIMIT_BYTES)
        self.protocol.send(h11.Request(method=method, target="/", headers=[("host", "")]))
        self.protocol.send(h11.EndOfMessage())
        if data:
            self.protocol.receive_data(data)
        if ended:
            self.protocol.receive_data(b"")

    def close(self) -> None:
        """Close the connection once what is unsent has been sent."""
        self._cancel_timer()
        self.transport.close()

    def drop(self) -> None:
        """Close the connection at once, without a reset; what is unsent is dropped."""
        self._cancel_timer()
        self.transport.abort()

    def abort(self) -> None:
        """Reset the connection, which tells the peer that its request was given up.

        An end of file would not tell it: the peer may take that for a half-close, and go on. What
        the peer has not read yet may still reach it before the reset.
        """
        self._cancel_timer()
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            # The socket may be closed already.
            with suppress(OSError):
                sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
        self.transport.abort()

    def end(self) -> None:
        """End the connection after its last request; with a reset if that was given up."""
        if self.protocol.our_state is h11.IDLE or self.protocol.their_state in ANSWERED_STATES:
            self.drop()
        else:
            self.abort()

    def fresh(self, now: float) -> bool:
        """Return whether an idle connection is likely to be open still."""
        closed = bool(self._loss) or self.transport.is_closing()
        return not closed and now - self.idle_since < self.idle_life_s

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.transport.write(data)

    def _require_http(self) -> None:
        """Raise an error if what has come of a head cannot become one."""
        if self.protocol.their_state is not h11.SEND_RESPONSE:
            return
        start = self.protocol.trailing_data[0][: len(HTTP_PREFIX)]
        if not HTTP_PREFIX.startswith(start):
            raise HttpError(f"the answer is no HTTP/1 answer: it starts with {start!r}")

    async def _wait(self, until: float) -> None:
        """Wait for bytes; a silent peer is found by one timer for many reads."""
        loop = asyncio.get_running_loop()
        self._read_until = until
        if self._timer is None or self._timer.when() > self._read_until:
            self._arm(loop, self._read_until)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _resume_reading(self) -> None:
        if self._unread_bytes > UNREAD_LIMIT_BYTES and not self.transport.is_closing():
            self.transport.resume_reading()
        self._unread_bytes = 0

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self, loop: asyncio.AbstractEventLoop, when: float) -> None:
        self._cancel_timer()
        self._timer = loop.call_at(when, self._expire, loop)

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        if self.idle or self._waiter is None:
            return
        if loop.time() < self._read_until:
            self._arm(loop, self._read_until)
            return
        self._timed_out = True
        self.abort()
        self._wake()


def _is_valid_status(status: bytes) -> bool:
    return len(status) == 3 and status.isdigit() and int(status) in VALID_STATUSES


_NO_TRANSPORT = asyncio.Transport()
