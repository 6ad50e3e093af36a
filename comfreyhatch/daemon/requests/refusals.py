"""Refusals that the routers of chat requests and of plain services have in common."""

from collections.abc import Iterable
from random import Random

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.record import Attempt
from comfreyhatch.errors import ComfreyhatchError, RefusedError

# Retry-After of a request that no endpoint serves; jitter adds up to as much again.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


def no_endpoint_error(target: str, rng: Random) -> RefusedError:
    """Return the refusal of a request that no endpoint serves.

    Args:
        target: Version id or name of the plain service.
        rng: Random source of jitter.
    """
    return RefusedError(
        f"no endpoint serves {target}",
        ResultCode.NO_ENDPOINT,
        retry_after_s=NO_ENDPOINT_RETRY_AFTER_S * (1 + rng.random()),
    )


def check_deadline(deadline: float, now: float) -> None:
    """Refuse a request whose deadline has passed.

    Args:
        deadline: Monotonic time, in seconds.
        now: Monotonic time, in seconds.

    Raises:
        RefusedError: If the deadline has passed.
    """
    if now >= deadline:
        raise RefusedError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)


def more_specific_error(
    last: ComfreyhatchError | None, error: ComfreyhatchError
) -> ComfreyhatchError:
    """Return the error to report to the caller, of an earlier and a later one.

    NO_ENDPOINT is the least specific: the earlier error is returned if the later one is
    NO_ENDPOINT, otherwise the later one.
    """
    if last is not None and error.code is ResultCode.NO_ENDPOINT:
        return last
    return error


def include_earlier_attempts(error: ComfreyhatchError, attempts: Iterable[Attempt]) -> None:
    """Set the `ran` of a refusal to UNKNOWN if its request may have run in an earlier attempt.

    Args:
        error: Error to report to the caller.
        attempts: Attempts of the request that have ended.
    """
    if error.ran is Ran.NO and any(attempt.ran is not Ran.NO for attempt in attempts):
        error.ran = Ran.UNKNOWN
