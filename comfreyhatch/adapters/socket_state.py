"""What the kernel knows of the two directions of a connection."""

import asyncio
import socket
import struct
from fcntl import ioctl
from termios import TIOCOUTQ

_INT = struct.Struct("i")
# The first byte of `struct tcp_info` of Linux is the state of the connection; 7 is TCP_CLOSE.
_STATE_BYTES = 1
_TCP_CLOSE = b"\x07"


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many of the bytes written to a connection its peer has not acknowledged.

    They are in the buffer of the transport or in the send queue of the socket. Where the kernel
    doesn't tell, only the former are known.
    """
    return transport.get_write_buffer_size() + _send_queue_bytes(transport)


def was_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection was reset; False where the kernel does not tell.

    A reset that follows an end of file is hidden from reads: they return the end of file.
    """
    sock = transport.get_extra_info("socket")
    option = getattr(socket, "TCP_INFO", None)
    if sock is None or option is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, _STATE_BYTES)
    except OSError:
        # The connection may be closed, or not be one of TCP.
        return False
    return bytes(info[:_STATE_BYTES]) == _TCP_CLOSE


def _send_queue_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes of the socket's send queue the peer has not acknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        # For a socket of TCP, Linux defines SIOCOUTQ as this number on every machine.
        queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        # The socket may be closed, or its kernel does not tell.
        return 0
    return int(_INT.unpack(queued)[0])
