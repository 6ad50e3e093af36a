"""Decides by service which requests wait, in which order, and which are refused for others."""

import logging
from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.hold_times import HoldTimes
from comfreyhatch.decisions.least_cost import (
    AdmissionDecision,
    WaitingWork,
    decide_admission,
    late_works,
    refusal_cost,
    reserved_slots,
    serving_order,
    start_by,
)
from comfreyhatch.decisions.return_bookings import Return
from comfreyhatch.decisions.waiting import max_wait_s
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.admission.pending import PendingRequest, workspace_of
from comfreyhatch.exchange.admission.returns import ServiceReturns
from comfreyhatch.exchange.admission.shares import ServiceShares
from comfreyhatch.exchange.slot_lease import SlotLease

# Time for which a service counts as short after a request had to wait or was refused, and for which
# a rank counts as asking after one of its requests.
SHORT_S = 1.0
ASKING_S = 2.0
# Bound on the ranks that are remembered; less urgent ones count as this one.
MAX_RANK = 15
# Lower bound on the slots of a forecast, for services whose endpoints have gone.
MIN_SLOTS = 0.01

log = logging.getLogger("comfreyhatch.admission")


class _ServiceState:
    """State of one service."""

    __slots__ = ("asked_at_by_rank", "hold_times_by_route", "returns", "shares", "short_until")

    def __init__(self, rng: Random) -> None:
        self.shares = ServiceShares()
        self.returns = ServiceReturns(rng)
        self.asked_at_by_rank: dict[int, float] = {}
        self.short_until = 0.0
        self.hold_times_by_route: dict[str, HoldTimes] = {}


