"""Requests that one daemon relays for another that has lost its own path to an endpoint."""

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from comfreyhatch.domain.instance import Address

RELAY_PATH = "/relay"


class RelayAddress(Struct, frozen=True):
    """Where a daemon takes requests of other daemons.

    Attributes:
        address: Address of its listener.
        zone: Its availability zone.
    """

    address: Address
    zone: str


class EndpointRequest(Struct, frozen=True):
    """A request to one endpoint, to be sent by the daemon that has decided on it or by another one.

    Attributes:
        start: The endpoint, with its start; no other one may get the request.
        method: HTTP method.
        target: Path with query.
        headers: Headers for the endpoint.
        body: Body.
        timeout_s: Time that is left for the whole answer, in seconds.
        fresh_connection: Whether a daemon of the version before opens a new connection for it. Such
            a daemon doesn't know which requests its connections have carried.
    """

    start: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeout_s: float
    fresh_connection: bool = True


# Returns a request to be sent at a monotonic time in seconds, with the time that is left then.
RequestAt = Callable[[float], EndpointRequest]


class RelayFailure(Enum):
    """Why a daemon has no answer of an endpoint for another daemon."""

    UNREACHABLE = "unreachable"  # not sent: it doesn't reach the endpoint either
    WITHDRAWN = "withdrawn"  # not sent: it knows that the endpoint gets no more requests
    BUSY = "busy"  # not sent: it relays too many requests, or is shutting down
    BROKEN = "broken"  # sent: it may have run
