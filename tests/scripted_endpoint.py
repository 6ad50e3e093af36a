"""A TCP endpoint whose answers are written by a coroutine, at any time and in any pieces."""

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET, socket

from comfreyhatch.adapters.http_link import RESET_AT_CLOSE
from comfreyhatch.domain.instance import Address


class ScriptedConnection:
    """A connection of the endpoint.

    Attributes:
        number: Number of the connection, from 1.
        heads: Heads of its requests so far.
    """

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.number = number
        self.heads: list[bytes] = []
        self._reader = reader
        self._writer = writer
        self._unread_bytes = 0

    async def read_head(self) -> bytes:
        """Read the body before, if it was not, and return the head of the next request."""
        await self.read_body()
        head = await self._reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        length = re.search(rb"\r\ncontent-length: *(\d+)", head, re.IGNORECASE)
        self._unread_bytes = int(length[1]) if length else 0
        return head

    async def read_body(self) -> bytes:
        """Return the body of the last request; empty once it was read."""
        body = await self._reader.readexactly(self._unread_bytes)
        self._unread_bytes = 0
        return body

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    def end(self) -> None:
        """Send an end of file; the connection can still be read."""
        self._writer.write_eof()

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
        self._writer.transport.abort()


Answer = Callable[[ScriptedConnection, bytes], Awaitable[None]]


class ScriptedEndpoint:
    """Lets a coroutine answer each request, given its connection and its head.

    Attributes:
        requests: Heads of the requests so far.
        open_connections: Connections that are open.
        resets: Connections that the client has reset.
        closed: Connections that the client has closed without a reset.
        address: Where it listens, once started.
    """

    def __init__(self, answer: Answer) -> None:
        self.requests: list[bytes] = []
        self.open_connections = 0
        self.resets = 0
        self.closed = 0
        self.address = Address("", 0)
        self._connections = 0
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, receive_buffer_bytes: int | None = None) -> None:
        """Listen on a free port.

        Args:
            receive_buffer_bytes: Size of its connections' receive buffers; the system's if None.
        """
        listener = socket()
        if receive_buffer_bytes is not None:
            listener.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._accept, sock=listener, limit=4096)
        self.address = Address(*listener.getsockname()[:2])

    async def stop(self) -> None:
        assert self._server
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Those of tasks that were cancelled before they began, too.
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        self.open_connections += 1
        connection = ScriptedConnection(self._connections, reader, writer)
        try:
            while True:
                head = await connection.read_head()
                self.requests.append(head)
                await self._answer(connection, head)
        except asyncio.IncompleteReadError:
            self.closed += 1
        except OSError:
            self.resets += 1
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.transport.abort()


@asynccontextmanager
async def scripted(
    answer: Answer, receive_buffer_bytes: int | None = None
) -> AsyncIterator[ScriptedEndpoint]:
    """Yield an endpoint that listens; see `ScriptedEndpoint` for the arguments."""
    endpoint = ScriptedEndpoint(answer)
    await endpoint.listen(receive_buffer_bytes)
    try:
        yield endpoint
    finally:
        await endpoint.stop()
