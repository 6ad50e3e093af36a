"""Mints idempotency keys that name this process as the only one that may run their calls."""

import asyncio
import logging
from collections.abc import Callable
from itertools import islice
from secrets import token_hex
from time import monotonic

from msgspec.structs import replace
from prometheus_client import CollectorRegistry, Gauge

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.idempotency.claims import ClaimedAnswer, ClaimedCall, Execute
from comfreyhatch.decisions.minted import MintedKey, mint_key, parse_minted_key
from comfreyhatch.domain.claim import (
    Claim,
    ClaimState,
    StoredAnswer,
    claim_key,
    decode_claim,
    encode_claim,
    storable_answer,
)
from comfreyhatch.errors import ComfreyhatchError, PlatformError, RefusedError, RequestError
from comfreyhatch.ports.table import Insert, Table

# Keys whose executions are kept in memory; calls under further keys are refused.
MAX_KEYS = 20_000
# Total size of the bodies kept for replay; above it, the oldest are dropped down to half of it.
MAX_KEPT_BODY_BYTES = 4_000_000
# How long after its expiry a key is remembered, so that its answer can still be replayed.
EXPIRED_KEY_RETENTION_S = 60.0
MAX_KEYS_FORGOTTEN_PER_CALL = 100

log = logging.getLogger("comfreyhatch.claims")


class _Run:
    """The only execution under a key.

    Attributes:
        digest: SHA-256 of the call.
        forget_after: Time after which it is forgotten, in seconds on the monotonic clock.
        ended: Done when the execution has ended.
        answer: Answer, once the call has succeeded.
        error: Error, once the call has failed.
    """

    def __init__(self, digest: str, forget_after: float) -> None:
        self.digest = digest
        self.forget_after = forget_after
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.answer: StoredAnswer | None = None
        self.error: ComfreyhatchError | None = None


