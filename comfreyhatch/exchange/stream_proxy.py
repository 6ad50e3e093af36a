"""Streamed answers: model chosen, events relayed, and gone on with elsewhere after a break."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

from comfreyhatch.adapters.http_server import HttpResponse
from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.cascade import CascadeState, escalates
from comfreyhatch.decisions.engine_priority import engine_priority
from comfreyhatch.decisions.engine_time import EngineTimes
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.retries import SampleWindow
from comfreyhatch.decisions.stall import first_event_limits, gap_limits
from comfreyhatch.domain.exchange import Dispatch, Job
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    EndpointUnreachableError,
    RefusedError,
)
from comfreyhatch.exchange.attempts import final_error
from comfreyhatch.exchange.events import EventSplitter
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.health import note_lost_answer
from comfreyhatch.exchange.scheduler import EndpointScheduler, SlotLease
from comfreyhatch.exchange.sender import Sender, StreamedAnswer
from comfreyhatch.exchange.stall_watchdog import StallWatchdog
from comfreyhatch.exchange.stream_state import TIME_TO_ANSWER_S, StreamState

FIRST_EVENT_QUANTILE = 0.95
PACE_EVENTS = 3
EARLY_PACE_EVENTS = 6

log = logging.getLogger("comfreyhatch.streams")


class StreamProxy:
    """Runs requests whose answer is a stream of events."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        sender: Sender,
        budget: Callable[[str], ExtraRequestBudget],
        evidence: EvidenceCollector,
        bill: Callable[[Job, str, int], None],
        count_model: Callable[[bool], None],
    ) -> None:
        """Create the path.

        Args:
            scheduler: Gives endpoints.
            sender: Sends to them.
            budget: Returns the budget of further arrivals of a service.
            evidence: Takes in what became of each attempt.
            bill: Bills an answer: request, model, events of its stream.
            count_model: Counts an answer of the smallest model, and whether it was dropped.
        """
        self._bill = bill
        self._count_model = count_model
        self._scheduler = scheduler
        self._sender = sender
        self._budget = budget
        self._evidence = evidence
        self._first_events: dict[tuple[str, str], SampleWindow] = {}
        self._times = EngineTimes()
        self._watch = StallWatchdog(self._may_move)

    async def run(self, job: Job) -> HttpResponse:
        """Return an answer whose stream relays the events of endpoints.

        Raises:
            RefusedError: If the request has not run.
            BackendError: If it may have run and there is no answer.
        """
        run = StreamState(job)
        answer = await self._accepted(run)
        if not answer.head.success:
            return await self._failure(run, answer)
        run.begun = True
        return HttpResponse(
            answer.head.status, headers=answer.head.headers, stream=self._relay(run, answer)
        )

    async def _accepted(self, run: StreamState) -> StreamedAnswer:
        """Return the first answer that is not dropped for a larger model's."""
        while True:
            answer = await self._open(run)
            if not answer.head.success or not self._escalates(run, answer):
                return answer
            await self._drop(run, answer)
            run.model_index = len(run.job.route.models) - 1
            run.tried.clear()

    async def _open(self, run: StreamState) -> StreamedAnswer:
        """Return an answer whose head has come; tries other endpoints as far as allowed."""
        while True:
            try:
                answer = await self._attempt(run)
            except RefusedError as error:
                if run.running:
                    raise BackendError(str(error)) from error
                raise
            except BackendError as error:
                run.error = error
                self._log_failure(run, error)
            else:
                if answer.head.success:
                    return answer
                run.error = None
                if not await self._goes_on(run):
                    return answer
                await self._drop(run, answer)
                continue
            if not await self._goes_on(run):
                assert run.error is not None
                raise final_error(run.error, run.running > 0)

    async def _attempt(self, run: StreamState) -> StreamedAnswer:
        loop = asyncio.get_running_loop()
        job = run.job
        work_s = self._times.first_event_s(run.model, job.exchange.prompt_tokens)
        for tried in (run.tried, {run.endpoint_id}, set()):
            # Once all have been tried, one that failed a while ago may be well again.
            run.tried = set(tried)
            if self._scheduler.has_candidates(job, frozenset(tried), loop.time()):
                break
        lease = await self._scheduler.acquire(job, frozenset(run.tried), work_s, resumes=run.begun)
        run.take(lease)
        endpoint = lease.endpoint
        self._scheduler.note_version(job, endpoint.record.version, lease.started)
        try:
            answer = await self._watched_open(run, lease)
        except BaseException as error:
            if isinstance(error, BackendRefusedError):
                run.running -= 1
                run.unreachable += isinstance(error, EndpointUnreachableError)
            else:
                run.broken.append(endpoint)
            self._scheduler.release(lease)
            raise
        lease.note_answer_started()
        now = loop.time()
        took_s = now - lease.started
        run.slow = self._evidence.record_answer(
            job, endpoint, answer.head.success, took_s / work_s, now
        )
        if answer.head.success:
            self._window(run).add(took_s)
            self._times.record(run.model, job.exchange.prompt_tokens, took_s)
            endpoint.record_delay(took_s - work_s, now)
        return answer

    async def _watched_open(self, run: StreamState, lease: SlotLease) -> StreamedAnswer:
        """Return the answer's head, unless the endpoint stalls."""
        job = run.job
        left_s = job.deadline - lease.started - TIME_TO_ANSWER_S
        dispatch = Dispatch(
            lease.endpoint.record.endpoint_id,
            left_s,
            job.workspace,
            run.model,
            run.last_event_id,
            engine_priority(job.rank, run.begun),
        )
        opening = asyncio.create_task(
            self._sender.open(job, lease.endpoint, dispatch, max(0.0, left_s))
        )
        usual_s = self._window(run).quantile(FIRST_EVENT_QUANTILE)
        limits = first_event_limits(job.route.aim_s, usual_s)
        self._watch.begin(run, limits, opening.cancel, lease.started)
        try:
            await asyncio.wait({opening})
        finally:
            self._watch.end(run)
            if not opening.done():
                opening.cancel()
                await asyncio.wait({opening})
            elif not opening.cancelled():
                # Its error is of no use if the caller has left meanwhile, but has to be seen.
                opening.exception()
        if opening.cancelled():
            now = asyncio.get_running_loop().time()
            error = AnswerBrokenError(f"no event came within {now - lease.started:.2f} s")
            note_lost_answer(lease.endpoint, error, now)
            raise error
        return opening.result()

    async def _drop(self, run: StreamState, answer: StreamedAnswer) -> None:
        self._watch.end(run)
        await answer.close()
        if run.lease is not None:
            self._scheduler.release(run.lease)
            run.lease = None

    async def _failure(self, run: StreamState, answer: StreamedAnswer) -> HttpResponse:
        """Return a failed answer of an endpoint as it is."""
        try:
            timeout_s = max(0.0, run.job.deadline - asyncio.get_running_loop().time())
            body = b"".join([piece async for piece in answer.pieces(timeout_s)])
        finally:
            await self._drop(run, answer)
        return HttpResponse(answer.head.status, body, headers=answer.head.headers)

    async def _relay(self, run: StreamState, answer: StreamedAnswer) -> AsyncIterator[bytes]:
        """Yield whole events, going on at another endpoint after a break."""
        while True:
            try:
                async for events in self._events(run, answer):
                    yield events
                self._bill(run.job, run.model, run.events)
                self._note_pace(run, answer, ended=True)
                return
            except AnswerBrokenError as error:
                run.error = error
                self._log_failure(run, error)
                run.broken.append(answer.endpoint)
                note_lost_answer(answer.endpoint, error, asyncio.get_running_loop().time())
            finally:
                await self._drop(run, answer)
            if not await self._goes_on(run):
                assert run.error is not None
                raise final_error(run.error, run.running > 0)
            answer = await self._resumed(run)

    def _note_pace(self, run: StreamState, answer: StreamedAnswer, ended: bool) -> None:
        """Take in how fast the events of an answer come, once there are enough of them.

        A slow stream shows long before its end, and its version goes on getting requests till then.
        """
        if run.slow:
            return
        pace_s = run.pace_s(PACE_EVENTS if ended else EARLY_PACE_EVENTS)
        if pace_s is None:
            return
        now = asyncio.get_running_loop().time()
        run.slow = self._evidence.record_event_gap(
            run.job, answer.endpoint, run.model, pace_s, ended, now
        )

    async def _resumed(self, run: StreamState) -> StreamedAnswer:
        answer = await self._open(run)
        if answer.head.success:
            return answer
        await self._drop(run, answer)
        raise AnswerBrokenError(f"the stream could not go on: status {answer.head.status}")

    async def _events(self, run: StreamState, answer: StreamedAnswer) -> AsyncIterator[bytes]:
        """Yield the new events of one answer until its end."""
        splitter = EventSplitter()
        loop = asyncio.get_running_loop()
        left_s = max(0.0, run.job.deadline - loop.time())
        run.begin_events()
        self._watch.begin(run, gap_limits(run.job.route.gap_aim_s), answer.abort, loop.time())
        async for piece in answer.pieces(left_s):
            run.waiting_since = loop.time()
            events = [e for e in splitter.feed(piece) if run.is_new(e)]
            if events:
                run.note_events(len(events), loop.time())
                self._note_pace(run, answer, ended=False)
                yield b"".join(events)
            if loop.time() >= run.job.deadline:
                raise BackendError("the time for the answer is over", ResultCode.DEADLINE_EXCEEDED)
        if splitter.partial:
            raise AnswerBrokenError("the stream ended inside an event")

    def _escalates(self, run: StreamState, answer: StreamedAnswer) -> bool:
        job = run.job
        now = asyncio.get_running_loop().time()
        if run.model_index >= len(job.route.models) - 1 or run.last_event_id is not None:
            return False
        if run.running >= job.route.max_attempts:
            return False
        budget = self._budget(job.service)
        tokens = job.exchange.prompt_tokens
        state = CascadeState(
            rank=job.route.rank,
            load=self._scheduler.load(job.service, now),
            delay_s=self._scheduler.delay_s(job.service, now),
            larger_s=self._times.first_event_s(job.route.models[-1], tokens),
            aim_s=job.route.aim_s,
            spent_s=now - job.arrived,
            budget_left=budget.remaining_share(now),
        )
        wanted = escalates(answer.head.confidence, state)
        log.info(
            "event=model_judged id=%s model=%s confidence=%s load=%.2f delay_s=%.2f larger_s=%.2f"
            " spent_s=%.2f budget=%.2f escalates=%s",
            job.exchange.request_id,
            run.model,
            answer.head.confidence,
            state.load,
            state.delay_s,
            state.larger_s,
            state.spent_s,
            state.budget_left,
            wanted,
        )
        dropped = wanted and budget.take(now)
        self._count_model(dropped)
        return dropped

    async def _goes_on(self, run: StreamState) -> bool:
        """Return whether another endpoint gets the request after a failed attempt.

        A run on an endpoint that has ended meanwhile does not count among the route's attempts.
        """
        if run.running >= run.job.route.max_attempts:
            for endpoint in run.broken:
                run.running -= await self._sender.refuses_connections(endpoint)
            run.broken.clear()
        now = asyncio.get_running_loop().time()
        if not run.attempt_left(now):
            return False
        # What could not be reached was no arrival, so its repeat is none beyond the first.
        unreachable = isinstance(run.error, EndpointUnreachableError)
        return unreachable or self._budget(run.job.service).take(now)

    def _may_move(self, run: StreamState, now: float) -> bool:
        """Return whether a stalled answer can be had elsewhere; else it is better waited for."""
        if not run.job.route.repeatable or not run.attempt_left(now):
            return False
        return self._budget(run.job.service).remaining(now) >= 1

    def _window(self, run: StreamState) -> SampleWindow:
        key = (run.job.route.name, run.model)
        return self._first_events.setdefault(key, SampleWindow())

    def _log_failure(self, run: StreamState, error: ComfreyhatchError) -> None:
        log.info(
            "event=attempt_failed id=%s endpoint=%s code=%d ran=%s events=%s reason=%r",
            run.job.exchange.request_id,
            run.endpoint_id,
            error.code,
            error.ran.value,
            run.last_event_id,
            str(error),
        )
