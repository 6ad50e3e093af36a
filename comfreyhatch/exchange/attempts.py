"""What a caller is told once no attempt is left."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import BackendError, BackendRefusedError, ComfreyhatchError, RefusedError

MAX_REFUSED_ATTEMPTS = 4
MAX_UNREACHABLE_ATTEMPTS = 8
REFUSED_RETRY_AFTER_S = 0.3


def final_error(last: ComfreyhatchError, may_have_run: bool) -> ComfreyhatchError:
    """Return the error for a request, by how its last attempt ended.

    Args:
        last: How the last attempt ended.
        may_have_run: Whether any attempt may have run; then nothing may say that none has.
    """
    if may_have_run and last.ran is Ran.NO:
        return BackendError(str(last))
    if isinstance(last, BackendRefusedError):
        return RefusedError(
            str(last), ResultCode.ENDPOINT_REFUSED, retry_after_s=REFUSED_RETRY_AFTER_S
        )
    return last
