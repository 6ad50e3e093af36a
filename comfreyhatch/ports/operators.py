"""Messages of a daemon's operator interface."""

from msgspec import Struct

from comfreyhatch.domain.change import Change


class Edit(Struct, frozen=True):
    """A configuration change requested by an operator.

    Attributes:
        change: The change.
        edit_id: Identifier chosen by the operator's client; an edit is never applied twice.
        author: Name of the operator.
        expected_revision: Revision that the change is based on; 0 for any.
    """

    change: Change
    edit_id: str
    author: str = ""
    expected_revision: int = 0


class Accepted(Struct, frozen=True):
    """Answer to an accepted change, with its revision."""

    revision: int


class HaltRollout(Struct, frozen=True):
    """Request to halt a model's roll-out, or to resume it."""

    model: str
    halted: bool


class Health(Struct, frozen=True):
    """Answer of the health and readiness checks."""

    status: str


class InForce(Struct, frozen=True):
    """Instances on which a configuration revision is in force.

    Attributes:
        revision: Requested revision.
        confirmed: Instances that have confirmed it or a later revision.
        unconfirmed: Live instances that have not confirmed it.
    """

    revision: int
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class InstanceState(Struct, frozen=True):
    """State of a daemon, as known by the answering daemon.

    Attributes:
        instance_id: Name of the instance.
        zone: Its availability zone.
        revision: Configuration revision in force on it; 0 if unknown.
        leaving: Whether it is shutting down.
    """

    instance_id: str
    zone: str
    revision: int
    leaving: bool


class EndpointState(Struct, frozen=True):
    """State of an endpoint, as known by the answering daemon.

    Attributes:
        endpoint_id: Name of the instance.
        role: "engine" or "service".
        zone: Its availability zone.
        state: "in service", "out", "zone out", "cold" or "not polled".
        in_flight: Number of requests that the answering daemon is running on it.
        share: Number of slots of it that the answering daemon may use.
        bears: Its concurrency limit, in requests.
        versions: Ids of the loaded versions, or the name of the plain service.
    """

    endpoint_id: str
    role: str
    zone: str
    state: str
    in_flight: int
    share: int
    bears: int
    versions: tuple[str, ...]


class VersionSummary(Struct, frozen=True):
    """State of a version, its share of new sessions in percent, and whether it is quarantined."""

    version_id: str
    state: str
    share: int
    replaces: str
    quarantined: bool


class BudgetState(Struct, frozen=True):
    """A customer's daily budget and the spending known to the answering daemon, in micros."""

    customer: str
    budget_micros: int
    spent_micros: int


class FleetState(Struct, frozen=True):
    """State of the fleet, as known by one daemon.

    Attributes:
        instance_id: Name of the answering daemon's instance.
        zone: Its availability zone.
        revision: Configuration revision in force on it.
        ready: Whether it accepts requests.
        cut_off: Whether it is cut off from the platform and its peers.
        journal_lag: Number of entries of its journal that are not stored yet.
        zones_out: Availability zones taken out of service.
        zones_cut_off: Availability zones that it cannot reach.
        instances: Known daemons.
        endpoints: Known endpoints.
        versions: Declared versions.
        budgets: Budgets of all customers.
    """

    instance_id: str
    zone: str
    revision: int
    ready: bool
    cut_off: bool
    journal_lag: int
    zones_out: tuple[str, ...]
    zones_cut_off: tuple[str, ...]
    instances: tuple[InstanceState, ...]
    endpoints: tuple[EndpointState, ...]
    versions: tuple[VersionSummary, ...]
    budgets: tuple[BudgetState, ...]


class Bill(Struct, frozen=True):
    """Cost of a customer's requests of one day on one version.

    Attributes:
        customer: Customer billed.
        day: Day on which the requests were accepted, in UTC.
        version_id: Version of the last attempt that ran or may have run, or the plain service.
        requests: Number of requests that ran or may have run.
        unknown: Number of those for which it is unknown whether they ran.
        cost_micros: Total cost, in micros.
    """

    customer: str
    day: str
    version_id: str
    requests: int
    unknown: int
    cost_micros: int


class BillReport(Struct, frozen=True):
    """The bills of a period.

    Attributes:
        bills: Bills by customer, day and version.
        open: Number of dispatched requests whose outcome is unknown; they are not billed.
        missing: Number of journal entries of which every copy was lost.
    """

    bills: tuple[Bill, ...]
    open: int
    missing: int
