"""What the platform's registry says of an endpoint."""

from msgspec import Struct

from comfreyhatch.domain.instance import Address


class EndpointRecord(Struct, frozen=True):
    """One endpoint of a service, as it registered itself.

    Attributes:
        endpoint_id: Unique name of this start, mostly; see `born_ms`.
        service: Service that it belongs to.
        address: Where it serves.
        zone: Availability zone.
        version: Version of its software or weights.
        slots: Requests that it runs at once.
        draining: Whether it is about to leave.
        cold_left_s: How long it stays cold, from when the record was written.
        born_ms: Unix time of its start; a restart under the same name has another one.
        revision: Version of the record in the store.
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


class EndpointList(Struct, frozen=True):
    """All usable records as of one revision of the store."""

    revision: int
    record_by_id: dict[str, EndpointRecord]
