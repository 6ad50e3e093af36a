"""Limits of an HTTP listener, and the wait for a caller that they bound."""

from collections.abc import Callable
from typing import Annotated

from msgspec import Meta, Struct

Size = Annotated[int, Meta(ge=1)]
Wait = Annotated[float, Meta(gt=0)]


class HttpLimits(Struct, frozen=True):
    """Limits of a listener.

    Attributes:
        header_bytes: Largest header section.
        body_bytes: Largest body.
        connections: Most open connections; lowered if memory or file descriptors allow fewer. At
            the limit the connection that has been idle longest is closed for a new one; if none is
            idle, the new one is closed.
        source_connections: Connections open at once from one address; 0 for no limit.
        header_timeout_s: Time for a caller to send a request, from its first byte.
        idle_timeout_s: Time that a connection may stay idle between requests.
        write_timeout_s: Time for a caller to take what is buffered for it.
        buffer_bytes: Bytes buffered for a slow caller before the answer is held back.
    """

    header_bytes: Size = 32768
    body_bytes: Size = 4_194_304
    connections: Size = 4096
    source_connections: Annotated[int, Meta(ge=0)] = 0
    header_timeout_s: Wait = 10.0
    idle_timeout_s: Wait = 75.0
    write_timeout_s: Wait = 30.0
    buffer_bytes: Size = 65536


class RequestWait:
    """A wait for a caller to send; extended when its limit is raised meanwhile.

    A limit that is lowered applies from the next wait on: the caller may count on the longer one.

    Attributes:
        over: Whether the time was over.
    """

    __slots__ = ("_began_at", "_limit_s", "_longest_s", "over")

    def __init__(self, limit_s: Callable[[], float], now: float) -> None:
        self._began_at = now
        self._limit_s = limit_s
        self._longest_s = limit_s()
        self.over = False

    def extend(self, more_s: float) -> None:
        """Extend the wait by a time for which the caller was kept from sending."""
        self._began_at += more_s

    def until(self) -> float:
        """Return the monotonic time in seconds at which the wait ends as things are."""
        self._longest_s = max(self._longest_s, self._limit_s())
        return self._began_at + self._longest_s
