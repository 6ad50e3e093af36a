"""Messages that daemons exchange about members and configuration."""

from msgspec import Struct

from comfreyhatch.decisions.listing import ListDelta
from comfreyhatch.decisions.membership import ZoneReport
from comfreyhatch.domain.change import ChangeRecord
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.ports.peers import Member


class Hello(Struct, frozen=True, array_like=True, tag="H"):
    """Introduces a daemon; answered by HelloReply when it is a request."""

    member: Member


class HelloReply(Struct, frozen=True, array_like=True, tag="W"):
    """Introduces the answering daemon and its zone's members."""

    member: Member
    members: tuple[Member, ...]


class Heartbeat(Struct, frozen=True, array_like=True, tag="b"):
    """A heartbeat.

    Attributes:
        incarnation_digest: Digest of the sender's incarnation and leaving flag.
        revision: Configuration revision that it has in force.
        view_digest: Digest of its view of the zone.
        far_digest: Digest of its reports of other zones; 0 unless it is a delegate.
        attachment_by_name: What other parts of the daemon send along.
    """

    incarnation_digest: int
    revision: int
    view_digest: int
    far_digest: int = 0
    attachment_by_name: dict[str, bytes] = {}


class Bye(Struct, frozen=True, array_like=True, tag="B"):
    """Says that the sender has left."""


class ZoneHeartbeat(Struct, frozen=True, array_like=True, tag="z"):
    """Tells a delegate of another zone which members the sender's zone has."""

    zone: str
    digest: int
    control: Address


class ZonesQuery(Struct, frozen=True, array_like=True, tag="q"):
    """Asks for reports of zones whose digest differs; `own` asks for the peer's zone only."""

    own: bool
    digest_by_zone: dict[str, int] = {}


class ZonesReply(Struct, frozen=True, array_like=True, tag="r"):
    """Reports of zones that the sender hears itself, and those that need none."""

    reports: tuple[ZoneReport, ...]
    same: tuple[str, ...] = ()


class ListNotice(Struct, frozen=True, array_like=True, tag="ln"):
    """A relay's news of the instance list, passed on through the zone.

    Attributes:
        origin: The daemon that read the list.
        read_at: When it read it, by its own clock.
        delta: What changed; without rows it only tells the digest.
    """

    origin: str
    read_at: float
    delta: ListDelta


class ListQuery(Struct, frozen=True, array_like=True, tag="lq"):
    """Asks for a page of the instance list, of the ids after one."""

    after: str


class ListPage(Struct, frozen=True, array_like=True, tag="lp"):
    """A page of the instance list; one that is not full is the last."""

    rows: tuple[Instance, ...]


class HeadNotice(Struct, frozen=True, array_like=True, tag="n"):
    """A relay's news, passed on through the zone.

    Attributes:
        origin: The daemon that read the head.
        clock_id: Which clock `read_at` is of.
        read_at: When it began to read, by the origin's monotonic clock.
        revision: The head.
        records: The last changes, if there are new ones.
    """

    origin: str
    clock_id: int
    read_at: float
    revision: int
    records: tuple[ChangeRecord, ...] = ()


class HeadQuery(Struct, frozen=True, array_like=True, tag="hq"):
    """Asks a peer for its revision, its age, and its clock."""


class HeadReply(Struct, frozen=True, array_like=True, tag="hr"):
    """A peer's revision, seconds since it was known to be the newest, and its clock."""

    revision: int
    age_s: float | None
    clock_id: int
    clock: float


class RecordsQuery(Struct, frozen=True, array_like=True, tag="rq"):
    """Asks for what follows a revision."""

    after: int


class RecordsReply(Struct, frozen=True, array_like=True, tag="rr"):
    """The changes after a revision, or the whole configuration if they are not kept."""

    records: tuple[ChangeRecord, ...]
    config: FleetConfig | None = None
