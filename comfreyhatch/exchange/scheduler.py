"""Gives requests an endpoint, or lets them wait in order until one is free."""

import asyncio
import logging
from collections.abc import Callable
from itertools import count
from random import Random

from msgspec import Struct

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.isolation import ServiceReachability
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.decisions.waiting import ServiceTime, Waiter, max_wait_s, retry_after_s
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import RolloutOrder
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.eligibility import EndpointEligibility
from comfreyhatch.exchange.view import FleetView

WAITERS_PER_SERVICE = 256
SWEEP_S = 0.1
NO_ENDPOINT_RETRY_S = 1.0

log = logging.getLogger("comfreyhatch.pool")


class SlotLease:
    """A request's place at an endpoint, from when it is given until it is released.

    Attributes:
        endpoint: The endpoint.
        started: Monotonic time at which the place was given.
    """

    __slots__ = ("_pending_s", "endpoint", "job", "started")

    def __init__(self, endpoint: EndpointTracker, job: Job, work_s: float, now: float) -> None:
        self.endpoint = endpoint
        self.job = job
        self.started = now
        self._pending_s = work_s
        endpoint.in_flight += 1
        endpoint.pending_s += work_s

    def note_answer_started(self) -> None:
        """Note that the endpoint has begun to answer."""
        self.endpoint.pending_s = max(0.0, self.endpoint.pending_s - self._pending_s)
        self._pending_s = 0.0

    def free(self) -> None:
        """Give the place back."""
        self.note_answer_started()
        self.endpoint.in_flight -= 1


class _Waiting(Struct):
    """A request that waits and the future that its lease is given to."""

    waiter: Waiter
    job: Job
    excluded: frozenset[str]
    work_s: float
    found: "asyncio.Future[SlotLease]"


