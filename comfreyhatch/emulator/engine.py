"""A model of a batching engine: prompts are read one after another, answers run side by side."""

from msgspec import Struct


class EngineSpeed(Struct, frozen=True):
    """Speed of an engine.

    Attributes:
        slots: Requests that run at once.
        token_s_by_model: Time to read a prompt token, in seconds.
        step_s: Time for one token of an answer on an idle engine, in seconds.
    """

    slots: int
    token_s_by_model: dict[str, float]
    step_s: float


class EmulatedEngine:
    """One engine; times are those of the replay, in seconds."""

    def __init__(self, name: str, zone: str, speed: EngineSpeed) -> None:
        self.name = name
        self.zone = zone
        self.speed = speed
        self.running = 0
        self.epoch = 0
        self.down_until = 0.0
        self._prefill_until = 0.0

    def start_prefill(self, model: str, prompt_tokens: int, now: float) -> float:
        """Take a prompt and return when the first event of its answer comes."""
        self.running += 1
        start = max(now, self._prefill_until)
        self._prefill_until = start + prompt_tokens * self.speed.token_s_by_model[model]
        return self._prefill_until

    def decode_s(self, output_tokens: int, now: float) -> float:
        """Return how long an answer takes from its first event on.

        Reading prompts and other answers slow it down.
        """
        reading = 1.0 if self._prefill_until > now else 0.0
        return output_tokens * self.speed.step_s * (1 + reading + self.running / self.speed.slots)

    def crash(self, now: float, down_s: float) -> None:
        """Lose all work; requests are refused until the engine is back."""
        self.epoch += 1
        self.running = 0
        self.down_until = now + down_s
        self._prefill_until = self.down_until

    def is_down(self, now: float) -> bool:
        """Return whether connections are refused."""
        return now < self.down_until
