"""The kernel tells how long ago a connection's last byte came."""

import asyncio
import time

from comfreyhatch.adapters.socket_times import since_last_byte_s

LATE_S = 0.4


async def test_time_since_the_last_byte_counts_while_the_process_does_not_read() -> None:
    waited: list[float] = []
    read = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(100)
        waited.append(since_last_byte_s(writer.transport))
        read.set()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"request")
    # Blocks the event loop, as if the process were stopped.
    time.sleep(LATE_S)
    await read.wait()
    writer.close()
    server.close()
    assert waited[0] >= 0.75 * LATE_S


async def test_time_is_zero_where_the_kernel_does_not_tell() -> None:
    assert since_last_byte_s(asyncio.Transport()) == 0.0
