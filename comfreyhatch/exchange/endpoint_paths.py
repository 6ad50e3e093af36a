"""Network paths of this daemon to endpoints: which are lost, and which services with them."""

import logging

from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.exchange.view import FleetView

log = logging.getLogger("comfreyhatch.paths")


class EndpointPaths:
    """Notes which endpoints no connection can be opened to."""

    def __init__(self, view: FleetView, registry: CollectorRegistry) -> None:
        """Create it; all endpoints count as within reach.

        Args:
            view: Current state of the fleet.
            registry: Registry of the metrics.
        """
        self._view = view
        self._lost_since_by_service: dict[str, float] = {}
        add_gauge(registry, "endpoints_lost", "Endpoints out of reach.", self._count_lost)
        add_gauge(
            registry,
            "services_lost",
            "Services no endpoint of which is within reach.",
            lambda: len(self._lost_since_by_service),
        )

    def is_lost(self, service: str) -> bool:
        """Return whether all endpoints of a service are out of reach."""
        return service in self._lost_since_by_service

    def note_unreachable(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that no connection to an endpoint could be opened."""
        if endpoint.lost_at is None:
            endpoint.lost_at = now
            log.info("event=path_lost endpoint=%s", endpoint.record.endpoint_id)
        self._update_service(endpoint.record.service, now)

    def note_reached(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that a connection to an endpoint is open."""
        if endpoint.lost_at is not None:
            lost_s = now - endpoint.lost_at
            endpoint.lost_at = None
            log.info(
                "event=path_regained endpoint=%s lost_s=%.1f", endpoint.record.endpoint_id, lost_s
            )
        self._update_service(endpoint.record.service, now)

    def _update_service(self, service: str, now: float) -> None:
        trackers = self._view.trackers_by_service.get(service, ())
        listed = [tracker for tracker in trackers if tracker.removed_at is None]
        lost = bool(listed) and all(tracker.lost_at is not None for tracker in listed)
        since = self._lost_since_by_service.get(service)
        if lost and since is None:
            self._lost_since_by_service[service] = now
            log.warning("event=service_lost service=%s endpoints=%d", service, len(listed))
        elif not lost and since is not None:
            del self._lost_since_by_service[service]
            log.warning("event=service_regained service=%s lost_s=%.1f", service, now - since)

    def _count_lost(self) -> float:
        trackers = self._view.tracker_by_id.values()
        return sum(tracker.lost_at is not None for tracker in trackers)
