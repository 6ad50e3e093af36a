"""Load patterns: random arrivals from a seed, surges, engine crashes and daemon restarts."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct


class RequestKind(Struct, frozen=True):
    """A kind of request.

    Attributes:
        name: Name of the kind.
        per_s: Arrivals per second outside surges.
        prompt_tokens: Mean length of the prompt, in tokens.
        output_tokens: Mean length of the answer, in tokens.
        aim_s: Target time to the first event, in seconds.
        patience_s: Time that callers wait for the first event before they give up, in seconds.
        payoff: Value of an answer within the target time.
        late_payoff: Value of an answer after the target time.
        rank: Priority; 0 is the most urgent.
        payoff_of_size: Share of the payoff that grows with the length of prompt and answer.
    """

    name: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    aim_s: float
    patience_s: float
    payoff: float
    late_payoff: float
    rank: int
    payoff_of_size: float = 0.0


class Arrival(Struct, frozen=True):
    """A generated request.

    Attributes:
        number: Unique number, in order of generation.
        at: Time of arrival, in seconds.
        kind: Kind of request.
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Length of the answer, in tokens.
        hard: Whether the small model's answer is poor.
        confidence: Confidence of the small model in its own answer, 0 to 100.
        daemon: Index of the daemon that receives it.
        weight: Factor on the payoff of the kind, from the length of prompt and answer.
    """

    number: int
    at: float
    kind: RequestKind
    prompt_tokens: int
    output_tokens: int
    hard: bool
    confidence: int
    daemon: int
    weight: float = 1.0


class Surge(Struct, frozen=True):
    """A period in which the arrival rate of a kind (of all if empty) is multiplied by a factor."""

    start_s: float
    end_s: float
    factor: float
    kind: str = ""


class Crash(Struct, frozen=True):
    """A crash of a share of the engines, drawn at random; they are down for `down_s` seconds."""

    at_s: float
    down_s: float
    share: float


class Restart(Struct, frozen=True):
    """A restart of all daemons, which lose all their state, also budgets and engine times.

    Requests that are to be sent within the `down_s` seconds wait until the daemons are up again.
    """

    at_s: float
    down_s: float


class LoadPattern(Struct, frozen=True):
    """Arrivals and failures of a replay.

    Attributes:
        length_s: Time during which requests arrive, in seconds.
        kinds: Kinds of requests.
        surges: Periods with a higher arrival rate.
        crashes: Crashes of engines.
        restarts: Restarts of all daemons.
    """

    length_s: float
    kinds: tuple[RequestKind, ...]
    surges: tuple[Surge, ...] = ()
    crashes: tuple[Crash, ...] = ()
    restarts: tuple[Restart, ...] = ()


# Share of requests that the small model answers poorly.
HARD_REQUEST_SHARE = 0.46
# Mean and standard deviation of the small model's confidence, 0 to 100.
HARD_MEAN_CONFIDENCE = 25.0
EASY_MEAN_CONFIDENCE = 80.0
CONFIDENCE_STD_DEV = 25.0
# Size of an output token relative to a prompt token, for payoffs that grow with the length.
OUTPUT_TOKEN_WEIGHT = 10
MAX_PAYOFF_WEIGHT = 4.0
MIN_PROMPT_TOKENS = 16
# Log-normal lengths: sigma, and exp(-sigma**2 / 2), which scales them to a mean of about 1.
PROMPT_LENGTH_SIGMA = 0.9
PROMPT_LENGTH_SCALE = 0.67
OUTPUT_LENGTH_SIGMA = 0.4
OUTPUT_LENGTH_SCALE = 0.92


def generate_arrivals(pattern: LoadPattern, daemons: int, rng: Random) -> list[Arrival]:
    """Generate the arrivals of a pattern, ordered by time."""
    found: list[Arrival] = []
    for kind in pattern.kinds:
        for at in _arrival_times(pattern, kind, rng):
            found.append(_arrival(len(found), at, kind, daemons, rng))
    return sorted(found, key=lambda arrival: (arrival.at, arrival.number))


def _arrival_times(pattern: LoadPattern, kind: RequestKind, rng: Random) -> Iterable[float]:
    # Thinning of a Poisson process: arrivals are drawn at the highest rate, and each is kept with
    # the probability (rate at its time) / (highest rate).
    max_factor = max([1.0, *(s.factor for s in pattern.surges)])
    at = 0.0
    while True:
        at += rng.expovariate(kind.per_s * max_factor)
        if at >= pattern.length_s:
            return
        if rng.random() * max_factor < _surge_factor(pattern, kind, at):
            yield at


def _surge_factor(pattern: LoadPattern, kind: RequestKind, at: float) -> float:
    factors = [
        surge.factor
        for surge in pattern.surges
        if surge.start_s <= at < surge.end_s and surge.kind in ("", kind.name)
    ]
    return max([1.0, *factors])


def _arrival(number: int, at: float, kind: RequestKind, daemons: int, rng: Random) -> Arrival:
    hard = rng.random() < HARD_REQUEST_SHARE
    mean_confidence = HARD_MEAN_CONFIDENCE if hard else EASY_MEAN_CONFIDENCE
    confidence = min(100, max(0, round(rng.gauss(mean_confidence, CONFIDENCE_STD_DEV))))
    prompt_factor = rng.lognormvariate(0.0, PROMPT_LENGTH_SIGMA)
    prompt_tokens = max(
        MIN_PROMPT_TOKENS, round(prompt_factor * kind.prompt_tokens * PROMPT_LENGTH_SCALE)
    )
    output_factor = rng.lognormvariate(0.0, OUTPUT_LENGTH_SIGMA)
    output_tokens = max(1, round(output_factor * kind.output_tokens * OUTPUT_LENGTH_SCALE))
    return Arrival(
        number=number,
        at=at,
        kind=kind,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        hard=hard,
        confidence=confidence,
        daemon=rng.randrange(daemons),
        weight=_payoff_weight(kind, prompt_tokens, output_tokens),
    )


def _payoff_weight(kind: RequestKind, prompt_tokens: int, output_tokens: int) -> float:
    mean = kind.prompt_tokens + OUTPUT_TOKEN_WEIGHT * kind.output_tokens
    size = (prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens) / mean
    return min(MAX_PAYOFF_WEIGHT, 1 + kind.payoff_of_size * (size - 1))
