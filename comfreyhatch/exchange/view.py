"""A daemon's view of the fleet: orders, endpoints and roll-outs, as last read from the directory.

Positions never go back: an older list or record, from a peer or from the store, changes nothing.
When the store has come back from an older copy, what was in force is carried over for a time.
"""

import logging

from msgspec.structs import replace

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.operations import (
    Operations,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    SharedRecords,
)
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.relay import RelayAddress
from comfreyhatch.exchange.carry_over import (
    EndpointCarryOver,
    OrderCarryOver,
    RecordCarryOver,
    is_further,
    newer_catalog,
)
from comfreyhatch.exchange.catalog_changes import CatalogHistory
from comfreyhatch.exchange.endpoint_changes import EndpointHistory
from comfreyhatch.exchange.record_changes import RecordHistory

# Age from which orders are stale. A list of endpoints that replaces one of this age counts as the
# first after an outage of the store.
STALE_AGE_S = 3.0
# Time for endpoints to register again after such an outage; until then those whose records lapsed
# remain available. The state of an unlisted endpoint is also kept for this long.
LAPSE_GRACE_S = 2.2
# Hold-down of a version that no order names, counted from its first endpoint: an endpoint may
# register before the order to roll out its version arrives.
NEW_VERSION_HOLD_DOWN_S = 2.5
MS_PER_S = 1000.0

log = logging.getLogger("comfreyhatch.view")


