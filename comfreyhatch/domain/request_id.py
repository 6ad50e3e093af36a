"""Request ids, made of the accepting incarnation, the time of acceptance and a counter."""

from msgspec import Struct

from comfreyhatch.codes import ResultCode
from comfreyhatch.errors import RequestError

MILLISECONDS_PER_S = 1000


class RequestId(Struct, frozen=True):
    """The parts of a request id.

    Attributes:
        incarnation: Incarnation of the daemon that accepted the request.
        at_ms: Time of acceptance, in milliseconds since the epoch.
        number: Counter within the incarnation.
    """

    incarnation: str
    at_ms: int
    number: int

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.at_ms:x}.{self.number:x}"


def new_request_id(incarnation: str, now_unix_s: float, number: int) -> str:
    """Return the id of a request accepted now."""
    return str(RequestId(incarnation, int(now_unix_s * MILLISECONDS_PER_S), number))


def parse_request_id(text: str) -> RequestId:
    """Parse a request id.

    Raises:
        RequestError: If the text is not a request id.
    """
    try:
        incarnation, at_ms, number = text.rsplit(".", 2)
        return RequestId(incarnation, int(at_ms, 16), int(number, 16))
    except ValueError:
        raise RequestError(f"{text!r} is not a request id", ResultCode.NOT_FOUND) from None
