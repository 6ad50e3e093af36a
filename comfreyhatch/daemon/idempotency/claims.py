"""Runs non-repeatable calls at most once over all daemons, by claims in the platform's table."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from msgspec import Struct
from msgspec.structs import replace
from prometheus_client import CollectorRegistry, Counter, Gauge

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.claims import (
    NO_ANSWER,
    AskHolder,
    ClaimProtocol,
    ClaimQuery,
    Decision,
    Denied,
    Effect,
    Event,
    Granted,
    HolderReply,
    HolderState,
    Join,
    ReadRow,
    Replay,
    RowRead,
    acquire,
    release,
    settle,
)
from comfreyhatch.domain.claim import Claim, ClaimState, StoredAnswer, claim_key, storable_answer
from comfreyhatch.errors import ComfreyhatchError, PeerError, PlatformError, RefusedError
from comfreyhatch.ports.peers import PeerBus
from comfreyhatch.ports.table import Operation, Table, WriteOutcome

ACQUIRE_TIMEOUT_S = 2.0
HOLDER_QUERY_TIMEOUT_S = 0.5
# How long a finished call waits for the write of its final state before it is answered.
RECORD_WAIT_S = 0.25
# Exponential back-off of the writes that record or release a claim.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 5.0
ALREADY_RUNNING_RETRY_AFTER_S = 1.0

log = logging.getLogger("comfreyhatch.claims")

Execute = Callable[[], Awaitable[StoredAnswer]]


class ClaimedCall(Struct, frozen=True):
    """A non-repeatable call.

    Attributes:
        customer: Customer that calls.
        key: Idempotency key of the call.
        digest: SHA-256 of the call.
        first_attempt: Whether the caller asserts that it has not sent the call before.
    """

    customer: str
    key: str
    digest: str
    first_attempt: bool = False


class ClaimedAnswer(Struct, frozen=True):
    """The answer of a non-repeatable call.

    Attributes:
        answer: The answer.
        replayed: Whether it comes from an execution that an earlier attempt started.
    """

    answer: StoredAnswer
    replayed: bool


class _Attempt:
    """One attempt to run a call, from before its claim is written until its end is recorded.

    Attributes:
        key: Table key of the claim.
        claim: The claim, with its final state once the call has ended.
        revision: Revision of the table row at which the claim is held.
        maybe_written: Whether the claim may be in the table, now or after a delayed write.
        ended: Done when the execution has ended.
        error: Error of the execution, if it failed.
    """

    def __init__(self, key: str, claim: Claim) -> None:
        self.key = key
        self.claim = claim
        self.revision = 0
        self.maybe_written = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.error: ComfreyhatchError | None = None


class ClaimManager:
    """Acquires the claims of one incarnation, runs their calls and records how they end."""

    def __init__(
        self,
        table: Table,
        bus: PeerBus,
        instance_id: str,
        incarnation: str,
        registry: CollectorRegistry | None = None,
    ) -> None:
        """Create a manager without attempts and register for queries of other daemons.

        Args:
            table: Table of the platform that stores claims.
            bus: Carries queries between daemons.
            instance_id: Instance id of this daemon.
            incarnation: Incarnation of this daemon.
            registry: Registry for the metrics.
        """
        self._table = table
        self._bus = bus
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._attempt_count = 0
        self._attempt_by_token: dict[str, _Attempt] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        registry = registry or CollectorRegistry()
        self._decisions = Counter(
            "comfreyhatch_claim_decisions", "Claims by decision.", ["decision"], registry=registry
        )
        self._unrecorded = Gauge(
            "comfreyhatch_claims_unrecorded",
            "Executions that have not ended, and writes that record or release claims.",
            registry=registry,
        )
        self._unrecorded.set_function(lambda: len(self._tasks))
        bus.on_message(ClaimQuery, self._on_query)

    async def run(self, call: ClaimedCall, execute: Execute) -> ClaimedAnswer:
        """Run a call at most once over all daemons and retries, and return its answer.

        Args:
            call: The call.
            execute: Dispatches the call. It may raise an error with `ran` NO only if the call
                has not run, since the claim is then released.

        Raises:
            ComfreyhatchError: If the call is refused or its outcome is unknown.
        """
        attempt = self._new_attempt(call)
        decision = await self._acquire(attempt, call.first_attempt)
        self._decisions.labels(_decision_name(decision)).inc()
        if isinstance(decision, Granted):
            attempt.revision = decision.revision
            return await self._execute(attempt, execute)
        self._abandon(attempt)
        if isinstance(decision, Replay):
            return ClaimedAnswer(decision.answer, replayed=True)
        if isinstance(decision, Join):
            running = self._attempt_by_token[decision.token]
            await asyncio.shield(running.ended)
            return _answer_of(running, replayed=True)
        log.info("event=claim_denied key=%s code=%d", attempt.key, decision.code)
        raise _refusal(decision)

    async def drain(self, timeout_s: float) -> int:
        """Wait until all executions have ended and all claims are recorded or released.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Number of executions and writes that are not finished.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        return len(self._tasks)

    async def close(self) -> None:
        """Cancel all executions and writes that are not finished."""
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _new_attempt(self, call: ClaimedCall) -> _Attempt:
        self._attempt_count += 1
        token = f"{self._incarnation}.{self._attempt_count:x}"
        claim = Claim(self._instance_id, self._incarnation, token, call.digest)
        attempt = _Attempt(claim_key(call.customer, call.key), claim)
        self._attempt_by_token[token] = attempt
        return attempt

    async def _acquire(self, attempt: _Attempt, first_attempt: bool) -> Decision:
        protocol = acquire(
            attempt.key, attempt.claim, self._attempt_by_token.__contains__, first_attempt
        )
        try:
            async with asyncio.timeout(ACQUIRE_TIMEOUT_S):
                return await self._run_protocol(attempt, protocol)
        except TimeoutError:
            ran = Ran.NO if first_attempt else Ran.UNKNOWN
            return Denied(ResultCode.CLAIM_UNAVAILABLE, ran)
        except BaseException:
            self._abandon(attempt)
            raise

    async def _run_protocol(self, attempt: _Attempt, protocol: ClaimProtocol) -> Decision:
        """Perform the effects that the protocol yields until it returns a decision."""
        effect = next(protocol)
        while True:
            event = await self._perform(attempt, effect)
            try:
                effect = protocol.send(event)
            except StopIteration as end:
                decision: Decision = end.value
                return decision

    async def _perform(self, attempt: _Attempt, effect: Effect) -> Event:
        if isinstance(effect, ReadRow):
            try:
                return RowRead(await self._table.read(effect.key))
            except PlatformError:
                return NO_ANSWER
        if isinstance(effect, AskHolder):
            return await self._query_holder(effect.claim)
        # A write whose outcome is unknown may still take effect later.
        maybe_written = attempt.maybe_written
        attempt.maybe_written = True
        outcome = await self._write(effect.operation)
        attempt.maybe_written = maybe_written or outcome is not WriteOutcome.REFUSED
        return outcome

    async def _write(self, operation: Operation) -> WriteOutcome:
        try:
            return await self._table.commit([operation])
        except PlatformError:
            return WriteOutcome.UNKNOWN

    async def _query_holder(self, claim: Claim) -> Event:
        # The claim is of an earlier incarnation of this instance.
        if claim.holder == self._instance_id:
            return HolderReply(HolderState.GONE)
        query = ClaimQuery(claim.token, claim.incarnation)
        try:
            return await self._bus.request(claim.holder, query, HolderReply, HOLDER_QUERY_TIMEOUT_S)
        except PeerError:
            log.info("event=claim_holder_silent holder=%s token=%s", claim.holder, claim.token)
            return NO_ANSWER

    async def _on_query(self, _sender: str, query: ClaimQuery) -> HolderReply:
        if query.incarnation != self._incarnation:
            return HolderReply(HolderState.GONE)
        attempt = self._attempt_by_token.get(query.token)
        if attempt is None:
            return HolderReply(HolderState.ABANDONED)
        if not attempt.ended.done():
            return HolderReply(HolderState.ACTIVE)
        if attempt.claim.state is ClaimState.DONE:
            answer = attempt.claim.answer
            return HolderReply(HolderState.DONE, storable_answer(answer) if answer else None)
        return HolderReply(HolderState.UNKNOWN)

    async def _execute(self, attempt: _Attempt, execute: Execute) -> ClaimedAnswer:
        # If the caller disconnects, the call still runs to its end and is recorded.
        task = asyncio.create_task(self._execute_and_record(attempt, execute))
        self._track_task(task)
        await asyncio.shield(task)
        return _answer_of(attempt, replayed=False)

    async def _execute_and_record(self, attempt: _Attempt, execute: Execute) -> None:
        try:
            answer = await execute()
            attempt.claim = replace(attempt.claim, state=ClaimState.DONE, answer=answer)
        except ComfreyhatchError as error:
            attempt.error = error
            not_run = error.ran is Ran.NO
            state = ClaimState.RELEASED if not_run else ClaimState.UNKNOWN
            attempt.claim = replace(attempt.claim, state=state)
        except BaseException as error:
            attempt.error = RefusedError(
                "the call failed with an internal error", ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN
            )
            attempt.claim = replace(attempt.claim, state=ClaimState.UNKNOWN)
            log.error("event=claimed_call_failed key=%s reason=%r", attempt.key, error)
            if not isinstance(error, Exception):
                raise
        finally:
            if attempt.claim.state is ClaimState.RELEASED:
                del self._attempt_by_token[attempt.claim.token]
            attempt.ended.set_result(None)
        record = asyncio.create_task(self._record(attempt))
        self._track_task(record)
        await asyncio.wait([record], timeout=RECORD_WAIT_S)

    async def _record(self, attempt: _Attempt) -> None:
        """Write the final state of an attempt to the table, with retries until it is written."""
        claim = attempt.claim
        if claim.answer is not None:
            claim = replace(claim, answer=storable_answer(claim.answer))
        write = settle(attempt.key, claim, attempt.revision)
        delay_s = MIN_RETRY_DELAY_S
        while await self._write(write) is WriteOutcome.UNKNOWN:
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        # No other daemon writes this row, so REFUSED means that an earlier try took effect.
        self._attempt_by_token.pop(attempt.claim.token, None)

    def _abandon(self, attempt: _Attempt) -> None:
        """Give up an attempt that did not run its call; its token is never used again.

        Its claim is released if it may have been written.
        """
        del self._attempt_by_token[attempt.claim.token]
        if attempt.maybe_written:
            self._track_task(asyncio.create_task(self._release(attempt)))

    async def _release(self, attempt: _Attempt) -> None:
        """Release the claim of an abandoned attempt, with retries until the table answers."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                write = release(
                    attempt.key, attempt.claim.token, await self._table.read(attempt.key)
                )
                if write is None or await self._write(write) is not WriteOutcome.UNKNOWN:
                    return
            except PlatformError:
                pass
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _decision_name(decision: Decision) -> str:
    return decision.code.name if isinstance(decision, Denied) else type(decision).__name__


def _refusal(denied: Denied) -> RefusedError:
    running = denied.code is ResultCode.ALREADY_RUNNING
    retry_after_s = ALREADY_RUNNING_RETRY_AFTER_S if running else None
    message = "the call was not dispatched by this attempt"
    return RefusedError(message, denied.code, denied.ran, retry_after_s)


def _answer_of(attempt: _Attempt, replayed: bool) -> ClaimedAnswer:
    """Return the answer of an ended attempt, or raise its error."""
    if attempt.error is not None:
        raise attempt.error
    answer = attempt.claim.answer
    assert answer is not None
    return ClaimedAnswer(answer, replayed)
