"""How an attempt failed at its endpoint."""

from enum import Enum

from msgspec import Struct


class FailureKind(Enum):
    """How an attempt failed; the value is its name in logs and in stored evidence.

    The last four are lost answers: what was lost with them may be the fault of the endpoint or of
    the path to it, and not of the version.
    """

    STATUS = "status"
    INVALID = "invalid answer"
    NO_ANSWER = "no answer"
    CUT = "cut answer"
    TIMEOUT = "timeout"
    STALL = "stall"


LOST_KINDS = frozenset(
    {FailureKind.NO_ANSWER, FailureKind.CUT, FailureKind.TIMEOUT, FailureKind.STALL}
)
# Lost answers whose connection broke; of the others nothing came.
BROKEN_KINDS = frozenset({FailureKind.NO_ANSWER, FailureKind.CUT})


class Failure(Struct, frozen=True):
    """A failure of an attempt.

    Attributes:
        kind: How it failed.
        status: HTTP status of the answer that reports it; None if there is none.
    """

    kind: FailureKind
    status: int | None = None

    @property
    def text(self) -> str:
        """Name of the failure in logs and in stored evidence."""
        return self.kind.value if self.status is None else f"{self.kind.value} {self.status}"
