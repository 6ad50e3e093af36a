"""Counts callers' requests in the budgets of the services to which they were routed.

A daemon that was stopped reads at once what came meanwhile, by routes that may have changed. What
it reads counts for a service only once the routes are known to hold: it would otherwise raise the
budget of a service to which requests are routed no more.
"""

from collections import deque
from collections.abc import Callable

from msgspec import Struct

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.placement import session_point
from comfreyhatch.domain.catalog import Route
from comfreyhatch.domain.exchange import Exchange, Job
from comfreyhatch.exchange.view import FleetView

# Time after a stop from which a daemon that is cut off counts by the routes that it knows.
LONGEST_DOUBT_S = 3.0


class _Waiting(Struct, frozen=True):
    """What a request that is not counted yet was routed by, without its body."""

    host: str
    path: str
    sticky_key: str
    service: str
    came_at: float


class RequestCounter:
    """Counts requests; those read after a stop of the process wait until the routes are known."""

    def __init__(
        self,
        view: FleetView,
        budget: Callable[[str], ExtraRequestBudget],
        went_on_at: Callable[[], float],
        window_s: float,
    ) -> None:
        """Create a counter.

        Args:
            view: Current state of the fleet.
            budget: Returns the budget of extra requests of a service.
            went_on_at: Returns when this process last went on after it was stopped, as a monotonic
                time in seconds.
            window_s: Window of the budgets, in seconds.
        """
        self._view = view
        self._budget = budget
        self._went_on_at = went_on_at
        self._window_s = window_s
        self._waiting: deque[_Waiting] = deque()

    def record(self, job: Job, came_at: float) -> None:
        """Count a request from when it came on, once its route is known to hold.

        Args:
            job: The request.
            came_at: Monotonic time in seconds.
        """
        if self._is_in_doubt(job.arrived):
            while self._waiting and self._waiting[0].came_at < job.arrived - self._window_s:
                self._waiting.popleft()
            self._waiting.append(_waiting(job, came_at))
            return
        self.count_waiting(job.arrived)
        self._budget(job.service).record_request(came_at)

    def count_waiting(self, now: float) -> None:
        """Count the requests that wait, if the routes are known now.

        One that would be routed to another service now counts for none.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._waiting or self._is_in_doubt(now):
            return
        waiting, self._waiting = self._waiting, deque()
        for found in waiting:
            if self._service_now(found) == found.service:
                self._budget(found.service).record_request(found.came_at)

    def _is_in_doubt(self, now: float) -> bool:
        """Return whether the routes may have changed while the process was stopped."""
        went_on_at = self._went_on_at()
        return self._view.operations_asked_at < went_on_at and now < went_on_at + LONGEST_DOUBT_S

    def _service_now(self, found: _Waiting) -> str:
        catalog = self._view.catalog
        route = catalog.route(found.host, found.path) if catalog else None
        return service_of(route, found.sticky_key) if route else ""


def _waiting(job: Job, came_at: float) -> _Waiting:
    exchange = job.exchange
    return _Waiting(exchange.host, exchange.path, sticky_key(exchange), job.service, came_at)


def sticky_key(exchange: Exchange) -> str:
    """Return what decides on the service of a request: its session, or its id without one."""
    return exchange.session or exchange.request_id


def service_of(route: Route, key: str) -> str:
    """Return the service for a request, by the weights of the route's services.

    Args:
        route: Its route.
        key: Its sticky key, which is hashed, so that a session stays on one service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = session_point(key, route.name) * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
