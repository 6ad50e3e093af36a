"""Billed usage: totals by workspace, service and model, and the batches that are stored."""

from secrets import randbits

from msgspec import Struct, field

# Prompt tokens that are billed like one generated token.
PROMPT_TOKENS_PER_BILLED_TOKEN = 4
MICROS_PER_UNIT = 1_000_000
# Prices are per this number of tokens.
TOKENS_PER_PRICE = 1000
RUN_BITS = 53


class UsageKey(Struct, frozen=True, order=True):
    """Key by which usage is totalled; the model is empty for plain services."""

    workspace: str
    service: str
    model: str = ""


class UsageTotals(Struct, frozen=True):
    """Totals over answered requests; the cost is in millionths of the price list's unit."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_micros: int = 0

    def plus(self, other: "UsageTotals") -> "UsageTotals":
        """Return the sum of two totals."""
        return UsageTotals(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.cost_micros + other.cost_micros,
        )


class UsageLine(Struct, frozen=True):
    """Usage totals of one key."""

    key: UsageKey
    usage: UsageTotals


class UsageBatch(Struct, frozen=True):
    """Usage that one run of a daemon has counted since its previous batch.

    Attributes:
        daemon: Instance name of the daemon.
        run: Number of the run of the daemon's process, as `new_run` returns it; stored as
            `started_ms`, which it was once.
        sequence: Number of the batch, from 1.
        lines: Usage totals by key.
    """

    daemon: str
    run: int = field(name="started_ms")
    sequence: int
    lines: tuple[UsageLine, ...]


def new_run() -> int:
    """Return a random number that tells the batches of this run of a process from all others.

    The time of the start would not: a time of day that was set back comes a second time.
    """
    return randbits(RUN_BITS)


def model_usage(prompt_tokens: int, output_tokens: int, cost_per_thousand: float) -> UsageTotals:
    """Return the usage of one answer of a model; prompt tokens are billed at a reduced price.

    Args:
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Length of the answer, in tokens.
        cost_per_thousand: Price of 1,000 generated tokens, in the price list's unit.
    """
    billed = output_tokens + prompt_tokens / PROMPT_TOKENS_PER_BILLED_TOKEN
    micros = round(billed / TOKENS_PER_PRICE * cost_per_thousand * MICROS_PER_UNIT)
    return UsageTotals(1, prompt_tokens, output_tokens, micros)
