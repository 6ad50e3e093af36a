"""Proxies requests with one buffered answer: retries and hedges them where the route allows it."""

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from math import inf

from comfreyhatch.adapters.http_message import HttpResponse
from comfreyhatch.decisions.attempt_account import (
    MAX_REFUSED_ATTEMPTS,
    AttemptAccount,
    CountedAttempt,
)
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.request_arrivals import AttemptArrival, RequestArrivals
from comfreyhatch.decisions.retries import SampleWindow, hedge_delay_s
from comfreyhatch.domain.exchange import Dispatch, Job
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.errors import (
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    EndpointUnreachableError,
)
from comfreyhatch.exchange.answers import BufferedAnswer
from comfreyhatch.exchange.attempts import final_error
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.sender import Sender
from comfreyhatch.exchange.slot_lease import SlotLease

# Reserved before the deadline to return the answer to the caller.
DEADLINE_MARGIN_S = 0.01
# Logged for an attempt that got no endpoint.
NO_ENDPOINT_ID = "none"
# Time in which something comes from a service that answers.
LONGEST_QUIET_S = 1.0
# Interval at which a request that waits at a silent service looks for an endpoint that answers.
RECHECK_S = 0.25

log = logging.getLogger("comfreyhatch.calls")


class UnaryProxy:
    """Sends requests to endpoints and returns their buffered answers."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        sender: Sender,
        budget: Callable[[str], ExtraRequestBudget],
        evidence: EvidenceCollector,
        bill: Callable[[Job], None],
        crashes: CrashGuard,
    ) -> None:
        """Create the proxy.

        Args:
            scheduler: Assigns endpoints to attempts.
            sender: Sends attempts to endpoints.
            budget: Returns the budget of extra requests of a service.
            evidence: Counts the outcome of each attempt.
            bill: Bills an answered request.
            crashes: Refuses requests that crash endpoints, and follows attempts.
        """
        self._crashes = crashes
        self._bill = bill
        self._scheduler = scheduler
        self._sender = sender
        self._budget = budget
        self._evidence = evidence
        self._latencies_by_route: dict[str, SampleWindow] = {}

    async def run(self, job: Job) -> HttpResponse:
        """Return the answer of an endpoint.

        Raises:
            RefusedError: If the request has not run.
            BackendError: If it may have run and there is no complete answer.
        """
        call = _UnaryCall(job)
        answer = await self._first_answer(call)
        self._record_latency(job, answer)
        if answer.head.success:
            self._bill(job)
        return HttpResponse(answer.head.status, answer.body, headers=answer.head.headers)

    async def _first_answer(self, call: "_UnaryCall") -> BufferedAnswer:
        """Return the first successful answer, or the last failed one if no attempt is left.

        Attempts that are still in progress are cancelled.
        """
        tasks = {self._start_attempt(call)}
        try:
            while True:
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=self._next_look_s(call),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = _best_answer(done, call)
                if answer is not None and (not tasks or answer.head.success):
                    return answer
                if not done:
                    self._note_overdue(call, asyncio.get_running_loop().time())
                    if self._take_hedge(call, asyncio.get_running_loop().time()):
                        tasks = tasks | {self._start_attempt(call)}
                elif not tasks:
                    if not self._take_retry(call):
                        return call.answer_or_raise()
                    tasks = {self._start_attempt(call)}
        finally:
            call.arrivals.release_unused()
            for task in tasks:
                task.cancel()

    def _start_attempt(self, call: "_UnaryCall") -> "asyncio.Task[BufferedAnswer]":
        """Start an attempt."""
        arrival = call.arrivals.begin()
        task = asyncio.create_task(self._attempt(call, call.account.decide(), arrival))
        task.add_done_callback(partial(_end_attempt, arrival))
        return task

    async def _attempt(
        self, call: "_UnaryCall", counted: CountedAttempt, arrival: AttemptArrival
    ) -> BufferedAnswer:
        """Send the request to one endpoint and return its answer."""
        loop = asyncio.get_running_loop()
        job = call.job
        try:
            lease = await self._acquire(call, loop.time())
        except ComfreyhatchError as error:
            call.account.end_not_run(counted)
            _log_failure(job, NO_ENDPOINT_ID, error)
            raise
        endpoint = lease.endpoint
        started = loop.time()
        call.account.note_placed()
        call.lease_by_attempt[counted] = lease
        attempt = self._crashes.begin(job, endpoint, started)
        observed = self._evidence.begin(job, endpoint, started, call.observed, is_watched=True)
        call.observed = observed
        try:
            answer = await self._send_and_release(call, lease, arrival, started)
        except ComfreyhatchError as error:
            self._evidence.record_error(observed, error, arrival.is_relayed, loop.time())
            _count_end(call.account, counted, error)
            _log_failure(job, endpoint.record.endpoint_id, error)
            await self._crashes.end_failed(attempt, error)
            raise
        except asyncio.CancelledError:
            _log_abandoned(job, endpoint.record.endpoint_id, loop.time() - started)
            self._evidence.record_abandoned(observed, call.is_outrun(started), loop.time())
            self._crashes.end_unknown(attempt, loop.time())
            raise
        finally:
            del call.lease_by_attempt[counted]
        now = loop.time()
        self._crashes.end_complete(attempt, now)
        if answer.head.success:
            call.answered_attempt_at = started
            self._evidence.record_success(observed, now - started, now)
        else:
            self._evidence.record_failure(
                observed, Failure(FailureKind.STATUS, answer.head.status), now
            )
        return answer

    async def _acquire(self, call: "_UnaryCall", now: float) -> SlotLease:
        """Return the slot for an attempt.

        Raises:
            RefusedError: If the request may not be sent, or gets no slot in time.
        """
        refusal = self._crashes.refusal(call.job, now)
        if refusal is not None:
            raise refusal
        return await self._scheduler.acquire(call.job, call.tried_ids)

    async def _send_and_release(
        self, call: "_UnaryCall", lease: SlotLease, arrival: AttemptArrival, now: float
    ) -> BufferedAnswer:
        try:
            return await self._send(call, lease, arrival, now)
        finally:
            self._scheduler.release(lease)

    async def _send(
        self, call: "_UnaryCall", lease: SlotLease, arrival: AttemptArrival, now: float
    ) -> BufferedAnswer:
        job, endpoint = call.job, lease.endpoint
        left_s = job.deadline - now - DEADLINE_MARGIN_S
        dispatch = Dispatch(endpoint.record.endpoint_id, left_s, job.workspace)
        self._scheduler.pin_session(lease, now)
        return await self._sender.fetch(job, endpoint, dispatch, max(0.0, left_s), arrival)

    def _note_overdue(self, call: "_UnaryCall", now: float) -> None:
        """Note that the usual time for an answer has passed, and which endpoints are silent."""
        call.is_overdue = True
        for lease in call.lease_by_attempt.values():
            if lease.endpoint.last_received_at < lease.started:
                self._sender.reads.note_left_silent(lease.endpoint, lease.started, now)

    def _take_hedge(self, call: "_UnaryCall", now: float) -> bool:
        """Return whether to send a hedged attempt, and reserve it in the budget.

        One that the budget or the route denies is not tried again; one for which there is no
        endpoint that answers is.
        """
        if call.hedged or not call.job.route.repeatable:
            return False
        if not self._is_worth_a_repeat(call, now):
            return False
        call.hedged = True
        if not call.account.allows_another(repeatable=True) or self._crashes.suspects(call.job):
            return False
        return self._reserve(call, now)

    def _is_worth_a_repeat(self, call: "_UnaryCall", now: float) -> bool:
        """Return whether another endpoint is likely to answer sooner than those of the attempts.

        What is sent to a service that is silent as a whole only waits there, too. What has come
        from it tells nothing of the repeats that were sent since.
        """
        job = call.job
        if not self._scheduler.silence.has_unsuspected(job, call.tried_ids, now):
            return False
        sent_at = [lease.started for lease in call.lease_by_attempt.values()]
        since = max(now - LONGEST_QUIET_S, min(sent_at, default=job.arrived))
        heard_at = self._scheduler.silence.heard_at(job.service)
        return self._budget(job.service).bears_unheard(heard_at if heard_at >= since else -inf)

    def _take_retry(self, call: "_UnaryCall") -> bool:
        """Return whether to retry after the last attempt failed, and reserve it in the budget."""
        now = asyncio.get_running_loop().time()
        job = call.job
        if call.error is not None and not isinstance(call.error, BackendError):
            return False
        if now >= job.deadline - DEADLINE_MARGIN_S:
            return False
        account = call.account
        if account.failed_often or not account.allows_another(job.route.repeatable):
            return False
        if self._reserve(call, now):
            return True
        _log_denied(job, call.account.counted)
        return False

    def _reserve(self, call: "_UnaryCall", now: float) -> bool:
        """Reserve an extra request for the next attempt; return whether the budget allows it."""
        repeats = call.arrivals.any_possible
        if repeats and not self._scheduler.silence.has_unavoided(call.job, call.tried_ids, now):
            return False
        return call.arrivals.reserve(self._budget(call.job.service), now)

    def _next_look_s(self, call: "_UnaryCall") -> float | None:
        """Return the wait until the next look at a call's endpoints; None if there is none."""
        job = call.job
        if call.is_overdue:
            return None if call.hedged or not job.route.repeatable else RECHECK_S
        window = self._latencies_by_route.get(job.route.name)
        if window is None:
            return job.route.aim_s
        return hedge_delay_s(True, window) or job.route.aim_s

    def _record_latency(self, job: Job, answer: BufferedAnswer) -> None:
        if answer.head.success:
            window = self._latencies_by_route.setdefault(job.route.name, SampleWindow())
            window.add(asyncio.get_running_loop().time() - job.arrived)


