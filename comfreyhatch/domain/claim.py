"""Idempotency claims: permanent rows that name the only daemon that may run a call.

A call that may not be repeated is claimed before it is sent.
"""

import re
from enum import Enum

from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.errors import RequestError

MAX_STORED_BODY_BYTES = 65536
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:~@-]{1,200}")


class ClaimState(Enum):
    """State of a claim: running, released before the call ran, done, or outcome unknown."""

    RUNNING = "running"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(Struct, frozen=True):
    """The stored answer of a finished call; `whole` is False if its body was too large to store."""

    status: int
    content_type: str
    body: bytes
    whole: bool = True


class Claim(Struct, frozen=True, omit_defaults=True):
    """A claim on an idempotency key.

    Attributes:
        holder: Instance id of the daemon that may run the call.
        incarnation: Incarnation of that daemon.
        token: Identifier of the attempt that holds the claim.
        digest: SHA-256 of the call; distinguishes a repetition from another call with the same key.
        state: State of the claim.
        answer: Stored answer of the call; None before it is done.
    """

    holder: str
    incarnation: str
    token: str
    digest: str
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None


def check_idempotency_key(key: str) -> None:
    """Validate an idempotency key chosen by a caller.

    Raises:
        RequestError: If it is empty, too long or has characters other than A-Z a-z 0-9 _.:~@-
    """
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise RequestError("the idempotency key must be 1 to 200 of A-Z a-z 0-9 _ . : ~ @ -")


def claim_key(customer: str, key: str) -> str:
    """Return the table key of a claim."""
    return f"claim/{customer}/{key}"


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim with MessagePack."""
    return encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Decode a claim."""
    return decode(value, type=Claim)


def storable_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return the answer as it is stored: without its body if that exceeds the size limit."""
    if len(answer.body) <= MAX_STORED_BODY_BYTES:
        return answer
    return StoredAnswer(answer.status, answer.content_type, b"", whole=False)
