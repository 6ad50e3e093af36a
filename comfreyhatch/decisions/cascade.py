"""Model cascade: when to replace a small model's answer by one of the larger model.

The small model answers first. If its confidence is below a threshold, the request is sent to
the larger model, which takes several times the engine time. The load may change within seconds:
the threshold falls as requests queue at the engines, as their slots fill and as the budget of
extra requests is spent.

The time of a long prompt lowers the threshold only as far as other requests need the engines.
Otherwise idle engines would keep the small model's doubtful answers to long prompts, which are
worth more than short ones. Urgent routes have a higher threshold, since the engine time is worth
more to them.
"""

from msgspec import Struct

# Confidence, 0 to 100, below which the larger model is asked at idle and at busy engines.
URGENT_CONFIDENCE = 60.0
NORMAL_CONFIDENCE = 40.0
BUSY_CONFIDENCE = 10.0
# Routes up to this rank are urgent.
MAX_URGENT_RANK = 1
# Expected engine time as a share of the route's target time, at idle and at busy engines.
IDLE_PRESSURE = 0.15
BUSY_PRESSURE = 0.7
# Running and waiting requests as a share of the slots, at idle and at busy engines.
IDLE_LOAD = 0.3
BUSY_LOAD = 0.7
# Unspent share of the budget of extra requests below which the larger model isn't asked.
MIN_BUDGET_LEFT = 0.2
# Load, and queueing delay as a share of the target time, at which other requests would use all of
# the engine time.
FULL_CONTENTION_LOAD = 0.2
FULL_CONTENTION_DELAY_SHARE = 0.1


class CascadeState(Struct, frozen=True):
    """Inputs of the decision on one answer; times in seconds.

    Attributes:
        rank: Urgency of the route; 0 is the most urgent.
        load: Running and waiting requests of the service as a share of its slots.
        delay_s: Median queueing delay at the engines.
        larger_s: Time to the larger model's first event on an idle engine.
        aim_s: Target time to the first event.
        spent_s: Time since the request arrived.
        budget_left: Unspent share of the budget of extra requests, 0 to 1.
    """

    rank: int
    load: float
    delay_s: float
    larger_s: float
    aim_s: float
    spent_s: float
    budget_left: float


def engine_contention(state: CascadeState) -> float:
    """Return the share of the engine time that other requests would use, 0 to 1."""
    return contention_of(state.load, state.delay_s, state.aim_s)


def contention_of(load: float, delay_s: float, aim_s: float) -> float:
    """Return the share of the engine time that other requests would use, 0 to 1.

    Args:
        load: Running and waiting requests of the service as a share of its slots.
        delay_s: Median queueing delay at the engines, in seconds.
        aim_s: Target time to the first event, in seconds.
    """
    if aim_s <= 0:
        return 1.0
    by_delay = delay_s / (FULL_CONTENTION_DELAY_SHARE * aim_s)
    return min(1.0, max(by_delay, load / FULL_CONTENTION_LOAD))


def busyness(pressure: float, load: float) -> float:
    """Return how busy the engines are, from 0 (idle) to 1 (they can take on nothing larger).

    Args:
        pressure: Engine time that others wait for, as a share of the route's target time.
        load: Running and waiting requests of the service as a share of its slots.
    """
    busy = max(
        (pressure - IDLE_PRESSURE) / (BUSY_PRESSURE - IDLE_PRESSURE),
        (load - IDLE_LOAD) / (BUSY_LOAD - IDLE_LOAD),
    )
    return min(1.0, max(0.0, busy))


def escalation_threshold(state: CascadeState, contention: float) -> float:
    """Return the confidence below which the larger model is asked.

    Args:
        state: Inputs of the decision.
        contention: Share of the engine time that other requests would use, 0 to 1.

    Returns:
        The threshold; 0 if the budget, the slots or the time left don't allow another answer.
    """
    if state.budget_left < MIN_BUDGET_LEFT:
        return 0.0
    expected_s = state.spent_s + state.delay_s + state.larger_s
    # A target of 0 is never met, not by the larger model either.
    if state.aim_s <= 0 or expected_s > state.aim_s or state.load >= 1.0:
        return 0.0
    idle = URGENT_CONFIDENCE if state.rank <= MAX_URGENT_RANK else NORMAL_CONFIDENCE
    pressure = (state.delay_s + contention * state.larger_s) / state.aim_s
    return idle + busyness(pressure, state.load) * (BUSY_CONFIDENCE - idle)


def escalates(confidence: int | None, state: CascadeState) -> bool:
    """Return whether an answer is dropped and the larger model is asked.

    Args:
        confidence: The model's confidence in its answer, 0 to 100; None if it gave none.
        state: Inputs of the decision.
    """
    return confidence is not None and confidence < escalation_threshold(
        state, engine_contention(state)
    )