class MintedKeys:
    """Mints keys that name this process and runs the calls made under them at most once."""

    def __init__(
        self,
        table: Table,
        fleet_keys: tuple[bytes, ...],
        instance_id: str,
        incarnation: str,
        registry: CollectorRegistry | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create a set of keys without executions.

        Args:
            table: Table of the platform that stores answers for when this process has ended.
            fleet_keys: Keys shared by all daemons; the first one signs, any of them verifies.
            instance_id: Instance id of this daemon.
            incarnation: Incarnation of this daemon.
            registry: Registry for the metrics.
            clock: Monotonic clock, in seconds.
        """
        self._table = table
        self._fleet_keys = fleet_keys
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._clock = clock
        self._run_by_key: dict[str, _Run] = {}
        self._kept_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        key_count = Gauge(
            "comfreyhatch_minted_keys",
            "Minted keys whose executions are kept in memory.",
            registry=registry,
        )
        key_count.set_function(lambda: len(self._run_by_key))

    def mint(self, customer: str) -> str:
        """Return a new signed key for a customer."""
        return mint_key(
            self._fleet_keys[0],
            customer,
            self._instance_id,
            self._incarnation,
            self._clock(),
            token_hex(8),
        )

    def parse(self, customer: str, text: str) -> MintedKey:
        """Verify a minted key and return its parts.

        Raises:
            RequestError: If it was not minted by a daemon of the fleet for this customer.
        """
        return parse_minted_key(self._fleet_keys, customer, text)

    def is_own(self, key: MintedKey) -> bool:
        """Return whether this process is the runner that the key names."""
        return key.incarnation == self._incarnation

    async def run(self, call: ClaimedCall, key: MintedKey, execute: Execute) -> ClaimedAnswer:
        """Run a call at most once under a key that names this process.

        A repeated call waits for the execution and gets its answer.

        Raises:
            ComfreyhatchError: If the call is refused or failed.
        """
        self._forget_old()
        run = self._run_by_key.get(key.text)
        if run is not None:
            if run.digest != call.digest:
                raise RequestError(
                    "the idempotency key was used for another call", ResultCode.KEY_REUSED
                )
            await asyncio.shield(run.ended)
            return _answer_of(run, replayed=True)
        if self._clock() >= key.expires_at:
            raise RequestError("the minted key has expired", ran=Ran.UNKNOWN)
        if len(self._run_by_key) >= MAX_KEYS:
            raise RefusedError(
                "too many minted idempotency keys are in use", retry_after_s=EXPIRED_KEY_RETENTION_S
            )
        run = _Run(call.digest, key.expires_at + EXPIRED_KEY_RETENTION_S)
        self._run_by_key[key.text] = run
        task = asyncio.create_task(self._execute(call, key.text, run, execute))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(run.ended)
        return _answer_of(run, replayed=False)

    async def find_stored_answer(self, call: ClaimedCall, key: MintedKey) -> ClaimedAnswer:
        """Return the answer that a runner stored, for when the runner is not available.

        Raises:
            RefusedError: If none is stored; the call may have run.
        """
        unknown = RefusedError(
            f"the only process that may run the call, on {key.instance_id}, is not available",
            ResultCode.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
        )
        try:
            row = await self._table.read(claim_key(call.customer, key.text))
        except PlatformError:
            raise unknown from None
        claim = decode_claim(row.value) if row else None
        if claim is None or claim.answer is None or not claim.answer.whole:
            raise unknown
        if claim.digest != call.digest:
            raise RequestError(
                "the idempotency key was used for another call", ResultCode.KEY_REUSED
            )
        return ClaimedAnswer(claim.answer, replayed=True)

    async def close(self, timeout_s: float) -> None:
        """Wait for running calls and the writes of their answers, then cancel those left.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        for task in list(self._tasks):
            task.cancel()

    async def _execute(self, call: ClaimedCall, key: str, run: _Run, execute: Execute) -> None:
        """Execute a call and store its answer; forget the key if the call has not run."""
        try:
            run.answer = await execute()
            self._kept_bytes += len(run.answer.body)
        except ComfreyhatchError as error:
            run.error = error
            if error.ran is Ran.NO:
                del self._run_by_key[key]
        except BaseException as error:
            run.error = RefusedError(
                "the call failed with an internal error", ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN
            )
            log.error("event=minted_call_failed key=%s reason=%r", call.key, error)
            if not isinstance(error, Exception):
                raise
        finally:
            run.ended.set_result(None)
        if run.answer is not None:
            await self._record(call, run.answer)

    async def _record(self, call: ClaimedCall, answer: StoredAnswer) -> None:
        """Store the answer in the table for when this process has ended; best effort."""
        claim = Claim(
            self._instance_id,
            self._incarnation,
            call.key,
            call.digest,
            ClaimState.DONE,
            storable_answer(answer),
        )
        row = Insert(claim_key(call.customer, call.key), encode_claim(claim))
        try:
            await self._table.commit([row])
        except PlatformError:
            log.info("event=minted_answer_not_stored key=%s", call.key)

    def _forget_old(self) -> None:
        """Forget old keys; drop the oldest bodies if all together exceed `MAX_KEPT_BODY_BYTES`.

        A key is forgotten `EXPIRED_KEY_RETENTION_S` after it has expired at the earliest.
        """
        now = self._clock()
        for key, run in list(islice(self._run_by_key.items(), MAX_KEYS_FORGOTTEN_PER_CALL)):
            if not run.ended.done() or run.forget_after > now:
                break
            self._drop_body(run)
            del self._run_by_key[key]
        if self._kept_bytes > MAX_KEPT_BODY_BYTES:
            for run in self._run_by_key.values():
                if self._kept_bytes <= MAX_KEPT_BODY_BYTES // 2:
                    break
                self._drop_body(run)

    def _drop_body(self, run: _Run) -> None:
        """Drop the body of an answer; the call is still known to have run."""
        if run.answer is not None:
            self._kept_bytes -= len(run.answer.body)
            run.answer = replace(run.answer, body=b"", whole=False)


def _answer_of(run: _Run, replayed: bool) -> ClaimedAnswer:
    if run.error is not None:
        raise run.error
    assert run.answer is not None
    if not run.answer.whole:
        raise RefusedError(
            "the call has run, but its answer is no longer kept",
            ResultCode.ANSWER_NOT_KEPT,
            Ran.YES,
        )
    return ClaimedAnswer(run.answer, replayed)
