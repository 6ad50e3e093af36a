"""Streamed answers: model chosen, events relayed, and gone on with elsewhere after a break."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

from comfreyhatch.adapters.http_server import HttpResponse
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.arrivals import ArrivalBudget
from comfreyhatch.decisions.cascade import CascadeState, escalates
from comfreyhatch.decisions.endpoint_state import EndpointState
from comfreyhatch.decisions.retries import LatencyWindow
from comfreyhatch.domain.exchange import Dispatch, Job
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    RefusedError,
)
from comfreyhatch.exchange.events import EventSplitter, event_id
from comfreyhatch.exchange.outcomes import Outcomes
from comfreyhatch.exchange.pool import EndpointPool
from comfreyhatch.exchange.sender import OpenAnswer, Sender

REFUSALS_MAX = 4
REFUSED_RETRY_S = 0.3
HEAD_TIMEOUT_LEAST_S = 1.0
HEAD_TIMEOUT_FACTOR = 2.5
HEAD_QUANTILE = 0.95
GAP_OF_AIM = 0.65
GAP_LEAST_S = 0.4
FIRST_EVENT_GUESS_S = 0.5
TIME_TO_ANSWER_S = 0.02

log = logging.getLogger("comfreyhatch.streams")


class Streams:
    """Runs requests whose answer is a stream of events."""

    def __init__(
        self,
        pool: EndpointPool,
        sender: Sender,
        budget: Callable[[str], ArrivalBudget],
        outcomes: Outcomes,
    ) -> None:
        """Create the path; see `Calls` for the arguments."""
        self._pool = pool
        self._sender = sender
        self._budget = budget
        self._outcomes = outcomes
        self._first_events: dict[tuple[str, str], LatencyWindow] = {}

    async def run(self, job: Job) -> HttpResponse:
        """Return an answer whose stream relays the events of endpoints.

        Raises:
            RefusedError: If the request has not run.
            BackendError: If it may have run and there is no answer.
        """
        run = _StreamRun(job)
        answer = await self._accepted(run)
        if not answer.head.success:
            return await self._failure(run, answer)
        return HttpResponse(
            answer.head.status, headers=answer.head.headers, stream=self._relay(run, answer)
        )

    async def _accepted(self, run: "_StreamRun") -> OpenAnswer:
        """Return the first answer that is not dropped for a larger model's."""
        while True:
            answer = await self._open(run)
            if not answer.head.success or not self._escalates(run, answer):
                return answer
            await self._drop(run, answer)
            run.model_index = len(run.job.route.models) - 1
            run.tried.clear()

    async def _open(self, run: "_StreamRun") -> OpenAnswer:
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
                if not self._may_go_on(run):
                    return answer
                await self._drop(run, answer)
                continue
            if not self._may_go_on(run):
                raise run.final_error()

    async def _attempt(self, run: "_StreamRun") -> OpenAnswer:
        loop = asyncio.get_running_loop()
        job = run.job
        endpoint = await self._pool.take(job, frozenset(run.tried))
        started = loop.time()
        run.take(endpoint, started)
        self._pool.note_version(job, endpoint.record.version, started)
        left_s = job.deadline - started - TIME_TO_ANSWER_S
        dispatch = Dispatch(
            endpoint.record.endpoint_id, left_s, job.workspace, run.model, run.last_event_id
        )
        timeout_s = min(max(0.0, left_s), self._head_timeout_s(run))
        try:
            answer = await self._sender.open(job, endpoint, dispatch, timeout_s)
        except BaseException as error:
            if isinstance(error, BackendRefusedError):
                run.running -= 1
            self._release(run, endpoint, started)
            raise
        took_s = loop.time() - started
        self._outcomes.note_answer(
            job, endpoint, answer.head.success, took_s, endpoint.is_cold(loop.time())
        )
        if answer.head.success:
            self._window(run).add(took_s)
        return answer

    async def _drop(self, run: "_StreamRun", answer: OpenAnswer) -> None:
        await answer.close()
        self._release(run, answer.endpoint, run.started)

    def _release(self, run: "_StreamRun", endpoint: EndpointState, started: float) -> None:
        took_s = asyncio.get_running_loop().time() - started
        self._pool.release(endpoint, run.job, took_s)

    async def _failure(self, run: "_StreamRun", answer: OpenAnswer) -> HttpResponse:
        """Return a failed answer of an endpoint as it is."""
        try:
            timeout_s = max(0.0, run.job.deadline - asyncio.get_running_loop().time())
            body = b"".join([piece async for piece in answer.pieces(timeout_s)])
        finally:
            await self._drop(run, answer)
        return HttpResponse(answer.head.status, body, headers=answer.head.headers)

    async def _relay(self, run: "_StreamRun", answer: OpenAnswer) -> AsyncIterator[bytes]:
        """Yield whole events, going on at another endpoint after a break."""
        while True:
            try:
                async for events in self._events(run, answer):
                    yield events
                return
            except AnswerBrokenError as error:
                run.error = error
                self._log_failure(run, error)
                answer.endpoint.note_broken(asyncio.get_running_loop().time(), unreachable=False)
            finally:
                await self._drop(run, answer)
            if not self._may_go_on(run):
                raise run.final_error()
            answer = await self._resumed(run)

    async def _resumed(self, run: "_StreamRun") -> OpenAnswer:
        answer = await self._open(run)
        if answer.head.success:
            return answer
        await self._drop(run, answer)
        raise AnswerBrokenError(f"the stream could not go on: status {answer.head.status}")

    async def _events(self, run: "_StreamRun", answer: OpenAnswer) -> AsyncIterator[bytes]:
        """Yield the new events of one answer until its end."""
        splitter = EventSplitter()
        pieces = answer.pieces(self._gap_timeout_s(run)).__aiter__()
        loop = asyncio.get_running_loop()
        async for piece in pieces:
            events = [e for e in splitter.feed(piece) if run.is_new(e)]
            if events:
                yield b"".join(events)
            if loop.time() >= run.job.deadline:
                raise BackendError("the time for the answer is over", ResultCode.DEADLINE_EXCEEDED)
        if splitter.partial:
            raise AnswerBrokenError("the stream ended inside an event")

    def _escalates(self, run: "_StreamRun", answer: OpenAnswer) -> bool:
        job = run.job
        now = asyncio.get_running_loop().time()
        if run.model_index >= len(job.route.models) - 1 or run.last_event_id is not None:
            return False
        if run.running >= job.route.max_attempts:
            return False
        budget = self._budget(job.service)
        state = CascadeState(
            load=self._pool.load(job.service, now),
            budget_left=budget.share_left(now),
            time_left_s=max(job.arrived + job.route.aim_s - now, 0.0),
            first_event_s=self._usual_first_event_s(run, len(job.route.models) - 1),
        )
        wanted = escalates(answer.head.confidence, state)
        log.info(
            "event=model_judged id=%s model=%s confidence=%s load=%.2f budget=%.2f escalates=%s",
            job.exchange.request_id,
            run.model,
            answer.head.confidence,
            state.load,
            state.budget_left,
            wanted,
        )
        return wanted and budget.take(now)

    def _may_go_on(self, run: "_StreamRun") -> bool:
        """Return whether another endpoint may get the request after a failed attempt."""
        job = run.job
        now = asyncio.get_running_loop().time()
        if run.sent > job.route.max_attempts + REFUSALS_MAX or now >= job.deadline:
            return False
        if run.running and not job.route.repeatable:
            return False
        if run.running >= job.route.max_attempts:
            return False
        return self._budget(job.service).take(now)

    def _head_timeout_s(self, run: "_StreamRun") -> float:
        if not run.job.route.repeatable:
            return float("inf")
        usual = self._window(run).quantile(HEAD_QUANTILE)
        if usual is None:
            return max(HEAD_TIMEOUT_LEAST_S, run.job.route.aim_s)
        return max(HEAD_TIMEOUT_LEAST_S, HEAD_TIMEOUT_FACTOR * usual)

    def _gap_timeout_s(self, run: "_StreamRun") -> float:
        job = run.job
        left_s = max(0.0, job.deadline - asyncio.get_running_loop().time())
        if not job.route.repeatable:
            return left_s
        return min(left_s, max(GAP_LEAST_S, GAP_OF_AIM * job.route.gap_aim_s))

    def _window(self, run: "_StreamRun") -> LatencyWindow:
        key = (run.job.route.name, run.model)
        return self._first_events.setdefault(key, LatencyWindow())

    def _usual_first_event_s(self, run: "_StreamRun", model_index: int) -> float:
        key = (run.job.route.name, run.job.route.models[model_index])
        window = self._first_events.get(key)
        usual = window.quantile(0.5) if window else None
        return usual if usual is not None else FIRST_EVENT_GUESS_S

    def _log_failure(self, run: "_StreamRun", error: ComfreyhatchError) -> None:
        log.info(
            "event=attempt_failed id=%s endpoint=%s code=%d ran=%s events=%s reason=%r",
            run.job.exchange.request_id,
            run.endpoint_id,
            error.code,
            error.ran.value,
            run.last_event_id,
            str(error),
        )


