"""Messages of the operators' port of a daemon."""

from msgspec import Struct

from comfreyhatch.domain.change import Change


class Edit(Struct, frozen=True):
    """A change that an operator asks for.

    Attributes:
        change: The change.
        edit_id: Identifier chosen by the editor; the same edit is never applied twice.
        author: Who asks for it.
        expected_revision: Revision that the change was made against; 0 for any.
    """

    change: Change
    edit_id: str
    author: str = ""
    expected_revision: int = 0


class Accepted(Struct, frozen=True):
    """An accepted change."""

    revision: int


class HaltRollout(Struct, frozen=True):
    """Asks to halt a model's roll-out, or to let it go on."""

    model: str
    halted: bool


class Health(Struct, frozen=True):
    """Answer of the health and readiness checks."""

    status: str


class InForce(Struct, frozen=True):
    """Where a revision is in force.

    Attributes:
        revision: The revision asked for.
        confirmed: Instances that have it, or a later one, in force.
        unconfirmed: Live instances that have not confirmed it.
    """

    revision: int
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


class InstanceState(Struct, frozen=True):
    """A daemon as the one that answers sees it.

    Attributes:
        instance_id: Name of the instance.
        zone: Its availability zone.
        revision: Configuration revision that it has in force; 0 when not known.
        leaving: Whether it is shutting down.
    """

    instance_id: str
    zone: str
    revision: int
    leaving: bool


class EndpointState(Struct, frozen=True):
    """An endpoint as the daemon that answers sees it.

    Attributes:
        endpoint_id: Name of the instance.
        role: "engine" or "service".
        zone: Its availability zone.
        state: "in service", "out", "zone out", "cold" or "not polled".
        in_flight: Requests that this daemon has running on it.
        share: Requests that this daemon may have running on it.
        bears: Requests that it bears at once.
        versions: Versions loaded, or the name of the plain service.
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
    """A version: its life, its share of new sessions, and whether it is quarantined."""

    version_id: str
    state: str
    share: int
    replaces: str
    quarantined: bool


class BudgetState(Struct, frozen=True):
    """A customer's budget a day and what this daemon knows to be spent, in micros."""

    customer: str
    budget_micros: int
    spent_micros: int


class FleetState(Struct, frozen=True):
    """The fleet as one daemon sees it.

    Attributes:
        instance_id: Daemon that answers.
        zone: Its availability zone.
        revision: Configuration revision that it has in force.
        ready: Whether it takes requests.
        cut_off: Whether it is cut off from the platform and its peers.
        journal_lag: Entries of its journal that are not stored yet.
        zones_out: Availability zones taken out of service.
        zones_cut_off: Availability zones that it cannot reach.
        instances: Daemons that it knows of.
        endpoints: Endpoints that it knows of.
        versions: Versions declared.
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
    """What a customer owes for its requests of one day on one version.

    Attributes:
        customer: Customer billed.
        day: Day on which the requests were accepted, in UTC.
        version_id: Version that ran, or the plain service.
        requests: Requests that ran.
        unknown: Those of them that may have run.
        cost_micros: Their cost.
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
        open: Requests dispatched whose end is not known; not charged.
        missing: Journal entries that all their holders lost.
    """

    bills: tuple[Bill, ...]
    open: int
    missing: int
