"""Whether an answer is slow against those of the version that is being replaced.

Answers a version that gives right answers several times more slowly. Both versions run at the same
time, so that a load that slows both down does not count against the new one. The new one has few
requests at first: its slow answers may take no longer than those of a loaded engine of the old one,
but an engine with less to do should be faster than that.
"""

from comfreyhatch.decisions.retries import SampleWindow

MEDIAN_FACTOR = 3.0
HIGH_QUANTILE = 0.9
HIGH_FACTOR = 1.3
FRESH_S = 3.0
IDLE_RUNNING = 3
IDLE_QUANTILE = 0.2
IDLE_FACTOR = 4.0
BUSY_RUNNING = 6
LESS_BUSY_SHARE = 0.5
LESS_BUSY_FACTOR = 1.5


class BaselineTimes:
    """Times of the replaced versions' answers, in any unit that is the same for all of them."""

    def __init__(self, load_dominated: bool = False) -> None:
        """Create it without any times.

        Args:
            load_dominated: Whether a time depends on little else than what its endpoint runs.
        """
        self._load_dominated = load_dominated
        self._times = SampleWindow()
        self._running = SampleWindow()
        self._at = float("-inf")

    def add(self, value: float, running: float, now: float) -> None:
        """Take in the time of an answer, and how many requests its endpoint was running."""
        self._times.add(value)
        self._running.add(running)
        self._at = now

    def is_slow(self, value: float, running: float, now: float) -> bool:
        """Return whether a time is far beyond the usual; False without fresh ones to compare.

        Args:
            value: Time of an answer.
            running: Requests that its endpoint runs.
            now: Monotonic time in seconds.
        """
        low = self._times.quantile(IDLE_QUANTILE)
        median = self._times.quantile(0.5)
        high = self._times.quantile(HIGH_QUANTILE)
        busy = self._running.quantile(0.5)
        if low is None or median is None or high is None or busy is None:
            return False
        if now - self._at > FRESH_S:
            return False
        if running <= IDLE_RUNNING and value > IDLE_FACTOR * low:
            return True
        less_busy = busy >= BUSY_RUNNING and running <= LESS_BUSY_SHARE * busy
        if self._load_dominated and less_busy and value > LESS_BUSY_FACTOR * median:
            return True
        return value > max(MEDIAN_FACTOR * median, HIGH_FACTOR * high)
