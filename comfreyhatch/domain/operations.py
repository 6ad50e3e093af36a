"""Standing orders of the operators: the catalog, roll-outs and zones taken out."""

from enum import Enum

from msgspec import Struct

from comfreyhatch.domain.catalog import Catalog


class RolloutState(Enum):
    """How far a roll-out is."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(Struct, frozen=True):
    """The order to move a service's traffic to a version.

    Attributes:
        service: Whose traffic.
        version: Target version.
        duration_s: Time in which it should be done.
        revision: Version of the order in the store; identifies the order.
    """

    service: str
    version: str
    duration_s: float
    revision: int


class Operations(Struct, frozen=True):
    """All standing orders as of one revision of the store."""

    revision: int
    catalog: Catalog | None
    order_by_service: dict[str, RolloutOrder]
    zones_out: frozenset[str]


class RolloutRecord(Struct, frozen=True):
    """Shared state of a roll-out.

    Attributes:
        service: Whose traffic.
        version: Target version.
        order_revision: Order that it carries out.
        state: How far it is.
        share: Share of the sessions that go to the target version.
        started_ms: Store's clock at the start.
        stepped_ms: Store's clock at the last change.
        revision: Version of the record in the store; 0 when it is not stored yet.
        reason: Why it was rolled back; empty otherwise.
    """

    service: str
    version: str
    order_revision: int
    state: RolloutState
    share: float
    started_ms: int
    stepped_ms: int
    revision: int = 0
    reason: str = ""


class VersionOutcomes(Struct, frozen=True):
    """Answers of one version on one route, as counted by one daemon.

    Attributes:
        answers: Answers, failures of the version included.
        failures: Failed answers that speak against the version.
        slow: Answers several times slower than expected.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0


class Evidence(Struct, frozen=True):
    """What one daemon has seen of the versions of a service during one order.

    Attributes:
        service: Service.
        order_revision: Order in force.
        daemon: Who counted.
        target_by_route: Outcomes of the target version by route.
        other_by_route: Outcomes of the replaced versions by route.
    """

    service: str
    order_revision: int
    daemon: str
    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]


class SharedRecords(Struct, frozen=True):
    """What the daemons tell each other through the store, as of one revision.

    Attributes:
        revision: Revision of the store.
        store_ms: Store's clock when it was read.
        trial_by_service: Roll-outs.
        evidence_by_key: Evidence by (service, daemon).
        control_by_daemon: Control address of each daemon, as host:port.
        region_by_daemon: Region of each daemon.
    """

    revision: int
    store_ms: int
    trial_by_service: dict[str, RolloutRecord]
    evidence_by_key: dict[str, Evidence]
    control_by_daemon: dict[str, str]
    region_by_daemon: dict[str, str] = {}
