"""Routing of chat requests: session, plan, local dispatch or forwarding, and the record."""

import logging
from asyncio import CancelledError, sleep
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from random import Random
from time import monotonic

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import Dispatcher, check_version
from comfreyhatch.daemon.history.records import RecordStore
from comfreyhatch.daemon.limits.budgets import Budgets
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.forwarding import Forwarder
from comfreyhatch.daemon.requests.member_hold_down import MemberHoldDown
from comfreyhatch.daemon.requests.refusals import (
    check_deadline,
    include_earlier_attempts,
    more_specific_error,
    no_endpoint_error,
)
from comfreyhatch.daemon.requests.sessions import SessionResolver
from comfreyhatch.daemon.versions.outcome_recorder import AnswerTrace, OutcomeRecorder
from comfreyhatch.daemon.versions.planner import Planner
from comfreyhatch.decisions.budgets import all_but_cheapest, max_cost_micros
from comfreyhatch.decisions.plan import Plan
from comfreyhatch.decisions.refusal_retry import RETRY_DELAYS_S, RETRYABLE_CODES, RefusalRetry
from comfreyhatch.decisions.retries import RetryBudget
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.journal import Intent
from comfreyhatch.domain.request import ChatRequest, Usage
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import AbandonedError, ComfreyhatchError
from comfreyhatch.ports.engine import Chunk, GenerateRequest
from comfreyhatch.ports.peers import Member

# Requests that may wait at a time for a retry after every source has refused them; others are
# refused at once.
MAX_WAITING_FOR_SLOTS = 64
# Sources tried before a request is retried after a delay or refused.
MAX_SOURCES_PER_ROUND = 6
# Failed attempts after which no further source is tried; refusals for lack of a slot or an
# endpoint do not count.
MAX_FAILED_ATTEMPTS = 6
# Further plans after one whose version turned out to accept no requests (REPLAN_CODES).
MAX_REPLANS = 2
REPLAN_CODES = (
    ResultCode.NO_ENDPOINT,
    ResultCode.NO_HEALTHY_VERSION,
    ResultCode.VERSION_WITHDRAWN,
)
LOCAL_SOURCE = "local"
# Appended to the request id under which the last step of a cascade runs.
ESCALATION_SUFFIX = "-e"

log = logging.getLogger("comfreyhatch.router")


class Source(Struct, frozen=True):
    """A way to get an answer: by this daemon's dispatcher or through a peer.

    Attributes:
        name: Instance id of the peer, or "local".
        open: Streams the answer to a request.
    """

    name: str
    open: Callable[[GenerateRequest], AsyncGenerator[Chunk, None]]


