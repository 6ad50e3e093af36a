"""Requests with one whole answer: sent, repeated where that is allowed, and answered."""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.adapters.http_server import HttpResponse
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.retries import SampleWindow, hedge_delay_s
from comfreyhatch.domain.exchange import Dispatch, Job
from comfreyhatch.errors import (
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    EndpointUnreachableError,
)
from comfreyhatch.exchange.attempts import (
    MAX_REFUSED_ATTEMPTS,
    MAX_UNREACHABLE_ATTEMPTS,
    final_error,
)
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.sender import BufferedAnswer, Sender

TIME_TO_ANSWER_S = 0.01

log = logging.getLogger("comfreyhatch.calls")


class UnaryProxy:
    """Runs requests with one whole answer."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        sender: Sender,
        budget: Callable[[str], ExtraRequestBudget],
        evidence: EvidenceCollector,
        bill: Callable[[Job], None],
    ) -> None:
        """Create the path.

        Args:
            scheduler: Gives endpoints.
            sender: Sends to them.
            budget: Returns the budget of further arrivals of a service.
            evidence: Takes in what became of each attempt.
            bill: Bills an answered request.
        """
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
            BackendError: If it may have run and there is no whole answer.
        """
        call = _Call(job)
        answer = await self._first_answer(call)
        self._note_latency(job, answer)
        if answer.head.success:
            self._bill(job)
        return HttpResponse(answer.head.status, answer.body, headers=answer.head.headers)

    async def _first_answer(self, call: "_Call") -> BufferedAnswer:
        tasks = {self._start(call)}
        try:
            while True:
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=self._hedge_s(call),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = _best_answer(done, call)
                if answer is not None and (not tasks or answer.head.success):
                    return answer
                if not done and self._may_repeat(call):
                    call.hedged = True
                    tasks = tasks | {self._start(call)}
                elif done and not tasks:
                    if not self._goes_on(call):
                        return call.answer_or_raise()
                    tasks = {self._start(call)}
                elif not done:
                    call.hedged = True
        finally:
            for task in tasks:
                task.cancel()

    def _start(self, call: "_Call") -> "asyncio.Task[BufferedAnswer]":
        return asyncio.create_task(self._attempt(call))

    async def _attempt(self, call: "_Call") -> BufferedAnswer:
        loop = asyncio.get_running_loop()
        job = call.job
        lease = await self._scheduler.acquire(job, frozenset(call.tried))
        endpoint = lease.endpoint
        call.tried.add(endpoint.record.endpoint_id)
        started = loop.time()
        # A refused attempt was an arrival too, so its repeat draws on the budget as well.
        call.sent += 1
        try:
            answer = await self._send(call, endpoint, started)
        finally:
            self._scheduler.release(lease)
        now = loop.time()
        self._evidence.record_answer(job, endpoint, answer.head.success, now - started, now)
        return answer

    async def _send(self, call: "_Call", endpoint: EndpointTracker, now: float) -> BufferedAnswer:
        job = call.job
        left_s = job.deadline - now - TIME_TO_ANSWER_S
        dispatch = Dispatch(endpoint.record.endpoint_id, left_s, job.workspace)
        self._scheduler.note_version(job, endpoint.record.version, now)
        call.running += 1
        try:
            answer = await self._sender.fetch(job, endpoint, dispatch, max(0.0, left_s))
        except BackendRefusedError as error:
            call.running -= 1
            call.unreachable += isinstance(error, EndpointUnreachableError)
            raise
        return answer

    def _may_repeat(self, call: "_Call") -> bool:
        """Return whether a second endpoint may get the request while the first is silent."""
        job = call.job
        if not job.route.repeatable or call.running >= job.route.max_attempts or call.hedged:
            return False
        return self._budget(job.service).take(asyncio.get_running_loop().time())

    def _goes_on(self, call: "_Call") -> bool:
        """Return whether another endpoint gets the request after an attempt has ended."""
        now = asyncio.get_running_loop().time()
        job = call.job
        if not isinstance(call.error, BackendError) and call.answer is None:
            return False
        if now >= job.deadline - TIME_TO_ANSWER_S:
            return False
        if (
            call.unreachable > MAX_UNREACHABLE_ATTEMPTS
            or call.sent - call.unreachable > MAX_REFUSED_ATTEMPTS
        ):
            return False
        refused = call.running == 0
        if not refused and not job.route.repeatable:
            return False
        if call.running >= job.route.max_attempts:
            return False
        # What could not be reached was no arrival, so its repeat is none beyond the first.
        unreachable = isinstance(call.error, EndpointUnreachableError) and call.answer is None
        return unreachable or self._budget(job.service).take(now)

    def _hedge_s(self, call: "_Call") -> float | None:
        job = call.job
        if call.hedged or not job.route.repeatable:
            return None
        window = self._latencies_by_route.get(job.route.name)
        if window is None:
            return job.route.aim_s
        return hedge_delay_s(True, window) or job.route.aim_s

    def _note_latency(self, job: Job, answer: BufferedAnswer) -> None:
        if answer.head.success:
            window = self._latencies_by_route.setdefault(job.route.name, SampleWindow())
            window.add(asyncio.get_running_loop().time() - job.arrived)


class _Call:
    """Attempts of one request."""

    __slots__ = ("answer", "error", "hedged", "job", "running", "sent", "tried", "unreachable")

    def __init__(self, job: Job) -> None:
        self.job = job
        self.tried: set[str] = set()
        self.sent = 0
        self.unreachable = 0
        self.running = 0
        self.hedged = False
        self.answer: BufferedAnswer | None = None
        self.error: ComfreyhatchError | None = None

    def answer_or_raise(self) -> BufferedAnswer:
        """Return the endpoint's failure, or raise what became of the last attempt."""
        if self.answer is not None:
            return self.answer
        assert self.error is not None
        raise final_error(self.error, self.running > 0) from self.error


def _best_answer(done: "set[asyncio.Task[BufferedAnswer]]", call: _Call) -> BufferedAnswer | None:
    """Return a successful answer among ended attempts; keep the others' outcome in the call."""
    for task in done:
        error = task.exception()
        if error is None:
            answer = task.result()
            if answer.head.success:
                return answer
            call.answer = answer
        elif isinstance(error, ComfreyhatchError):
            call.error = error
            log.info(
                "event=attempt_failed id=%s code=%d ran=%s reason=%r",
                call.job.exchange.request_id,
                error.code,
                error.ran.value,
                str(error),
            )
        else:
            raise error
    return None
