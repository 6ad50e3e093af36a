"""Queue of requests that wait for an endpoint: order, longest waits and Retry-After.

In a burst beyond the capacity of the endpoints the most urgent requests go first, within a rank
those with the earliest target time that can still be met. Requests that cannot be served in time
are refused at once (load shedding), and their retries are spread over time.
"""

from random import Random

from msgspec import Struct

from comfreyhatch.domain.exchange import Job

# Fractions of the target time, and of the time left until the deadline, that may be spent waiting.
MAX_WAIT_AIM_FRACTION = 0.6
MAX_WAIT_TIME_LEFT_FRACTION = 0.3
MAX_RESUME_WAIT_S = 3.0
# Longest time ahead for which the most urgent requests reserve a part of an endpoint's rate; others
# reserve less far ahead, so that under overload the permits go to the urgent ones.
MAX_RESERVE_S = 1.0
MAX_RESUME_RESERVE_S = 2.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 6.0
MAX_RETRY_AFTER_TIME_LEFT_FRACTION = 0.3
RETRY_AFTER_JITTER = 0.5
# Weight of a new sample in the moving mean of service times.
SERVICE_TIME_SMOOTHING = 0.05


class Waiter(Struct, frozen=True):
    """A request that waits.

    Attributes:
        number: Unique number in order of arrival.
        resumes: Whether an earlier answer of it was begun or given up.
        rank: Urgency of the workspace, or of the route if it has none; 0 is the most urgent.
        route_rank: Urgency of the route.
        due_at: Monotonic time until which an answer is on time, in seconds.
        refuse_at: Monotonic time at which it is refused, in seconds.
    """

    number: int
    resumes: bool
    rank: int
    route_rank: int
    due_at: float
    refuse_at: float

    def sort_key(self, now: float) -> tuple[bool, int, int, bool, float, int]:
        """Return the sort key of the queue at a time.

        Resumed streams come first, then lower ranks, then requests that are still on time, then
        earlier due times, then earlier arrivals.
        """
        late = now > self.due_at
        return (not self.resumes, self.rank, self.route_rank, late, self.due_at, self.number)


def max_wait_s(job: Job, resumes: bool, now: float) -> float:
    """Return how long a request may wait for an endpoint before it is refused, in seconds.

    Args:
        job: The request.
        resumes: Whether an earlier answer of it was begun or given up.
        now: Monotonic time in seconds.
    """
    if resumes:
        return max(0.0, min(MAX_RESUME_WAIT_S, job.deadline - now))
    by_aim = job.route.aim_s * MAX_WAIT_AIM_FRACTION - (now - job.arrived)
    by_time_left = (job.deadline - now) * MAX_WAIT_TIME_LEFT_FRACTION
    return max(0.0, min(by_aim, by_time_left))


def max_reserve_s(waiter: Waiter, now: float) -> float:
    """Return how far ahead a request may reserve a part of an endpoint's rate, in seconds."""
    by_rank = MAX_RESERVE_S / (1 + max(0, waiter.rank))
    return max(
        0.0, min(MAX_RESUME_RESERVE_S if waiter.resumes else by_rank, waiter.refuse_at - now)
    )


class ServiceTime:
    """Moving mean of the time that requests of one service hold a slot.

    Attributes:
        mean_s: The mean, in seconds; 0 before the first sample.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0

    def add(self, took_s: float) -> None:
        """Add the time that a request held its slot, in seconds."""
        weight = SERVICE_TIME_SMOOTHING if self.mean_s else 1.0
        self.mean_s += weight * (took_s - self.mean_s)

    def expected_wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait for a slot, in seconds.

        Args:
            ahead: Number of requests that are served before.
            slots: Slots that serve them; this daemon's share of the slots.
        """
        return self.mean_s * ahead / max(1, slots)


def retry_after_s(expected_wait_s: float, time_left_s: float, rng: Random) -> float:
    """Return the Retry-After of a refused request, in seconds, with jitter.

    Args:
        expected_wait_s: Expected time until the present queue is served, in seconds.
        time_left_s: Time that the caller still waits for its answer, in seconds.
        rng: Random source of the jitter.
    """
    max_s = max(
        MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, time_left_s * MAX_RETRY_AFTER_TIME_LEFT_FRACTION)
    )
    base_s = min(max_s, max(MIN_RETRY_AFTER_S, expected_wait_s))
    return min(max_s, base_s * (1 + RETRY_AFTER_JITTER * rng.random()))


class ReturnTimes:
    """Times at which refused callers are told to come back, one after the other.

    All at the same time would find what the first of them leaves.
    """

    def __init__(self) -> None:
        self._booked_until = 0.0

    def book(self, first_s: float, interval_s: float, now: float) -> float:
        """Return the wait of another caller, in seconds.

        Args:
            first_s: Time until anything is free, in seconds.
            interval_s: Time that what is free takes to serve one caller, in seconds.
            now: Monotonic time in seconds.
        """
        at = max(now + first_s, self._booked_until)
        self._booked_until = min(at + interval_s, now + MAX_RETRY_AFTER_S)
        return at - now
