"""Assigns requests to slots of endpoints, and queues them by priority while none is free."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from random import Random

from comfreyhatch.decisions.brittle import slots_share
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.isolation import ServiceReachability
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.decisions.waiting import Waiter, max_reserve_s, max_wait_s
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import RolloutOrder
from comfreyhatch.errors import ComfreyhatchError, RefusedError
from comfreyhatch.exchange.admission.pending import PendingRequest
from comfreyhatch.exchange.admission.policy import LeastCostPolicy
from comfreyhatch.exchange.admission.queue import QueueAdmission, QueuedRequest, admitted_by_cost
from comfreyhatch.exchange.eligibility import EndpointEligibility
from comfreyhatch.exchange.endpoint_rates import EndpointRates
from comfreyhatch.exchange.endpoint_silence import EndpointSilence
from comfreyhatch.exchange.expected_waits import ExpectedWaits
from comfreyhatch.exchange.load.load_view import LoadView
from comfreyhatch.exchange.session_pins import SessionPins
from comfreyhatch.exchange.slot_lease import SlotLease
from comfreyhatch.exchange.view import FleetView

MAX_QUEUED_PER_SERVICE = 256
# Interval at which non-empty queues are served, also to refuse requests whose wait is over.
SWEEP_INTERVAL_S = 0.1
# The same for queues with requests that are admitted by cost: slots that other daemons give back
# are only noticed then, and short requests hold one for less than the other interval. While no slot
# is free, only late requests are refused then, as a look at each request costs 50 us.
COST_SWEEP_INTERVAL_S = 0.02

log = logging.getLogger("comfreyhatch.pool")


class EndpointScheduler:
    """Assigns requests to endpoints; owns the queue of each service.

    Attributes:
        silence: Which of the endpoints that may serve a request are silent.
        load_view: This daemon's view of the endpoints' load.
        admission: Admits, orders and refuses queued requests.
    """

    def __init__(
        self,
        deployment: Deployment,
        view: FleetView,
        rng: Random,
        is_bad_version: Callable[[RolloutOrder], bool],
        pins: SessionPins,
        rates: EndpointRates,
        refusal: Callable[[Job, float], RefusedError | None],
        load_view: LoadView,
    ) -> None:
        """Create a scheduler with empty queues.

        Args:
            deployment: Settings of this daemon.
            view: Current orders, endpoints and roll-outs.
            rng: Seeded source of the jitter of retry times.
            is_bad_version: Returns whether this daemon found the version of an order to be bad.
            pins: Versions of the sessions.
            rates: Bounds on the rates of endpoints.
            refusal: Returns the error for a request that has to be refused while it waits, called
                with the present time; None if it may wait on.
            load_view: Samples the load of endpoints.
        """
        self.load_view = load_view
        self._deployment = deployment
        self._view = view
        self._rates = rates
        self._refusal_while_queued = refusal
        self._eligibility = EndpointEligibility(deployment, view, is_bad_version, pins)
        self.silence = EndpointSilence(view, self._eligibility)
        self._queue_by_service: defaultdict[str, list[QueuedRequest]] = defaultdict(list)
        self._waits = ExpectedWaits(view, self._eligibility, rates, rng)
        policy = LeastCostPolicy(
            self._waits.in_service,
            lambda now: len(rates.daemons(now)),
            view.endpoints_age_s,
            MAX_QUEUED_PER_SERVICE,
            rng,
        )
        self.admission = QueueAdmission(policy, self._waits)
        self._next_number = count()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._served_at = 0.0

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(len(entries) for entries in self._queue_by_service.values())

    @property
    def queued_work_s(self) -> float:
        """Expected work of the queued requests that are admitted by cost, in seconds."""
        queues = self._queue_by_service.values()
        return sum(pending.work.work_s for queue in queues for pending in admitted_by_cost(queue))

    async def acquire(
        self,
        job: Job,
        excluded: set[str],
        work_s: float = 0.0,
        resumes: bool = False,
        max_silent_s: float | None = None,
    ) -> SlotLease:
        """Return the lease of a slot, queueing the request while none is free.

        Each lease has to be ended with `release`.

        Args:
            job: The request.
            excluded: Ids of endpoints that it must not get. The endpoint of the lease is added at
                once, for other attempts of the request that wait with the same set.
            work_s: Time that an idle endpoint needs for it, in seconds; 0 for the mean service
                time.
            resumes: Whether an earlier answer of it was begun or given up.
            max_silent_s: Silence from which endpoints are avoided while there are others, in
                seconds; None for no bound.

        Raises:
            RefusedError: If no slot is expected to be free in time; has a retry-after time.
        """
        now = asyncio.get_running_loop().time()
        eligible = self.silence.preferred(job, excluded, max_silent_s, now)
        sampled = await self.load_view.sample(job, eligible, self._work_s(job, work_s), now)
        # The load may have been asked for meanwhile, and endpoints may have left.
        now = asyncio.get_running_loop().time()
        eligible = self.silence.preferred(job, excluded, max_silent_s, now)
        compared = eligible if sampled is None else [t for t in sampled if t in eligible]
        pending = self.admission.arrive(job, resumes, work_s, now)
        if pending is not None:
            # What is still free then, no request that waits can use.
            self.serve_queue(job.service)
        future = asyncio.get_running_loop().create_future()
        waiter = self._waiter(job, resumes, pending, now)
        entry = QueuedRequest(waiter, job, excluded, max_silent_s, work_s, future, pending=pending)
        if self.admission.is_held_back(pending, self._queue_by_service[job.service], now):
            raise self._refusal(entry, now)
        lease = self._start(entry, compared, now)
        if lease is None and compared is not eligible:
            lease = self._start(entry, eligible, now)
        if lease is not None:
            excluded.add(lease.endpoint.record.endpoint_id)
            return lease
        return await self._enqueue(entry, eligible, now)

    def release(self, lease: SlotLease) -> None:
        """Release a slot, and give it to the next queued request."""
        lease.free()
        now = asyncio.get_running_loop().time()
        if lease.is_pinned:
            self._eligibility.end_session_use(lease.job, now)
        self.admission.policy.note_ended(lease, now)
        self._waits.service_time(lease.job.service).add(now - lease.started)
        self.serve_queue(lease.job.service)

    def serve_queue(self, service: str) -> None:
        """Give free slots to queued requests in order, and refuse those whose wait is over."""
        queue = self._queue_by_service.get(service)
        now = asyncio.get_running_loop().time()
        if not queue:
            self.admission.policy.clear(service, now)
            return
        queue[:] = self.admission.in_order(service, queue, now)
        left: list[QueuedRequest] = []
        for entry in queue:
            if not entry.lease.done() and not self._serve(entry, len(left), now):
                left.append(entry)
        queue[:] = left
        self.admission.refuse_late(service, queue, now)

    def _serve(self, entry: QueuedRequest, ahead: int, now: float) -> bool:
        """Give a slot to a queued request, or refuse it; return False if it has to wait on."""
        refusal: ComfreyhatchError | None = self._refusal_while_queued(entry.job, now)
        if refusal is None:
            eligible = self.silence.preferred(entry.job, entry.excluded, entry.max_silent_s, now)
            lease = self._start(entry, eligible, now)
            if lease is not None:
                entry.excluded.add(lease.endpoint.record.endpoint_id)
                entry.lease.set_result(lease)
                return True
            if now >= entry.waiter.refuse_at:
                refusal = self._refusal(entry, now)
            else:
                refusal = self._seek_permit(entry, eligible, ahead, now)
        if refusal is None:
            return False
        entry.lease.set_exception(refusal)
        return True

    def in_service(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether any request may be sent to an endpoint."""
        return self._eligibility.in_service(tracker, now)

    def pin_session(self, lease: SlotLease, now: float) -> None:
        """Pin the session of a request to its endpoint's version, until the slot is released."""
        lease.is_pinned = True
        self._eligibility.pin_session(lease.job, lease.endpoint.record.version, now)

    def load(self, service: str, now: float) -> float:
        """Return the running and queued requests of a service as a share of its slots.

        A service without slots, or whose endpoints' rates are used up, has load 1.
        """
        if self._rates.overloaded(service, now):
            return 1.0
        sampled = self.load_view.load(service, now)
        if sampled is not None:
            return sampled
        trackers = [
            tracker
            for tracker in self._view.trackers_by_service.get(service, ())
            if self._eligibility.in_service(tracker, now) and now >= tracker.ejected_until
        ]
        slots = sum(tracker.record.slots for tracker in trackers)
        running = sum(tracker.running(now) for tracker in trackers)
        return (running + len(self._queue_by_service.get(service, ()))) / slots if slots else 1.0

    def delay_s(self, service: str, now: float) -> float:
        """Return the median queueing delay at the endpoints of a service, in seconds.

        For a service whose endpoints are sampled, the delay expected by their mean load.
        """
        sampled = self.load_view.delay_s(service, now)
        if sampled is not None:
            return sampled
        delays = sorted(
            tracker.delay_s(now)
            for tracker in self._view.trackers_by_service.get(service, ())
            if self._eligibility.in_service(tracker, now)
        )
        return delays[len(delays) // 2] if delays else 0.0

    def has_candidates(self, job: Job, excluded: set[str], now: float) -> bool:
        """Return whether any endpoint may serve a request once it has a free slot."""
        return bool(self._eligibility.endpoints_for(job, excluded, now))

    def reachability(self, now: float) -> list[ServiceReachability]:
        """Return the reachable part and the load of each service."""
        return [self._service_reach(service, now) for service in self._view.trackers_by_service]

    def _service_reach(self, service: str, now: float) -> ServiceReachability:
        trackers = self._view.trackers_by_service[service]
        usable = [tracker for tracker in trackers if self._eligibility.in_service(tracker, now)]
        reachable = [t for t in usable if now >= t.ejected_until and t.lost_at is None]
        delays = sorted(tracker.delay_s(now) for tracker in reachable)
        return ServiceReachability(
            unreachable=1 - len(reachable) / len(usable) if usable else 0.0,
            delay_s=delays[len(delays) // 2] if delays else 0.0,
            load=self.load(service, now),
        )

    def _waiter(
        self, job: Job, resumes: bool, pending: PendingRequest | None, now: float
    ) -> Waiter:
        refuse_at = now + max_wait_s(job, resumes, now)
        return Waiter(
            number=next(self._next_number),
            resumes=resumes,
            rank=job.rank,
            route_rank=job.route.rank,
            due_at=job.arrived + job.route.aim_s,
            refuse_at=pending.work.start_by if pending is not None else refuse_at,
        )

    async def _enqueue(
        self, entry: QueuedRequest, eligible: list[EndpointTracker], now: float
    ) -> SlotLease:
        """Return the lease of a request that has to wait for it.

        Args:
            entry: The request.
            eligible: Endpoints that it may get.
            now: Monotonic time in seconds.
        """
        job = entry.job
        waiter = entry.waiter
        queue = self._queue_by_service[job.service]
        wait_s = waiter.refuse_at - now
        rests = not eligible and self._waits.rest_s(job.service, now) <= wait_s
        if not (eligible or rests):
            raise self._refusal(entry, now)
        if entry.pending is not None:
            ahead = self.admission.admit(entry, entry.pending, queue, now)
        else:
            if len(queue) >= MAX_QUEUED_PER_SERVICE:
                raise self._refusal(entry, now)
            ahead = sum(1 for other in queue if other.waiter.sort_key(now) < waiter.sort_key(now))
            if wait_s <= 0 or self._waits.wait_s(job.service, ahead, now) > wait_s:
                raise self._refusal(entry, now)
        refusal = self._seek_permit(entry, eligible, ahead, now)
        if refusal is not None:
            raise refusal
        queue.append(entry)
        self._schedule_sweep()
        if entry.pending is None:
            log.info(
                "event=queued id=%s service=%s rank=%d ahead=%d wait_s=%.2f",
                job.exchange.request_id,
                job.service,
                job.rank,
                ahead,
                wait_s,
            )
        try:
            return await entry.lease
        except asyncio.CancelledError:
            self._withdraw(queue, entry)
            raise

    def _seek_permit(
        self, entry: QueuedRequest, eligible: list[EndpointTracker], ahead: int, now: float
    ) -> RefusedError | None:
        """Ask for a permit for a request that waits for endpoints with bounded rates.

        Args:
            entry: The request.
            eligible: Endpoints that it may get.
            ahead: Number of requests that are served before.
            now: Monotonic time in seconds.

        Returns:
            The error to refuse it with at once, if all its endpoints have bounded rates, and no
            sender has a permit in time or others were denied one too.
        """
        bounded = self._rates.bounded(eligible, now)
        if not bounded or entry.ask is not None or ahead < self._rates.permits(bounded, now):
            return None
        free = [tracker for tracker in bounded if tracker.running(now) < tracker.record.slots]
        within_s = max_reserve_s(entry.waiter, now)
        if self._rates.is_open(free, within_s, now):
            entry.ask = asyncio.create_task(self._rates.obtain(free, within_s))
            entry.ask.add_done_callback(lambda task: self._end_ask(entry, task))
            return None
        if not free or len(bounded) < len(eligible):
            return None
        in_time = now + self._rates.next_s(bounded, now) < entry.waiter.refuse_at
        if in_time and not self._rates.overloaded(entry.job.service, now):
            return None
        return self._refusal(entry, now)

    def _end_ask(self, entry: QueuedRequest, task: "asyncio.Task[float | None]") -> None:
        """Use a permit that was obtained, as soon as it may be used."""
        entry.ask = None
        if task.cancelled():
            return
        delay_s = task.result()
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.serve_queue, entry.job.service)
        self.serve_queue(entry.job.service)

    def _withdraw(self, queue: list[QueuedRequest], entry: QueuedRequest) -> None:
        """Remove a cancelled request from the queue, or release the slot it was given meanwhile."""
        if entry in queue:
            queue.remove(entry)
        elif entry.lease.done() and not entry.lease.cancelled() and not entry.lease.exception():
            self.release(entry.lease.result())

    def _start(
        self, entry: QueuedRequest, eligible: list[EndpointTracker], now: float
    ) -> SlotLease | None:
        """Return the lease of a free slot for a request, if there is one that it may take."""
        pending, policy = entry.pending, self.admission.policy
        if pending is not None and not policy.may_take_slot(pending, eligible, now):
            return None
        lease = self._try_acquire(entry.job, eligible, entry.work_s, now)
        if lease is not None and pending is not None:
            policy.note_started(pending, lease, now)
        return lease

    def _try_acquire(
        self, job: Job, eligible: list[EndpointTracker], work_s: float, now: float
    ) -> SlotLease | None:
        candidates = [tracker for tracker in eligible if self._has_free_slot(tracker, now)]
        if job.route.models:
            # What waits at an engine is served in its order, not by what it costs callers.
            candidates = [tracker for tracker in candidates if not tracker.has_waiting(now)]
        work_s = self._work_s(job, work_s)
        zone = self._deployment.zone
        delay_s = self._expected_delay(job, work_s, now)
        tracker = choose_endpoint(job.exchange, candidates, zone, work_s, now, delay_s)
        if tracker is None:
            return None
        self._rates.record(tracker, now)
        log.info(
            "event=placed id=%s endpoint=%s zone=%s version=%s delay_s=%.3f running=%.0f"
            " choices=%d list_age_s=%.1f",
            job.exchange.request_id,
            tracker.record.endpoint_id,
            tracker.record.zone,
            tracker.record.version,
            tracker.delay_s(now),
            tracker.running(now),
            len(candidates),
            self._view.endpoints_age_s(now),
        )
        return SlotLease(tracker, job, work_s if job.route.models else 0.0, now)

    def _work_s(self, job: Job, work_s: float) -> float:
        """Return the work of a request, in seconds; by the mean of its service if it is 0."""
        return work_s or self._waits.service_time(job.service).mean_s

    def _expected_delay(
        self, job: Job, work_s: float, now: float
    ) -> Callable[[EndpointTracker], float] | None:
        """Return what tells the delay at an endpoint by its load; None to go by earlier answers."""
        if not self.load_view.covers(job.service):
            return None
        return lambda endpoint: self.load_view.expected_delay_s(job, endpoint, work_s, now)

    def _has_free_slot(self, tracker: EndpointTracker, now: float) -> bool:
        if tracker.brittle_per_s is not None:
            share = slots_share(tracker.record.slots, len(self._rates.daemons(now)))
            if tracker.in_flight >= share:
                return False
        return tracker.running(now) < tracker.record.slots and self._rates.may_send(tracker, now)

    def _refusal(self, entry: QueuedRequest, now: float) -> RefusedError:
        return self.admission.refusal(entry, self._queue_by_service[entry.job.service], now)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            by_cost = any(admitted_by_cost(queue) for queue in self._queue_by_service.values())
            interval_s = COST_SWEEP_INTERVAL_S if by_cost else SWEEP_INTERVAL_S
            self._sweep_timer = loop.call_later(interval_s, self._sweep_queues)

    def _sweep_queues(self) -> None:
        self._sweep_timer = None
        now = asyncio.get_running_loop().time()
        # Timers may fire a little early.
        is_due = now >= self._served_at + SWEEP_INTERVAL_S - COST_SWEEP_INTERVAL_S / 2
        if is_due:
            self._served_at = now
        for service, queue in list(self._queue_by_service.items()):
            if is_due or self._has_any_free_slot(service, now):
                self.serve_queue(service)
            else:
                self.admission.refuse_late(service, queue, now)
        if self.queued:
            self._schedule_sweep()

    def _has_any_free_slot(self, service: str, now: float) -> bool:
        trackers = self._view.trackers_by_service.get(service, ())
        return any(self._has_free_slot(tracker, now) for tracker in trackers)