class FleetView:
    """Current orders, endpoints and records, with the state of each endpoint.

    It makes no decisions about requests.

    Attributes:
        operations: Orders of the operators in force; None before they were read.
        listed_operations: Orders as read, without those that are carried over.
        endpoint_list: Registered endpoints; None before they were read.
        records: Records of the daemons; None before they were read.
        operations_asked_at: Monotonic time in seconds at which the orders were surely current: that
            of the question to which they, or that they still hold, were the answer.
        operations_changed_position: Position of the last listed orders that differ from those
            before.
        endpoint_history: Changes of the list, for followers.
        record_history: Changes of the records, for followers.
        catalog_history: Changes of the listed configuration, for followers.
        tracker_by_id: Tracker of each endpoint, also of those unlisted a short time ago.
        trackers_by_service: The same trackers by service.
    """

    def __init__(self) -> None:
        self.operations: Operations | None = None
        self.listed_operations: Operations | None = None
        self.endpoint_list: EndpointList | None = None
        self.records: SharedRecords | None = None
        self.operations_asked_at = float("-inf")
        self.operations_changed_position = Position()
        self.endpoint_history = EndpointHistory()
        self.record_history = RecordHistory()
        self.catalog_history = CatalogHistory()
        self.tracker_by_id: dict[str, EndpointTracker] = {}
        self.trackers_by_service: dict[str, list[EndpointTracker]] = {}
        self._operations_at = float("-inf")
        self._endpoints_at = float("-inf")
        self._store_offset_ms = float("-inf")
        self._first_seen_at_by_version: dict[tuple[str, str], float] = {}
        self._cold_until_by_zone: dict[str, float] = {}
        self._lapse_grace_from = float("-inf")
        self._lapse_grace_until = float("-inf")
        self._carried_orders = OrderCarryOver()
        self._carried_endpoints = EndpointCarryOver()
        self._carried_records = RecordCarryOver()

    @property
    def catalog(self) -> Catalog | None:
        """Configuration in force; None while none is known."""
        return self.operations.catalog if self.operations else None

    @property
    def generation(self) -> int | None:
        """Newest generation of the store from which anything was read; None before that."""
        held = (self.listed_operations, self.endpoint_list, self.records)
        return max((found.generation for found in held if found is not None), default=None)

    @property
    def control_by_daemon(self) -> dict[str, str]:
        """Control addresses of the daemons, those from before a return of the store included."""
        listed = self.records.control_by_daemon if self.records else {}
        return {**self._carried_records.control_by_daemon, **listed}

    @property
    def region_by_daemon(self) -> dict[str, str]:
        """Regions of the daemons, those from before a return of the store included."""
        listed = self.records.region_by_daemon if self.records else {}
        return {**self._carried_records.region_by_daemon, **listed}

    @property
    def link_by_daemon(self) -> dict[str, float]:
        """Bandwidths of the daemons' links, those from before a return of the store included."""
        listed = self.records.link_by_daemon if self.records else {}
        return {**self._carried_records.link_by_daemon, **listed}

    def ready(self) -> bool:
        """Return whether a configuration and a list of endpoints are known."""
        return self.catalog is not None and self.endpoint_list is not None

    def operations_age_s(self, now: float) -> float:
        """Return the time since the orders were last confirmed by the directory, in seconds."""
        return now - self._operations_at

    def endpoints_age_s(self, now: float) -> float:
        """Return the time since the list was last confirmed by the directory, in seconds."""
        return now - self._endpoints_at

    def stale(self, now: float) -> bool:
        """Return whether the orders are so old that a newer configuration may be in force."""
        return self.operations_age_s(now) > STALE_AGE_S

    def store_ms(self, now: float) -> int:
        """Return the estimated time of the store's clock, in milliseconds; 0 while unknown."""
        return int(now * MS_PER_S + self._store_offset_ms) if self.records else 0

    def apply_operations(
        self,
        found: Operations,
        now: float,
        heartbeat_s: float,
        asked_at: float = float("-inf"),
    ) -> None:
        """Replace the orders if newer; otherwise only update the age of those that are held.

        Orders of an older generation change nothing, the age neither. The configuration is never
        replaced by one with a lower version.

        Args:
            found: Orders as read.
            now: Monotonic time at which they were current, in seconds.
            heartbeat_s: Interval at which endpoints renew their records, in seconds.
            asked_at: Monotonic time at which they were surely current, in seconds: an answer may
                have waited unread while this process was stopped.
        """
        listed, held = self.listed_operations, self.operations
        if listed is not None and found.generation < listed.generation:
            return
        self._operations_at = max(self._operations_at, now)
        self.operations_asked_at = max(self.operations_asked_at, asked_at)
        if listed is not None and held is not None:
            if found.generation > listed.generation:
                self._carried_orders.begin(held, found, now)
            elif found.revision <= listed.revision:
                found = listed
            found = replace(found, catalog=newer_catalog(listed.catalog, found.catalog))
        if listed is None or replace(listed, revision=found.revision) != found:
            self.operations_changed_position = found.position
        self.listed_operations = found
        if found.catalog is not None:
            self.catalog_history.update(found.catalog)
        self._enforce(self._carried_orders.merge(found, now), now, heartbeat_s)

    def _enforce(self, found: Operations, now: float, heartbeat_s: float) -> None:
        """Replace the orders in force."""
        held = self.operations
        self.operations = found
        self._log_operations(held, found)
        for zone in (held.zones_out if held else frozenset()) - found.zones_out:
            # The zone's endpoints may have become cold; their records show it a heartbeat later.
            self._cold_until_by_zone[zone] = now + 2 * heartbeat_s

    def apply_endpoints(self, found: EndpointList, now: float) -> None:
        """Replace the list of endpoints if not older, and update the state of each endpoint.

        Args:
            found: List as read.
            now: Monotonic time at which it was current, in seconds.
        """
        held = self.endpoint_list
        if held is not None and found.generation < held.generation:
            return
        returned = held is not None and found.generation > held.generation
        if held is not None and (returned or self.endpoints_age_s(now) > STALE_AGE_S):
            self._lapse_grace_from = now
            self._lapse_grace_until = now + LAPSE_GRACE_S
        self._endpoints_at = max(self._endpoints_at, now)
        if held is not None and found.position < held.position:
            return
        if held is not None and returned:
            self._carried_endpoints.begin(held, found, now)
        self._carried_endpoints.update(found)
        self.endpoint_list = found
        self.endpoint_history.update(found)
        for endpoint_id, record in found.record_by_id.items():
            self._apply_record(endpoint_id, record, held is None, now)
        for endpoint_id, tracker in self.tracker_by_id.items():
            if endpoint_id not in found.record_by_id and tracker.removed_at is None:
                tracker.removed_at = now
                self._carried_endpoints.note_removed(tracker.record, now)
                log.info("event=endpoint_gone endpoint=%s", endpoint_id)
        self._remove_unlisted(now)

    def apply_records(self, found: SharedRecords, now: float) -> None:
        """Replace the records of the daemons if not older.

        Records of an older generation change nothing. The estimate of the store's clock only goes
        forward: a peer's copy, or an answer from before a compaction, has an old time.

        Args:
            found: Records as read.
            now: Monotonic time of the read, in seconds.
        """
        held = self.records
        if held is not None and found.generation < held.generation:
            return
        self._store_offset_ms = max(self._store_offset_ms, found.store_ms - now * MS_PER_S)
        if held is not None and found.position < held.position:
            return
        if held is not None and found.generation > held.generation:
            self._carried_records.begin(held)
        self.records = found
        self.record_history.update(found)

    def relays_in(self, region: str) -> dict[str, RelayAddress]:
        """Return where the daemons of a region take requests of others.

        Those from before a return of the store are included. Bodies may be bound to their region,
        so that no daemon of another one is asked.
        """
        listed = self.records.relay_by_daemon if self.records else {}
        known = {**self._carried_records.relay_by_daemon, **listed}
        regions = self.region_by_daemon
        return {daemon: relay for daemon, relay in known.items() if regions.get(daemon) == region}

    def daemons_in(self, region: str) -> list[str]:
        """Return the daemons whose records name a region."""
        return [d for d, found in self.region_by_daemon.items() if found == region]

    def daemons(self) -> set[str]:
        """Return all daemons that have published a control address, stopped ones included."""
        return set(self.control_by_daemon)

    def order(self, service: str) -> RolloutOrder | None:
        """Return the current roll-out order of a service."""
        return self.operations.order_by_service.get(service) if self.operations else None

    def trial(self, service: str) -> RolloutRecord | None:
        """Return the shared state of the current order's roll-out; None before it is published."""
        order = self.order(service)
        if order is None:
            return None
        listed = self._matching(order, self._listed_trial(service))
        furthest = listed
        for trial in self._carried_records.trials_by_service.get(service, ()):
            carried = self._matching(order, trial)
            if carried and (furthest is None or is_further(carried, furthest)):
                furthest = carried
        return furthest

    def lost_trial(self, service: str) -> RolloutRecord | None:
        """Return the state of a roll-out to write again, as a write under the listed revision.

        Returns:
            The furthest state that was held, if the store came back from a copy that lists an
            earlier state or none, and lists the order; otherwise None.
        """
        order, found = self.order(service), self.trial(service)
        records = self.records
        if order is None or found is None or records is None or not self.can_step(service):
            return None
        listed = self._listed_trial(service)
        if listed is not None and listed.order_revision == order.revision:
            same = listed.version == order.version
            if same and not is_further(found, listed):
                return None
        return replace(
            found,
            order_revision=order.revision,
            revision=listed.revision if listed else 0,
            generation=records.generation,
        )

    def can_step(self, service: str) -> bool:
        """Return whether the order in force is listed, in the generation of the records."""
        listed, records = self.listed_operations, self.records
        if listed is None or records is None or listed.generation != records.generation:
            return False
        return not self._carried_orders.is_carried(service)

    def is_same_order(self, known: RolloutOrder, order: RolloutOrder) -> bool:
        """Return whether the order in force is a known one, maybe of an earlier generation."""
        return self._carried_orders.is_same_order(
            order, known.version, known.revision, known.service
        )

    def available(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint is registered, not draining and not misdirected.

        If its record lapsed during an outage of the store, or is missing in the copy from which the
        store came back, it is available until the grace is over.
        """
        if tracker.record.draining or tracker.misdirected:
            return False
        if self._carried_endpoints.is_withheld(tracker.record, now):
            return False
        if tracker.removed_at is None:
            return True
        lapsed = self._lapse_grace_from <= tracker.removed_at <= self._lapse_grace_until
        return lapsed and now < self._lapse_grace_until

    def zone_out(self, zone: str) -> bool:
        """Return whether operators took a zone out of service."""
        return self.operations is not None and zone in self.operations.zones_out

    def cold(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint counts as cold, by itself or since its zone came back."""
        return tracker.is_cold(now) or now < self._cold_until_by_zone.get(tracker.record.zone, 0.0)

    def past_hold_down(self, service: str, version: str, now: float) -> bool:
        """Return whether the hold-down of a version that no order names is over.

        Args:
            service: Service.
            version: Version of its endpoints.
            now: Monotonic time in seconds.
        """
        first = self._first_seen_at_by_version.get((service, version), now)
        return now - first >= NEW_VERSION_HOLD_DOWN_S

    def final_state(self, service: str) -> RolloutState | None:
        """Return the final state of a service's current roll-out; None before its end."""
        trial = self.trial(service)
        if trial is None or trial.state is RolloutState.RUNNING:
            return None
        return trial.state

    def _apply_record(
        self, endpoint_id: str, record: EndpointRecord, first_list: bool, now: float
    ) -> None:
        version = (record.service, record.version)
        if version not in self._first_seen_at_by_version:
            # Versions in the first list that this daemon reads have no hold-down.
            self._first_seen_at_by_version[version] = now - NEW_VERSION_HOLD_DOWN_S * first_list
        tracker = self.tracker_by_id.get(endpoint_id)
        if tracker is not None and _is_of_other_service(record, tracker.record):
            self._forget(tracker, now)
            tracker = None
        if tracker is None:
            tracker = EndpointTracker(record, now)
            self.tracker_by_id[endpoint_id] = tracker
            self.trackers_by_service.setdefault(record.service, []).append(tracker)
            log.info(
                "event=endpoint_added endpoint=%s service=%s version=%s zone=%s cold_s=%.1f",
                endpoint_id,
                record.service,
                record.version,
                record.zone,
                record.cold_left_s,
            )
        elif replace(tracker.record, generation=record.generation) == record:
            tracker.record = record
            tracker.removed_at = None
        elif record.position > tracker.record.position:
            if record.draining and not tracker.record.draining:
                log.info("event=endpoint_draining endpoint=%s", endpoint_id)
            tracker.update_record(record, now)
        elif tracker.removed_at is not None:
            tracker.removed_at = None

    def _forget(self, tracker: EndpointTracker, now: float) -> None:
        """Drop an endpoint whose id belongs to one of another service now; its requests may end."""
        record = tracker.record
        tracker.removed_at = now
        # Not even while the records of endpoints are awaited that lapsed in an outage.
        tracker.misdirected = True
        del self.tracker_by_id[record.endpoint_id]
        self.trackers_by_service[record.service].remove(tracker)
        log.info("event=endpoint_gone endpoint=%s", record.endpoint_id)

    def _listed_trial(self, service: str) -> RolloutRecord | None:
        return self.records.trial_by_service.get(service) if self.records else None

    def _matching(self, order: RolloutOrder, trial: RolloutRecord | None) -> RolloutRecord | None:
        """Return a state of a roll-out if it belongs to an order."""
        if trial is None:
            return None
        same = self._carried_orders.is_same_order(
            order, trial.version, trial.order_revision, trial.service
        )
        return trial if same else None

    def _remove_unlisted(self, now: float) -> None:
        for endpoint_id, tracker in list(self.tracker_by_id.items()):
            if (
                tracker.removed_at is None
                or tracker.in_flight
                or now < tracker.removed_at + LAPSE_GRACE_S
            ):
                continue
            del self.tracker_by_id[endpoint_id]
            self.trackers_by_service[tracker.record.service].remove(tracker)

    def _log_operations(self, held: Operations | None, found: Operations) -> None:
        if found.catalog and (not held or found.catalog is not held.catalog):
            log.info(
                "event=config_adopted version=%d revision=%d",
                found.catalog.version,
                found.revision,
            )
        if not held or found.zones_out != held.zones_out:
            log.info("event=zones_out zones=%s", ",".join(sorted(found.zones_out)) or "none")
        for service, order in found.order_by_service.items():
            if not held or held.order_by_service.get(service) != order:
                log.info(
                    "event=rollout_ordered service=%s version=%s duration_s=%g",
                    service,
                    order.version,
                    order.duration_s,
                )


def _is_of_other_service(record: EndpointRecord, known: EndpointRecord) -> bool:
    """Return whether a newer record under an id that is known belongs to another endpoint."""
    return record.service != known.service and record.position > known.position
