"""Messages between daemons about members, the instance list and the configuration.

The messages are encoded as arrays; the order of their fields is the wire format.
"""

from msgspec import Struct

from comfreyhatch.decisions.listing import ListDelta
from comfreyhatch.decisions.membership import ZoneReport
from comfreyhatch.domain.change import ChangeRecord
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.ports.peers import Member


class Hello(Struct, frozen=True, array_like=True, tag="H"):
    """Introduces the sender; sent as a request, it is answered by HelloReply.

    Attributes:
        member: The sender.
    """

    member: Member


class HelloReply(Struct, frozen=True, array_like=True, tag="W"):
    """Introduces the answering daemon and the members of its zone.

    Attributes:
        member: The answering daemon.
        members: Live members of its zone, including itself.
    """

    member: Member
    members: tuple[Member, ...]


class Heartbeat(Struct, frozen=True, array_like=True, tag="b"):
    """Heartbeat to a peer of the zone.

    Attributes:
        incarnation_digest: Digest of the sender's incarnation and leaving flag.
        revision: Revision of the configuration in force at the sender.
        view_digest: Digest of the zone's members as the sender sees them.
        other_zones_digest: Digest of the sender's reports of other zones; 0 unless it is a
            delegate.
        attachment_by_name: Payloads of other components, by name.
    """

    incarnation_digest: int
    revision: int
    view_digest: int
    other_zones_digest: int = 0
    attachment_by_name: dict[str, bytes] = {}


class Bye(Struct, frozen=True, array_like=True, tag="B"):
    """Tells a peer that the sender has shut down."""


class ZoneHeartbeat(Struct, frozen=True, array_like=True, tag="z"):
    """Heartbeat between delegates of two zones, with the digest of the sender's zone.

    Attributes:
        zone: Zone of the sender.
        digest: Digest of the members of that zone.
        control: Control address of the sender.
    """

    zone: str
    digest: int
    control: Address


class ZonesQuery(Struct, frozen=True, array_like=True, tag="q"):
    """Requests zone reports from a delegate.

    Attributes:
        own_zone_only: Whether to report only the zone of the answering delegate.
        digest_by_zone: Digests of the reports that the sender has; a report is left out of the
            reply if its digest is equal.
    """

    own_zone_only: bool
    digest_by_zone: dict[str, int] = {}


class ZonesReply(Struct, frozen=True, array_like=True, tag="r"):
    """Reports of the answering delegate's own zone, or of zones that it receives messages from.

    Attributes:
        reports: Reports that differ from those of the requesting daemon.
        unchanged: Zones whose reports have the digest given in the query.
    """

    reports: tuple[ZoneReport, ...]
    unchanged: tuple[str, ...] = ()


class ListNotice(Struct, frozen=True, array_like=True, tag="ln"):
    """Notice of a relay about the instance list, forwarded through the zone.

    Attributes:
        origin: Instance id of the daemon that read the list.
        read_at: When it read the list, on its own monotonic clock, in seconds.
        delta: Changes of the list; one without changes carries only the digest.
    """

    origin: str
    read_at: float
    delta: ListDelta


class ListQuery(Struct, frozen=True, array_like=True, tag="lq"):
    """Requests a page of the instance list.

    Attributes:
        after_id: Last instance id of the previous page; empty for the first page.
    """

    after_id: str


class ListPage(Struct, frozen=True, array_like=True, tag="lp"):
    """A page of the instance list.

    Attributes:
        rows: Rows in order of their instance ids; fewer than a full page on the last.
    """

    rows: tuple[Instance, ...]


class HeadNotice(Struct, frozen=True, array_like=True, tag="n"):
    """Notice of a relay about the head of the change log, forwarded through the zone.

    Attributes:
        origin: Instance id of the daemon that read the head.
        clock_id: Id of the clock of `read_at`: a digest of the origin's incarnation.
        read_at: When the origin began the read, on its monotonic clock, in seconds.
        revision: Revision of the head.
        records: The latest changes, if they are new since the origin's previous notice.
    """

    origin: str
    clock_id: int
    read_at: float
    revision: int
    records: tuple[ChangeRecord, ...] = ()


class HeadQuery(Struct, frozen=True, array_like=True, tag="hq"):
    """Requests a peer's configuration revision, how old its confirmation is, and its clock."""


class HeadReply(Struct, frozen=True, array_like=True, tag="hr"):
    """Configuration revision and clock of a peer.

    Attributes:
        revision: Revision of the configuration in force.
        age_s: Time since it was last confirmed as the newest; None if it never was.
        clock_id: Id of the clock: a digest of the peer's incarnation.
        clock: Monotonic time of the peer, in seconds.
    """

    revision: int
    age_s: float | None
    clock_id: int
    clock: float


class RecordsQuery(Struct, frozen=True, array_like=True, tag="rq"):
    """Requests the configuration changes after a revision.

    Attributes:
        after: The revision.
    """

    after: int


class RecordsReply(Struct, frozen=True, array_like=True, tag="rr"):
    """Configuration changes after a revision.

    Attributes:
        records: The changes; empty if the peer no longer has all of them.
        config: The whole configuration, if it is newer and the changes are not available.
    """

    records: tuple[ChangeRecord, ...]
    config: FleetConfig | None = None
