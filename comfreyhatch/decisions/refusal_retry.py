"""Whether a request that every source refused is offered again a little later."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import ComfreyhatchError

RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8)
RETRYABLE_CODES = (ResultCode.OVERLOADED, ResultCode.NO_ENDPOINT)


class RefusalRetry:
    """Whether a request that was refused everywhere may be offered again a little later.

    It may while nothing has run, some source was merely full, and its deadline allows: a daemon
    that has just joined, or whose endpoints' limits fell, holds no slots for a moment.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._full = False
        self._final = False

    def record(self, error: ComfreyhatchError) -> None:
        """Take in how a source ended."""
        self._full = self._full or error.code is ResultCode.OVERLOADED
        self._final = self._final or error.code not in RETRYABLE_CODES or error.ran is not Ran.NO

    def may_retry(self, delay_s: float, now: float) -> bool:
        """Return whether to offer the request again after a time."""
        return self._full and not self._final and now + delay_s < self._deadline
