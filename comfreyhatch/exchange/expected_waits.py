"""How long requests are expected to wait for a slot, and when refused callers are to come back."""

from math import inf
from random import Random

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.waiting import ReturnTimes, ServiceTime, retry_after_s
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.eligibility import EndpointEligibility
from comfreyhatch.exchange.endpoint_rates import EndpointRates
from comfreyhatch.exchange.view import FleetView

# While a service has no endpoint, retry-after times are computed from at least this wait.
NO_ENDPOINT_RETRY_S = 1.0


class ExpectedWaits:
    """Service times, and the times that refused callers were told, by service."""

    def __init__(
        self,
        view: FleetView,
        eligibility: EndpointEligibility,
        rates: EndpointRates,
        rng: Random,
    ) -> None:
        """Create it without any service time.

        Args:
            view: Current state of the fleet.
            eligibility: Tells which endpoints are in service.
            rates: Bounds on the rates of endpoints.
            rng: Seeded source of the jitter of retry times.
        """
        self._view = view
        self._eligibility = eligibility
        self._rates = rates
        self._rng = rng
        self._service_time_by_service: dict[str, ServiceTime] = {}
        self._returns_by_service: dict[str, ReturnTimes] = {}

    def service_time(self, service: str) -> ServiceTime:
        """Return the mean time that requests of a service hold a slot."""
        return self._service_time_by_service.setdefault(service, ServiceTime())

    def wait_s(self, service: str, ahead: int, now: float) -> float:
        """Return the expected wait for a slot, in seconds, with some requests served before."""
        slots = sum(tracker.record.slots for tracker in self.in_service(service, now))
        return self.service_time(service).expected_wait_s(ahead, self._own_slots(slots, now))

    def rest_s(self, service: str, now: float) -> float:
        """Return the time until a resting endpoint takes requests again, in seconds; inf if none.

        Only of use while no endpoint of the service is in service.
        """
        trackers = self._view.trackers_by_service.get(service, ())
        return min(
            (
                tracker.resting_until - now
                for tracker in trackers
                if now < tracker.resting_until and self._eligibility.would_serve(tracker, now)
            ),
            default=inf,
        )

    def takes_requests(self, service: str, now: float) -> bool:
        """Return whether any endpoint is in service, not all of them with bounded rates."""
        in_service = self.in_service(service, now)
        return len(self._rates.bounded(in_service, now)) < len(in_service)

    def refusal(self, job: Job, queued: int, now: float) -> RefusedError:
        """Return the error for a request that gets no slot in time, with a time to come back.

        Args:
            job: The request.
            queued: Number of requests of its service that wait.
            now: Monotonic time in seconds.
        """
        in_service = self.in_service(job.service, now)
        expected_s = self.wait_s(job.service, queued + 1, now)
        if not in_service:
            return self._out_of_service(job, expected_s, now)
        if len(self._rates.bounded(in_service, now)) == len(in_service):
            expected_s = max(expected_s, self._rates_return_s(job.service, in_service, now))
        after_s = retry_after_s(expected_s, job.deadline - now, self._rng)
        return RefusedError(f"all endpoints of {job.service} are busy", retry_after_s=after_s)

    def _out_of_service(self, job: Job, expected_s: float, now: float) -> RefusedError:
        if self.rest_s(job.service, now) < inf:
            return RefusedError(
                f"all endpoints of {job.service} want no requests for a time",
                retry_after_s=self._rested_return_s(job.service, now),
            )
        expected_s = max(expected_s, NO_ENDPOINT_RETRY_S)
        return RefusedError(
            f"no endpoint of {job.service} is in service",
            ResultCode.NO_ENDPOINT,
            retry_after_s=retry_after_s(expected_s, job.deadline - now, self._rng),
        )

    def _rates_return_s(self, service: str, trackers: list[EndpointTracker], now: float) -> float:
        """Return when to come back for endpoints whose rates are used up, in seconds."""
        first_s = self._rates.next_s(trackers, now)
        interval_s = self._rates.interval_s(service, trackers, now)
        return self._returns(service).book(first_s, interval_s, now)

    def _rested_return_s(self, service: str, now: float) -> float:
        """Return when to come back for endpoints that rest, in seconds; not all at once."""
        slots = sum(t.record.slots for t in self._view.trackers_by_service.get(service, ()))
        interval_s = self.service_time(service).mean_s / self._own_slots(slots, now)
        return self.rest_s(service, now) + self._returns(service).book(0.0, interval_s, now)

    def in_service(self, service: str, now: float) -> list[EndpointTracker]:
        """Return the endpoints of a service that are in service."""
        trackers = self._view.trackers_by_service.get(service, ())
        return [tracker for tracker in trackers if self._eligibility.in_service(tracker, now)]

    def _own_slots(self, slots: int, now: float) -> int:
        """Return this daemon's even share of some slots; at least one."""
        return max(1, slots // len(self._rates.daemons(now)))

    def _returns(self, service: str) -> ReturnTimes:
        return self._returns_by_service.setdefault(service, ReturnTimes())
