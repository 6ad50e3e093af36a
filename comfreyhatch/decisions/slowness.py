"""Detection of slow answers of a new version, compared with the version that it replaces.

It finds a version whose answers are correct but several times slower. The baseline comes from the
replaced version at the same time, so that load that slows both versions down does not count.

At first the new version gets few requests, so that its slow answers may take no longer than those
of a loaded engine of the replaced version. An engine with fewer requests should be faster than a
loaded one, so answers of an endpoint with few requests are compared more strictly.
"""

from comfreyhatch.decisions.retries import SampleWindow

# Shorter times count as this long: a busy daemon alone delays an answer by some milliseconds, which
# would be several times the time of a very fast one.
SHORTEST_COMPARED_S = 0.02
# Rule for all endpoints: an answer is slow if it takes more than MEDIAN_FACTOR times the baseline's
# median and more than HIGH_QUANTILE_FACTOR times its high quantile.
MEDIAN_FACTOR = 3.0
HIGH_QUANTILE = 0.9
HIGH_QUANTILE_FACTOR = 1.3
# A daemon that started a few seconds before a roll-out has few times of the replaced version.
MIN_BASELINE_TIMES = 8
# An older baseline is not used.
BASELINE_MAX_AGE_S = 3.0
# Rule for an endpoint with at most IDLE_MAX_RUNNING requests: an answer is slow if it takes more
# than IDLE_FACTOR times the baseline's low quantile.
IDLE_MAX_RUNNING = 3
IDLE_QUANTILE = 0.2
IDLE_FACTOR = 4.0
# Rule for load-dominated times: an endpoint that runs far fewer requests than those of the
# baseline should be faster. If the baseline's endpoints run at least BUSY_MIN_RUNNING requests in
# the median and this endpoint at most LESS_BUSY_MAX_SHARE of that number, an answer is slow if it
# takes more than LESS_BUSY_FACTOR times the baseline's median.
BUSY_MIN_RUNNING = 6
LESS_BUSY_MAX_SHARE = 0.5
LESS_BUSY_FACTOR = 1.5


def slowdown(took_s: float, expected_s: float) -> float:
    """Return the ratio of a time to the expected one, in seconds; 1 if both are very short."""
    return max(took_s, SHORTEST_COMPARED_S) / max(expected_s, SHORTEST_COMPARED_S)


class BaselineTimes:
    """Recent answer times of the replaced versions, all in seconds or all as `slowdown`."""

    def __init__(self, load_dominated: bool = False) -> None:
        """Create a baseline without any times.

        Args:
            load_dominated: Whether a time depends on little else than the number of requests that
                its endpoint runs.
        """
        self._load_dominated = load_dominated
        self._times = SampleWindow(min_samples=MIN_BASELINE_TIMES)
        self._running = SampleWindow(min_samples=MIN_BASELINE_TIMES)
        self._last_added_at = float("-inf")

    def add(self, value: float, running: float, now: float) -> None:
        """Add the time of an answer of a replaced version.

        Args:
            value: Time of the answer.
            running: Requests that its endpoint was running.
            now: Monotonic time in seconds.
        """
        self._times.add(max(value, SHORTEST_COMPARED_S))
        self._running.add(running)
        self._last_added_at = now

    def is_slow(self, value: float, running: float, now: float) -> bool | None:
        """Return whether an answer is slow; None without a recent baseline.

        Args:
            value: Time of the answer.
            running: Requests that its endpoint runs.
            now: Monotonic time in seconds.
        """
        low = self._times.quantile(IDLE_QUANTILE)
        median = self._times.quantile(0.5)
        high = self._times.quantile(HIGH_QUANTILE)
        busy = self._running.quantile(0.5)
        if low is None or median is None or high is None or busy is None:
            return None
        if now - self._last_added_at > BASELINE_MAX_AGE_S:
            return None
        value = max(value, SHORTEST_COMPARED_S)
        if running <= IDLE_MAX_RUNNING and value > IDLE_FACTOR * low:
            return True
        less_busy = busy >= BUSY_MIN_RUNNING and running <= LESS_BUSY_MAX_SHARE * busy
        if self._load_dominated and less_busy and value > LESS_BUSY_FACTOR * median:
            return True
        return value > max(MEDIAN_FACTOR * median, HIGH_QUANTILE_FACTOR * high)
