"""Which model answers: the smallest first, a larger one if the answer is likely to be poor.

Answers a load that rises and falls within seconds: the larger model takes several times the
engine's time, so the confidence that calls for it falls as work waits at the engines, as their
slots fill, and as the arrival budget empties. The time that a long prompt takes counts as far as
others need it: on idle engines a long prompt, which is also worth more, gets the larger model like
any other. Urgent routes are worth more of that time than the others.
"""

from msgspec import Struct

URGENT_RANK = 1
URGENT_THRESHOLD = 60.0
OTHER_THRESHOLD = 40.0
BUSY_THRESHOLD = 10.0
QUIET_PRESSURE = 0.15
BUSY_PRESSURE = 0.7
QUIET_LOAD = 0.3
BUSY_LOAD = 0.7
BUDGET_RESERVE = 0.2
CONTENDED_LOAD = 0.2
CONTENDED_DELAY_OF_AIM = 0.1


class CascadeState(Struct, frozen=True):
    """What the choice depends on; times in seconds.

    Attributes:
        rank: Urgency of the route; 0 is the most urgent.
        load: Running and waiting requests of the service as a share of its slots.
        delay_s: Usual wait behind other work at the engines.
        larger_s: Time of an idle engine to the larger model's first event.
        aim_s: Time within which the first event should come.
        spent_s: Time since the request arrived.
        budget_left: Share of the arrival budget that is left, 0 to 1.
    """

    rank: int
    load: float
    delay_s: float
    larger_s: float
    aim_s: float
    spent_s: float
    budget_left: float


def engine_contention(state: CascadeState) -> float:
    """Return what share of the engines' time other requests would use, 0 to 1."""
    by_delay = state.delay_s / (CONTENDED_DELAY_OF_AIM * state.aim_s)
    return min(1.0, max(by_delay, state.load / CONTENDED_LOAD))


def escalation_threshold(state: CascadeState, contention: float) -> float:
    """Return the confidence below which the larger model is worth its time.

    Args:
        state: What the choice depends on.
        contention: Share of the engines' time that other requests would use.
    """
    if state.budget_left < BUDGET_RESERVE:
        return 0.0
    expected_s = state.spent_s + state.delay_s + state.larger_s
    if expected_s > state.aim_s or state.load >= 1.0:
        return 0.0
    quiet = URGENT_THRESHOLD if state.rank <= URGENT_RANK else OTHER_THRESHOLD
    pressure = (state.delay_s + contention * state.larger_s) / state.aim_s
    busy = max(
        (pressure - QUIET_PRESSURE) / (BUSY_PRESSURE - QUIET_PRESSURE),
        (state.load - QUIET_LOAD) / (BUSY_LOAD - QUIET_LOAD),
    )
    return quiet + min(1.0, max(0.0, busy)) * (BUSY_THRESHOLD - quiet)


def escalates(confidence: int | None, state: CascadeState) -> bool:
    """Return whether an answer is dropped for that of the larger model."""
    return confidence is not None and confidence < escalation_threshold(
        state, engine_contention(state)
    )
