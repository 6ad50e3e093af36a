"""A TCP endpoint that answers with given bytes, and then with more of them until it is reset."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from comfreyhatch.domain.instance import Address

# Bytes after which an answer that stands for an endless one stops; a client without a limit would
# otherwise take all memory of the test's machine.
SENT_LIMIT_BYTES = 48 * 1024 * 1024


class RawEndpoint:
    """Answers each request with a start, and then repeats a unit.

    Attributes:
        start: Returns the first bytes of an answer to the head of a request.
        unit: Bytes repeated after the start; empty for none.
        pause_s: Pause before each unit, in seconds.
        closes: Whether it closes the connection after the start.
        requests: Heads of the requests so far.
        connections: Number of connections so far.
        serving: Number of the connection whose request is being answered, from 1.
        sent_bytes: Bytes handed to connections so far.
        resets: Number of connections that the client has closed or reset.
        address: Where it listens, once started.
    """

    def __init__(
        self, start: Callable[[bytes], bytes] | bytes, unit: bytes = b"", pause_s: float = 0.0
    ) -> None:
        self.start = start if callable(start) else lambda head: start
        self.unit = unit
        self.pause_s = pause_s
        self.closes = False
        self.requests: list[bytes] = []
        self.connections = 0
        self.serving = 0
        self.sent_bytes = 0
        self.resets = 0
        self.address = Address("", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        assert self._server
        self._server.close()
        # A connection that was accepted just before may come to be served only now.
        while self._writers:
            for writer in self._writers:
                writer.transport.abort()
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                self.serving = number
                await self._send(writer, self.start(head))
                if self.closes:
                    writer.close()
                    return
                if self.unit:
                    await self._repeat(writer)
        except (OSError, asyncio.IncompleteReadError):
            self.resets += 1
        finally:
            self._writers.discard(writer)
            if not self.closes:
                writer.transport.abort()

    async def _repeat(self, writer: asyncio.StreamWriter) -> None:
        sent_bytes = 0
        while True:
            await asyncio.sleep(self.pause_s if sent_bytes < SENT_LIMIT_BYTES else 0.01)
            if writer.transport.is_closing():
                raise ConnectionResetError
            if sent_bytes < SENT_LIMIT_BYTES:
                await self._send(writer, self.unit)
                sent_bytes += len(self.unit)

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


@asynccontextmanager
async def listening(
    start: Callable[[bytes], bytes] | bytes, unit: bytes = b"", pause_s: float = 0.0
) -> AsyncIterator[RawEndpoint]:
    """Yield an endpoint that listens; see `RawEndpoint` for the arguments."""
    endpoint = RawEndpoint(start, unit, pause_s)
    await endpoint.listen()
    try:
        yield endpoint
    finally:
        await endpoint.stop()
