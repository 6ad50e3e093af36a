"""This daemon's view of the endpoints' load, sampled as requests are placed."""

import asyncio
from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.load_sampling import (
    MIN_SAVED_S,
    QueueDelay,
    draw_endpoints,
    is_fresh,
    mean_running,
    missed_probe,
    service_load,
)
from comfreyhatch.decisions.placement import preferred_by_prefix, shared_fraction
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.exchange.load.load_probes import LoadProbes
from comfreyhatch.exchange.view import FleetView

# Expected delay, as a share of the target time, up to which an endpoint is not compared to others.
IDLE_DELAY_AIM_SHARE = 0.025
# Draws for a request while none of the drawn endpoints answers.
MAX_DRAWS = 2
# Time for which a service is not sampled after all endpoints that were drawn for a request missed
# their probes: where no health path answers, each request would wait for all its probes, 0.1 to
# 0.4 s.
UNANSWERED_PAUSE_S = 2.0


class LoadView:
    """Samples the load of endpoints, and estimates that of services.

    It is used for services of which an endpoint reports its pace: these answer their health path
    at once. Where endpoints crash by what they hold, it is used for all model engines.
    """

    def __init__(
        self, deployment: Deployment, view: FleetView, probes: LoadProbes, rng: Random
    ) -> None:
        """Create it without any sample.

        Args:
            deployment: Settings of this daemon.
            view: Current state of the fleet.
            probes: Asks endpoints for their load.
            rng: Seeded source of random draws.
        """
        self._deployment = deployment
        self._view = view
        self._probes = probes
        self._rng = rng
        self._delay_by_service: dict[str, QueueDelay] = {}
        self._paused_until_by_service: dict[str, float] = {}

    def covers(self, service: str) -> bool:
        """Return whether the endpoints of a service are sampled."""
        if self._deployment.endpoints_crash_out_of_memory and self._is_engine(service):
            return True
        return any(t.reports_pace for t in self._view.trackers_by_service.get(service, ()))

    def _is_engine(self, service: str) -> bool:
        catalog = self._view.catalog
        found = catalog.service_by_name.get(service) if catalog else None
        return found is not None and found.engine is not None

    async def sample(
        self, job: Job, eligible: list[EndpointTracker], work_s: float, now: float
    ) -> list[EndpointTracker] | None:
        """Return the endpoints among which to place a request: those whose load is known now.

        Endpoints in cold start are not asked, as a probe may count as one of the few requests that
        they bear. Without an answer, for `UNANSWERED_PAUSE_S` after all drawn endpoints missed
        their probes, and for services that are not sampled, there are none: returns None.

        Args:
            job: The request.
            eligible: Endpoints that may serve it.
            work_s: Engine time of the request, in seconds.
            now: Monotonic time in seconds.
        """
        warm = [t for t in eligible if not t.is_cold(now)]
        paused_until = self._paused_until_by_service.get(job.service, now)
        if len(warm) < 2 or now < paused_until or not self.covers(job.service):
            return None
        saved_s = work_s * shared_fraction(job.exchange)
        asked: list[EndpointTracker] = []
        for _ in range(MAX_DRAWS):
            preferred = preferred_by_prefix(job.exchange, warm) if saved_s > MIN_SAVED_S else None
            drawn = draw_endpoints(warm, preferred, work_s, self._deployment.zone, self._rng, now)
            known = await self._ask(job, drawn, work_s)
            if known:
                return known
            asked += drawn
            warm = [t for t in warm if t not in drawn]
            if not warm:
                break
        now = asyncio.get_running_loop().time()
        # Those that were not asked, as the budget was used up, have missed nothing.
        if all(missed_probe(t, now) for t in asked):
            self._paused_until_by_service[job.service] = now + UNANSWERED_PAUSE_S
        return None

    async def _ask(
        self, job: Job, drawn: list[EndpointTracker], work_s: float
    ) -> list[EndpointTracker]:
        """Return those of the drawn endpoints whose load is known; the first alone if it is idle.

        While there is room, one probe a request is enough.
        """
        loop = asyncio.get_running_loop()
        for part in (drawn[:1], drawn[1:]):
            now = loop.time()
            await self._probes.ask(t for t in part if not is_fresh(t, now))
            now = loop.time()
            known = [t for t in drawn if is_fresh(t, now)]
            if known and self.expected_delay_s(job, known[0], work_s, now) <= (
                IDLE_DELAY_AIM_SHARE * job.route.aim_s
            ):
                return known
        return known

    def note_delay(self, service: str, running: float, delay_s: float) -> None:
        """Learn from an answer how long it was delayed at an endpoint with running requests."""
        self._delay(service).add(running, delay_s)

    def expected_delay_s(
        self, job: Job, endpoint: EndpointTracker, work_s: float, now: float
    ) -> float:
        """Return the expected delay of a request at an endpoint, in seconds.

        A plain service delays only what exceeds its slots.
        """
        running = endpoint.running(now)
        if not job.route.models:
            slots = endpoint.record.slots
            return work_s * max(0.0, running + 1 - slots) / max(1, slots)
        expected_s = self._delay(job.service).expected_s(running)
        return max(endpoint.pending_s, expected_s)

    def load(self, service: str, now: float) -> float | None:
        """Return the share of a service's slots in use; None if it is not sampled."""
        if not self.covers(service):
            return None
        return service_load(self._view.trackers_by_service.get(service, ()), now)

    def delay_s(self, service: str, now: float) -> float | None:
        """Return the expected delay at an endpoint of a service; None if it is not sampled."""
        if not self.covers(service):
            return None
        running = mean_running(self._view.trackers_by_service.get(service, ()), now)
        return self._delay(service).expected_s(running)

    def _delay(self, service: str) -> QueueDelay:
        return self._delay_by_service.setdefault(service, QueueDelay())