class LeastCostPolicy:
    """Admits, orders and refuses waiting requests so that it costs callers least.

    Attributes:
        displaced: Number of waiting requests that were refused for others.
    """

    def __init__(
        self,
        in_service: Callable[[str, float], list[EndpointTracker]],
        daemons: Callable[[float], int],
        list_age_s: Callable[[float], float],
        capacity: int,
        rng: Random,
    ) -> None:
        """Create it without any requests.

        Args:
            in_service: Returns the endpoints of a service that are in service.
            daemons: Returns the number of daemons that share them.
            list_age_s: Returns the age of the list of endpoints, in seconds.
            capacity: Largest number of waiting requests of a service.
            rng: Seeded source of the jitter of told times.
        """
        self._rng = rng
        self._in_service = in_service
        self._daemons = daemons
        self._list_age_s = list_age_s
        self._capacity = capacity
        self._state_by_service: dict[str, _ServiceState] = {}
        self._next_number = count()
        self.displaced = 0

    def applies(self, service: str, now: float) -> bool:
        """Return whether the requests of a service are admitted by cost.

        That is so while any of its endpoints in service reports a pace or answers load probes.
        """
        return any(
            tracker.reports_pace or tracker.answers_probes
            for tracker in self._in_service(service, now)
        )

    def has_endpoints(self, service: str, now: float) -> bool:
        """Return whether any endpoint of a service is in service."""
        return bool(self._in_service(service, now))

    def slots(self, service: str, now: float) -> float:
        """Return the slots that serve the requests of this daemon; may be below 1.

        That is its even part of all slots, or the slots that its requests hold now if they are
        more: a daemon knows first that one of its own slots is free.
        """
        trackers = self._in_service(service, now)
        even = sum(tracker.record.slots for tracker in trackers) / max(1, self._daemons(now))
        held = sum(tracker.in_flight for tracker in trackers)
        return max(MIN_SLOTS, even, held)

    @property
    def over_share(self) -> int:
        """Number of workspaces that had more than their fair share, while others asked for more."""
        return sum(len(state.shares.over_share) for state in self._state_by_service.values())

    def arrive(self, job: Job, resumes: bool, first_s: float, now: float) -> PendingRequest:
        """Return a request that asks for a slot.

        One that its caller repeats before the told time counts against its workspace.

        Args:
            job: The request.
            resumes: Whether an earlier answer of it was begun or given up.
            first_s: Work until its answer or, of a stream, its first event, in seconds; 0 if
                unknown.
            now: Monotonic time in seconds.
        """
        state = self._state(job.service)
        state.asked_at_by_rank[min(job.rank, MAX_RANK)] = now
        work_s = self._hold_times(job).expected_s(first_s, job.exchange.output_tokens)
        returned, booked_at = (Return.NEW, None) if resumes else state.returns.take(job, now)
        if resumes:
            latest = now + max_wait_s(job, resumes, now)
        else:
            until_answer_s = first_s or work_s
            latest = start_by(job.arrived, job.route.aim_s, job.deadline, until_answer_s, work_s)
        pending = PendingRequest(
            job,
            first_s,
            WaitingWork(
                next(self._next_number),
                job.rank,
                job.route.rank,
                work_s,
                latest,
                resumes,
                booked_at,
            ),
            state.shares.groups(job, work_s),
            returned,
        )
        state.shares.note_arrived(pending, now)
        return pending

    def is_held_back(
        self, pending: PendingRequest, waiting: Sequence[PendingRequest], now: float
    ) -> bool:
        """Return whether a request is refused, as its caller came back too early.

        It may have what nobody else waits for.
        """
        returns = self._state(pending.job.service).returns
        return pending.early and (bool(waiting) or returns.is_awaited(pending.job, now))

    def may_take_slot(
        self, pending: PendingRequest, eligible: Sequence[EndpointTracker], now: float
    ) -> bool:
        """Return whether a request may take a free slot, rather than leave it to others.

        Args:
            pending: The request.
            eligible: Endpoints that it may get.
            now: Monotonic time in seconds.
        """
        state = self._state(pending.job.service)
        if now >= state.short_until:
            return True
        state.shares.assign_lanes((pending,), now)
        asking = [rank for rank, at in state.asked_at_by_rank.items() if now - at < ASKING_S]
        slots = sum(tracker.record.slots for tracker in eligible)
        free = sum(max(0.0, tracker.record.slots - tracker.running(now)) for tracker in eligible)
        return free > reserved_slots(pending.work, asking, slots)

    def order(
        self, service: str, waiting: Sequence[PendingRequest], now: float
    ) -> list[PendingRequest]:
        """Return the waiting requests of a service in the order in which they are served."""
        self._state(service).shares.assign_lanes(waiting, now)
        by_number = {pending.work.number: pending for pending in waiting}
        works = serving_order((p.work for p in waiting), self.slots(service, now), now)
        return [by_number[work.number] for work in works]

    def late(self, service: str, ordered: Sequence[PendingRequest], now: float) -> set[int]:
        """Return the numbers of the waiting requests that are known to be late.

        Args:
            service: The service.
            ordered: Its waiting requests in the order in which they are served.
            now: Monotonic time in seconds.
        """
        works = [pending.work for pending in ordered]
        return {work.number for work in late_works(works, self.slots(service, now), now)}

    def decide(
        self, newcomer: PendingRequest, waiting: Sequence[PendingRequest], now: float
    ) -> AdmissionDecision:
        """Decide whether a new request may wait, and which waiting ones are refused for it."""
        service = newcomer.job.service
        self._state(service).shares.assign_lanes([*waiting, newcomer], now)
        works = [pending.work for pending in waiting]
        slots = self.slots(service, now)
        return decide_admission(newcomer.work, works, slots, self._capacity, now)

    def clear(self, service: str, now: float) -> None:
        """Divide the capacity of a service again, as no request waits for it."""
        if service in self._state_by_service:
            self._state_by_service[service].shares.assign_lanes((), now)

    def note_queued(
        self, pending: PendingRequest, ahead: int, decision: AdmissionDecision, now: float
    ) -> None:
        """Log that a request waits.

        Args:
            pending: The request.
            ahead: Number of requests that are served before.
            decision: Why it may wait.
            now: Monotonic time in seconds.
        """
        self._state(pending.job.service).short_until = now + SHORT_S
        slots = self.slots(pending.job.service, now)
        outcome = f"ahead={ahead} wait_s={pending.work.start_by - now:.2f}"
        outcome += f" displaces={len(decision.displaced)}"
        self._log("queued", pending, decision.ahead_s, slots, outcome, now)

    def displace(
        self,
        pending: PendingRequest,
        newcomer: PendingRequest,
        waiting: Sequence[PendingRequest],
        now: float,
    ) -> RefusedError:
        """Return the error of a waiting request that is refused for a new one."""
        self.displaced += 1
        by = newcomer.job.exchange.request_id
        return self._refuse("displaced", pending, waiting, f"by={by} ", now)

    def refuse(
        self, pending: PendingRequest, waiting: Sequence[PendingRequest], now: float
    ) -> RefusedError:
        """Return the error of a request that can't be in time.

        Args:
            pending: The request.
            waiting: Requests that wait, without this one.
            now: Monotonic time in seconds.
        """
        return self._refuse("not_admitted", pending, waiting, "", now)

    def note_refused(self, pending: PendingRequest, now: float) -> None:
        """Count a request that was refused for another reason than the work that waits."""
        self._state(pending.job.service).shares.note_refused(pending, now)

    def note_started(self, pending: PendingRequest, lease: SlotLease, now: float) -> None:
        """Count a request that got a slot."""
        self._state(pending.job.service).shares.note_started(pending, now)
        lease.first_s = pending.first_s
        lease.charged_s = pending.work.work_s

    def note_ended(self, lease: SlotLease, now: float) -> None:
        """Learn from the time for which a request held its slot."""
        if not lease.charged_s:
            return
        took_s = now - lease.started
        self._state(lease.job.service).shares.charge(lease.job, took_s - lease.charged_s, now)
        tokens = lease.job.exchange.output_tokens
        self._hold_times(lease.job).add(lease.first_s, tokens, took_s, now)

    def _refuse(
        self,
        event: str,
        pending: PendingRequest,
        waiting: Sequence[PendingRequest],
        cause: str,
        now: float,
    ) -> RefusedError:
        service = pending.job.service
        state = self._state(service)
        state.short_until = now + SHORT_S
        state.shares.note_refused(pending, now)
        waiting_s = sum(other.work.work_s for other in waiting)
        slots = self.slots(service, now)
        error = state.returns.refuse(pending, waiting_s, slots, now)
        outcome = f"{cause}retry_after_s={error.retry_after_s:.2f}"
        self._log(event, pending, waiting_s, slots, outcome, now)
        return error

    def _log(
        self,
        event: str,
        pending: PendingRequest,
        ahead_s: float,
        slots: float,
        outcome: str,
        now: float,
    ) -> None:
        """Log a decision with its inputs and their ages."""
        work = pending.work
        log.info(
            "event=%s id=%s service=%s workspace=%s rank=%d %s work_s=%.3f ahead_s=%.3f slots=%.2f"
            " left_s=%.2f lane=%s cost=%.4f returned=%s work_age_s=%.1f list_age_s=%.1f",
            event,
            pending.job.exchange.request_id,
            pending.job.service,
            workspace_of(pending.job).replace(" ", "_"),
            work.rank,
            outcome,
            work.work_s,
            ahead_s,
            slots,
            work.start_by - now,
            work.lane.name.lower(),
            refusal_cost(work),
            pending.returned.value,
            self._hold_times(pending.job).age_s(now),
            self._list_age_s(now),
        )

    def _hold_times(self, job: Job) -> HoldTimes:
        by_route = self._state(job.service).hold_times_by_route
        return by_route.setdefault(job.route.name, HoldTimes())

    def _state(self, service: str) -> _ServiceState:
        return self._state_by_service.setdefault(service, _ServiceState(self._rng))
