"""Whether an answer is slow against those of the version that is being replaced.

Answers a version that gives right answers several times more slowly. Both versions run at the same
time, so that a load that slows both down does not count against the new one.
"""

from comfreyhatch.decisions.retries import LatencyWindow

MEDIAN_FACTOR = 3.0
HIGH_QUANTILE = 0.9
HIGH_FACTOR = 1.3
FRESH_S = 3.0
IDLE_QUANTILE = 0.2
IDLE_FACTOR = 4.0


class UsualTimes:
    """Times of the replaced versions' answers, in any unit that is the same for all of them."""

    def __init__(self) -> None:
        self._window = LatencyWindow()
        self._at = float("-inf")

    def note(self, value: float, now: float) -> None:
        """Take in the time of an answer."""
        self._window.add(value)
        self._at = now

    def is_slow(self, value: float, now: float, idle: bool = False) -> bool:
        """Return whether a time is far beyond the usual; False without fresh ones to compare.

        Args:
            value: Time of an answer.
            now: Monotonic time in seconds.
            idle: Whether its endpoint had little to do, so that it should be among the fast ones.
        """
        low = self._window.quantile(IDLE_QUANTILE)
        if idle and low is not None and now - self._at <= FRESH_S and value > IDLE_FACTOR * low:
            return True
        median = self._window.quantile(0.5)
        high = self._window.quantile(HIGH_QUANTILE)
        if median is None or high is None or now - self._at > FRESH_S:
            return False
        return value > max(MEDIAN_FACTOR * median, HIGH_FACTOR * high)
