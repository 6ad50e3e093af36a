"""What requests have used, as it is billed."""

from msgspec import Struct

READ_TOKENS_PER_BILLED = 4
MICROS = 1_000_000
TOKENS_PER_COST = 1000


class UsageKey(Struct, frozen=True, order=True):
    """What usage is summed by; the model is empty for plain services."""

    workspace: str
    service: str
    model: str = ""


class UsageTotals(Struct, frozen=True):
    """Sums of answered requests; the cost is in millionths of the unit of the price list."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_micros: int = 0

    def plus(self, other: "UsageTotals") -> "UsageTotals":
        """Return the sum of two usages."""
        return UsageTotals(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.cost_micros + other.cost_micros,
        )


class UsageLine(Struct, frozen=True):
    """Usage of one key."""

    key: UsageKey
    usage: UsageTotals


class UsageBatch(Struct, frozen=True):
    """Usage that one start of a daemon has counted since its batch before.

    Attributes:
        daemon: Who counted.
        started_ms: Unix time of the daemon's start; tells its starts apart.
        sequence: Number of the batch, from 1.
        lines: Usage by key.
    """

    daemon: str
    started_ms: int
    sequence: int
    lines: tuple[UsageLine, ...]


def model_usage(prompt_tokens: int, output_tokens: int, cost_per_thousand: float) -> UsageTotals:
    """Return the usage of one answer of a model; read tokens count as a quarter."""
    billed = output_tokens + prompt_tokens / READ_TOKENS_PER_BILLED
    micros = round(billed / TOKENS_PER_COST * cost_per_thousand * MICROS)
    return UsageTotals(1, prompt_tokens, output_tokens, micros)
