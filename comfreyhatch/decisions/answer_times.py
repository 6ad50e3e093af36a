"""How long to wait for an answer of a server whose speed is learned from its answers."""

MIN_TIMEOUT_S = 0.8
MAX_TIMEOUT_S = 4.0
# The wait is this much longer than the server has taken lately.
TIMEOUT_FACTOR = 2.0
# Share that a slow answer keeps of its weight after each later one.
SLOWNESS_KEPT = 0.5


class AnswerTimes:
    """Learns how long a server takes until its answers begin.

    Answers that begin after the timeout count too. Otherwise a server that takes longer than the
    timeout would never be found slow, and each call to it would fail for as long as it is.
    """

    __slots__ = ("_slowness_s",)

    def __init__(self) -> None:
        self._slowness_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Time to wait for the next answer to begin, in seconds."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self._slowness_s))

    def record(self, took_s: float) -> None:
        """Record the time until an answer began, in seconds, without a wait that was asked for."""
        self._slowness_s = max(took_s, SLOWNESS_KEPT * self._slowness_s)
