"""The path of a chat request: plan, dispatch or forward, record."""

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
from comfreyhatch.daemon.history.records import RecordBook
from comfreyhatch.daemon.limits.budgets import Budgets
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.forwarding import Forwarder
from comfreyhatch.daemon.requests.member_hold_down import MemberHoldDown, more_specific_error
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
from comfreyhatch.errors import AbandonedError, ComfreyhatchError, RefusedError
from comfreyhatch.ports.engine import Chunk, GenerateRequest

RETRY_AFTER_S = 1.0
MAX_WAITING = 64
MAX_ASKED = 6
MAX_TRIES = 6
MAX_REPLANS = 2
UNUSABLE_CODES = (
    ResultCode.NO_ENDPOINT,
    ResultCode.NO_HEALTHY_VERSION,
    ResultCode.VERSION_WITHDRAWN,
)
LOCAL = "local"
ESCALATION_SUFFIX = "-e"

log = logging.getLogger("comfreyhatch.router")


class Source(Struct, frozen=True):
    """A way to get an answer: by this daemon itself or through a peer."""

    name: str
    open: Callable[[GenerateRequest], AsyncGenerator[Chunk, None]]


class Router:
    """Answers chat requests."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordBook,
        config: Callable[[], FleetConfig],
        planner: Planner,
        outcome_recorder: OutcomeRecorder,
        rng: Random,
        sessions: SessionResolver,
        budgets: Budgets,
    ) -> None:
        self._sessions = sessions
        self._budgets = budgets
        self._planner = planner
        self._outcome_recorder = outcome_recorder
        self._rng = rng
        self.waiting_for_slots = 0
        self._retries = RetryBudget()
        self._hold_down = MemberHoldDown()
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._config = config

    async def answer(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Stream the answer; the record is stored before the last chunk is given.

        Raises:
            RequestError: If the contract does not allow what is asked.
            RefusedError: If it cannot be served; it has not run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        stored = False
        try:
            call = await self._with_session(call, contract, draft)
            async with aclosing(self._run_plans(call, contract, draft)) as chunks:
                async for chunk in chunks:
                    if draft.first_token_s is None:
                        draft.first_token_s = monotonic() - draft.started
                        await self._records.begun(draft.request_id)
                    if chunk.finish:
                        # The last tokens need not wait; the end of the answer does.
                        if chunk.tokens:
                            yield _without_end(chunk)
                            chunk = replace(chunk, tokens=(), offset=_end_of(chunk))
                        await self._store(draft, ResultCode.OK)
                        stored = True
                    yield chunk
        except ComfreyhatchError as error:
            code = error.code
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
        """Return the request with the version that its session keeps.

        Raises:
            RefusedError: If that version is withdrawn and the contract wants no move.
        """
        config = self._config()
        if not call.session or call.model in config.version_by_id:
            return call
        settled = await self._sessions.resolve(
            call, contract, config, lambda: self._proposed(call, contract, draft)
        )
        draft.pin = settled.source
        draft.session_token = settled.token
        draft.moved_from = settled.moved_from
        return replace(call, kept=settled.version_id, pinned=settled.source != "split")

    def _proposed(self, call: ChatRequest, contract: Contract, draft: RecordDraft) -> Version:
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
        """Run a plan; when a version turns out not to take work, make another plan."""
        excluded: set[str] = set()
        while True:
            if call.kept:
                plan = self._planner.plan_pinned(call, contract, draft)
            else:
                plan = self._planner.plan(call, contract, draft, monotonic(), frozenset(excluded))
            intent = self._intent(call, plan, draft)
            held = await self._budgets.reserve(contract, intent.cost_micros)
            spent_before = draft.cost_micros
            begun = False
            try:
                if held.cheapest_only and not call.kept:
                    allowed = self._config().allowed_versions(contract)
                    dearer = all_but_cheapest(allowed, call)
                    plan = self._planner.plan(call, contract, draft, monotonic(), dearer)
                self._records.begin(intent)
                async with aclosing(self._run_plan(call, contract, plan, draft)) as chunks:
                    async for chunk in chunks:
                        begun = True
                        yield chunk
                return
            except ComfreyhatchError as error:
                unusable = error.code in UNUSABLE_CODES and error.ran is Ran.NO
                if begun or call.kept or not unusable or len(excluded) >= MAX_REPLANS:
                    if any(attempt.ran is not Ran.NO for attempt in draft.attempts):
                        # An earlier run of the request may have run, whatever the last did.
                        error.ran = Ran.YES if error.ran is Ran.YES else Ran.UNKNOWN
                    raise
                excluded.add(draft.served_version)
            finally:
                self._budgets.settle(held, draft.cost_micros - spent_before)

    def _intent(self, call: ChatRequest, plan: Plan, draft: RecordDraft) -> Intent:
        versions = self._config().version_by_id
        steps = [versions[step] for step in plan.steps if step in versions]
        cost = sum(max_cost_micros(v, call.messages, call.max_tokens) for v in steps)
        return Intent(call.request_id, call.customer, draft.started_unix_s, plan.steps[-1], cost)

    async def _run_plan(
        self, call: ChatRequest, contract: Contract, plan: Plan, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Run the steps of a plan; an answer that rates too low is never seen by the caller."""
        *cheaper, last = plan.steps
        for step in cheaper:
            held = await self._run_held(call, contract, step, draft)
            if held:
                draft.served_version = step
                for chunk in held:
                    yield chunk
                return
        draft.served_version = last
        run_id = f"{call.request_id}{ESCALATION_SUFFIX}" if cheaper else call.request_id
        async with aclosing(self._run_version(call, contract, last, run_id, draft)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def _run_held(
        self, call: ChatRequest, contract: Contract, version_id: str, draft: RecordDraft
    ) -> list[Chunk]:
        """Return a whole answer that rates high enough, else nothing."""
        held: list[Chunk] = []
        try:
            async with aclosing(
                self._run_version(call, contract, version_id, call.request_id, draft, rated=False)
            ) as chunks:
                held = [chunk async for chunk in chunks]
        except ComfreyhatchError as error:
            draft.grounds += f"; {version_id} failed: {error.code.name}"
            return []
        text = "".join(token for chunk in held for token in chunk.tokens)
        version = self._version(version_id)
        draft.rating = await self._outcome_recorder.rate_now(call, contract, version, text)
        if draft.rating is None or draft.rating < contract.quality_target:
            shown = "no rating" if draft.rating is None else f"rated {draft.rating:.2f}"
            draft.grounds += f"; escalated: {shown}"
            return []
        return held

    async def _run_version(
        self,
        call: ChatRequest,
        contract: Contract,
        version_id: str,
        run_id: str,
        draft: RecordDraft,
        rated: bool = True,
    ) -> AsyncGenerator[Chunk, None]:
        """Try one source after another until one gives its first chunk."""
        version = self._version(version_id)
        self._retries.request_started()
        last: ComfreyhatchError | None = None
        tries = 0
        refusal_retry = RefusalRetry(call.deadline)
        async for source in self._sources_in_time(version_id, refusal_retry):
            started = monotonic()
            if started >= call.deadline:
                raise RefusedError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)
            if last and last.ran is not Ran.NO and not self._retries.take():
                raise last
            if last and tries >= MAX_TRIES:
                break
            request = _generate_request(call, version, run_id, started)
            trace = self._outcome_recorder.start_trace(call, contract, version, started)
            try:
                async with aclosing(source.open(request)) as chunks:
                    async for chunk in chunks:
                        trace.record_chunk(chunk, monotonic())
                        if chunk.finish:
                            self._note_end(contract, version, trace, chunk, draft)
                            if rated:
                                self._outcome_recorder.rate_later(call, contract, version, trace)
                        yield chunk
                return
            except (GeneratorExit, CancelledError):
                self._note_abandoned(version, trace, draft)
                raise
            except ComfreyhatchError as error:
                draft.add_attempt(version, None, started, monotonic(), error=error)
                self._outcome_recorder.record_failure(version, error)
                if trace.first_token_at is not None:
                    raise
                self._hold_down.record_refusal(source.name, version_id, error, monotonic())
                last = more_specific_error(last, error)
                refusal_retry.record(error)
                tries += error.code not in RETRYABLE_CODES
                log.info(
                    "event=attempt_failed request=%s source=%s code=%d reason=%r; trying the next",
                    call.request_id,
                    source.name,
                    error.code,
                    str(error),
                )
        raise last or RefusedError(
            f"no endpoint serves {version_id}",
            ResultCode.NO_ENDPOINT,
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S * (1 + self._rng.random()),
        )

    def _note_end(
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

    def _note_abandoned(self, version: Version, trace: AnswerTrace, draft: RecordDraft) -> None:
        """Bill the tokens that came before the caller went away."""
        usage = Usage(0, trace.tokens)
        error = AbandonedError("the caller went away")
        draft.add_attempt(version, None, trace.started_at, monotonic(), usage, error)

    def _version(self, version_id: str) -> Version:
        """Return a version that takes work now.

        Raises:
            RefusedError: If it was withdrawn since the plan was made.
        """
        config = self._config()
        check_version(config, version_id)
        return config.version_by_id[version_id]

    async def _sources_in_time(
        self, version_id: str, refusal_retry: RefusalRetry
    ) -> AsyncGenerator[Source, None]:
        """Yield all sources, and again after a while if every one was merely full."""
        for source in self._sources(version_id)[:MAX_ASKED]:
            yield source
        for wait_s in RETRY_DELAYS_S:
            wait_s *= 0.5 + self._rng.random()
            if (
                not refusal_retry.may_retry(wait_s, monotonic())
                or self.waiting_for_slots >= MAX_WAITING
            ):
                return
            self.waiting_for_slots += 1
            try:
                await sleep(wait_s)
            finally:
                self.waiting_for_slots -= 1
            for source in self._sources(version_id)[:MAX_ASKED]:
                yield source

    def _sources(self, version_id: str) -> list[Source]:
        """Return the local slots if any is free, else some peers first and then the local queue."""
        local = Source(LOCAL, self._dispatcher.generate)
        serves = self._dispatcher.serves(version_id, self._config())
        if serves and self._dispatcher.has_free_slot():
            return [local, *self._peer_sources(version_id)]
        return [*self._peer_sources(version_id), *([local] if serves else [])]

    def _peer_sources(self, version_id: str) -> list[Source]:
        now, config = monotonic(), self._config()
        holders = self._dispatcher.holders(version_id, config)
        return [
            Source(member.instance_id, self._forwarder.generate_via(member))
            for member in self._forwarder.candidates(config, holders)
            if self._hold_down.may_forward_to(member.instance_id, version_id, now)
        ]


def _without_end(chunk: Chunk) -> Chunk:
    """Return the tokens of the last piece of an answer without the mark of its end."""
    return Chunk(chunk.request_id, chunk.offset, chunk.tokens)


def _end_of(chunk: Chunk) -> int:
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
