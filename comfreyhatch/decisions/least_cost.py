"""Order of waiting requests, and which of them are refused, by what that costs callers.

Requests are ordered by apparent tardiness cost: the weight of the rank over the work, raised as the
time runs out in which the request has to start. A request that cannot start in time behind the
work that is served before it is refused as soon as that is known.
"""

from collections.abc import Iterable, Sequence
from enum import IntEnum
from math import ceil, exp

from msgspec import Struct

# Weight of a rank relative to the next less urgent one. The rank of the route, which tells requests
# of a workspace with a rank of its own apart, counts for a quarter of a rank.
RANK_WEIGHT = 4.0
ROUTE_RANK_PART = 0.25
# Bounds on the work of a request relative to the mean of those that wait. Beyond them the work
# doesn't change the order, so that one estimate that is far off doesn't outweigh every rank.
MIN_RELATIVE_WORK = 0.25
MAX_RELATIVE_WORK = 4.0
# Number of mean service times of slack in which the urgency falls to 1/e, and the least urgency.
URGENCY_SERVICE_TIMES = 2.0
MIN_URGENCY = 0.05
# A request that waits is only refused when the forecast exceeds its time by this factor: forecasts
# vary with each slot that this daemon gets or gives back.
FORECAST_TOLERANCE = 1.25
# Part of a service's slots that is kept free, while it is short, for each class of requests that
# goes before (trunk reservation). Daemons with an empty queue would otherwise give each free slot
# to whatever comes, while more costly requests wait at others.
RESERVED_PART = 0.05
# Number of classes that requests over the share of their workspace stand back by, and the most.
OVER_SHARE_CLASSES = 2
MAX_CLASSES = 4
# Time left for the work itself, as a multiple of the estimate, and its bounds as parts of the
# target time.
WORK_MARGIN = 1.5
MIN_WORK_AIM_FRACTION = 0.1
MAX_WORK_AIM_FRACTION = 0.7


class Lane(IntEnum):
    """Class of a waiting request by what its group and its workspace have had; served in order."""

    BELOW_FLOOR = 0
    WITHIN_SHARE = 1
    OVER_SHARE = 2


# Factor of the cost of a refusal by lane.
LANE_COST = {Lane.BELOW_FLOOR: 4.0, Lane.WITHIN_SHARE: 1.0, Lane.OVER_SHARE: 1 / 16}


class WaitingWork(Struct):
    """What the order of the queue knows of a waiting request; times are monotonic, in seconds.

    Attributes:
        number: Unique number in order of arrival.
        rank: Urgency of the workspace, or of the route if it has none; 0 is the most urgent.
        route_rank: Urgency of the route.
        work_s: Time for which it is expected to hold a slot, in seconds.
        start_by: Time by which it has to start to be in time.
        resumes: Whether an earlier answer of it was begun or given up.
        booked_at: Time at which it was told to come back, if it came at that time; else None.
        lane: Its class by what its group and its workspace have had.
    """

    number: int
    rank: int
    route_rank: int
    work_s: float
    start_by: float
    resumes: bool = False
    booked_at: float | None = None
    lane: Lane = Lane.WITHIN_SHARE


class AdmissionDecision(Struct, frozen=True):
    """Whether a new request may wait, and which waiting ones are refused for it.

    Attributes:
        admitted: Whether it may wait.
        displaced: Numbers of the waiting requests that are refused for it.
        ahead_s: Work that is served before it, in seconds.
        cost: What its refusal would cost.
        displaced_cost: What the refusal of the others costs.
    """

    admitted: bool
    displaced: frozenset[int]
    ahead_s: float
    cost: float
    displaced_cost: float


def start_by(arrived: float, aim_s: float, deadline: float, first_s: float, work_s: float) -> float:
    """Return the monotonic time by which a request has to start to be in time, in seconds.

    Args:
        arrived: Monotonic time at which it arrived, in seconds.
        aim_s: Target time for the answer or, of a stream, for its first event, in seconds.
        deadline: Monotonic time by which the whole answer is due, in seconds.
        first_s: Work until the answer or, of a stream, its first event, in seconds.
        work_s: Work of the whole request, in seconds.
    """
    least_s, most_s = aim_s * MIN_WORK_AIM_FRACTION, aim_s * MAX_WORK_AIM_FRACTION
    by_aim = arrived + aim_s - min(most_s, max(least_s, WORK_MARGIN * first_s))
    return min(by_aim, deadline - work_s)


def rank_weight(work: WaitingWork) -> float:
    """Return the weight of a request by its rank; 1 for rank 0."""
    return float(RANK_WEIGHT ** -(work.rank + ROUTE_RANK_PART * work.route_rank))


def refusal_cost(work: WaitingWork) -> float:
    """Return what it costs callers to refuse a request that can still be in time."""
    return rank_weight(work) * LANE_COST[work.lane]


def delay_cost(work: WaitingWork, mean_work_s: float, slots: float, now: float) -> float:
    """Return what it costs callers to delay a request, by the work that it takes from others.

    A request that came back at its booked time counts like the most urgent and shortest one of its
    rank.

    Args:
        work: The request.
        mean_work_s: Mean work of the waiting requests, in seconds.
        slots: Slots that serve them.
        now: Monotonic time in seconds.
    """
    if work.booked_at is not None:
        return rank_weight(work) / MIN_RELATIVE_WORK
    relative = work.work_s / mean_work_s if mean_work_s else 1.0
    relative = min(MAX_RELATIVE_WORK, max(MIN_RELATIVE_WORK, relative))
    scale_s = URGENCY_SERVICE_TIMES * max(1e-3, mean_work_s) / slots
    urgency = max(MIN_URGENCY, exp(-max(0.0, work.start_by - now) / scale_s))
    return rank_weight(work) * urgency / relative


