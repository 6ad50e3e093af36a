"""How an attempt failed, by the error of its HTTP exchange."""

from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.errors import (
    AnswerMemoryError,
    ConnectError,
    ConnectionEndedError,
    ExchangeTimeoutError,
    HttpError,
    RelayError,
)

# Errors for which no endpoint is to blame, or that happen before anything was sent.
_NO_FAILURES = (AnswerMemoryError, ConnectError, RelayError)


def failure_of(error: HttpError, begun: bool) -> Failure | None:
    """Return how an attempt failed; None if its endpoint is not to blame.

    Args:
        error: Error of the exchange.
        begun: Whether the head of the answer was read.
    """
    if isinstance(error, _NO_FAILURES):
        return None
    if isinstance(error, ExchangeTimeoutError):
        return Failure(FailureKind.TIMEOUT)
    if isinstance(error, ConnectionEndedError):
        return Failure(FailureKind.CUT if begun else FailureKind.NO_ANSWER)
    return Failure(FailureKind.INVALID)
