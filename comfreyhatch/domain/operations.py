"""Operators' instructions (catalog, roll-outs, zones out of service) and shared roll-out state."""

from enum import Enum

from msgspec import Struct

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.relay import RelayAddress


class RolloutState(Enum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(Struct, frozen=True):
    """An operator's order to move the traffic of a service to a version.

    Attributes:
        service: Name of the service.
        version: Target version.
        duration_s: Planned duration of the roll-out, in seconds.
        revision: Revision of the order in the store; identifies the order.
    """

    service: str
    version: str
    duration_s: float
    revision: int


class Operations(Struct, frozen=True):
    """All instructions of the operators at one position of the store.

    Attributes:
        revision: Revision of the store.
        catalog: Configuration; None if there is none.
        order_by_service: Orders of roll-outs.
        zones_out: Zones that are out of service.
        generation: Generation of the store to which the revision belongs.
    """

    revision: int
    catalog: Catalog | None
    order_by_service: dict[str, RolloutOrder]
    zones_out: frozenset[str]
    generation: int = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the instructions were read."""
        return Position(self.generation, self.revision)


class RolloutRecord(Struct, frozen=True):
    """State of a roll-out, shared by all daemons through the store.

    Attributes:
        service: Name of the service.
        version: Target version.
        order_revision: Revision of the order that it executes.
        state: State of the roll-out.
        share: Share of the sessions that are assigned to the target version, 0 to 1.
        started_ms: Time of the start by the store's clock, in milliseconds.
        stepped_ms: Time of the last change by the store's clock, in milliseconds.
        revision: Revision of the record in the store; 0 before it is stored.
        reason: Reason of a roll-back; empty otherwise.
        generation: Generation of the store to which `revision` belongs.
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
    generation: int = 0


class VersionOutcomes(Struct, frozen=True):
    """Counts of the answers of one version on one route, seen by one daemon.

    Attributes:
        answers: Number of answers that failed or whose speed was compared.
        failures: Number of failed answers that are attributed to the version.
        slow: Number of answers that took several times longer than expected.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0


class Evidence(Struct, frozen=True):
    """Answer counts of the versions of a service, collected by one daemon during one order.

    Attributes:
        service: Name of the service.
        order_revision: Revision of the order.
        daemon: Instance name of the daemon that counted.
        target_by_route: Outcomes of the target version by route.
        other_by_route: Outcomes of the replaced versions by route.
        target_by_endpoint: Outcomes of the target version by route, then by endpoint.
        target_by_failure: Number of failures of the target version by how they failed; not told by
            daemons of the build before.
        other_by_failure: The same of the replaced versions.
        target_sent: Requests sent to the target version, answered or not; 0 from daemons of the
            build before.
    """

    service: str
    order_revision: int
    daemon: str
    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]
    target_by_endpoint: dict[str, dict[str, VersionOutcomes]] = {}
    target_by_failure: dict[str, int] = {}
    other_by_failure: dict[str, int] = {}
    target_sent: int = 0


class DaemonAddresses(Struct, frozen=True):
    """Where a daemon is reached, as other daemons know it.

    Attributes:
        control: Control address, as host:port.
        region: Region.
        link_mbps: Bandwidth of its link, in megabits a second; 0 if unknown.
        relay: Where it takes requests of other daemons; None if it takes none.
    """

    control: str
    region: str = ""
    link_mbps: float = 0.0
    relay: RelayAddress | None = None


class SharedRecords(Struct, frozen=True):
    """Records that daemons share through the store, at one position.

    Attributes:
        revision: Revision of the store.
        store_ms: Time by the store's clock when the records were read, in milliseconds.
        trial_by_service: State of the roll-out of each service.
        evidence_by_key: Evidence by service and daemon, with keys "service/daemon".
        control_by_daemon: Control address of each daemon, as host:port.
        region_by_daemon: Region of each daemon.
        link_by_daemon: Bandwidth of the link of each daemon, in megabits a second.
        relay_by_daemon: Where each daemon takes requests of other daemons.
        generation: Generation of the store to which the revision belongs.
    """

    revision: int
    store_ms: int
    trial_by_service: dict[str, RolloutRecord]
    evidence_by_key: dict[str, Evidence]
    control_by_daemon: dict[str, str]
    region_by_daemon: dict[str, str] = {}
    generation: int = 0
    link_by_daemon: dict[str, float] = {}
    relay_by_daemon: dict[str, RelayAddress] = {}

    @property
    def position(self) -> Position:
        """Position of the store at which the records were read."""
        return Position(self.generation, self.revision)
