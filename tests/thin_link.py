"""A proxy that stands for the narrow link of a machine: its connections share one byte rate."""

import asyncio

from comfreyhatch.domain.instance import Address

PIECE_BYTES = 4096


class ThinLink:
    """Forwards connections; what their targets send passes at `bytes_per_s` altogether.

    Attributes:
        bytes_passed: Bytes that the targets have sent so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.bytes_passed = 0
        self._silences = 0

    async def open(self, target: Address) -> Address:
        """Return an address whose connections are forwarded to a target."""

        async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._forward(target, reader, writer)
            except OSError:
                pass  # a connection that breaks ends as it would on a link
            finally:
                self._tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(forward, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def silence_open(self) -> None:
        """Drop all that is sent on the connections that are open now, without closing them."""
        self._silences += 1

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(
        self, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(target.host, target.port)
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, narrow=False)),
            asyncio.create_task(self._pump(far_reader, writer, narrow=True)),
        }
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, narrow: bool
    ) -> None:
        silences = self._silences
        while data := await reader.read(PIECE_BYTES):
            if silences != self._silences:
                continue
            if narrow:
                await self._pass(len(data))
            writer.write(data)
            await writer.drain()

    async def _pass(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        self.bytes_passed += size
        await asyncio.sleep(self._free_at - now)
