"""A small HTTP/1.1 server and client on asyncio streams, of the standard library alone."""

import asyncio
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

MAX_HEAD_BYTES = 65536


class Request:
    """A request: method, target, headers by name in lower case, and body."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def query(self, name: str, default: str = "") -> str:
        return parse_qs(self.target.partition("?")[2]).get(name, [default])[-1]


class Connection:
    """One connection of a server; handlers write their answers with `send` or `begin_stream`."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.closing = False

    async def send(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} S"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"content-length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self.writer.drain()

    async def begin_stream(self, status: int, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} S"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("transfer-encoding: chunked")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        await self.writer.drain()

    async def piece(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()

    async def end_stream(self) -> None:
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


Handler = Callable[[Request, Connection], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that is framed by its length or by chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """A listener that serves one request at a time on each connection.

    A request is cancelled when its connection closes.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.host = ""
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES, backlog=1024
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = Connection(reader, writer)
        try:
            while not connection.closing:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self._answer(Request(method, target, head[1], body), connection)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def _answer(self, request: Request, connection: Connection) -> None:
        """Run the handler until it ends or the caller closes its connection."""
        task = asyncio.ensure_future(self._handle(request, connection))
        gone = asyncio.ensure_future(_closed(connection))
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not task.done():
            task.cancel()
            connection.closing = True
        await asyncio.gather(task, gone, return_exceptions=True)

    async def _handle(self, request: Request, connection: Connection) -> None:
        try:
            await self._handler(request, connection)
        except ConnectionError:
            connection.closing = True


async def _closed(connection: Connection) -> None:
    """Return once the connection is closed by the peer."""
    while not connection.reader.at_eof() and connection.reader.exception() is None:
        if connection.writer.transport.is_closing():
            return
        await asyncio.sleep(0.02)


class Answer:
    """An answer: status, headers and body; `complete` tells whether it has come to its end."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer | None:
    """Send a request on a connection of its own; return None if there is no answer at all."""
    status, found, received = 0, {}, bytearray()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=2**20)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if method != "GET":
                lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return None
            status, found = int(head[0].split(" ")[1]), head[1]
            if "chunked" in found.get("transfer-encoding", ""):
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    data = await reader.readexactly(size + 2)
                    if not size:
                        return Answer(status, found, bytes(received), True)
                    received += data[:-2]
            received += await reader.readexactly(int(found.get("content-length", "0")))
            return Answer(status, found, bytes(received), True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer(status, found, bytes(received), False) if status else None
    finally:
        if writer is not None:
            writer.close()
