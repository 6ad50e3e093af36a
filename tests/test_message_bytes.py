"""What daemons send each other is the same, byte by byte, as what the build before sends.

A message that has to change gets fields with defaults: then these bytes can still be read, and this
test shows which ones the build before has to skip.
"""

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.catalog import BackendService
from comfreyhatch.domain.full_report import FullReport
from comfreyhatch.domain.leaving_report import LeavingReport
from comfreyhatch.domain.limit_report import LimitReport
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange.peers import PeerQuery, PeerUpdate

# A message of a service is larger by this much with the path /health.
HEALTH_PATH_BYTES = 20
REPORTS = (LimitReport("desk-1/1", 12.5), LeavingReport("desk-2/1"), FullReport("desk-3/1", 0.5))
QUERY = PeerQuery(Position(1, 2), Position(1, 3), Position(1, 4), 1.5, 7, REPORTS, 9)
UPDATE = PeerUpdate(None, 0.5, None, 0.25, None, Position(1, 2), None, REPORTS, 11, 10)
# As encoded by the build of 21cb982.
QUERY_BYTES = bytes.fromhex(
    "89aa6f7065726174696f6e7382aa67656e65726174696f6e01a87265766973696f6e02a9656e64706f696e74"
    "7382aa67656e65726174696f6e01a87265766973696f6e03a77265636f72647382aa67656e65726174696f6e"
    "01a87265766973696f6e04a6776169745f73cb3ff8000000000000af636174616c6f675f76657273696f6e07"
    "a77265706f7274739384a474797065a56c696d6974a57374617274a86465736b2d312f31a57065725f73cb40"
    "29000000000000a56167655f73cb000000000000000083a474797065a76c656176696e67a57374617274a864"
    "65736b2d322f31a56167655f73cb000000000000000084a474797065a466756c6ca57374617274a86465736b"
    "2d332f31a770617573655f73cb3fe0000000000000a56167655f73cb0000000000000000ac7265706f727473"
    "5f7365656e09a77065726d69747390ac6f6e6c795f7265706f727473c2"
)
UPDATE_BYTES = bytes.fromhex(
    "8baa6f7065726174696f6e73c0b06f7065726174696f6e735f6167655f73cb3fe0000000000000a9656e6470"
    "6f696e7473c0af656e64706f696e74735f6167655f73cb3fd0000000000000ae7265636f72645f6368616e67"
    "6573c0b36f7065726174696f6e735f706f736974696f6e82aa67656e65726174696f6e01a87265766973696f"
    "6e02af636174616c6f675f6368616e676573c0a77265706f7274739384a474797065a56c696d6974a5737461"
    "7274a86465736b2d312f31a57065725f73cb4029000000000000a56167655f73cb000000000000000083a474"
    "797065a76c656176696e67a57374617274a86465736b2d322f31a56167655f73cb000000000000000084a474"
    "797065a466756c6ca57374617274a86465736b2d332f31a770617573655f73cb3fe0000000000000a5616765"
    "5f73cb0000000000000000b07265706f7274735f7265766973696f6e0bad7265706f7274735f73746172740a"
    "a77065726d69747390"
)


@pytest.mark.parametrize(
    ("message", "data"), [(QUERY, QUERY_BYTES), (UPDATE, UPDATE_BYTES)], ids=["query", "update"]
)
def test_messages_are_those_of_the_build_before(message: Struct, data: bytes) -> None:
    assert decode(data, type=type(message)) == message
    assert encode(message) == data


class _ServiceOfBefore(Struct, frozen=True):
    """A service as the build of 21cb982 knows it."""

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: None = None


def test_service_of_the_build_before_is_read_and_reads_that_of_this_build() -> None:
    before = _ServiceOfBefore("desk", 100, 1.0, 10.0)
    service = BackendService("desk", 100, 1.0, 10.0, health_path="/health")
    assert decode(encode(before), type=BackendService).health_path == ""
    assert decode(encode(service), type=_ServiceOfBefore) == before
    assert len(encode(service)) - len(encode(before)) == HEALTH_PATH_BYTES
