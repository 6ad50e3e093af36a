"""What a daemon answers to the queries of peers, and what it takes from their answers."""

from msgspec.structs import replace

from comfreyhatch.domain.operations import Operations
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange.catalog_changes import CatalogChanges, apply_catalog_changes
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.peers import PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView


def has_newer_state(view: FleetView, query: PeerQuery) -> bool:
    """Return whether orders, endpoints or records are newer than what a peer has."""
    return (
        view.operations_changed_position > query.operations
        or view.endpoint_history.changed_position > query.endpoints
        or view.record_history.changed_position > query.records
    )


def has_newer_reports(reports: PeerReports | None, query: PeerQuery) -> bool:
    """Return whether a peer lacks reports that it can take."""
    if reports is None or query.reports_seen is None:
        return False
    return reports.revision != query.reports_seen


def update_since(
    view: FleetView, reports: PeerReports | None, query: PeerQuery, now: float
) -> PeerUpdate:
    """Return what is newer than what a peer has.

    Args:
        view: This daemon's view.
        reports: Reports to pass on; None for none.
        query: What the peer has.
        now: Monotonic time in seconds.
    """
    operations = view.listed_operations
    records_changed = view.record_history.changed_position > query.records
    changes: CatalogChanges | None = None
    sent = operations if view.operations_changed_position > query.operations else None
    if sent is not None and query.catalog_version is not None:
        changes = view.catalog_history.since(query.catalog_version)
        sent = replace(sent, catalog=None)
    return PeerUpdate(
        sent,
        view.operations_age_s(now),
        view.endpoint_history.since(query.endpoints) if view.endpoint_list is not None else None,
        view.endpoints_age_s(now),
        view.record_history.since(query.records) if records_changed else None,
        operations.position if operations else Position(),
        changes,
        reports.since(query.reports_seen or 0, now) if reports else (),
        reports.revision if reports else 0,
        reports.start if reports else 0,
    )


def acknowledgement(reports: PeerReports | None) -> PeerUpdate:
    """Return the answer to a query that only carries reports: which start has received them."""
    start = reports.start if reports else 0
    return PeerUpdate(None, 0.0, None, 0.0, None, Position(), reports_start=start)


def updated_operations(held: Operations | None, update: PeerUpdate) -> Operations | None:
    """Return the orders after a peer's answer, with the configuration after its changes.

    Args:
        held: Orders before it, as listed; None for none.
        update: The answer.

    Returns:
        None if nothing is known of them, or if the changes are of another configuration than the
        held one, as after a read of the directory meanwhile.
    """
    operations, changes = update.operations, update.catalog_changes
    if operations is None:
        return _confirmed_operations(held, update)
    if operations.catalog is not None:
        return operations
    catalog = held.catalog if held else None
    if changes is not None and changes.applies_to(catalog):
        return replace(operations, catalog=apply_catalog_changes(catalog, changes))
    return operations if changes is None else None


def _confirmed_operations(held: Operations | None, update: PeerUpdate) -> Operations | None:
    """Return the held orders at the position up to which a peer knows them to be unchanged.

    Returns:
        None if there are none, or if the peer speaks of another generation of the store.
    """
    if held is None or update.operations_position.generation != held.generation:
        return None
    revision = max(held.revision, update.operations_position.revision)
    return replace(held, revision=revision)
