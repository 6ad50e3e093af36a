"""Proxies streamed answers: model cascade, relayed events, resumption on another endpoint."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

from comfreyhatch.adapters.http_server import HttpResponse
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.engine_priority import engine_priority
from comfreyhatch.decisions.engine_time import EngineTimes
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.retries import SampleWindow
from comfreyhatch.decisions.slowness import slowdown
from comfreyhatch.decisions.stall import first_event_limits
from comfreyhatch.domain.exchange import Dispatch, Job
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    ComfreyhatchError,
    PromptBlockedError,
    RefusedError,
    RequestBlockedError,
)
from comfreyhatch.exchange.answers import StreamedAnswer
from comfreyhatch.exchange.attempts import final_error
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.event_relay import EventRelay, require_time
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.health import note_lost_answer
from comfreyhatch.exchange.model_cascade import ModelCascade
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.sender import Sender
from comfreyhatch.exchange.slot_lease import SlotLease
from comfreyhatch.exchange.stall_watchdog import StallWatchdog
from comfreyhatch.exchange.stream_retries import StreamRetries
from comfreyhatch.exchange.stream_state import DEADLINE_MARGIN_S, StreamState

# Quantile of recent times to the first event that the stall limits are computed from.
FIRST_EVENT_QUANTILE = 0.95
MAX_LOGGED_PARTS = 8
# An endpoint may cut an answer that it can't send on for this long, as the caller reads slowly; it
# is not to blame for that.
UNREAD_CUT_S = 1.0

log = logging.getLogger("comfreyhatch.streams")


class StreamProxy:
    """Sends requests to endpoints and relays the events of their answers."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        sender: Sender,
        budget: Callable[[str], ExtraRequestBudget],
        evidence: EvidenceCollector,
        bill: Callable[[Job, str, int], None],
        count_cascade_answer: Callable[[bool], None],
        crashes: CrashGuard,
        verify: Callable[[EndpointTracker], None],
    ) -> None:
        """Create the proxy.

        Args:
            scheduler: Assigns endpoints to attempts.
            sender: Sends attempts to endpoints.
            budget: Returns the budget of extra requests of a service.
            evidence: Counts the outcome of each attempt.
            bill: Bills an answer; called with the request, the model and the number of events.
            count_cascade_answer: Counts an answer of the smallest model; called with whether the
                answer is dropped.
            crashes: Refuses requests and prompts that crash endpoints, and follows attempts.
            verify: Finds out whether an endpoint that answers load probes is busy or silent.
        """
        self._crashes = crashes
        self._bill = bill
        self._scheduler = scheduler
        self._sender = sender
        self._evidence = evidence
        self._first_event_latencies: dict[tuple[str, str], SampleWindow] = {}
        self._engine_times = EngineTimes()
        self._retries = StreamRetries(scheduler, sender, budget, crashes)
        self._cascade = ModelCascade(
            scheduler, budget, crashes, self._retries, self._engine_times, count_cascade_answer
        )
        self._watchdog = StallWatchdog(self._retries.reserve_stalled, verify, self._note_stalled)
        self._events = EventRelay(evidence, self._watchdog, crashes)

    async def run(self, job: Job) -> HttpResponse:
        """Return an answer whose body relays the events of endpoints.

        Raises:
            RefusedError: If the request has not run.
            BackendError: If it may have run and there is no answer.
        """
        stream = StreamState(job)
        try:
            answer = await self._open_cascade(stream)
            if not answer.head.success:
                return await self._failed_response(stream, answer)
        finally:
            stream.arrivals.release_unused()
        stream.head = answer.head
        return HttpResponse(
            answer.head.status, headers=answer.head.headers, stream=self._relay(stream, answer)
        )

    async def _open_cascade(self, stream: StreamState) -> StreamedAnswer:
        """Return an answer of the smallest model, or of the largest if the request escalates."""
        while True:
            answer = await self._open(stream)
            if not answer.head.success or not self._cascade.take_escalation(stream, answer):
                return answer
            answer.endpoint.record_complete_answer()
            await self._close(stream, answer)
            stream.give_up_attempt(max_silent_s=None)
            stream.model_index = len(stream.job.route.models) - 1
            stream.excluded_ids.clear()

    async def _open(self, stream: StreamState) -> StreamedAnswer:
        """Return a successful answer, or the last failed one if no attempt is left.

        A failed one is returned only before the caller has part of an answer.

        Raises:
            RefusedError: If the request has not run.
            BackendError: If it may have run and there is no answer.
        """
        while True:
            try:
                answer = await self._attempt(stream)
            except (PromptBlockedError, RequestBlockedError) as error:
                if stream.account.may_have_run:
                    raise BackendError(str(error)) from error
                raise
            except RefusedError as error:
                if await self._retries.pause_before_resume(stream, str(error)):
                    continue
                if stream.account.may_have_run:
                    raise BackendError(str(error)) from error
                raise
            except BackendError as error:
                stream.error = error
                self._log_failure(stream, error, begun=False)
            else:
                if answer.head.success and stream.may_follow(answer.head):
                    return answer
                if not stream.head_sent:
                    stream.error = None
                    if not await self._retries.take(stream):
                        return answer
                    answer.endpoint.record_complete_answer()
                    await self._close(stream, answer)
                    continue
                # Closed before any pause: its slot may not wait, nor be lost if the caller leaves.
                answer.endpoint.record_complete_answer()
                await self._close(stream, answer)
                stream.error = AnswerBrokenError(
                    f"the stream could not be resumed: status {answer.head.status},"
                    f" media type {answer.head.media_type.decode('latin-1')!r}"
                )
            if not await self._retries.take(stream):
                assert stream.error is not None
                raise final_error(stream.error, stream.account.may_have_run)

    async def _attempt(self, stream: StreamState) -> StreamedAnswer:
        """Send the request to one endpoint and return its answer once the head was read."""
        loop = asyncio.get_running_loop()
        job = stream.job
        self._cascade.choose_single_run(stream, loop.time())
        work_s = self._engine_times.first_event_s(stream.model, job.exchange.prompt_tokens)
        lease = await self._place(stream, work_s)
        endpoint = lease.endpoint
        attempt = self._crashes.begin(job, endpoint, lease.started)
        observed = self._evidence.begin(job, endpoint, lease.started, stream.observed)
        stream.start_attempt(lease, attempt, observed)
        self._scheduler.pin_session(lease, lease.started)
        try:
            answer = await self._open_watched(stream, lease)
        except BaseException as error:
            stream.count_failure(endpoint, error)
            self._evidence.record_error(observed, error, stream.is_relayed, loop.time())
            self._scheduler.release(lease)
            await self._crashes.end_failed(attempt, error)
            raise
        lease.note_answer_started()
        stream.note_answered()
        now = loop.time()
        took_s = now - lease.started
        if not answer.head.success:
            failure = Failure(FailureKind.STATUS, answer.head.status)
            self._evidence.record_failure(observed, failure, now)
            self._crashes.end_complete(attempt, now)
        else:
            self._evidence.record_success(observed, slowdown(took_s, work_s), now)
            self._crashes.note_head(attempt, now)
            self._latency_window(stream).add(took_s)
            self._engine_times.record(stream.model, job.exchange.prompt_tokens, took_s)
            endpoint.record_delay(took_s - work_s, now)
            if endpoint.answers_probes:
                self._scheduler.load_view.note_delay(
                    job.service, lease.running_before, took_s - work_s
                )
        return answer

    async def _place(self, stream: StreamState, work_s: float) -> SlotLease:
        """Decide on an attempt and return the slot for it.

        Raises:
            RefusedError: If the request may not be sent, or gets no slot in time.
        """
        counted = stream.account.decide()
        try:
            lease = await self._acquire(stream, work_s)
        except ComfreyhatchError:
            stream.account.end_not_run(counted)
            raise
        stream.counted = counted
        return lease

    async def _acquire(self, stream: StreamState, work_s: float) -> SlotLease:
        job = stream.job
        now = asyncio.get_running_loop().time()
        refusal = self._crashes.refusal(job, now)
        if refusal is not None:
            raise refusal
        stream.excluded_ids = self._retries.excluded(stream, now)
        return await self._scheduler.acquire(
            job,
            stream.excluded_ids,
            work_s,
            resumes=stream.waits_until_deadline,
            max_silent_s=stream.max_silent_s,
        )

    async def _open_watched(self, stream: StreamState, lease: SlotLease) -> StreamedAnswer:
        """Return the answer once its head was read.

        Raises:
            AnswerBrokenError: If the watchdog interrupts the wait.
        """
        job = stream.job
        left_s = job.deadline - lease.started - DEADLINE_MARGIN_S
        dispatch = Dispatch(
            lease.endpoint.record.endpoint_id,
            left_s,
            job.workspace,
            stream.model,
            stream.last_event_id,
            engine_priority(job.rank, stream.head_sent),
        )
        arrival = stream.arrival
        assert arrival is not None
        opening = asyncio.create_task(
            self._sender.open(job, lease.endpoint, dispatch, max(0.0, left_s), arrival)
        )
        usual_s = self._latency_window(stream).quantile(FIRST_EVENT_QUANTILE)
        limits = first_event_limits(job.route.aim_s, usual_s)
        self._watchdog.watch(stream, limits, opening.cancel, lease.started)
        try:
            await asyncio.wait({opening})
        finally:
            self._watchdog.unwatch(stream)
            if not opening.done():
                opening.cancel()
                await asyncio.wait({opening})
            elif not opening.cancelled():
                # Retrieve the error: asyncio logs one that is never retrieved, as when the caller
                # disconnects at the same moment.
                opening.exception()
            arrival.end_unsent()
        if opening.cancelled():
            now = asyncio.get_running_loop().time()
            error = AnswerBrokenError(f"no event received within {now - lease.started:.2f} s")
            note_lost_answer(lease.endpoint, error, now)
            raise error
        return opening.result()

    async def _close(self, stream: StreamState, answer: StreamedAnswer) -> None:
        """Close an answer and release its slot."""
        self._watchdog.unwatch(stream)
        if stream.attempt is not None:
            self._crashes.end_unknown(stream.attempt, asyncio.get_running_loop().time())
        await answer.close()
        if stream.lease is not None:
            self._scheduler.release(stream.lease)
            stream.lease = None

    async def _failed_response(self, stream: StreamState, answer: StreamedAnswer) -> HttpResponse:
        """Read an endpoint's error answer and return it unchanged."""
        try:
            body = await answer.whole(stream.job.deadline)
        except AnswerBrokenError as error:
            note_lost_answer(answer.endpoint, error, asyncio.get_running_loop().time())
            raise
        finally:
            await self._close(stream, answer)
        answer.endpoint.record_complete_answer()
        return HttpResponse(answer.head.status, body, headers=answer.head.headers)

    async def _relay(self, stream: StreamState, answer: StreamedAnswer) -> AsyncIterator[bytes]:
        """Yield complete events; a broken stream is resumed on another endpoint."""
        try:
            while True:
                try:
                    async for events in self._events.new_events(stream, answer):
                        yield events
                    self._end_complete(stream)
                    self._bill(stream.job, stream.model, stream.events_relayed)
                    self._events.record_gap(stream, answer, ended=True)
                    return
                except AnswerBrokenError as error:
                    self._note_broken(stream, answer, error)
                finally:
                    await self._close(stream, answer)
                answer = await self._reopen(stream)
        finally:
            stream.arrivals.release_unused()

    def _note_broken(
        self, stream: StreamState, answer: StreamedAnswer, error: AnswerBrokenError
    ) -> None:
        """Note that an answer broke off that its caller has part of.

        Raises:
            BackendError: If the deadline has passed.
        """
        now = asyncio.get_running_loop().time()
        require_time(stream, now)
        stream.error = error
        self._log_failure(stream, error, begun=True)
        stream.count_failure(answer.endpoint, error)
        if stream.held_s < UNREAD_CUT_S:
            note_lost_answer(answer.endpoint, error, now)
            if stream.observed is not None:
                self._evidence.record_error(stream.observed, error, stream.is_relayed, now)

    def _note_stalled(self, stream: StreamState, now: float) -> None:
        """Note a stall as evidence, unless this daemon has lost its path to the endpoint."""
        if stream.observed is not None and not (stream.path_is_lost or stream.is_relayed):
            self._evidence.record_stall(stream.observed, now)

    async def _reopen(self, stream: StreamState) -> StreamedAnswer:
        """Return an answer that goes on with a broken stream.

        Raises:
            ComfreyhatchError: If there is none.
        """
        assert stream.error is not None
        if stream.attempt is not None:
            await self._crashes.end_failed(stream.attempt, stream.error)
        if not await self._retries.take(stream):
            raise final_error(stream.error, stream.account.may_have_run)
        return await self._open(stream)

    def _end_complete(self, stream: StreamState) -> None:
        if stream.attempt is not None:
            self._crashes.end_complete(stream.attempt, asyncio.get_running_loop().time())

    def _latency_window(self, stream: StreamState) -> SampleWindow:
        """Return the times to the first event for the stream's route and model."""
        key = (stream.job.route.name, stream.model)
        return self._first_event_latencies.setdefault(key, SampleWindow())

    def _log_failure(self, stream: StreamState, error: ComfreyhatchError, begun: bool) -> None:
        """Log a failed attempt; `begun` is whether the head of its answer was read."""
        log.info(
            "event=attempt_failed id=%s request=%s endpoint=%s code=%d ran=%s begun=%s events=%s"
            " parts=%s reason=%r",
            stream.job.exchange.request_id,
            stream.job.identity_text,
            stream.endpoint_id,
            error.code,
            error.ran.value,
            begun,
            stream.last_event_id,
            ",".join(stream.job.exchange.shared_part_ids[:MAX_LOGGED_PARTS]) or "none",
            str(error),
        )
