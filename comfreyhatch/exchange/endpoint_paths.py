"""Network paths of this daemon to endpoints: which are lost, and which services with them."""

import logging

from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.exchange.view import FleetView

# Time after a service's last relayed request in which requests for lost endpoints are relayed.
RELAYED_LIFE_S = 3.0

log = logging.getLogger("comfreyhatch.paths")


class EndpointPaths:
    """Notes which endpoints no connection can be opened to."""

    def __init__(self, view: FleetView, client: HttpClient, registry: CollectorRegistry) -> None:
        """Create it; all endpoints count as within reach.

        Args:
            view: Current state of the fleet.
            client: Holds the connections to endpoints.
            registry: Registry of the metrics.
        """
        self._view = view
        self._client = client
        self._relayed_at_by_service: dict[str, float] = {}
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

    def is_relayed(self, endpoint: EndpointTracker, now: float) -> bool:
        """Return whether to send requests for an endpoint by way of other daemons.

        So it is while its path is lost like those to all endpoints of its service, or while others
        of them are reached again one by one. One lost endpoint alone is most likely down.
        """
        service = endpoint.record.service
        if endpoint.lost_at is None:
            return False
        relayed_at = self._relayed_at_by_service.get(service, float("-inf"))
        return self.is_lost(service) or now - relayed_at < RELAYED_LIFE_S

    def note_relayed(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that another daemon has reached an endpoint."""
        self._relayed_at_by_service[endpoint.record.service] = now

    def note_answer(self, endpoint: EndpointTracker, sent_at: float, now: float) -> None:
        """Note an answer over this daemon's own path.

        One to an earlier request says nothing of a path that was lost since: connections that are
        open may live on while new ones are refused.
        """
        if endpoint.lost_at is not None and sent_at > endpoint.lost_at:
            self.note_reached(endpoint, now)

    def note_unreachable(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that no connection to an endpoint could be opened."""
        if endpoint.lost_at is None:
            endpoint.lost_at = now
            log.info("event=path_lost endpoint=%s", endpoint.record.endpoint_id)
        self.update(endpoint.record.service, now)

    def note_reached(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that a connection to an endpoint is open."""
        if endpoint.lost_at is not None:
            lost_s = now - endpoint.lost_at
            endpoint.lost_at = None
            # Each of the connections that failed together has prolonged it.
            endpoint.end_ejection()
            log.info(
                "event=path_regained endpoint=%s lost_s=%.1f", endpoint.record.endpoint_id, lost_s
            )
        self.update(endpoint.record.service, now)

    @property
    def lost_services(self) -> set[str]:
        """Services all of whose endpoints are out of reach."""
        return set(self._lost_since_by_service)

    def update(self, service: str, now: float) -> None:
        """Find out again whether a service is lost, as its paths or its endpoints have changed."""
        trackers = self._view.trackers_by_service.get(service, ())
        listed = [tracker for tracker in trackers if tracker.removed_at is None]
        lost = bool(listed) and all(tracker.lost_at is not None for tracker in listed)
        since = self._lost_since_by_service.get(service)
        if lost and since is None:
            self._lost_since_by_service[service] = now
            for tracker in listed:
                # It may be reached by way of other daemons, and its idle connections may be silent:
                # each of them would take a request.
                tracker.end_ejection()
                self._client.drop_idle(tracker.record.address)
            log.warning("event=service_lost service=%s endpoints=%d", service, len(listed))
        elif not lost and since is not None:
            del self._lost_since_by_service[service]
            log.warning("event=service_regained service=%s lost_s=%.1f", service, now - since)

    def _count_lost(self) -> float:
        trackers = self._view.tracker_by_id.values()
        return sum(tracker.lost_at is not None for tracker in trackers)
