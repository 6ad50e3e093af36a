"""Load patterns: seeded arrivals, and crashes of engines."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct


class RequestKind(Struct, frozen=True):
    """A kind of request.

    Attributes:
        name: Its name.
        per_s: Arrivals a second, usually.
        prompt_tokens: Mean length of the prompt.
        output_tokens: Mean length of the answer.
        aim_s: Time within which the first event should come.
        patience_s: How long callers wait in all.
        payoff: Worth of an answer within the aim.
        late_payoff: Worth of a later answer.
        rank: Urgency; 0 is the most urgent.
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
    """A request as it arrives.

    Attributes:
        number: Unique.
        at: Time of arrival, in seconds.
        kind: Its kind.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer.
        hard: Whether the smallest model answers it poorly.
        confidence: What the smallest model thinks of its own answer, 0 to 100.
        daemon: Daemon at which it arrives.
        weight: Its payoff as a share of its kind's.
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
    """A span in which a kind (all if empty) arrives several times as often."""

    start_s: float
    end_s: float
    factor: float
    kind: str = ""


class Crash(Struct, frozen=True):
    """A share of the engines is down for a while."""

    at_s: float
    down_s: float
    share: float


class Restart(Struct, frozen=True):
    """All daemons end and start again, with no knowledge of the engines."""

    at_s: float
    down_s: float


class LoadPattern(Struct, frozen=True):
    """What a replay plays.

    Attributes:
        length_s: Time in which requests arrive.
        kinds: Kinds of requests.
        surges: Spans with more arrivals.
        crashes: Engines that go down.
        restarts: Restarts of all daemons.
    """

    length_s: float
    kinds: tuple[RequestKind, ...]
    surges: tuple[Surge, ...] = ()
    crashes: tuple[Crash, ...] = ()
    restarts: tuple[Restart, ...] = ()


HARD_REQUEST_SHARE = 0.46
HARD_MEAN_CONFIDENCE = 25.0
EASY_MEAN_CONFIDENCE = 80.0
CONFIDENCE_STD_DEV = 25.0
OUTPUT_TOKEN_WEIGHT = 10
MAX_PAYOFF_WEIGHT = 4.0


def generate_arrivals(pattern: LoadPattern, daemons: int, rng: Random) -> list[Arrival]:
    """Return the arrivals of a pattern in order of time."""
    found: list[Arrival] = []
    for kind in pattern.kinds:
        for at in _arrival_times(pattern, kind, rng):
            found.append(_arrival(len(found), at, kind, daemons, rng))
    return sorted(found, key=lambda arrival: (arrival.at, arrival.number))


def _arrival_times(pattern: LoadPattern, kind: RequestKind, rng: Random) -> Iterable[float]:
    highest = max([1.0, *(s.factor for s in pattern.surges)])
    at = 0.0
    while True:
        at += rng.expovariate(kind.per_s * highest)
        if at >= pattern.length_s:
            return
        if rng.random() * highest < _surge_factor(pattern, kind, at):
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
    middle = HARD_MEAN_CONFIDENCE if hard else EASY_MEAN_CONFIDENCE
    confidence = min(100, max(0, round(rng.gauss(middle, CONFIDENCE_STD_DEV))))
    prompt_tokens = max(16, round(rng.lognormvariate(0.0, 0.9) * kind.prompt_tokens * 0.67))
    output_tokens = max(1, round(rng.lognormvariate(0.0, 0.4) * kind.output_tokens * 0.92))
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
