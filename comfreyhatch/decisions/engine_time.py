"""Engine time to the first event of an answer, estimated from earlier answers.

Load is measured in seconds of engine time instead of numbers of requests, because a long prompt
delays every request queued behind it.
"""

from bisect import bisect_left, insort
from collections import deque

SAMPLES_PER_MODEL = 64
MIN_SAMPLES = 5
# Low quantile of the samples, since answers that queued behind other requests took longer than
# an idle engine does.
UNLOADED_QUANTILE = 0.3
# Fixed cost of each request, expressed in prompt tokens.
FIXED_COST_TOKENS = 800
# Used until a model has MIN_SAMPLES samples.
DEFAULT_S_PER_TOKEN = 2e-5


class EngineTimes:
    """Estimates, by model, the time to the first event on an idle engine."""

    def __init__(self) -> None:
        self._recent_by_model: dict[str, deque[float]] = {}
        self._sorted_by_model: dict[str, list[float]] = {}

    def record(self, model: str, prompt_tokens: int, took_s: float) -> None:
        """Record the time to the first event of an answer, in seconds."""
        rate = took_s / (prompt_tokens + FIXED_COST_TOKENS)
        recent = self._recent_by_model.setdefault(model, deque())
        ordered = self._sorted_by_model.setdefault(model, [])
        recent.append(rate)
        insort(ordered, rate)
        if len(recent) > SAMPLES_PER_MODEL:
            del ordered[bisect_left(ordered, recent.popleft())]

    def first_event_s(self, model: str, prompt_tokens: int) -> float:
        """Return the expected time to the first event on an idle engine, in seconds."""
        ordered = self._sorted_by_model.get(model, [])
        rate = DEFAULT_S_PER_TOKEN
        if len(ordered) >= MIN_SAMPLES:
            rate = ordered[int(UNLOADED_QUANTILE * len(ordered))]
        return rate * (prompt_tokens + FIXED_COST_TOKENS)
