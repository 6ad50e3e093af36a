"""Order of requests that wait for an endpoint, how long they may wait, and when to come back.

Answers a burst beyond what the endpoints bear: the most urgent work goes first, within one rank
the work whose aim is nearest and can still be met; what cannot be served in time is refused at
once instead of being held, and those refused come back spread over time.
"""

from random import Random

from msgspec import Struct

from comfreyhatch.domain.exchange import Job

WAIT_OF_AIM = 0.6
WAIT_OF_TIME_LEFT = 0.3
RESUME_WAIT_S = 3.0
RETRY_LEAST_S = 0.2
RETRY_MOST_S = 6.0
RETRY_SPREAD = 0.5
RETRY_OF_TIME_LEFT = 0.3
SERVICE_WEIGHT = 0.05


class Waiter(Struct, frozen=True):
    """A request that waits.

    Attributes:
        number: Order of arrival; unique.
        resumes: Whether its caller already holds part of the answer.
        rank: Urgency of the workspace or else the route; 0 is the most urgent.
        route_rank: Urgency of the route.
        aim: Monotonic time by which it should be answered.
        refuse_at: Monotonic time at which it is refused.
    """

    number: int
    resumes: bool
    rank: int
    route_rank: int
    aim: float
    refuse_at: float

    def sort_key(self, now: float) -> tuple[bool, int, int, bool, float, int]:
        """Return the sort key: begun answers, ranks, work whose aim is not lost, the aim."""
        late = now > self.aim
        return (not self.resumes, self.rank, self.route_rank, late, self.aim, self.number)


def max_wait_s(job: Job, resumes: bool, now: float) -> float:
    """Return how long a request may wait for an endpoint before it is refused.

    Args:
        job: The request.
        resumes: Whether its caller already holds part of the answer.
        now: Monotonic time in seconds.
    """
    if resumes:
        return max(0.0, min(RESUME_WAIT_S, job.deadline - now))
    by_aim = job.route.aim_s * WAIT_OF_AIM - (now - job.arrived)
    by_time = (job.deadline - now) * WAIT_OF_TIME_LEFT
    return max(0.0, min(by_aim, by_time))


class ServiceTime:
    """How long requests of one service hold a slot, learned from those that ended."""

    def __init__(self) -> None:
        self.mean_s = 0.0

    def add(self, took_s: float) -> None:
        """Take in the time that a request held its slot."""
        weight = SERVICE_WEIGHT if self.mean_s else 1.0
        self.mean_s += weight * (took_s - self.mean_s)

    def expected_wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait behind a number of requests, for a share of the slots."""
        return self.mean_s * ahead / max(1, slots)


def retry_after_s(expected_wait_s: float, time_left_s: float, rng: Random) -> float:
    """Return when a refused caller should come back, spread so that not all come together.

    Args:
        expected_wait_s: Time until the work that waits now is done.
        time_left_s: How long the caller will wait in all.
        rng: Seeded source of the spread.
    """
    most_s = max(RETRY_LEAST_S, min(RETRY_MOST_S, time_left_s * RETRY_OF_TIME_LEFT))
    base_s = min(most_s, max(RETRY_LEAST_S, expected_wait_s))
    return min(most_s, base_s * (1 + RETRY_SPREAD * rng.random()))
