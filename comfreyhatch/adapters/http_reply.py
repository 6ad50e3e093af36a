"""Answers of the HTTP client: whole, or to be read piece by piece."""

import asyncio
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from math import inf

import h11
from msgspec import Struct, field

from comfreyhatch.adapters.http_link import AnswerPart, HttpLink
from comfreyhatch.adapters.http_message import Headers
from comfreyhatch.errors import (
    AnswerMemoryError,
    AnswerTooLargeError,
    ExchangeTimeoutError,
    HttpError,
)

# Events of the parser that are handled in a row, in a few milliseconds, before others get a turn.
EVENTS_PER_TURN = 256


class HttpReply(Struct):
    """An answer with its whole body; header names are in lower case."""

    status: int
    header_by_name: dict[str, str]
    body: bytes
    headers: Headers = field(default_factory=list)


class StreamedReply:
    """An answer whose body is read piece by piece."""

    def __init__(
        self, status: int, headers: Headers, link: HttpLink, declared_bytes: int | None
    ) -> None:
        """Create an answer whose head was read.

        Args:
            status: HTTP status.
            headers: Headers.
            link: Its connection.
            declared_bytes: Length of the body as its head says; None if it doesn't.
        """
        self.status = status
        self._declared_bytes = declared_bytes
        self.headers = headers
        self.header_by_name = {n.decode("ascii"): v.decode("latin-1") for n, v in headers}
        self._link = link

    @property
    def delimited(self) -> bool:
        """Whether the head tells how the body ends; otherwise it ends with the connection."""
        return self._declared_bytes is not None or "transfer-encoding" in self.header_by_name

    def without(self, names: Collection[bytes]) -> "StreamedReply":
        """Return the answer without some headers; without those that frame it, its end is unknown.

        Args:
            names: Names in lower case.
        """
        headers = [(name, value) for name, value in self.headers if name not in names]
        return StreamedReply(self.status, headers, self._link, declared_bytes(headers))

    def abort(self) -> None:
        """Reset the connection; whoever reads the body sees it break."""
        self._link.abort()

    def too_large(self, part: AnswerPart, limit: str) -> AnswerTooLargeError:
        """Reset the connection, count and log the answer, and return the error to raise."""
        return self._link.too_large(part, limit)

    async def whole(
        self,
        timeout_s: float,
        limit_bytes: int,
        until: float = inf,
        take: Callable[[int], bool] | None = None,
    ) -> bytes:
        """Return the whole body.

        Args:
            timeout_s: Longest wait for one piece, in seconds.
            limit_bytes: Largest body.
            until: Monotonic time in seconds by which the body has to be complete.
            take: Takes memory for a number of bytes of the body, and returns whether there is any.

        Raises:
            AnswerTooLargeError: If the body is larger, as soon as this is known.
            AnswerMemoryError: If there is no memory for it.
            ExchangeTimeoutError: If a piece, or the end, did not come in time.
            HttpError: If the body ended before its end.
        """
        limit = f"{limit_bytes} bytes"
        if self._declared_bytes is not None and self._declared_bytes > limit_bytes:
            raise self.too_large(AnswerPart.BODY, limit)
        body = bytearray()
        try:
            async for piece in self.pieces(timeout_s, until):
                body += piece
                if len(body) > limit_bytes:
                    raise self.too_large(AnswerPart.BODY, limit)
                if take is not None and not take(len(piece)):
                    self.abort()
                    raise AnswerMemoryError("no memory is left for answers that are read whole")
        except BaseException:
            # The traceback of an error keeps this frame, and the body, until it is collected.
            body.clear()
            raise
        return bytes(body)

    async def pieces(self, timeout_s: float, until: float = inf) -> AsyncIterator[bytes]:
        """Yield the body as it comes; what one read brings is yielded as one piece.

        A read with very many chunks is yielded in several pieces, with turns for others in between.

        Args:
            timeout_s: Longest wait for one piece, in seconds; bytes that complete no piece, such
                as a chunk header, don't renew it.
            until: Monotonic time in seconds by which the body has to be complete.

        Raises:
            ExchangeTimeoutError: If a piece, or the end, did not come in time.
            HttpError: If the body ended before its end.
        """
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        while True:
            if len(parts) >= EVENTS_PER_TURN:
                yield b"".join(parts)
                parts = []
                await asyncio.sleep(0)
            if parts:
                event = self._link.buffered_event()
            else:
                now = loop.time()
                if now >= until:
                    raise ExchangeTimeoutError("the answer did not end in time")
                event = await self._link.next_event(min(now + timeout_s, until))
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


def declared_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the length of a body as its head says; None if it doesn't."""
    value = dict(headers).get(b"content-length", b"")
    return int(value) if value.isdigit() else None
