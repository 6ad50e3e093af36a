"""Whether a request that every source refused is offered again a little later."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import ComfreyhatchError

WAITS_S = (0.1, 0.2, 0.4, 0.8)
WAITING_CODES = (ResultCode.OVERLOADED, ResultCode.NO_ENDPOINT)


class Patience:
    """Whether a request that was refused everywhere may be offered again a little later.

    It may while nothing has run, some source was merely full, and its deadline allows: a daemon
    that has just joined, or whose endpoints' limits fell, holds no slots for a moment.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._full = False
        self._final = False

    def note(self, error: ComfreyhatchError) -> None:
        """Take in how a source ended."""
        self._full = self._full or error.code is ResultCode.OVERLOADED
        self._final = self._final or error.code not in WAITING_CODES or error.ran is not Ran.NO

    def may_wait(self, wait_s: float, now: float) -> bool:
        """Return whether to offer the request again after a time."""
        return self._full and not self._final and now + wait_s < self._deadline
