"""Relayed requests, as the versions before (2ee0460 and de32edf) write them."""

from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.relay import EndpointRequest

BEFORE = bytes.fromhex(
    "87a57374617274a5652d312f35a66d6574686f64a4504f5354a6746172676574a62f613f623d31a768656164657273"
    "9192c40b646561646c696e652d6d73c403393030a4626f6479c404626f6479a974696d656f75745f73cb3feccccccc"
    "cccccdb066726573685f636f6e6e656374696f6ec3"
)
REQUEST = EndpointRequest("e-1/5", "POST", "/a?b=1", [(b"deadline-ms", b"900")], b"body", 0.9, True)


class RequestOfBefore(Struct):
    """A relayed request as the version before reads it."""

    start: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeout_s: float
    fresh_connection: bool = False


def test_request_of_the_version_before_is_read() -> None:
    assert decode(BEFORE, type=EndpointRequest) == REQUEST


def test_request_is_read_by_the_version_before() -> None:
    read = decode(encode(REQUEST), type=RequestOfBefore)
    assert (read.start, read.headers, read.timeout_s) == ("e-1/5", REQUEST.headers, 0.9)
    assert encode(REQUEST) == BEFORE
