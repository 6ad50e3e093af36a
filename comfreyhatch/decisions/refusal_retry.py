"""Retry of requests that every source has refused: this daemon itself and the peers asked."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import ComfreyhatchError

RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8)
RETRYABLE_CODES = (ResultCode.OVERLOADED, ResultCode.NO_ENDPOINT)


class RefusalRetry:
    """Decides whether a request that every source has refused is retried after a delay.

    It is retried if it has certainly not run anywhere, at least one source was only overloaded,
    and its deadline allows: a daemon that has just joined, or whose endpoints' limits have
    dropped, has no slots for a moment.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._any_overloaded = False
        self._not_retryable = False

    def record(self, error: ComfreyhatchError) -> None:
        """Record the error of one source."""
        self._any_overloaded = self._any_overloaded or error.code is ResultCode.OVERLOADED
        self._not_retryable = (
            self._not_retryable or error.code not in RETRYABLE_CODES or error.ran is not Ran.NO
        )

    def record_full(self) -> None:
        """Record that a source is not asked, as it was full a moment ago."""
        self._any_overloaded = True

    def may_retry(self, delay_s: float, now: float) -> bool:
        """Return whether to offer the request to the sources again after a delay.

        Args:
            delay_s: Delay before the retry, in seconds.
            now: Monotonic time in seconds.
        """
        return self._any_overloaded and not self._not_retryable and now + delay_s < self._deadline
