"""What a daemon believes of the fleet: orders, endpoints, roll-outs; only ever goes forward."""

import logging

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.operations import (
    Operations,
    RolloutOrder,
    RolloutState,
    SharedRecords,
    TrialRecord,
)
from comfreyhatch.exchange.endpoint_changes import EndpointHistory

CONTACT_LOST_S = 3.0
LAPSE_GRACE_S = 2.2
NEW_VERSION_HOLD_S = 2.5
MS_PER_S = 1000.0

log = logging.getLogger("comfreyhatch.view")


class FleetView:
    """Current facts and the state of each endpoint; decides nothing about requests."""

    def __init__(self) -> None:
        self.operations: Operations | None = None
        self.endpoint_list: EndpointList | None = None
        self.records: SharedRecords | None = None
        self.endpoint_history = EndpointHistory()
        self.state_by_id: dict[str, EndpointTracker] = {}
        self.states_by_service: dict[str, list[EndpointTracker]] = {}
        self._operations_at = float("-inf")
        self._endpoints_at = float("-inf")
        self._store_ahead_ms = float("-inf")
        self._seen_at_by_version: dict[tuple[str, str], float] = {}
        self._cold_zone_until: dict[str, float] = {}
        self._lapsed_until = 0.0

    @property
    def catalog(self) -> Catalog | None:
        """The configuration in force; None while none is known."""
        return self.operations.catalog if self.operations else None

    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.catalog is not None and self.endpoint_list is not None

    def operations_age_s(self, now: float) -> float:
        """Return how old the knowledge of the operators' orders is, in seconds."""
        return now - self._operations_at

    def endpoints_age_s(self, now: float) -> float:
        """Return how old the knowledge of the endpoints is, in seconds."""
        return now - self._endpoints_at

    def stale(self, now: float) -> bool:
        """Return whether a newer configuration may be in force without being known here."""
        return self.operations_age_s(now) > CONTACT_LOST_S

    def store_ms(self, now: float) -> int:
        """Return the store's clock, in milliseconds, as far as it is known."""
        return int(now * MS_PER_S + self._store_ahead_ms) if self.records else 0

    def apply_operations(self, found: Operations, now: float, heartbeat_s: float) -> None:
        """Take newer orders; older ones only show that the source answers.

        Args:
            found: Orders.
            now: Monotonic time at which they were current.
            heartbeat_s: Interval at which endpoints renew their records.
        """
        held = self.operations
        self._operations_at = max(self._operations_at, now)
        if held is not None and found.revision <= held.revision:
            return
        self.operations = found
        self._log_operations(held, found)
        for zone in (held.zones_out if held else frozenset()) - found.zones_out:
            # The zone's endpoints may have turned cold; their records say so a heartbeat later.
            self._cold_zone_until[zone] = now + 2 * heartbeat_s

    def apply_endpoints(self, found: EndpointList, now: float) -> None:
        """Take a newer list of endpoints."""
        held = self.endpoint_list
        if held is not None and self.endpoints_age_s(now) > CONTACT_LOST_S:
            self._lapsed_until = now + LAPSE_GRACE_S
        self._endpoints_at = max(self._endpoints_at, now)
        if held is not None and found.revision < held.revision:
            return
        self.endpoint_list = found
        self.endpoint_history.update(found)
        for endpoint_id, record in found.record_by_id.items():
            self._apply_record(endpoint_id, record, held is None, now)
        for endpoint_id, state in self.state_by_id.items():
            if endpoint_id not in found.record_by_id and state.removed_at is None:
                state.removed_at = now
                log.info("event=endpoint_gone endpoint=%s", endpoint_id)
        self._forget_gone(now)

    def apply_records(self, found: SharedRecords, now: float) -> None:
        """Take newer records of the daemons; older ones can only be behind the store's clock."""
        self._store_ahead_ms = max(self._store_ahead_ms, found.store_ms - now * MS_PER_S)
        if self.records is not None and found.revision < self.records.revision:
            return
        self.records = found

    def daemons_in(self, region: str) -> list[str]:
        """Return the daemons that have published themselves in a region."""
        if self.records is None:
            return []
        return [d for d, found in self.records.region_by_daemon.items() if found == region]

    def daemons(self) -> set[str]:
        """Return the daemons that have ever published their address."""
        return set(self.records.control_by_daemon) if self.records else set()

    def order(self, service: str) -> RolloutOrder | None:
        """Return the order to roll a version of a service out."""
        return self.operations.order_by_service.get(service) if self.operations else None

    def trial(self, service: str) -> TrialRecord | None:
        """Return the state of the service's roll-out that carries out the current order."""
        order = self.order(service)
        found = self.records.trial_by_service.get(service) if self.records else None
        if order is None or found is None or found.order_revision != order.revision:
            return None
        return found

    def available(self, state: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint is registered, or only lapsed while the store was away."""
        if state.record.draining or state.misdirected:
            return False
        if state.removed_at is None:
            return True
        return state.removed_at <= self._lapsed_until and now < self._lapsed_until

    def zone_out(self, zone: str) -> bool:
        """Return whether operators have taken a zone out."""
        return self.operations is not None and zone in self.operations.zones_out

    def cold(self, state: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint has to be treated as cold."""
        return state.is_cold(now) or now < self._cold_zone_until.get(state.record.zone, 0.0)

    def past_hold_down(self, service: str, version: str, now: float) -> bool:
        """Return whether a version that no order names is old enough to be used.

        A version may register before the order to roll it out is heard of.
        """
        first = self._seen_at_by_version.get((service, version), now)
        return now - first >= NEW_VERSION_HOLD_S

    def final_state(self, service: str) -> RolloutState | None:
        """Return how the current roll-out of a service ended; None while it has not."""
        trial = self.trial(service)
        if trial is None or trial.state is RolloutState.RUNNING:
            return None
        return trial.state

    def _apply_record(
        self, endpoint_id: str, record: EndpointRecord, first_list: bool, now: float
    ) -> None:
        version = (record.service, record.version)
        if version not in self._seen_at_by_version:
            self._seen_at_by_version[version] = now - NEW_VERSION_HOLD_S * first_list
        state = self.state_by_id.get(endpoint_id)
        if state is None:
            state = EndpointTracker(record, now)
            self.state_by_id[endpoint_id] = state
            self.states_by_service.setdefault(record.service, []).append(state)
            log.info(
                "event=endpoint_added endpoint=%s service=%s version=%s zone=%s cold_s=%.1f",
                endpoint_id,
                record.service,
                record.version,
                record.zone,
                record.cold_left_s,
            )
        elif record.revision > state.record.revision:
            if record.draining and not state.record.draining:
                log.info("event=endpoint_draining endpoint=%s", endpoint_id)
            state.update_record(record, now)
        elif state.removed_at is not None:
            state.removed_at = None

    def _forget_gone(self, now: float) -> None:
        for endpoint_id, state in list(self.state_by_id.items()):
            if (
                state.removed_at is None
                or state.in_flight
                or now < state.removed_at + LAPSE_GRACE_S
            ):
                continue
            del self.state_by_id[endpoint_id]
            self.states_by_service[state.record.service].remove(state)

    def _log_operations(self, held: Operations | None, found: Operations) -> None:
        if found.catalog and (not held or found.catalog is not held.catalog):
            log.info("event=config_adopted version=%d", found.catalog.version)
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
