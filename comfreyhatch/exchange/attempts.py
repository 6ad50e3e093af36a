"""Error of a request when no attempt is left."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import BackendError, BackendRefusedError, ComfreyhatchError, RefusedError

REFUSED_RETRY_AFTER_S = 0.3


def final_error(last: ComfreyhatchError, may_have_run: bool) -> ComfreyhatchError:
    """Return the error for the caller when no attempt is left.

    Args:
        last: Error of the last attempt.
        may_have_run: Whether any attempt may have run; the error then never states that none has.
    """
    if may_have_run and last.ran is Ran.NO:
        return BackendError(str(last))
    if isinstance(last, BackendRefusedError):
        return RefusedError(
            str(last), ResultCode.ENDPOINT_REFUSED, retry_after_s=REFUSED_RETRY_AFTER_S
        )
    return last
