"""Choice of the model for a request that may run only once.

No other model can be asked after the first one, so that the choice is made before the request is
sent: the largest model that is expected to answer in time, and whose work the engines can take on.
Under load the models get smaller one by one, since a larger model takes several times the engine
time, and other requests wait for it. Urgent routes keep the larger models for longer.
"""

from msgspec import Struct

from comfreyhatch.decisions.cascade import MAX_URGENT_RANK, busyness, contention_of

# Busyness of the engines up to which the largest model is chosen; smaller models get the rest of
# the way to 1 in even steps.
URGENT_BUSYNESS = 0.5
NORMAL_BUSYNESS = 0.25
# Part of the time left by which the first event is due: the other events come behind it.
FIRST_EVENT_PART_OF_TIME_LEFT = 0.5


class SingleRunState(Struct, frozen=True):
    """Inputs of the choice for one request; times in seconds.

    Attributes:
        rank: Urgency of the route; 0 is the most urgent.
        load: Running and waiting requests of the service as a share of its slots.
        delay_s: Median queueing delay at the engines.
        first_event_s_by_size: Time to the first event on an idle engine by model, smallest first.
        aim_s: Target time to the first event, from now on.
        left_s: Time until the deadline.
    """

    rank: int
    load: float
    delay_s: float
    first_event_s_by_size: tuple[float, ...]
    aim_s: float
    left_s: float


def choose_model(state: SingleRunState) -> int:
    """Return the index of the model to run, 0 being the smallest."""
    largest = len(state.first_event_s_by_size) - 1
    for index in range(largest, 0, -1):
        if _is_in_time(state, index) and _is_bearable(state, index, index / largest):
            return index
    return 0


def _is_in_time(state: SingleRunState, index: int) -> bool:
    within_s = min(state.aim_s, FIRST_EVENT_PART_OF_TIME_LEFT * state.left_s)
    return state.delay_s + state.first_event_s_by_size[index] <= within_s


def _is_bearable(state: SingleRunState, index: int, size: float) -> bool:
    """Return whether the engines can take on the work of a model.

    Args:
        state: Inputs of the choice.
        index: Index of the model.
        size: Its place among the models: 1 for the largest.
    """
    if state.load >= 1.0 or state.aim_s <= 0:
        return False
    contention = contention_of(state.load, state.delay_s, state.aim_s)
    pressure = (state.delay_s + contention * state.first_event_s_by_size[index]) / state.aim_s
    limit = URGENT_BUSYNESS if state.rank <= MAX_URGENT_RANK else NORMAL_BUSYNESS
    return busyness(pressure, state.load) <= 1 - (1 - limit) * size