def serving_order(works: Iterable[WaitingWork], slots: float, now: float) -> list[WaitingWork]:
    """Return waiting requests in the order in which they are served.

    Resumed streams come first, then the lanes, and within a lane what costs most to delay. Callers
    that came back come in the order of their booked times.
    """
    found = list(works)
    mean_work_s = sum(work.work_s for work in found) / max(1, len(found))

    def key(work: WaitingWork) -> tuple[bool, int, float, bool, float, int]:
        came_back = work.booked_at is not None
        cost = delay_cost(work, mean_work_s, slots, now)
        return (
            not work.resumes,
            work.lane,
            -cost,
            not came_back,
            work.booked_at if work.booked_at is not None else work.start_by,
            work.number,
        )

    return sorted(found, key=key)


def can_start_in_time(ahead_s: float, slots: float, latest: float, now: float) -> bool:
    """Return whether a request can start in time behind other work.

    Args:
        ahead_s: Work that is served before, in seconds.
        slots: Slots that serve it; the part of this daemon, which may be below 1.
        latest: Monotonic time by which it has to start, in seconds.
        now: Monotonic time in seconds.
    """
    return now <= latest and now + ahead_s / slots <= latest


def reserved_slots(work: WaitingWork, ranks_asking: Iterable[int], slots: int) -> int:
    """Return how many free slots a request leaves to others, while its service is short.

    At most half of the slots, so that a service with a single one serves all.

    Args:
        work: The request.
        ranks_asking: Ranks of the requests that asked a short time ago.
        slots: Slots of the service.
    """
    if work.resumes or work.lane is Lane.BELOW_FLOOR:
        return 0
    classes = sum(1 for rank in ranks_asking if rank < work.rank)
    if work.lane is Lane.OVER_SHARE:
        classes += OVER_SHARE_CLASSES
    elif work.booked_at is not None:
        classes -= 1
    wanted = ceil(slots * RESERVED_PART * max(0, min(MAX_CLASSES, classes)))
    return min(wanted, slots // 2)


def late_works(ordered: Sequence[WaitingWork], slots: float, now: float) -> list[WaitingWork]:
    """Return the waiting requests that are known to be late; never resumed streams.

    Args:
        ordered: Waiting requests in the order in which they are served.
        slots: Slots that serve them.
        now: Monotonic time in seconds.
    """
    late = []
    ahead_s = 0.0
    for work in ordered:
        in_time = can_start_in_time(ahead_s / FORECAST_TOLERANCE, slots, work.start_by, now)
        if in_time or work.resumes:
            ahead_s += work.work_s
        else:
            late.append(work)
    return late


def decide_admission(
    newcomer: WaitingWork, waiting: Sequence[WaitingWork], slots: float, capacity: int, now: float
) -> AdmissionDecision:
    """Decide whether a new request may wait, and which waiting ones are refused for it.

    Others are displaced only if their refusal costs callers less than that of the newcomer. A
    resumed stream waits whatever is before it, and is not displaced.

    Args:
        newcomer: The new request.
        waiting: The waiting requests.
        slots: Slots that serve them.
        capacity: Largest number of waiting requests.
        now: Monotonic time in seconds.
    """
    cost = refusal_cost(newcomer)
    ordered = serving_order([*waiting, newcomer], slots, now)
    place = next(i for i, work in enumerate(ordered) if work is newcomer)
    ahead_s = sum(work.work_s for work in ordered[:place])
    displaced: list[WaitingWork] = []
    if not newcomer.resumes:
        needed_s = ahead_s - max(0.0, newcomer.start_by - now) * slots
        displaced = _least_costly(ordered[:place], needed_s)
        ahead_s -= sum(work.work_s for work in displaced)
        if not can_start_in_time(ahead_s, slots, newcomer.start_by, now):
            return AdmissionDecision(False, frozenset(), ahead_s, cost, 0.0)
    left = [work for work in ordered if work not in displaced]
    displaced += [work for work in late_works(left, slots, now) if work is not newcomer]
    if len(waiting) - len(displaced) >= capacity:
        left = [w for w in ordered if w not in displaced and w is not newcomer and not w.resumes]
        displaced += sorted(left, key=refusal_cost)[:1]
    displaced_cost = sum(refusal_cost(work) for work in displaced)
    fits = len(waiting) - len(displaced) < capacity
    admitted = fits and (newcomer.resumes or not displaced or displaced_cost < cost)
    numbers = frozenset(work.number for work in displaced) if admitted else frozenset()
    return AdmissionDecision(admitted, numbers, ahead_s, cost, displaced_cost)


def _least_costly(works: Iterable[WaitingWork], needed_s: float) -> list[WaitingWork]:
    """Return the requests whose refusal costs least that free some seconds of work."""
    chosen: list[WaitingWork] = []
    candidates = [work for work in works if not work.resumes]
    for work in sorted(candidates, key=lambda w: (refusal_cost(w), -w.work_s)):
        if needed_s <= 1e-9:
            break
        chosen.append(work)
        needed_s -= work.work_s
    return chosen