class Router:
    """Routes chat requests and streams their answers.

    Attributes:
        waiting_for_slots: Number of requests that wait now for a retry because every source has
            refused them.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordStore,
        config: Callable[[], FleetConfig],
        planner: Planner,
        outcome_recorder: OutcomeRecorder,
        rng: Random,
        sessions: SessionResolver,
        budgets: Budgets,
    ) -> None:
        """Create the router.

        Args:
            dispatcher: Dispatches to the endpoints of this zone.
            forwarder: Forwards requests to other daemons.
            records: Stores the records of requests.
            config: Returns the configuration in force.
            planner: Chooses the versions of a request.
            outcome_recorder: Records outcomes, latencies and ratings of answers.
            rng: Random source of jitter.
            sessions: Finds the versions of sessions.
            budgets: Reserves the cost of a request from its customer's budget.
        """
        self._sessions = sessions
        self._budgets = budgets
        self._planner = planner
        self._outcome_recorder = outcome_recorder
        self._rng = rng
        self.waiting_for_slots = 0
        self._retry_budget = RetryBudget()
        self._hold_down = MemberHoldDown()
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._config = config

    async def answer(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Stream the answer; the record is stored before the end of the answer is sent.

        Args:
            call: The request.
            contract: Contract of the customer.
            draft: Collects the record of the request.

        Raises:
            RequestError: If the contract does not allow the request.
            RefusedError: If it was refused; `ran` states whether an earlier attempt may have run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        stored = False
        try:
            call = await self._with_session(call, contract, draft)
            async with aclosing(self._run_plans(call, contract, draft)) as chunks:
                async for chunk in chunks:
                    if draft.first_token_s is None:
                        draft.first_token_s = monotonic() - draft.started_at
                        await self._records.wait_for_intent(draft.request_id)
                    if chunk.finish:
                        # The last tokens are sent at once; only the end waits for the record.
                        # When they waited too, one token gap in seventeen was twice as long as
                        # the engine's step.
                        if chunk.tokens:
                            yield _tokens_only(chunk)
                            chunk = replace(chunk, tokens=(), offset=_end_offset(chunk))
                        await self._store(draft, ResultCode.OK)
                        stored = True
                    yield chunk
        except ComfreyhatchError as error:
            code = error.code
            include_earlier_attempts(error, draft.attempts)
            raise
        except (GeneratorExit, CancelledError):
            code = ResultCode.ABANDONED
            raise
        finally:
            if not stored:
                await self._store(draft, code)

    async def _with_session(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> ChatRequest:
        """Return the request with the version of its session, if it has a session.

        A request that names a version is returned as it is.

        Raises:
            RefusedError: If the session's version is withdrawn and the contract does not let the
                session move.
        """
        config = self._config()
        if not call.session or call.model in config.version_by_id:
            return call
        resolved = await self._sessions.resolve(
            call, contract, config, lambda: self._propose_version(call, contract, draft)
        )
        draft.pin = resolved.source
        draft.session_token = resolved.token
        draft.moved_from = resolved.moved_from
        return replace(call, kept=resolved.version_id, pinned=resolved.source != "split")

    def _propose_version(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> Version:
        """Return the version whose model a new session is to use."""
        plan = self._planner.plan(call, contract, draft, monotonic())
        return self._version(plan.steps[-1])

    async def _store(self, draft: RecordDraft, code: ResultCode) -> None:
        record = draft.record(monotonic(), code)
        await self._records.commit(record)
        log.info(
            "event=request_done request=%s customer=%s code=%d ran=%s plan=%r cost_micros=%d",
            record.request_id,
            record.customer,
            record.code,
            record.ran.value,
            record.plan,
            record.cost_micros,
        )

    async def _run_plans(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Run a plan; if its version accepts no requests, run another without that version.

        Each plan's maximum cost is reserved from the customer's budget while the plan runs. If
        the budget allows only the cheapest version, the plan is made again for that one.
        """
        excluded: set[str] = set()
        while True:
            if call.kept:
                plan = self._planner.plan_pinned(call, contract, draft)
            else:
                plan = self._planner.plan(call, contract, draft, monotonic(), frozenset(excluded))
            intent = self._intent(call, plan, draft)
            reservation = await self._budgets.reserve(contract, intent.cost_micros)
            spent_before = draft.cost_micros
            any_chunk_sent = False
            try:
                if reservation.cheapest_only and not call.kept:
                    allowed = self._config().allowed_versions(contract)
                    too_expensive = all_but_cheapest(allowed, call)
                    plan = self._planner.plan(call, contract, draft, monotonic(), too_expensive)
                self._records.append_intent(intent)
                async with aclosing(self._run_plan(call, contract, plan, draft)) as chunks:
                    async for chunk in chunks:
                        any_chunk_sent = True
                        yield chunk
                return
            except ComfreyhatchError as error:
                may_replan = error.code in REPLAN_CODES and error.ran is Ran.NO
                if any_chunk_sent or call.kept or not may_replan or len(excluded) >= MAX_REPLANS:
                    raise
                excluded.add(draft.served_version)
            finally:
                self._budgets.settle(reservation, draft.cost_micros - spent_before)

    def _intent(self, call: ChatRequest, plan: Plan, draft: RecordDraft) -> Intent:
        """Return the journal entry written before the dispatch, with the plan's maximum cost."""
        versions = self._config().version_by_id
        steps = [versions[step] for step in plan.steps if step in versions]
        cost_micros = sum(max_cost_micros(v, call.messages, call.max_tokens) for v in steps)
        return Intent(
            call.request_id, call.customer, draft.started_unix_s, plan.steps[-1], cost_micros
        )

    async def _run_plan(
        self, call: ChatRequest, contract: Contract, plan: Plan, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Run the steps of a plan.

        The answer of each step but the last is buffered and rated; it is sent only if its rating
        reaches the contract's quality target.
        """
        *cheaper, last = plan.steps
        for step in cheaper:
            answer = await self._run_buffered(call, contract, step, draft)
            if answer:
                draft.served_version = step
                for chunk in answer:
                    yield chunk
                return
        draft.served_version = last
        run_id = f"{call.request_id}{ESCALATION_SUFFIX}" if cheaper else call.request_id
        async with aclosing(self._run_version(call, contract, last, run_id, draft)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def _run_buffered(
        self, call: ChatRequest, contract: Contract, version_id: str, draft: RecordDraft
    ) -> list[Chunk]:
        """Return a version's complete answer, or an empty list if it failed or rated too low."""
        answer: list[Chunk] = []
        try:
            async with aclosing(
                self._run_version(
                    call, contract, version_id, call.request_id, draft, rate_later=False
                )
            ) as chunks:
                answer = [chunk async for chunk in chunks]
        except ComfreyhatchError as error:
            draft.grounds += f"; {version_id} failed: {error.code.name}"
            return []
        text = "".join(token for chunk in answer for token in chunk.tokens)
        version = self._version(version_id)
        draft.rating = await self._outcome_recorder.rate_now(call, contract, version, text)
        if draft.rating is None or draft.rating < contract.quality_target:
            reason = "no rating" if draft.rating is None else f"rated {draft.rating:.2f}"
            draft.grounds += f"; escalated: {reason}"
            return []
        return answer

    async def _run_version(
        self,
        call: ChatRequest,
        contract: Contract,
        version_id: str,
        run_id: str,
        draft: RecordDraft,
        rate_later: bool = True,
    ) -> AsyncGenerator[Chunk, None]:
        """Stream a version's answer from the first source that sends a chunk.

        A source that fails after its first chunk ends the answer; there is no other attempt then.

        Args:
            call: The request.
            contract: Contract of the customer.
            version_id: Version to run.
            run_id: Request id for the endpoint.
            draft: Collects the attempts.
            rate_later: Whether the answer may be sampled for a rating.

        Raises:
            RefusedError: If the version was withdrawn, no endpoint serves it, a source refused the
                request and no other accepted it, or the deadline passed.
            BackendError: If an attempt failed and no other may follow.
        """
        version = self._version(version_id)
        self._retry_budget.request_started()
        last_error: ComfreyhatchError | None = None
        failed_attempts = 0
        refusal_retry = RefusalRetry(call.deadline)
        async for source in self._sources_with_retries(version_id, refusal_retry):
            started_at = monotonic()
            check_deadline(call.deadline, started_at)
            if last_error and failed_attempts >= MAX_FAILED_ATTEMPTS:
                break
            if last_error and last_error.ran is not Ran.NO and not self._retry_budget.take():
                raise last_error
            request = _generate_request(call, version, run_id, started_at)
            trace = self._outcome_recorder.start_trace(call, contract, version, started_at)
            try:
                async with aclosing(source.open(request)) as chunks:
                    async for chunk in chunks:
                        trace.record_chunk(chunk, monotonic())
                        if chunk.finish:
                            self._record_success(contract, version, trace, chunk, draft)
                            if rate_later:
                                self._outcome_recorder.rate_later(call, contract, version, trace)
                        yield chunk
                return
            except (GeneratorExit, CancelledError):
                self._record_abandoned(version, trace, draft)
                raise
            except ComfreyhatchError as error:
                draft.add_attempt(version, None, started_at, monotonic(), error=error)
                self._outcome_recorder.record_failure(version, error)
                if trace.first_token_at is not None:
                    raise
                self._hold_down.record_refusal(source.name, version_id, error, monotonic())
                last_error = more_specific_error(last_error, error)
                refusal_retry.record(error)
                failed_attempts += error.code not in RETRYABLE_CODES
                log.info(
                    "event=attempt_failed request=%s source=%s code=%d reason=%r",
                    call.request_id,
                    source.name,
                    error.code,
                    str(error),
                )
        raise last_error or no_endpoint_error(version_id, self._rng)

    def _record_success(
        self,
        contract: Contract,
        version: Version,
        trace: AnswerTrace,
        chunk: Chunk,
        draft: RecordDraft,
    ) -> None:
        now = monotonic()
        usage = chunk.usage or Usage()
        draft.add_attempt(version, chunk.served, trace.started_at, now, usage)
        self._outcome_recorder.record_success(contract, version, trace, now)

    def _record_abandoned(self, version: Version, trace: AnswerTrace, draft: RecordDraft) -> None:
        """Add the attempt that the caller's disconnect ended; its output tokens are billed."""
        usage = Usage(0, trace.tokens)
        error = AbandonedError("the caller disconnected")
        draft.add_attempt(version, None, trace.started_at, monotonic(), usage, error)

    def _version(self, version_id: str) -> Version:
        """Return a version that accepts requests.

        Raises:
            RefusedError: If it was withdrawn since the plan was made.
        """
        config = self._config()
        check_version(config, version_id)
        return config.version_by_id[version_id]

    async def _sources_with_retries(
        self, version_id: str, refusal_retry: RefusalRetry
    ) -> AsyncGenerator[Source, None]:
        """Yield the sources, and again after increasing delays while `refusal_retry` allows it.

        Without these retries, a daemon that holds no slots for a moment refuses requests whose
        deadlines are far away. The wait is here and not in the dispatcher's admission queue,
        where a daemon that holds no slots for good would keep requests until their deadlines.
        """
        if self._any_peer_full(version_id):
            refusal_retry.record_full()
        for source in self._sources(version_id)[:MAX_SOURCES_PER_ROUND]:
            yield source
        for wait_s in RETRY_DELAYS_S:
            wait_s *= 0.5 + self._rng.random()
            if (
                not refusal_retry.may_retry(wait_s, monotonic())
                or self.waiting_for_slots >= MAX_WAITING_FOR_SLOTS
            ):
                return
            self.waiting_for_slots += 1
            try:
                await sleep(wait_s)
            finally:
                self.waiting_for_slots -= 1
            for source in self._sources(version_id)[:MAX_SOURCES_PER_ROUND]:
                yield source

    def _sources(self, version_id: str) -> list[Source]:
        """Return the sources in the order to try: the local one first only if it has a free slot.

        Without a free slot it comes last, since a request would wait there in the queue.
        """
        local = Source(LOCAL_SOURCE, self._dispatcher.generate)
        serves = self._dispatcher.serves(version_id, self._config())
        if serves and self._dispatcher.has_free_slot():
            return [local, *self._peer_sources(version_id)]
        return [*self._peer_sources(version_id), *([local] if serves else [])]

    def _peer_sources(self, version_id: str) -> list[Source]:
        now = monotonic()
        return [
            Source(member.instance_id, self._forwarder.generate_via(member))
            for member in self._peers_that_serve(version_id)
            if self._hold_down.may_forward_to(member.instance_id, version_id, now)
        ]

    def _any_peer_full(self, version_id: str) -> bool:
        """Return whether a daemon that serves a version is not asked, as it was full."""
        now = monotonic()
        return any(
            self._hold_down.is_full(member.instance_id, version_id, now)
            for member in self._peers_that_serve(version_id)
        )

    def _peers_that_serve(self, version_id: str) -> list[Member]:
        config = self._config()
        return self._forwarder.candidates(config, self._dispatcher.holders(version_id, config))


def _tokens_only(chunk: Chunk) -> Chunk:
    """Return the last chunk of an answer without its finish reason, usage and load."""
    return Chunk(chunk.request_id, chunk.offset, chunk.tokens)


def _end_offset(chunk: Chunk) -> int:
    return chunk.offset + len(chunk.tokens)


def _generate_request(
    call: ChatRequest, version: Version, run_id: str, now: float
) -> GenerateRequest:
    return GenerateRequest(
        request_id=run_id,
        version_id=version.version_id,
        messages=call.messages,
        max_tokens=call.max_tokens,
        priority=call.priority,
        session=call.session,
        pinned=call.pinned,
        customer=call.customer,
        deadline_s=call.deadline - now,
    )
