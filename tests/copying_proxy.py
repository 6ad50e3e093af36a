"""A proxy before an endpoint that sends the copy of an earlier answer before the next one."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from comfreyhatch.domain.instance import Address

READ_SIZE_BYTES = 65536
ID_LINE = re.compile(rb"x-request-id: [^\r]*\r\n")
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def with_id(answer: bytes) -> bytes:
    """Return an answer as it is."""
    return answer


def without_id(answer: bytes) -> bytes:
    """Return an answer without the header that repeats the id of its request."""
    return ID_LINE.sub(b"", answer)


class CopyingProxy:
    """Hands requests and answers on, and sends the last answer of a connection once more.

    The copy is sent as the next request comes, before that is handed on.

    Attributes:
        copied: Returns whether an answer is to be sent once more.
        rewrite: Applied to what is read of an answer.
        rewrite_copy: Applied to a copy.
        requests: Requests handed on so far, as bytes.
        connections: Number of connections so far.
        copies: Number of copies sent.
        address: Where it listens, once started.
    """

    def __init__(self, target: Address, copied: Callable[[bytes], bool]) -> None:
        self.copied = copied
        self.rewrite = with_id
        self.rewrite_copy = with_id
        self.requests: list[bytes] = []
        self.connections = 0
        self.copies = 0
        self.address = Address("", 0)
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        assert self._server
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        self.connections += 1
        endpoint_reader, endpoint_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        answer = bytearray()
        answering = asyncio.create_task(self._hand_answers_on(endpoint_reader, writer, answer))
        try:
            while True:
                request = await _read_request(reader)
                if answer and self.copied(bytes(answer)):
                    self.copies += 1
                    writer.write(self.rewrite_copy(bytes(answer)))
                answer.clear()
                self.requests.append(request)
                endpoint_writer.write(request)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client has gone, or the test has ended.
            pass
        finally:
            answering.cancel()
            endpoint_writer.transport.abort()
            writer.transport.abort()
            self._tasks.discard(task)

    async def _hand_answers_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytearray
    ) -> None:
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                piece = self.rewrite(data)
                answer += piece
                writer.write(piece)
            writer.close()
        except OSError:
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = LENGTH.search(head)
    return head + (await reader.readexactly(int(length[1])) if length else b"")


@asynccontextmanager
async def copying(
    target: Address, copied: Callable[[bytes], bool] = bool
) -> AsyncIterator[CopyingProxy]:
    """Yield a proxy before an address that listens; see `CopyingProxy` for the arguments."""
    proxy = CopyingProxy(target, copied)
    await proxy.listen()
    try:
        yield proxy
    finally:
        await proxy.stop()
