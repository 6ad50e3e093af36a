"""Claims: permanent records that a non-repeatable call has its one runner."""

from enum import Enum

from msgspec import Struct
from msgspec.msgpack import decode, encode

KEPT_ANSWER_BYTES = 65536


class ClaimState(Enum):
    """Life of a claim: running, released unrun, done, or run with an unknown outcome."""

    RUNNING = "running"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class KeptAnswer(Struct, frozen=True):
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
    answer: KeptAnswer | None = None


def claim_key(customer: str, key: str) -> str:
    """Return the table key of a claim."""
    return f"claim/{customer}/{key}"


def encode_claim(claim: Claim) -> bytes:
    """Return the bytes of a claim's row."""
    return encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Return the claim of a row."""
    return decode(value, type=Claim)


def kept_answer(status: int, content_type: str, body: bytes) -> KeptAnswer:
    """Return what is kept of an answer; a body over the limit is left out."""
    if len(body) <= KEPT_ANSWER_BYTES:
        return KeptAnswer(status, content_type, body)
    return KeptAnswer(status, content_type, b"", whole=False)
