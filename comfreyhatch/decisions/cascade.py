"""Which model answers: the smallest first, a larger one if the answer is likely to be poor.

Answers a load that rises and falls within seconds: the larger model takes several times the
endpoint's time, so the threshold falls as the endpoints fill and as the arrival budget empties.
"""

from msgspec import Struct

QUIET_THRESHOLD = 60.0
BUSY_THRESHOLD = 25.0
BUSY_FROM = 0.25
BUSY_FULL = 0.75
BUDGET_RESERVE = 0.25
TIME_FACTOR = 1.5


class CascadeState(Struct, frozen=True):
    """What the choice depends on.

    Attributes:
        load: Running requests of the service as a share of its slots.
        budget_left: Share of the arrival budget that is left, 0 to 1.
        time_left_s: Time until the answer's aim or, past it, its deadline.
        first_event_s: Usual time of the larger model to its first event.
    """

    load: float
    budget_left: float
    time_left_s: float
    first_event_s: float


def threshold(state: CascadeState) -> float:
    """Return the confidence below which the larger model is worth its time."""
    if state.budget_left < BUDGET_RESERVE:
        return 0.0
    if state.time_left_s < TIME_FACTOR * state.first_event_s:
        return 0.0
    busy = min(1.0, max(0.0, (state.load - BUSY_FROM) / (BUSY_FULL - BUSY_FROM)))
    return QUIET_THRESHOLD + busy * (BUSY_THRESHOLD - QUIET_THRESHOLD)


def escalates(confidence: int | None, state: CascadeState) -> bool:
    """Return whether an answer is dropped for that of the larger model."""
    return confidence is not None and confidence < threshold(state)