class _StreamRun:
    """Attempts of one streamed request and how far its answer has come."""

    __slots__ = (
        "endpoint_id",
        "error",
        "job",
        "last_event_id",
        "model_index",
        "running",
        "sent",
        "started",
        "tried",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.tried: set[str] = set()
        self.sent = 0
        self.running = 0
        self.model_index = 0
        self.last_event_id = job.exchange.last_event_id
        self.endpoint_id = ""
        self.started = 0.0
        self.error: ComfreyhatchError | None = None

    @property
    def model(self) -> str:
        """Model to run; empty when the caller's choice stands."""
        models = self.job.route.models
        return models[self.model_index] if models else ""

    def take(self, endpoint: EndpointState, now: float) -> None:
        """Note that the request goes to an endpoint."""
        self.endpoint_id = endpoint.record.endpoint_id
        self.tried.add(self.endpoint_id)
        self.started = now
        self.sent += 1
        self.running += 1

    def is_new(self, event: bytes) -> bool:
        """Return whether the caller lacks an event, and note that it gets it."""
        number = event_id(event)
        if number is None:
            return True
        if self.last_event_id is not None and number <= self.last_event_id:
            return False
        self.last_event_id = number
        return True

    def final_error(self) -> ComfreyhatchError:
        """Return what to tell the caller after the last attempt failed."""
        assert self.error is not None
        if self.running == 0 and isinstance(self.error, BackendRefusedError):
            return RefusedError(
                str(self.error), ResultCode.ENDPOINT_REFUSED, retry_after_s=REFUSED_RETRY_S
            )
        if self.error.ran is Ran.NO:
            return BackendError(str(self.error))
        return self.error