class _UnaryCall:
    """Attempts of one request.

    Attributes:
        job: The request.
        account: Counts the attempts.
        tried_ids: Endpoints that an attempt was given a slot of.
        arrivals: Arrivals of the attempts.
        lease_by_attempt: Slots of the attempts that are at endpoints.
        is_overdue: Whether the usual time for an answer has passed.
        hedged: Whether a hedged attempt was sent or denied; there is one at most.
        answer: Last failed answer of an endpoint.
        error: Error of the last attempt; None if it got an answer.
        observed: The last attempt as evidence on the version of its endpoint; None before.
        answered_attempt_at: Monotonic time in seconds at which the attempt was sent that was
            answered with success; None before.
    """

    __slots__ = (
        "account",
        "answer",
        "answered_attempt_at",
        "arrivals",
        "error",
        "hedged",
        "is_overdue",
        "job",
        "lease_by_attempt",
        "observed",
        "tried_ids",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.account = AttemptAccount(job.route.max_attempts, MAX_REFUSED_ATTEMPTS)
        self.tried_ids: set[str] = set()
        self.arrivals = RequestArrivals()
        self.lease_by_attempt: dict[CountedAttempt, SlotLease] = {}
        self.is_overdue = False
        self.hedged = False
        self.answer: BufferedAnswer | None = None
        self.error: ComfreyhatchError | None = None
        self.observed: ObservedAttempt | None = None
        self.answered_attempt_at: float | None = None

    def is_outrun(self, sent_at: float) -> bool:
        """Return whether an attempt was sent before the one that was answered with success."""
        return self.answered_attempt_at is not None and sent_at < self.answered_attempt_at

    def answer_or_raise(self) -> BufferedAnswer:
        """Return the last failed answer; without one, raise the error for the caller."""
        if self.answer is not None:
            return self.answer
        assert self.error is not None
        raise final_error(self.error, self.account.may_have_run) from self.error


def _best_answer(
    done: "set[asyncio.Task[BufferedAnswer]]", call: _UnaryCall
) -> BufferedAnswer | None:
    """Return a successful answer of finished attempts; store failures in the call."""
    for task in done:
        error = task.exception()
        if error is None:
            answer = task.result()
            if answer.head.success:
                return answer
            call.answer, call.error = answer, None
        elif isinstance(error, ComfreyhatchError):
            call.error = error
        else:
            raise error
    return None


def _end_attempt(arrival: AttemptArrival, task: "asyncio.Task[BufferedAnswer]") -> None:
    """Note that an attempt that has ended never arrives, unless it was sent."""
    arrival.end_unsent()
    if not task.cancelled():
        # Retrieve the error, which was logged: asyncio logs one that is never retrieved, as when
        # the other attempt ends at the same moment.
        task.exception()


def _count_end(account: AttemptAccount, counted: CountedAttempt, error: ComfreyhatchError) -> None:
    """Take an attempt that was given a slot off the account if it surely did not run."""
    if isinstance(error, EndpointUnreachableError):
        account.end_unreachable(counted)
    elif isinstance(error, BackendRefusedError):
        account.end_not_run(counted)


def _log_failure(job: Job, endpoint_id: str, error: ComfreyhatchError) -> None:
    log.info(
        "event=attempt_failed id=%s request=%s endpoint=%s code=%d ran=%s reason=%r",
        job.exchange.request_id,
        job.identity_text,
        endpoint_id,
        error.code,
        error.ran.value,
        str(error),
    )


def _log_abandoned(job: Job, endpoint_id: str, took_s: float) -> None:
    """Log an attempt whose answer is no longer wanted; it may run on."""
    log.info(
        "event=attempt_abandoned id=%s endpoint=%s took_s=%.3f",
        job.exchange.request_id,
        endpoint_id,
        took_s,
    )


def _log_denied(job: Job, attempts: int) -> None:
    log.info(
        "event=retry_denied id=%s service=%s attempts=%d reason='the budget allows none'",
        job.exchange.request_id,
        job.service,
        attempts,
    )
