"""Model of a batching engine: prompts are prefilled one at a time, answers decode concurrently."""

from msgspec import Struct


class EngineSpeed(Struct, frozen=True):
    """Capacity and speed of an engine.

    Attributes:
        slots: Maximum number of concurrent requests; decoding slows down with the share of slots
            in use.
        token_s_by_model: Prefill time of one prompt token by model, in seconds.
        step_s: Decoding time of one output token on an idle engine, in seconds.
    """

    slots: int
    token_s_by_model: dict[str, float]
    step_s: float


class EmulatedEngine:
    """An engine of a replay; all times are simulated, in seconds.

    Attributes:
        running: Requests in prefill or decoding.
        epoch: Number of crashes; a running request from an earlier epoch was lost.
        down_until: Time from which the engine accepts connections again.
    """

    def __init__(self, name: str, zone: str, speed: EngineSpeed) -> None:
        self.name = name
        self.zone = zone
        self.speed = speed
        self.running = 0
        self.epoch = 0
        self.down_until = 0.0
        self._prefill_until = 0.0

    def start_prefill(self, model: str, prompt_tokens: int, now: float) -> float:
        """Queue a prompt for prefill and return the time of the first event of its answer."""
        self.running += 1
        start = max(now, self._prefill_until)
        self._prefill_until = start + prompt_tokens * self.speed.token_s_by_model[model]
        return self._prefill_until

    def decode_s(self, output_tokens: int, now: float) -> float:
        """Return the decoding time of an answer after its first event, in seconds.

        A prefill in progress and the running requests slow it down.
        """
        prefill = 1.0 if self._prefill_until > now else 0.0
        return output_tokens * self.speed.step_s * (1 + prefill + self.running / self.speed.slots)

    def crash(self, now: float, down_s: float) -> None:
        """Lose all running requests and refuse connections for `down_s` seconds."""
        self.epoch += 1
        self.running = 0
        self.down_until = now + down_s
        self._prefill_until = self.down_until

    def is_down(self, now: float) -> bool:
        """Return whether the engine refuses connections."""
        return now < self.down_until
