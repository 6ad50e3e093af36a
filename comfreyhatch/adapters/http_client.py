"""An HTTP/1.1 client on h11 with a pool of connections, one request on each at a time."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager

import h11
from msgspec import Struct

from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, ExchangeTimeoutError, HttpError

READ_SIZE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
IDLE_PER_ADDRESS = 64
IDLE_LIFE_S = 20.0


class HttpReply(Struct):
    """An answer with its whole body; header names are in lower case."""

    status: int
    header_by_name: dict[str, str]
    body: bytes


class StreamedReply:
    """An answer whose body is read piece by piece."""

    def __init__(self, status: int, header_by_name: dict[str, str], link: "_Link") -> None:
        self.status = status
        self.header_by_name = header_by_name
        self._link = link

    async def pieces(self, timeout_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes; what one read brings is yielded as one piece.

        Args:
            timeout_s: Longest wait for one piece.

        Raises:
            ExchangeTimeoutError: If a piece did not come in time.
            HttpError: If the body ended before its end.
        """
        parts: list[bytes] = []
        while True:
            event = self._link.buffered_event() if parts else await self._link.next_event(timeout_s)
            if isinstance(event, h11.Data):
                parts.append(event.data)
                continue
            if parts:
                yield b"".join(parts)
                parts = []
            if isinstance(event, h11.EndOfMessage):
                return
            if event is not h11.NEED_DATA:
                raise HttpError("the answer ended before its end")


class _Link:
    """A connection and its protocol state."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle = False
        self.idle_since = 0.0
        self._read_until = 0.0
        self._timed_out = False
        self._timer: asyncio.TimerHandle | None = None

    async def next_event(self, timeout_s: float) -> object:
        """Return the next event of the answer.

        Raises:
            ExchangeTimeoutError: If nothing came in time.
            HttpError: If the connection broke.
        """
        try:
            while True:
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.protocol.receive_data(await self._read(timeout_s))
        except TimeoutError:
            raise ExchangeTimeoutError(f"no answer within {timeout_s:g} s") from None
        except (OSError, h11.ProtocolError) as error:
            raise HttpError(f"the exchange broke: {error}") from error

    async def _read(self, timeout_s: float) -> bytes:
        """Read what comes; a silent peer is found by one timer for many reads."""
        loop = asyncio.get_running_loop()
        self._read_until = loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._read_until:
            self._arm(loop, self._read_until)
        data = await self._reader.read(READ_SIZE_BYTES)
        if not data and self._timed_out:
            raise TimeoutError
        return data

    def _arm(self, loop: asyncio.AbstractEventLoop, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(when, self._expire, loop)

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        if self.idle:
            return
        if loop.time() < self._read_until:
            self._arm(loop, self._read_until)
            return
        self._timed_out = True
        self._reader.feed_eof()
        self.writer.transport.abort()

    def buffered_event(self) -> object:
        """Return the next event of what has been read; NEED_DATA when there is none.

        Raises:
            HttpError: If the answer is malformed.
        """
        try:
            return self.protocol.next_event()
        except h11.ProtocolError as error:
            raise HttpError(f"the exchange broke: {error}") from error

    def reusable(self) -> bool:
        """Return whether another request may follow, and prepare for it."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self.writer.close()

    def fresh(self, now: float) -> bool:
        """Return whether an idle connection is likely to be open still."""
        closed = self.writer.transport.is_closing() or self._reader.at_eof()
        return not closed and now - self.idle_since < IDLE_LIFE_S


class HttpClient:
    """Sends requests; owns its connections."""

    def __init__(self, before_send: Callable[[], None] | None = None) -> None:
        """Create a client.

        Args:
            before_send: Called when a connection is open, just before the first byte is
                written; what it raises ends the request with nothing sent.
        """
        self._before_send = before_send
        self._idle_by_address: dict[Address, list[_Link]] = {}

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        header_by_name: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        fresh_connection: bool = False,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Args:
            address: Where to.
            method: HTTP method.
            target: Path with query.
            body: Body.
            header_by_name: Headers besides host and content-length.
            timeout_s: Time for the whole exchange, in seconds.
            fresh_connection: Whether a pooled connection must not be used.

        Raises:
            ConnectError: If nothing was sent.
            ExchangeTimeoutError: If the answer did not come in time.
            HttpError: If the exchange broke.
        """
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.stream(
                    address, method, target, body, header_by_name, timeout_s, fresh_connection
                ) as reply,
            ):
                pieces = [piece async for piece in reply.pieces(timeout_s)]
        except TimeoutError:
            raise ExchangeTimeoutError(f"no answer from {address} within {timeout_s:g} s") from None
        return HttpReply(reply.status, reply.header_by_name, b"".join(pieces))

    @asynccontextmanager
    async def stream(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        header_by_name: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        fresh_connection: bool = False,
    ) -> AsyncIterator[StreamedReply]:
        """Send a request and give its answer piece by piece.

        The connection is closed unless the answer was read to its end.

        Raises:
            ConnectError: If nothing was sent.
            ExchangeTimeoutError: If the head of the answer did not come in time.
            HttpError: If the exchange broke.
        """
        link = await self._link(address, fresh_connection)
        kept = False
        try:
            headers = {"host": str(address), **(header_by_name or {})}
            if self._before_send:
                self._before_send()
            _write_request(link, method, target, body, headers)
            head = await link.next_event(timeout_s)
            while isinstance(head, h11.InformationalResponse):
                head = await link.next_event(timeout_s)
            if not isinstance(head, h11.Response):
                raise HttpError(f"{address} closed the connection before answering")
            names = {n.decode("ascii"): v.decode("latin-1") for n, v in head.headers}
            yield StreamedReply(head.status_code, names, link)
            kept = link.reusable()
        finally:
            if kept:
                self._keep(address, link)
            else:
                link.close()

    def close(self) -> None:
        """Close all idle connections."""
        for links in self._idle_by_address.values():
            for link in links:
                link.close()
        self._idle_by_address.clear()

    async def _link(self, address: Address, fresh: bool) -> _Link:
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_address.get(address, [])
        while idle and not fresh:
            link = idle.pop()
            if link.fresh(now):
                link.idle = False
                return link
            link.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"cannot connect to {address}: {error!r}", ran=Ran.NO) from error
        return _Link(reader, writer)

    def _keep(self, address: Address, link: _Link) -> None:
        links = self._idle_by_address.setdefault(address, [])
        if len(links) >= IDLE_PER_ADDRESS:
            link.close()
            return
        link.idle = True
        link.idle_since = asyncio.get_running_loop().time()
        links.append(link)


def _write_request(
    link: _Link, method: str, target: str, body: bytes, header_by_name: Mapping[str, str]
) -> None:
    headers = [*header_by_name.items(), ("content-length", str(len(body)))]
    request = h11.Request(method=method, target=target, headers=headers)
    data = link.protocol.send(request) or b""
    if body:
        data += link.protocol.send(h11.Data(data=body)) or b""
    data += link.protocol.send(h11.EndOfMessage()) or b""
    link.writer.write(data)
