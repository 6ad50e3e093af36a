"""Estimates of how long requests hold a slot, learned for each kind of request."""

# Weight of a new sample in the moving means.
SMOOTHING = 0.05
# Used until a kind has a sample.
DEFAULT_HOLD_S = 0.1
MIN_HOLD_S = 0.001


class HoldTimes:
    """Estimates for which time requests of one kind hold a slot.

    Requests that tell the length of their answer are estimated by the time to the first event,
    which depends on prompt and model, and the time for each token of the answer; others by their
    mean.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._s_per_token = 0.0
        self._sampled_at: float | None = None

    def add(self, first_s: float, output_tokens: int, took_s: float, now: float) -> None:
        """Add the time for which a request held its slot.

        Args:
            first_s: Expected work until its first event, in seconds; 0 if unknown.
            output_tokens: Largest length of its answer in tokens; 0 if unknown.
            took_s: Time for which it held its slot, in seconds.
            now: Monotonic time in seconds.
        """
        self._mean_s = _smoothed(self._mean_s, took_s)
        if output_tokens:
            rate = max(0.0, took_s - first_s) / output_tokens
            self._s_per_token = _smoothed(self._s_per_token, rate)
        self._sampled_at = now

    def expected_s(self, first_s: float, output_tokens: int) -> float:
        """Return the time for which a request is expected to hold a slot, in seconds."""
        if output_tokens and self._s_per_token:
            return max(MIN_HOLD_S, first_s + output_tokens * self._s_per_token)
        return max(MIN_HOLD_S, first_s, self._mean_s or DEFAULT_HOLD_S)

    def age_s(self, now: float) -> float:
        """Return the age of the last sample, in seconds; -1 without one."""
        return -1.0 if self._sampled_at is None else now - self._sampled_at


def _smoothed(mean: float, sample: float) -> float:
    return mean + SMOOTHING * (sample - mean) if mean else sample
