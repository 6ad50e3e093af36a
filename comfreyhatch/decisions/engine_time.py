"""How long model engines take to the first event of an answer, learned from answers.

Answers long prompts that delay everything behind them: work is counted in seconds of an engine,
not in requests.
"""

from bisect import bisect_left, insort
from collections import deque

SAMPLES_PER_MODEL = 64
MIN_SAMPLES = 5
UNLOADED_QUANTILE = 0.3
FIXED_COST_TOKENS = 800
DEFAULT_S_PER_TOKEN = 2e-5


class EngineTimes:
    """Time for each prompt token by model, on an engine with nothing else to do."""

    def __init__(self) -> None:
        self._recent_by_model: dict[str, deque[float]] = {}
        self._sorted_by_model: dict[str, list[float]] = {}

    def record(self, model: str, prompt_tokens: int, took_s: float) -> None:
        """Take in the time to the first event of an answer."""
        rate = took_s / (prompt_tokens + FIXED_COST_TOKENS)
        recent = self._recent_by_model.setdefault(model, deque())
        ordered = self._sorted_by_model.setdefault(model, [])
        recent.append(rate)
        insort(ordered, rate)
        if len(recent) > SAMPLES_PER_MODEL:
            del ordered[bisect_left(ordered, recent.popleft())]

    def first_event_s(self, model: str, prompt_tokens: int) -> float:
        """Return the expected time to the first event without other work in the way."""
        ordered = self._sorted_by_model.get(model, [])
        rate = DEFAULT_S_PER_TOKEN
        if len(ordered) >= MIN_SAMPLES:
            rate = ordered[int(UNLOADED_QUANTILE * len(ordered))]
        return rate * (prompt_tokens + FIXED_COST_TOKENS)
