"""Decides who may run a non-repeatable call, as a dialogue with the table and peers.

The dialogue is a generator: it yields what it wants done and is sent what came of it,
so that a test can fail, delay or stop it at every step.
"""

from collections.abc import Callable, Generator
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.claim import Claim, ClaimState, KeptAnswer, decode_claim, encode_claim
from comfreyhatch.ports.table import Insert, Row, Update, WriteOutcome

MAX_ACQUIRE_ROUNDS = 6


class ReadRow(Struct, frozen=True):
    """Asks for the claim's row; answered by a `RowRead` or `NO_ANSWER`."""

    key: str


class WriteRow(Struct, frozen=True):
    """Asks for a write; answered by a `WriteOutcome`, `UNKNOWN` for any failure."""

    operation: Insert | Update


class AskHolder(Struct, frozen=True):
    """Asks a claim's holder what became of it; answered by a `HolderReply` or `NO_ANSWER`."""

    claim: Claim


class RowRead(Struct, frozen=True):
    """The row that was read; None if absent."""

    row: Row | None


class HolderState(Enum):
    """What a holder says of a claim.

    ABANDONED is final: the holder will never dispatch under this token. GONE means that the
    instance is another incarnation and knows nothing.
    """

    ACTIVE = "active"
    DONE = "done"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    GONE = "gone"


class ClaimQuery(Struct, frozen=True, tag="claim-query"):
    """Asks a holder what became of one of its tokens."""

    token: str
    incarnation: str


class HolderReply(Struct, frozen=True, tag="claim-reply"):
    """A holder's answer about one of its claims."""

    state: HolderState
    answer: KeptAnswer | None = None


class NoAnswer(Enum):
    """Marks a read or a question that was not answered."""

    NO_ANSWER = "no-answer"


NO_ANSWER = NoAnswer.NO_ANSWER


class Granted(Struct, frozen=True):
    """The call may be dispatched, once; `revision` is that of the claim's row."""

    revision: int


class Replay(Struct, frozen=True):
    """The call ran already; this is its first answer."""

    answer: KeptAnswer


class Join(Struct, frozen=True):
    """The call is running in this very process under the token."""

    token: str


class Denied(Struct, frozen=True):
    """The call is refused, and not dispatched by this attempt."""

    code: ResultCode
    ran: Ran


Effect = ReadRow | WriteRow | AskHolder
Event = RowRead | WriteOutcome | HolderReply | NoAnswer
Decision = Granted | Replay | Join | Denied
ClaimProtocol = Generator[Effect, Event, Decision]


def acquire(
    key: str, attempt: Claim, is_active: Callable[[str], bool], first_attempt: bool
) -> ClaimProtocol:
    """Acquire a claim, or learn what became of the call.

    Args:
        key: Table key of the claim.
        attempt: The claim wanted, with a token that was never used before.
        is_active: Whether a token of this incarnation is being claimed or run.
        first_attempt: Whether the caller asserts that it sent the call nowhere before.

    Returns:
        The decision; only Granted allows a dispatch.
    """
    unavailable = Denied(ResultCode.CLAIM_UNAVAILABLE, Ran.NO if first_attempt else Ran.UNKNOWN)
    expected = 0
    for _ in range(MAX_ACQUIRE_ROUNDS):
        outcome = yield WriteRow(_claim_write(key, attempt, expected))
        if outcome is WriteOutcome.DONE:
            return Granted(expected + 1)
        read = yield ReadRow(key)
        if not isinstance(read, RowRead):
            return unavailable
        if read.row is None:
            expected = 0
            continue
        claim = decode_claim(read.row.value)
        judgement = _judge_row(claim, attempt, read.row.revision, is_active)
        if judgement is _Next.ASK_HOLDER:
            judgement = _judge_reply((yield AskHolder(claim)))
        if not isinstance(judgement, _Next):
            return judgement
        expected = read.row.revision
    return unavailable


def settle(key: str, claim: Claim, revision: int) -> Update:
    """Return the write that records the end of a claim held at a row revision."""
    return Update(key, encode_claim(claim), revision)


def release(key: str, token: str, row: Row | None) -> Update | None:
    """Return the write that releases an abandoned claim, or None if there is nothing to do.

    A released row is kept: deleting it would reset its revision, and a late duplicate of the
    release could then hit another daemon's claim.
    """
    if row is None:
        return None
    claim = decode_claim(row.value)
    if claim.token != token or claim.state is not ClaimState.RUNNING:
        return None
    return Update(key, encode_claim(replace(claim, state=ClaimState.RELEASED)), row.revision)


class _Next(Enum):
    """What follows when a row alone decides nothing."""

    TAKE_OVER = "take-over"
    ASK_HOLDER = "ask-holder"


def _claim_write(key: str, attempt: Claim, expected: int) -> Insert | Update:
    value = encode_claim(attempt)
    return Update(key, value, expected) if expected else Insert(key, value)


def _judge_row(
    claim: Claim, attempt: Claim, revision: int, is_active: Callable[[str], bool]
) -> Decision | _Next:
    if claim.token == attempt.token:
        return Granted(revision)
    if claim.state is ClaimState.RELEASED:
        return _Next.TAKE_OVER
    if claim.digest != attempt.digest:
        return Denied(ResultCode.KEY_REUSED, Ran.NO)
    if claim.state is not ClaimState.RUNNING:
        return _first_answer(claim.answer)
    if claim.incarnation != attempt.incarnation:
        return _Next.ASK_HOLDER
    # A token of this incarnation that is not active was abandoned, and is never used again.
    return Join(claim.token) if is_active(claim.token) else _Next.TAKE_OVER


def _judge_reply(reply: Event) -> Decision | _Next:
    if not isinstance(reply, HolderReply):
        return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    match reply.state:
        case HolderState.ABANDONED:
            return _Next.TAKE_OVER
        case HolderState.DONE:
            return _first_answer(reply.answer)
        case HolderState.ACTIVE:
            return Denied(ResultCode.ALREADY_RUNNING, Ran.UNKNOWN)
    return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def _first_answer(answer: KeptAnswer | None) -> Decision:
    if answer is None:
        return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    if not answer.whole:
        return Denied(ResultCode.ANSWER_NOT_KEPT, Ran.YES)
    return Replay(answer)
