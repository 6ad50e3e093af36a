"""Closing of nng sockets, whose callbacks may come after they are closed."""

from collections import deque

import pynng

# nng's threads end the connections of a closed socket within milliseconds.
RETAINED_S = 10.0

_retained: deque[tuple[float, pynng.Socket]] = deque()


def close_socket(socket: pynng.Socket, now: float) -> None:
    """Close a socket, and keep the object until nng has ended its connections.

    nng tells pynng of each connection that ends, maybe after the socket is closed, and pynng then
    uses the object. If it were freed by then, the process could crash.

    Args:
        socket: The socket.
        now: Monotonic time in seconds.
    """
    socket.close()
    _retained.append((now, socket))
    while _retained[0][0] < now - RETAINED_S:
        _retained.popleft()
