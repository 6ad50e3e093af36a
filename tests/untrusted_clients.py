"""Crowds of clients that stop sending or reading, and the resources that a process holds."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from enum import Enum
from pathlib import Path

from comfreyhatch.domain.instance import Address

BYTES_PER_KB = 1024
PIECE_BYTES = 65536
# Bytes by which a body that is never completed stops short.
SHORT_BYTES = 10
# Receive buffer of a client that does not read, so that what it leaves unread stays at the daemon.
UNREAD_BUFFER_BYTES = 4096
SAMPLE_S = 0.02
# Memory counts as settled when it has not grown for so many samples.
SETTLED_SAMPLES = 50
# Longest wait for a crowd to have sent what it can, or for its memory to settle.
CROWD_TIMEOUT_S = 90.0


class BodyKind(Enum):
    """How an incomplete body is sent."""

    SIZED = "with a length"
    CHUNKED = "chunked"
    PIECES = "in pieces"


class ProcessWatch:
    """Resources of a process.

    Attributes:
        peak_fds: Most descriptors seen open.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self.peak_fds = 0

    @property
    def memory_bytes(self) -> int:
        """Resident memory."""
        return self._status("VmRSS")

    @property
    def peak_memory_bytes(self) -> int:
        """Largest resident memory so far."""
        return self._status("VmHWM")

    def _status(self, name: str) -> int:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * BYTES_PER_KB
        raise AssertionError("the process has ended")

    async def sample(self) -> None:
        """Count descriptors until cancelled or until the process has ended."""
        with suppress(OSError):
            while True:
                self.peak_fds = max(self.peak_fds, len(os.listdir(self._folder / "fd")))
                await asyncio.sleep(SAMPLE_S)

    async def settle(self) -> None:
        """Wait until the memory no longer grows."""
        async with asyncio.timeout(CROWD_TIMEOUT_S):
            largest, since = 0, 0
            while since < SETTLED_SAMPLES:
                since = since + 1 if self.memory_bytes <= largest else 0
                largest = max(largest, self.memory_bytes)
                await asyncio.sleep(SAMPLE_S)


@asynccontextmanager
async def watched(pid: int) -> AsyncIterator[ProcessWatch]:
    """Yield a watch of a process that samples its descriptors."""
    watch = ProcessWatch(pid)
    task = asyncio.create_task(watch.sample())
    try:
        yield watch
    finally:
        task.cancel()


class Crowd:
    """Clients whose connections stay open until the crowd leaves."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []

    async def connect(
        self, address: Address, receive_bytes: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await asyncio.get_running_loop().sock_connect(sock, (address.host, address.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1)
        self._writers.append(writer)
        return reader, writer

    async def run(self, count: int, client: Callable[[], Awaitable[None]]) -> None:
        """Run a number of clients; their connections may be refused or closed."""

        async def tolerant() -> None:
            with suppress(OSError):
                await client()

        async with asyncio.timeout(CROWD_TIMEOUT_S):
            await asyncio.gather(*(tolerant() for _ in range(count)))

    async def send_short(
        self, address: Address, head: bytes, body_bytes: int, kind: BodyKind
    ) -> None:
        """Send a request without the last bytes of its body, as far as it is taken."""
        reader, writer = await self.connect(address)
        piece = b"x" * PIECE_BYTES
        if kind is BodyKind.CHUNKED:
            writer.write(head + b"transfer-encoding: chunked\r\n\r\n")
            piece = b"%x\r\n%s\r\n" % (len(piece), piece)
        else:
            writer.write(head + b"content-length: %d\r\n\r\n" % body_bytes)
        pieces = body_bytes // PIECE_BYTES
        closed = asyncio.ensure_future(reader.read(1))
        try:
            for number in range(1, pieces + 1):
                writer.write(piece if number < pieces else piece[:-SHORT_BYTES])
                drained = asyncio.ensure_future(writer.drain())
                # A daemon that refuses the request answers while the rest is being sent.
                await asyncio.wait({drained, closed}, return_when=asyncio.FIRST_COMPLETED)
                if closed.done():
                    drained.cancel()
                    return
                if kind is BodyKind.PIECES:
                    await asyncio.sleep(0.002)
        finally:
            closed.cancel()

    async def leave_unread(self, address: Address, request: bytes) -> None:
        """Send a request, and read no more than the first byte of its answer."""
        reader, writer = await self.connect(address, UNREAD_BUFFER_BYTES)
        writer.write(request)
        await reader.read(1)

    def leave(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


@asynccontextmanager
async def crowd() -> AsyncIterator[Crowd]:
    """Yield a crowd, which leaves at the end."""
    clients = Crowd()
    try:
        yield clients
    finally:
        clients.leave()
