"""A proxy that stands for the link to an endpoint: it delays, resets, and cuts one way or both."""

import asyncio
from collections.abc import Callable
from enum import Enum

from comfreyhatch.domain.instance import Address

PIECE_BYTES = 65536


class LinkFault(Enum):
    """What is wrong with a link."""

    DELAY = "all is late"
    RESET = "connections are reset"
    CUT_REQUESTS = "nothing passes to the endpoint"
    CUT_ANSWERS = "nothing passes from the endpoint"
    CUT = "nothing passes"


HELD_REQUESTS = (LinkFault.CUT_REQUESTS, LinkFault.CUT)
HELD_ANSWERS = (LinkFault.CUT_ANSWERS, LinkFault.CUT)


class FaultyLink:
    """Forwards connections to a target; what is cut off passes once the fault is over.

    Attributes:
        target: Where connections are forwarded to.
        delay_s: Time by which each piece is late while there is a delay, in seconds.
        address: Where it listens, once started.
        held: Pieces that a fault has held back on their way to the target, oldest first.
    """

    def __init__(self, target: Address, delay_s: float = 0.3) -> None:
        self.target = target
        self.delay_s = delay_s
        self.address = Address("", 0)
        self.held: list[bytes] = []
        self._faults: list[LinkFault] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])
        return self.address

    async def fail(self, fault: LinkFault, for_s: float) -> None:
        """Have a fault for a time, beside others that there are."""
        self._change(lambda: self._faults.append(fault))
        if fault is LinkFault.RESET:
            self._reset_all()
        try:
            await asyncio.sleep(for_s)
        finally:
            self._change(lambda: self._faults.remove(fault))

    async def stop(self) -> None:
        if self._server:
            self._server.close()
        self._reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _change(self, change: Callable[[], None]) -> None:
        change()
        self._changed.set()
        self._changed = asyncio.Event()

    def _reset_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if LinkFault.RESET not in self._faults:
                await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # a connection that breaks ends as it would on a link; so do all at the stop
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(self.target.host, self.target.port)
        self._writers.add(far_writer)
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, HELD_REQUESTS)),
            asyncio.create_task(self._pump(far_reader, writer, HELD_ANSWERS)),
        }
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.transport.abort()
            self._writers.discard(far_writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: tuple[LinkFault, ...],
    ) -> None:
        while data := await reader.read(PIECE_BYTES):
            if LinkFault.DELAY in self._faults:
                await asyncio.sleep(self.delay_s)
            if held is HELD_REQUESTS and any(fault in held for fault in self._faults):
                self.held.append(data)
            while any(fault in held for fault in self._faults):
                await self._changed.wait()
            writer.write(data)
            await writer.drain()
