"""Claims on non-repeatable calls, so that each call is dispatched at most once.

`acquire` is a generator without I/O. It yields effects, such as a read of the table or a query
to another daemon, and is sent their results, so that a test can fail, delay or stop it at every
step.
"""

from collections.abc import Callable, Generator
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.claim import Claim, ClaimState, StoredAnswer, decode_claim, encode_claim
from comfreyhatch.ports.table import Insert, Row, Update, WriteOutcome

# Attempts to write the claim's row, each followed by a read, before the claim is unavailable.
MAX_ACQUIRE_ROUNDS = 6


class ReadRow(Struct, frozen=True):
    """Effect: read the claim's row; the result is a `RowRead` or `NO_ANSWER`."""

    key: str


class WriteRow(Struct, frozen=True):
    """Effect: write the claim's row; the result is a `WriteOutcome`, `UNKNOWN` on failure."""

    operation: Insert | Update


class AskHolder(Struct, frozen=True):
    """Effect: query the claim's holder; the result is a `HolderReply` or `NO_ANSWER`."""

    claim: Claim


class RowRead(Struct, frozen=True):
    """Result of a read; the row is None if it does not exist."""

    row: Row | None


class HolderState(Enum):
    """State of a claim as its holder reports it.

    ABANDONED is final: the holder will never dispatch under this token. GONE means that the
    instance now runs as another incarnation, which does not know the claim.
    """

    ACTIVE = "active"
    DONE = "done"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    GONE = "gone"


class ClaimQuery(Struct, frozen=True, tag="claim-query"):
    """Query to a holder for the state of one of its tokens."""

    token: str
    incarnation: str


class HolderReply(Struct, frozen=True, tag="claim-reply"):
    """Answer to a `ClaimQuery`; holds the answer of the call once it is done."""

    state: HolderState
    answer: StoredAnswer | None = None


class NoAnswer(Enum):
    """Result of a read or a query that failed or timed out."""

    NO_ANSWER = "no-answer"


NO_ANSWER = NoAnswer.NO_ANSWER


class Granted(Struct, frozen=True):
    """The call may be dispatched once; `revision` is the revision of the claim's row."""

    revision: int


class Replay(Struct, frozen=True):
    """The call has already run; `answer` is the answer of that run."""

    answer: StoredAnswer


class Join(Struct, frozen=True):
    """The call is running in this process under the token."""

    token: str


class Denied(Struct, frozen=True):
    """The call is refused and not dispatched by this attempt.

    Attributes:
        code: Result code for the caller.
        ran: Whether the call has run on any daemon.
    """

    code: ResultCode
    ran: Ran


Effect = ReadRow | WriteRow | AskHolder
Event = RowRead | WriteOutcome | HolderReply | NoAnswer
Decision = Granted | Replay | Join | Denied
ClaimProtocol = Generator[Effect, Event, Decision]


def acquire(
    key: str, attempt: Claim, is_active: Callable[[str], bool], first_attempt: bool
) -> ClaimProtocol:
    """Acquire a claim, or find out how the call ended under an earlier claim.

    If the claim can't be read, the call is refused with `Ran.UNKNOWN` unless this is the first
    attempt, since it may have run on another daemon.

    Args:
        key: Table key of the claim.
        attempt: Claim to be written, with a token that was never used before.
        is_active: Returns whether a token of this incarnation is being claimed or run.
        first_attempt: Whether the caller asserts that it has not sent the call before.

    Returns:
        The decision; only `Granted` allows a dispatch.
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
        result = _decide_by_row(claim, attempt, read.row.revision, is_active)
        if result is _Next.ASK_HOLDER:
            result = _decide_by_reply((yield AskHolder(claim)))
        if not isinstance(result, _Next):
            return result
        expected = read.row.revision
    return unavailable


def settle(key: str, claim: Claim, revision: int) -> Update:
    """Return the write that records the final state of a claim.

    Args:
        key: Table key of the claim.
        claim: The claim with its final state.
        revision: Revision of the row at which the claim is held.
    """
    return Update(key, encode_claim(claim), revision)


def release(key: str, token: str, row: Row | None) -> Update | None:
    """Return the write that releases an abandoned claim.

    A released row is not deleted: deleting it would reset its revision, and a late duplicate of
    the release could then overwrite another daemon's claim.

    Args:
        key: Table key of the claim.
        token: Token of the abandoned claim.
        row: Present row of the claim; None if it does not exist.

    Returns:
        The write; None if the claim does not run under the token.
    """
    if row is None:
        return None
    claim = decode_claim(row.value)
    if claim.token != token or claim.state is not ClaimState.RUNNING:
        return None
    return Update(key, encode_claim(replace(claim, state=ClaimState.RELEASED)), row.revision)


class _Next(Enum):
    """Next step when the row or the holder's reply gives no decision."""

    TAKE_OVER = "take-over"
    ASK_HOLDER = "ask-holder"


def _claim_write(key: str, attempt: Claim, expected: int) -> Insert | Update:
    value = encode_claim(attempt)
    return Update(key, value, expected) if expected else Insert(key, value)


def _decide_by_row(
    claim: Claim, attempt: Claim, revision: int, is_active: Callable[[str], bool]
) -> Decision | _Next:
    """Return the decision or the next step for a claim that is already in the row."""
    if claim.token == attempt.token:
        return Granted(revision)
    if claim.state is ClaimState.RELEASED:
        return _Next.TAKE_OVER
    if claim.digest != attempt.digest:
        return Denied(ResultCode.KEY_REUSED, Ran.NO)
    if claim.state is not ClaimState.RUNNING:
        return _decide_by_answer(claim.answer)
    if claim.incarnation != attempt.incarnation:
        return _Next.ASK_HOLDER
    # A token of this incarnation that is not active was abandoned and is never used again.
    return Join(claim.token) if is_active(claim.token) else _Next.TAKE_OVER


def _decide_by_reply(reply: Event) -> Decision | _Next:
    """Return the decision or the next step after a query to the holder."""
    if not isinstance(reply, HolderReply):
        return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    match reply.state:
        case HolderState.ABANDONED:
            return _Next.TAKE_OVER
        case HolderState.DONE:
            return _decide_by_answer(reply.answer)
        case HolderState.ACTIVE:
            return Denied(ResultCode.ALREADY_RUNNING, Ran.UNKNOWN)
    return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def _decide_by_answer(answer: StoredAnswer | None) -> Decision:
    """Return the decision for a call that has ended, by what is stored of its answer."""
    if answer is None:
        return Denied(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    if not answer.whole:
        return Denied(ResultCode.ANSWER_NOT_KEPT, Ran.YES)
    return Replay(answer)
