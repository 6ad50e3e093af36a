"""Which of the endpoints that may serve a request are silent, and which are likely to answer."""

from math import inf

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job
from comfreyhatch.exchange.eligibility import EndpointEligibility, is_avoided
from comfreyhatch.exchange.view import FleetView


class EndpointSilence:
    """Tells silent endpoints from others, by what has come from them; times are monotonic."""

    def __init__(self, view: FleetView, eligibility: EndpointEligibility) -> None:
        """Create it.

        Args:
            view: Current state of the fleet.
            eligibility: Knows the endpoints that may serve a request.
        """
        self._view = view
        self._eligibility = eligibility

    def has_unsuspected(self, job: Job, excluded: set[str], now: float) -> bool:
        """Return whether a request may go to an endpoint that was not left as silent."""
        eligible = self._eligibility.endpoints_for(job, excluded, now)
        return any(not tracker.is_left_silent for tracker in eligible)

    def has_unavoided(self, job: Job, excluded: set[str], now: float) -> bool:
        """Return whether a request may go to an endpoint that is not avoided as silent."""
        eligible = self._eligibility.endpoints_for(job, excluded, now)
        return any(not is_avoided(tracker, job, now) for tracker in eligible)

    def was_heard(self, service: str, since: float) -> bool:
        """Return whether any endpoint of a service has sent anything since a monotonic time."""
        return self.heard_at(service) >= since

    def heard_at(self, service: str) -> float:
        """Return when any endpoint of a service has sent anything last; -inf without endpoints."""
        trackers = self._view.trackers_by_service.get(service, ())
        return max((tracker.last_received_at for tracker in trackers), default=-inf)

    def has_responsive(
        self, job: Job, excluded: set[str], max_silent_s: float, trusts_idle: bool, now: float
    ) -> bool:
        """Return whether any endpoint that is not silent may serve a request.

        While several endpoints with requests are silent, the whole service may be. Then one without
        requests, of which nothing is known, is as likely to be silent.

        Args:
            job: The request.
            excluded: Ids of endpoints to leave out.
            max_silent_s: Silence from which an endpoint counts as silent, in seconds.
            trusts_idle: Whether endpoints without requests count even then, and ejected ones.
            now: Monotonic time in seconds.
        """
        eligible = self._eligibility.endpoints_for(job, excluded, now, includes_ejected=True)
        if any(tracker.was_heard(max_silent_s, now) for tracker in eligible):
            return True
        if trusts_idle:
            return any(tracker.may_respond(max_silent_s, now) for tracker in eligible)
        if self._others_silent(job.service, excluded, max_silent_s, now):
            return False
        return any(tracker.responds(max_silent_s, now) for tracker in eligible)

    def _others_silent(
        self, service: str, excluded: set[str], max_silent_s: float, now: float
    ) -> bool:
        """Return whether an endpoint that is not excluded has requests and is silent."""
        return any(
            tracker.silent_s(now) >= max_silent_s
            for tracker in self._view.trackers_by_service.get(service, ())
            if tracker.record.endpoint_id not in excluded
        )

    def preferred(
        self, job: Job, excluded: set[str], max_silent_s: float | None, now: float
    ) -> list[EndpointTracker]:
        """Return the eligible endpoints, those that are not silent if there are any.

        Of these the ones from which something has come lately come first, and ejected ones last.
        """
        if max_silent_s is None:
            return self._eligibility.endpoints_for(job, excluded, now)
        eligible = self._eligibility.endpoints_for(job, excluded, now, includes_ejected=True)
        for is_preferred in (
            EndpointTracker.was_heard,
            EndpointTracker.responds,
            EndpointTracker.may_respond,
        ):
            preferred = [t for t in eligible if is_preferred(t, max_silent_s, now)]
            if preferred:
                return preferred
        return self._eligibility.endpoints_for(job, excluded, now)
