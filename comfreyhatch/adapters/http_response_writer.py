"""Sends answers to a caller, no faster than it takes them."""

import asyncio
import logging
from collections.abc import AsyncIterator

import h11

from comfreyhatch.adapters.client_memory import UnreadMemory, stream_behind_bytes
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import Headers, HttpResponse
from comfreyhatch.decisions.memory_account import MemoryAccount, MemoryPart
from comfreyhatch.errors import ComfreyhatchError

log = logging.getLogger("comfreyhatch.http")


class ResponseWriter:
    """Writes the answers of one connection.

    Attributes:
        protocol: State of the exchange under way.
        limits: Limits in force for it.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        protocol: h11.Connection,
        limits: HttpLimits,
        account: MemoryAccount | None,
        source: str,
    ) -> None:
        """Take a connection over.

        Args:
            writer: What is sent to the caller.
            protocol: State of the first exchange.
            limits: Limits in force for it.
            account: Memory held for clients; nothing is counted if None.
            source: Address of the caller, for the log.
        """
        self._writer = writer
        self.protocol = protocol
        self.limits = limits
        self._account = account
        self._source = source
        self._unread = UnreadMemory(account, source, writer.transport) if account else None
        self._written_bytes = 0
        writer.transport.set_write_buffer_limits(high=limits.buffer_bytes)

    def close(self) -> None:
        """Count nothing more for the caller."""
        if self._unread is not None:
            self._unread.close()

    async def send(self, response: HttpResponse, close: bool) -> None:
        """Send an answer.

        Args:
            response: The answer.
            close: Whether the connection closes after it.

        Raises:
            ConnectionError: If the caller closed the connection, or a stream ended early.
            TimeoutError: If the caller did not take the answer in time.
        """
        headers = _response_headers(response)
        if response.stream is None:
            headers.append((b"content-length", b"%d" % len(response.body)))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        if close:
            headers.append((b"connection", b"close"))
        self.write(h11.Response(status_code=response.status, headers=headers))
        if response.stream is None:
            self.write(h11.Data(data=response.body))
            self.write(h11.EndOfMessage())
            await self._drain()
            return
        await self._send_stream(response.stream)

    async def _send_stream(self, stream: AsyncIterator[bytes]) -> None:
        # A stream that fails ends without its last chunk, so that the caller sees it broken.
        try:
            carried_bytes = 0
            async for piece in stream:
                self.write(h11.Data(data=piece))
                carried_bytes += len(piece)
                await self._drain(stream_behind_bytes(carried_bytes))
            self.write(h11.EndOfMessage())
            await self._drain()
        except ComfreyhatchError as error:
            log.info("event=stream_cut code=%d reason=%r", error.code, str(error))
            self._writer.transport.abort()
            raise ConnectionAbortedError("the stream ended early") from error
        finally:
            close = getattr(stream, "aclose", None)
            if close:
                await close()

    def write(self, event: h11.Event) -> None:
        """Send an event without waiting for the caller to take it."""
        data = self.protocol.send(event)
        if data:
            self._written_bytes += len(data)
            self._writer.write(data)

    async def _drain(self, behind_bytes: int = 0) -> None:
        """Wait until the caller has taken what is buffered for it, beyond the limit.

        Args:
            behind_bytes: Bytes that may wait elsewhere for the caller.
        """
        transport = self._writer.transport
        if transport.is_closing():
            raise ConnectionResetError("the caller closed the connection")
        self._note_unread(behind_bytes)
        if transport.get_write_buffer_size() <= self.limits.buffer_bytes:
            return
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self._writer.drain()
        except TimeoutError:
            # A transport that is only closed keeps what is buffered until the caller takes it.
            log.info(
                "event=client_turned_away reason=write_timeout source=%s held_bytes=%d",
                self._source,
                transport.get_write_buffer_size(),
            )
            if self._account is not None:
                self._account.note_turned_away(MemoryPart.UNREAD)
            transport.abort()
            raise
        self._note_unread(behind_bytes)

    def _note_unread(self, behind_bytes: int) -> None:
        if self._unread is not None:
            buffered_bytes = self._writer.transport.get_write_buffer_size()
            self._unread.note_written(buffered_bytes, self._written_bytes, behind_bytes)
            self._written_bytes = 0


def _response_headers(response: HttpResponse) -> Headers:
    if response.headers is not None:
        return list(response.headers)
    headers = [(n.encode(), v.encode("latin-1")) for n, v in response.header_by_name.items()]
    return [(b"content-type", response.content_type.encode()), *headers]
