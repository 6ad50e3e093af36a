"""Queues of the scheduler: their entries, admission to them and refusal from them.

A service with an endpoint that reports a pace or answers load probes has its requests admitted,
ordered and refused by what that costs callers; others by rank, target time and arrival.
"""

import asyncio
from collections.abc import Iterable
from math import inf

from msgspec import Struct

from comfreyhatch.decisions.waiting import Waiter
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.admission.pending import PendingRequest
from comfreyhatch.exchange.admission.policy import LeastCostPolicy
from comfreyhatch.exchange.expected_waits import ExpectedWaits
from comfreyhatch.exchange.slot_lease import SlotLease


class QueuedRequest(Struct):
    """A queued request.

    Attributes:
        waiter: Its place in the order of the queue.
        job: The request.
        excluded: Ids of endpoints that it must not get; they may become more while it waits.
        max_silent_s: Silence from which endpoints are avoided, in seconds; None for no bound.
        work_s: Time that an idle endpoint needs for it, in seconds; 0 for the mean service time.
        lease: Future of its lease, or of its refusal.
        ask: Asks other daemons for a permit; None while it does not.
        pending: What the admission by cost knows of it; None if its service has none.
    """

    waiter: Waiter
    job: Job
    excluded: set[str]
    max_silent_s: float | None
    work_s: float
    lease: "asyncio.Future[SlotLease]"
    ask: "asyncio.Task[float | None] | None" = None
    pending: PendingRequest | None = None


class QueueAdmission:
    """Admits requests to the queues of the scheduler, orders them, and refuses some of them.

    Attributes:
        policy: Decides for services whose requests are admitted by cost.
    """

    def __init__(self, policy: LeastCostPolicy, waits: ExpectedWaits) -> None:
        """Create it.

        Args:
            policy: Decides for services whose requests are admitted by cost.
            waits: Expected waits of the other requests, and refusals while no endpoint is in
                service or all have bounded rates.
        """
        self.policy = policy
        self._waits = waits

    def arrive(self, job: Job, resumes: bool, first_s: float, now: float) -> PendingRequest | None:
        """Return what the policy knows of a request that asks for a slot; None if it isn't used.

        Args:
            job: The request.
            resumes: Whether an earlier answer of it was begun or given up.
            first_s: Work until its answer or, of a stream, its first event, in seconds; 0 if
                unknown.
            now: Monotonic time in seconds.
        """
        if not self.policy.applies(job.service, now):
            return None
        return self.policy.arrive(job, resumes, first_s, now)

    def is_held_back(
        self, pending: PendingRequest | None, queue: list[QueuedRequest], now: float
    ) -> bool:
        """Return whether a request is refused, as its caller came back too early."""
        if pending is None:
            return False
        return self.policy.is_held_back(pending, admitted_by_cost(queue), now)

    def in_order(self, service: str, queue: list[QueuedRequest], now: float) -> list[QueuedRequest]:
        """Return the requests of a queue in the order in which they are served."""
        others = [entry for entry in queue if entry.pending is None]
        others.sort(key=lambda entry: entry.waiter.sort_key(now))
        by_number = {e.pending.work.number: e for e in queue if e.pending is not None}
        ordered = self.policy.order(service, admitted_by_cost(queue), now)
        return others + [by_number[pending.work.number] for pending in ordered]

    def refuse_late(self, service: str, queue: list[QueuedRequest], now: float) -> None:
        """Refuse the requests of a queue that are known to be late, if the policy applies to them.

        Args:
            service: The service.
            queue: Its queue, in the order in which it is served.
            now: Monotonic time in seconds.
        """
        pending = admitted_by_cost(queue)
        if not pending:
            return
        if self.policy.has_endpoints(service, now):
            late = self.policy.late(service, pending, now)
        elif self._waits.rest_s(service, now) < inf:
            return
        else:
            late = {p.work.number for p in pending if not p.work.resumes}
        for entry in _with_numbers(queue, late):
            queue.remove(entry)
            _end(entry, self.refusal(entry, queue, now))

    def admit(
        self, entry: QueuedRequest, newcomer: PendingRequest, queue: list[QueuedRequest], now: float
    ) -> int:
        """Let a request wait, and refuse those that cost callers less for it.

        Args:
            entry: The request.
            newcomer: What the policy knows of it.
            queue: Queue of its service, without it.
            now: Monotonic time in seconds.

        Returns:
            The number of requests that are served before.

        Raises:
            RefusedError: If it may not wait.
        """
        service = entry.job.service
        decision = self.policy.decide(newcomer, admitted_by_cost(queue), now)
        # The rates of endpoints may refuse it yet: nothing is displaced for what may not be sent.
        by_rates = not self._waits.takes_requests(service, now)
        if not decision.admitted or (by_rates and decision.displaced):
            raise self.refusal(entry, queue, now)
        for other in _with_numbers(queue, decision.displaced):
            queue.remove(other)
            assert other.pending is not None
            left = admitted_by_cost(queue)
            _end(other, self.policy.displace(other.pending, newcomer, left, now))
        ahead = self.in_order(service, [*queue, entry], now).index(entry)
        self.policy.note_queued(newcomer, ahead, decision, now)
        return ahead

    def refusal(self, entry: QueuedRequest, queue: list[QueuedRequest], now: float) -> RefusedError:
        """Return the error for a request that gets no slot in time.

        Args:
            entry: The request.
            queue: Queue of its service, with it or without.
            now: Monotonic time in seconds.
        """
        service = entry.job.service
        if entry.pending is not None:
            if self._waits.takes_requests(service, now):
                others = [p for p in admitted_by_cost(queue) if p is not entry.pending]
                return self.policy.refuse(entry.pending, others, now)
            self.policy.note_refused(entry.pending, now)
        return self._waits.refusal(entry.job, len(queue), now)


def admitted_by_cost(queue: Iterable[QueuedRequest]) -> list[PendingRequest]:
    """Return what the policy knows of the requests of a queue, in their order."""
    return [entry.pending for entry in queue if entry.pending is not None]


def _with_numbers(
    queue: Iterable[QueuedRequest], numbers: set[int] | frozenset[int]
) -> list[QueuedRequest]:
    return [e for e in queue if e.pending is not None and e.pending.work.number in numbers]


def _end(entry: QueuedRequest, error: RefusedError) -> None:
    """End the wait of a request, unless its caller has left."""
    if not entry.lease.done():
        entry.lease.set_exception(error)
