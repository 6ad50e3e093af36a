"""Selects the endpoints that are eligible for a request: in service and of the right version."""

from collections.abc import Callable

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.session_version import VersionChoice, choose_version, version_matches
from comfreyhatch.decisions.trial_shares import canary_share
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import RolloutOrder, RolloutState
from comfreyhatch.exchange.session_pins import SessionPins
from comfreyhatch.exchange.view import FleetView

# From this share of the target version on, requests for a replaced version without endpoints are
# sent to the target version.
MIN_SHARE_FOR_FALLBACK = 0.5

# A leaving endpoint gets no request in the last part of its drain time.
LEAVING_MARGIN_S = 0.5

# Shortest silence of an endpoint, while requests run there, from which it is avoided.
MIN_SILENT_S = 1.0


class EndpointEligibility:
    """Filters endpoints by registration, zone and version."""

    def __init__(
        self,
        deployment: Deployment,
        view: FleetView,
        is_bad_version: Callable[[RolloutOrder], bool],
        pins: SessionPins,
    ) -> None:
        """Create it.

        Args:
            deployment: Settings.
            view: Current state of the fleet.
            is_bad_version: Returns whether this daemon considers an order's target version bad.
            pins: Versions of the sessions.
        """
        self._deployment = deployment
        self._view = view
        self._is_bad_version = is_bad_version
        self._canary = canary_share(deployment.bounds.expose_share)
        self._pins = pins

    def pin_session(self, job: Job, version: str, now: float) -> None:
        """Pin the session of a request to a version."""
        self._pins.pin(job, version, now)

    def end_session_use(self, job: Job, now: float) -> None:
        """Note that a request whose session was pinned has ended at an endpoint."""
        self._pins.end(job, now)

    def endpoints_for(
        self, job: Job, excluded: set[str], now: float, includes_ejected: bool = False
    ) -> list[EndpointTracker]:
        """Return the eligible endpoints; ejected, silent and leaving ones if there are no others.

        Args:
            job: The request.
            excluded: Ids of endpoints to leave out.
            now: Monotonic time in seconds.
            includes_ejected: Whether ejected and silent ones are returned beside others.
        """
        order = self._view.order(job.service)
        choice = self._choice(job, order, now)
        in_service = [
            tracker
            for tracker in self._view.trackers_by_service.get(job.service, ())
            if tracker.record.endpoint_id not in excluded and self.in_service(tracker, now)
        ]
        eligible = [t for t in in_service if version_matches(choice, t.record.version, order)]
        if not eligible:
            eligible = self._version_fallback(in_service, choice, order, job, now)
        if order is None:
            past_hold_down = [
                t for t in eligible if self._view.past_hold_down(job.service, t.record.version, now)
            ]
            eligible = past_hold_down or eligible
        if not includes_ejected:
            eligible = [t for t in eligible if now >= t.ejected_until] or eligible
            eligible = [t for t in eligible if not is_avoided(t, job, now)] or eligible
        return [t for t in eligible if t.leaving_since is None] or eligible

    def _version_fallback(
        self,
        in_service: list[EndpointTracker],
        choice: VersionChoice,
        order: RolloutOrder | None,
        job: Job,
        now: float,
    ) -> list[EndpointTracker]:
        """Return the endpoints of the other version, used if the chosen one has no endpoint.

        Returns:
            The endpoints. The list is empty if the target version is bad or was rolled back, if the
            session is pinned to the target, or if the chosen version is the replaced one and the
            target's share is below `MIN_SHARE_FOR_FALLBACK`.
        """
        trial = self._view.trial(job.service)
        if order is None or self._is_bad_version(order):
            return []
        if trial is not None and trial.state is RolloutState.ROLLED_BACK:
            return []
        if choice is VersionChoice.TARGET:
            return in_service if self._pins.version(job, now) != order.version else []
        # Without a trial record the roll-out may be complete and the record not yet received;
        # then no endpoint of a replaced version is left.
        return in_service if trial is None or trial.share >= MIN_SHARE_FOR_FALLBACK else []

    def _choice(self, job: Job, order: RolloutOrder | None, now: float) -> VersionChoice:
        return choose_version(
            order,
            self._view.trial(job.service),
            order is not None and self._is_bad_version(order),
            job.session_key,
            self._pins.version(job, now),
            self._canary,
            self._view.store_ms(now),
        )

    def in_service(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint is available, not resting, and its zone not taken out.

        One that is leaving is available for a short time after its notice, as the last resort.
        """
        return now >= tracker.resting_until and self.would_serve(tracker, now)

    def would_serve(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint is in service, or will be once its rest is over."""
        if tracker.leaving_since is not None:
            drain_s = self._deployment.bounds.drain_s
            if now >= tracker.leaving_since + max(0.0, drain_s - LEAVING_MARGIN_S):
                return False
        return self._view.available(tracker, now) and not self._view.zone_out(tracker.record.zone)


def is_avoided(tracker: EndpointTracker, job: Job, now: float) -> bool:
    """Return whether a request goes elsewhere if it can, as an endpoint is silent."""
    return tracker.is_avoided(max(MIN_SILENT_S, job.route.aim_s), now)
