"""Rating of answers: rate limit, back-off in outages, queue and exchange of tallies."""

import asyncio
from random import Random

from comfreyhatch.daemon.versions.ratings import RatingCollector, RatingJob
from comfreyhatch.decisions.quality import QualityKey
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import Member, MembershipView, MemoryNetwork
from comfreyhatch.ports.platform import RatingRequest

KEY = QualityKey("c", "chat", "v@1")
REQUEST = RatingRequest("r1", "c", "chat", "v@1", "a question", "an answer")


class FakeRatingService:
    """A rating service that can be unavailable and counts its requests."""

    def __init__(self) -> None:
        self.down = False
        self.requests = 0

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        self.requests += 1
        if self.down:
            raise PlatformError("down")
        return 0.9


def view() -> MembershipView:
    address = Address("", 0)
    return MembershipView({name: Member(name, "", "z", address, address) for name in ("a", "b")})


def ratings(
    service: FakeRatingService, own_id: str, network: MemoryNetwork, rate: float = 100.0
) -> RatingCollector:
    return RatingCollector(
        service, f"i-{own_id}", rate, Random(1), own_id, view, network.join(own_id)
    )


async def test_no_rating_is_requested_for_a_time_after_a_failure() -> None:
    service = FakeRatingService()
    collector = ratings(service, "a", MemoryNetwork())
    assert await collector.rate_now(REQUEST, 0.8) == 0.9
    service.down = True
    assert await collector.rate_now(REQUEST, 0.8) is None
    assert collector.expected_rating_s(asyncio.get_running_loop().time()) is None
    for _ in range(20):
        assert await collector.rate_now(REQUEST, 0.8) is None
    assert service.requests == 2
    assert collector.estimate(KEY).samples == 1


async def test_tallies_are_sent_to_peers() -> None:
    network = MemoryNetwork()
    one, other = (ratings(FakeRatingService(), name, network) for name in ("a", "b"))
    await one.rate_now(REQUEST, 0.8)
    await one.send_tallies()
    await one.send_tallies()
    assert other.estimate(KEY).samples == 1
    assert other.estimate(KEY).share == 1


async def test_canaries_are_rated_first_and_the_queue_is_bounded() -> None:
    service = FakeRatingService()
    collector = ratings(service, "a", MemoryNetwork(), rate=100_000)
    rated: list[bool] = []
    for number in range(600):
        canary = number == 5
        collector.enqueue(RatingJob(REQUEST, 0.8, canary, lambda _, c=canary: rated.append(c)))
    task = asyncio.create_task(collector.run())
    # The canary and the 256 newest of the other answers.
    async with asyncio.timeout(10):
        while len(rated) < 257:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert rated[0] and not any(rated[1:]) and len(rated) == 257


async def test_ratings_above_the_rate_limit_are_not_requested() -> None:
    service = FakeRatingService()
    collector = ratings(service, "a", MemoryNetwork(), rate=2.0)
    results = [await collector.rate_now(REQUEST, 0.8) for _ in range(10)]
    assert sum(result is not None for result in results) <= 2
    assert service.requests <= 2
