"""The state of the fleet as one screen of text."""

from comfreyhatch.porcelain.table import table
from comfreyhatch.ports.operators import FleetState


def status_lines(state: FleetState) -> list[str]:
    """Return the screen."""
    parts = [
        _heading(state),
        _zones(state),
        _instances(state),
        _endpoints(state),
        _versions(state),
        _budgets(state),
    ]
    lines: list[str] = []
    for part in parts:
        lines += [*part, ""]
    return lines[:-1]


def _heading(state: FleetState) -> list[str]:
    ready = "ready" if state.ready else "not ready"
    cut_off = ", cut off" if state.cut_off else ""
    return [
        f"seen by {state.instance_id} in zone {state.zone}: {ready}{cut_off},"
        f" revision {state.revision}, {state.journal_lag} journal entries not stored"
    ]


def _zones(state: FleetState) -> list[str]:
    zones = sorted(
        {instance.zone for instance in state.instances}
        | {endpoint.zone for endpoint in state.endpoints}
        | set(state.zones_out)
    )
    rows = [
        (
            zone,
            "out" if zone in state.zones_out else "in service",
            zone in state.zones_cut_off,
            sum(instance.zone == zone for instance in state.instances),
            sum(endpoint.zone == zone for endpoint in state.endpoints),
        )
        for zone in zones
    ]
    return table(("ZONE", "STATE", "CUT OFF", "INSTANCES", "ENDPOINTS"), rows)


def _instances(state: FleetState) -> list[str]:
    newest = max(instance.revision for instance in state.instances)
    rows = [
        (
            instance.instance_id,
            instance.zone,
            instance.revision or None,
            _freshness(instance.revision, newest),
            instance.leaving,
        )
        for instance in state.instances
    ]
    return table(("INSTANCE", "ZONE", "REVISION", "FRESHNESS", "LEAVING"), rows)


def _freshness(revision: int, newest: int) -> str:
    if not revision:
        return "not known"
    return "current" if revision == newest else f"{newest - revision} behind"


def _endpoints(state: FleetState) -> list[str]:
    rows = [
        (
            endpoint.endpoint_id,
            endpoint.role,
            endpoint.zone,
            endpoint.state,
            f"{endpoint.in_flight}/{endpoint.share}",
            endpoint.bears,
            " ".join(endpoint.versions),
        )
        for endpoint in state.endpoints
    ]
    headings = ("ENDPOINT", "ROLE", "ZONE", "STATE", "IN FLIGHT/SHARE", "BEARS", "SERVES")
    return table(headings, rows)


def _versions(state: FleetState) -> list[str]:
    rows = [
        (
            version.version_id,
            version.state,
            f"{version.share}%",
            version.replaces,
            version.quarantined,
        )
        for version in state.versions
    ]
    return table(("VERSION", "STATE", "SHARE", "REPLACES", "QUARANTINED"), rows)


def _budgets(state: FleetState) -> list[str]:
    rows = [
        (budget.customer, budget.budget_micros, budget.spent_micros) for budget in state.budgets
    ]
    return table(("CUSTOMER", "BUDGET (MICROS A DAY)", "SPENT (MICROS)"), rows)
