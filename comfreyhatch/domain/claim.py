"""Claims: permanent records that a non-repeatable call has its one runner."""

import re
from enum import Enum

from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.errors import RequestError

MAX_STORED_ANSWER_BYTES = 65536
KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:~@-]{1,200}")


class ClaimState(Enum):
    """Life of a claim: running, released unrun, done, or run with an unknown outcome."""

    RUNNING = "running"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(Struct, frozen=True):
    """The answer of a finished call; `whole` is false if the body was too large to keep."""

    status: int
    content_type: str
    body: bytes
    whole: bool = True


class Claim(Struct, frozen=True, omit_defaults=True):
    """A claim on an idempotency key.

    Attributes:
        holder: Instance id of the daemon that may run the call.
        incarnation: Incarnation of that daemon.
        token: Identifier of the one attempt that holds the claim.
        digest: SHA-256 of the call, to tell a repeated call from another one.
        state: Life of the claim.
        answer: Answer, once done.
    """

    holder: str
    incarnation: str
    token: str
    digest: str
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None


def check_idempotency_key(key: str) -> None:
    """Check a key that a caller chose.

    Raises:
        RequestError: If it is empty, too long or has characters other than A-Z a-z 0-9 _.:~@-
    """
    if not KEY_PATTERN.fullmatch(key):
        raise RequestError("the idempotency key must be 1 to 200 of A-Z a-z 0-9 _ . : ~ @ -")


def claim_key(customer: str, key: str) -> str:
    """Return the table key of a claim."""
    return f"claim/{customer}/{key}"


def encode_claim(claim: Claim) -> bytes:
    """Return the bytes of a claim's row."""
    return encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Return the claim of a row."""
    return decode(value, type=Claim)


def storable_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return what is kept of an answer; a body over the limit is left out."""
    if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
        return answer
    return StoredAnswer(answer.status, answer.content_type, b"", whole=False)
