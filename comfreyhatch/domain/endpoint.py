"""Records of the platform's endpoint registry."""

from msgspec import Struct

from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.position import Position


class EndpointRecord(Struct, frozen=True):
    """Registry record of one endpoint, written by the endpoint itself.

    Attributes:
        endpoint_id: Name of the endpoint; a restart may reuse it, see `born_ms`.
        service: Name of its service.
        address: Address at which it serves requests.
        zone: Availability zone.
        version: Version of its software or weights.
        slots: Number of requests that it runs at once.
        draining: Whether it is shutting down.
        cold_left_s: Remaining time of its cold start when the record was written, in seconds.
        born_ms: Unix time of its start, in milliseconds; distinguishes restarts under one name.
        revision: Revision of the record in the store.
        generation: Generation of the store to which the revision belongs.
    """

    endpoint_id: str
    service: str
    address: Address
    zone: str
    version: str
    slots: int
    draining: bool
    cold_left_s: float
    born_ms: int
    revision: int
    generation: int = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the record last changed."""
        return Position(self.generation, self.revision)


class EndpointList(Struct, frozen=True):
    """All valid endpoint records at one position of the store.

    Attributes:
        revision: Revision of the store.
        record_by_id: Records by the endpoint's id.
        generation: Generation of the store to which the revision belongs.
    """

    revision: int
    record_by_id: dict[str, EndpointRecord]
    generation: int = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the list was read."""
        return Position(self.generation, self.revision)