class EndpointScheduler:
    """Places requests on endpoints; owns what waits and the versions of sessions."""

    def __init__(
        self,
        deployment: Deployment,
        view: FleetView,
        rng: Random,
        is_bad_version: Callable[[RolloutOrder], bool],
    ) -> None:
        """Create a pool.

        Args:
            deployment: Settings.
            view: What is believed of the fleet.
            rng: Seeded source of spreads.
            is_bad_version: Tells whether the version of an order was found bad here.
        """
        self._deployment = deployment
        self._view = view
        self._rng = rng
        self._eligibility = EndpointEligibility(deployment, view, is_bad_version)
        self._waiting_by_service: dict[str, list[_Waiting]] = {}
        self._service_time_by_service: dict[str, ServiceTime] = {}
        self._number = count()
        self._sweep: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(entries) for entries in self._waiting_by_service.values())

    async def acquire(
        self,
        job: Job,
        excluded: frozenset[str] = frozenset(),
        work_s: float = 0.0,
        resumes: bool = False,
    ) -> SlotLease:
        """Return a place for a request; release it in any case.

        Args:
            job: The request.
            excluded: Endpoints that are no use for it.
            work_s: Time that an idle endpoint needs for it.
            resumes: Whether its caller already holds part of the answer.

        Raises:
            RefusedError: If none can be had in time; says when to come back.
        """
        now = asyncio.get_running_loop().time()
        lease = self._try_acquire(job, excluded, work_s, now)
        if lease is not None:
            return lease
        return await self._wait(job, excluded, work_s, resumes, now)

    def release(self, lease: SlotLease) -> None:
        """Free a place after its request has ended there."""
        lease.free()
        now = asyncio.get_running_loop().time()
        self._service_time(lease.job.service).add(now - lease.started)
        self.serve_waiting(lease.job.service)

    def serve_waiting(self, service: str) -> None:
        """Give free endpoints to the requests that wait, in their order."""
        waiting = self._waiting_by_service.get(service)
        if not waiting:
            return
        now = asyncio.get_running_loop().time()
        waiting.sort(key=lambda entry: entry.waiter.sort_key(now))
        for entry in list(waiting):
            if entry.found.done():
                waiting.remove(entry)
                continue
            lease = self._try_acquire(entry.job, entry.excluded, entry.work_s, now)
            if lease is not None:
                waiting.remove(entry)
                entry.found.set_result(lease)
            elif now >= entry.waiter.refuse_at:
                waiting.remove(entry)
                entry.found.set_exception(self._refused(entry.job, now))

    def note_version(self, job: Job, version: str, now: float) -> None:
        """Remember the version on which a session runs."""
        self._eligibility.pin_session(job, version, now)

    def load(self, service: str, now: float) -> float:
        """Return the running and waiting requests of a service as a share of its slots."""
        states = [
            state
            for state in self._view.states_by_service.get(service, ())
            if self._eligibility.in_service(state, now) and now >= state.ejected_until
        ]
        slots = sum(state.record.slots for state in states)
        running = sum(state.running(now) for state in states)
        return (running + len(self._waiting_by_service.get(service, ()))) / slots if slots else 1.0

    def delay_s(self, service: str, now: float) -> float:
        """Return the usual wait behind other work at the endpoints of a service, in seconds."""
        delays = sorted(
            state.delay_s(now)
            for state in self._view.states_by_service.get(service, ())
            if self._eligibility.in_service(state, now)
        )
        return delays[len(delays) // 2] if delays else 0.0

    def has_candidates(self, job: Job, excluded: frozenset[str], now: float) -> bool:
        """Return whether any endpoint could become free for a request."""
        return bool(self._eligibility.endpoints_for(job, excluded, now))

    def reachability(self, now: float) -> list[ServiceReachability]:
        """Return what can be reached of each service."""
        return [self._reach(service, now) for service in self._view.states_by_service]

    def _reach(self, service: str, now: float) -> ServiceReachability:
        states = self._view.states_by_service[service]
        usable = [state for state in states if self._eligibility.in_service(state, now)]
        near = [state for state in usable if now >= state.ejected_until]
        delays = sorted(state.delay_s(now) for state in near)
        return ServiceReachability(
            unreachable=1 - len(near) / len(usable) if usable else 0.0,
            delay_s=delays[len(delays) // 2] if delays else 0.0,
            load=self.load(service, now),
        )

    async def _wait(
        self, job: Job, excluded: frozenset[str], work_s: float, resumes: bool, now: float
    ) -> SlotLease:
        waiting = self._waiting_by_service.setdefault(job.service, [])
        wait_s = max_wait_s(job, resumes, now)
        if not self.has_candidates(job, excluded, now) or len(waiting) >= WAITERS_PER_SERVICE:
            raise self._refused(job, now)
        waiter = Waiter(
            number=next(self._number),
            resumes=resumes,
            rank=job.rank,
            route_rank=job.route.rank,
            aim=job.arrived + job.route.aim_s,
            refuse_at=now + wait_s,
        )
        ahead = sum(1 for entry in waiting if entry.waiter.sort_key(now) < waiter.sort_key(now))
        if wait_s <= 0 or self._expected_wait_s(job.service, ahead, now) > wait_s:
            raise self._refused(job, now)
        loop = asyncio.get_running_loop()
        entry = _Waiting(waiter, job, excluded, work_s, loop.create_future())
        waiting.append(entry)
        self._arm()
        log.info(
            "event=queued id=%s service=%s rank=%d ahead=%d wait_s=%.2f",
            job.exchange.request_id,
            job.service,
            job.rank,
            ahead,
            wait_s,
        )
        try:
            return await entry.found
        except asyncio.CancelledError:
            self._withdraw(waiting, entry)
            raise

    def _withdraw(self, waiting: list[_Waiting], entry: _Waiting) -> None:
        if entry in waiting:
            waiting.remove(entry)
        elif entry.found.done() and not entry.found.cancelled() and not entry.found.exception():
            self.release(entry.found.result())

    def _try_acquire(
        self, job: Job, excluded: frozenset[str], work_s: float, now: float
    ) -> SlotLease | None:
        candidates = [
            state
            for state in self._eligibility.endpoints_for(job, excluded, now)
            if self._free(state, job, now)
        ]
        work_s = work_s or self._service_time(job.service).mean_s
        zone = self._deployment.zone
        state = choose_endpoint(job.exchange, candidates, zone, work_s, now)
        if state is None:
            return None
        if self._view.cold(state, now):
            state.record_cold_request(self._eligibility.cold_rate_per_s(state), now)
        log.info(
            "event=placed id=%s endpoint=%s zone=%s version=%s delay_s=%.3f running=%.0f"
            " choices=%d list_age_s=%.1f",
            job.exchange.request_id,
            state.record.endpoint_id,
            state.record.zone,
            state.record.version,
            state.delay_s(now),
            state.running(now),
            len(candidates),
            self._view.endpoints_age_s(now),
        )
        return SlotLease(state, job, work_s if job.route.models else 0.0, now)

    def _free(self, state: EndpointTracker, job: Job, now: float) -> bool:
        if state.running(now) >= state.record.slots:
            return False
        if not self._view.cold(state, now):
            return True
        return state.may_send_cold(self._eligibility.cold_rate_per_s(state), now)

    def _expected_wait_s(self, service: str, ahead: int, now: float) -> float:
        states = self._view.states_by_service.get(service, ())
        slots = sum(s.record.slots for s in states if self._eligibility.in_service(s, now))
        daemons = max(1, len(self._eligibility.known_daemons()))
        return self._service_time(service).expected_wait_s(ahead, max(1, slots // daemons))

    def _refused(self, job: Job, now: float) -> RefusedError:
        waiting = self._waiting_by_service.get(job.service, [])
        listed = any(
            self._eligibility.in_service(s, now)
            for s in self._view.states_by_service.get(job.service, ())
        )
        expected_s = self._expected_wait_s(job.service, len(waiting) + 1, now)
        after_s = retry_after_s(
            expected_s if listed else max(expected_s, NO_ENDPOINT_RETRY_S),
            job.deadline - now,
            self._rng,
        )
        if not listed:
            return RefusedError(
                f"no endpoint of {job.service} is in service",
                ResultCode.NO_ENDPOINT,
                retry_after_s=after_s,
            )
        return RefusedError(f"all endpoints of {job.service} are busy", retry_after_s=after_s)

    def _service_time(self, service: str) -> ServiceTime:
        return self._service_time_by_service.setdefault(service, ServiceTime())

    def _arm(self) -> None:
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_S, self._sweep_waiting)

    def _sweep_waiting(self) -> None:
        self._sweep = None
        for service in list(self._waiting_by_service):
            self.serve_waiting(service)
        if self.waiting:
            self._arm()
