"""When bytes came to this machine, as the kernel knows it."""

import asyncio
import socket
import struct

# Layout of `struct tcp_info` of Linux: eight single bytes, then numbers of four bytes.
_LAST_DATA_RECEIVED = struct.Struct("52xI")
MS_PER_S = 1000.0


def since_last_byte_s(transport: asyncio.BaseTransport) -> float:
    """Return how long ago the last byte of a connection came, read or not, in seconds.

    A process that was stopped reads late what came meanwhile. 0 where the kernel does not tell.
    """
    sock = transport.get_extra_info("socket")
    option = getattr(socket, "TCP_INFO", None)
    if sock is None or option is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, _LAST_DATA_RECEIVED.size)
    except OSError:
        # The connection may be closed, or not be one of TCP.
        return 0.0
    if len(info) < _LAST_DATA_RECEIVED.size:
        return 0.0
    return float(_LAST_DATA_RECEIVED.unpack(info)[0]) / MS_PER_S
