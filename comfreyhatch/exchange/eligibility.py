"""Which endpoints may run a request: registered, in service, of the right version."""

from collections.abc import Callable

from comfreyhatch.decisions.cold_rate import daemon_cold_rate
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.session_version import VersionChoice, choose_version, version_matches
from comfreyhatch.decisions.version_trial import canary_share
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import RolloutOrder, RolloutState
from comfreyhatch.exchange.view import FleetView

MAX_PINNED_SESSIONS = 20000
ALL_SHARE = 0.5
DAEMONS_PER_ZONE = 2


class EndpointEligibility:
    """Finds endpoints for requests; remembers the versions of sessions seen lately."""

    def __init__(
        self,
        deployment: Deployment,
        view: FleetView,
        is_bad_version: Callable[[RolloutOrder], bool],
    ) -> None:
        """Create it; see `EndpointScheduler` for the arguments."""
        self._deployment = deployment
        self._view = view
        self._is_bad_version = is_bad_version
        self._canary = canary_share(deployment.bounds.expose_share)
        self._pin_by_session: dict[str, tuple[str, float]] = {}

    def pin_session(self, job: Job, version: str, now: float) -> None:
        """Remember the version on which a session runs."""
        if not job.exchange.session:
            return
        self._pin_by_session.pop(job.exchange.session, None)
        self._pin_by_session[job.exchange.session] = (version, now)
        while len(self._pin_by_session) > MAX_PINNED_SESSIONS:
            self._pin_by_session.pop(next(iter(self._pin_by_session)))

    def endpoints_for(
        self, job: Job, excluded: frozenset[str], now: float
    ) -> list[EndpointTracker]:
        """Return the endpoints that may run a request; ejected ones only when no other is left."""
        order = self._view.order(job.service)
        choice = self._choice(job, order, now)
        usable = [
            state
            for state in self._view.states_by_service.get(job.service, ())
            if state.record.endpoint_id not in excluded and self.in_service(state, now)
        ]
        fitting = [s for s in usable if version_matches(choice, s.record.version, order)]
        if not fitting:
            fitting = self._other_version(usable, choice, order, job, now)
        if order is None:
            settled = [
                s for s in fitting if self._view.past_hold_down(job.service, s.record.version, now)
            ]
            fitting = settled or fitting
        return [s for s in fitting if now >= s.ejected_until] or fitting

    def _other_version(
        self,
        usable: list[EndpointTracker],
        choice: VersionChoice,
        order: RolloutOrder | None,
        job: Job,
        now: float,
    ) -> list[EndpointTracker]:
        """Return what may run a request whose version has no endpoint."""
        trial = self._view.trial(job.service)
        if order is None or self._is_bad_version(order):
            return []
        if trial is not None and trial.state is RolloutState.ROLLED_BACK:
            return []
        if choice is VersionChoice.TARGET:
            return usable if self._pinned(job, now) != order.version else []
        # A completed roll-out has no other version left; its record may not be known here yet.
        return usable if trial is None or trial.share >= ALL_SHARE else []

    def _choice(self, job: Job, order: RolloutOrder | None, now: float) -> VersionChoice:
        return choose_version(
            order,
            self._view.trial(job.service),
            order is not None and self._is_bad_version(order),
            job.session_key,
            self._pinned(job, now),
            self._canary,
        )

    def _pinned(self, job: Job, now: float) -> str | None:
        version, at = self._pin_by_session.get(job.exchange.session, ("", float("-inf")))
        return version if now - at <= 2 * self._deployment.bounds.session_s else None

    def in_service(self, state: EndpointTracker, now: float) -> bool:
        """Return whether an endpoint is registered, stays, and its zone is in service."""
        return self._view.available(state, now) and not self._view.zone_out(state.record.zone)

    def cold_rate_per_s(self, state: EndpointTracker) -> float:
        """Return the requests a second that this daemon may send to an endpoint while cold."""
        catalog = self._view.catalog
        service = catalog.service_by_name.get(state.record.service) if catalog else None
        if service is None or service.cold_per_s <= 0:
            return float("inf")
        bounds = self._deployment.bounds
        return daemon_cold_rate(
            state.record.endpoint_id,
            self._deployment.instance,
            self.known_daemons(),
            service.cold_per_s,
            bounds.cold_over,
            bounds.cold_slack,
        )

    def known_daemons(self) -> set[str]:
        """Return the known daemons, filled up while too few have been heard of to be all."""
        known = self._view.daemons()
        least = DAEMONS_PER_ZONE * len(self._deployment.zones)
        return known | {f"unheard-{n}" for n in range(least - len(known))}
