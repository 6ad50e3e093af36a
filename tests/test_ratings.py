"""The rating task: rate, outage, pooling."""

import asyncio
from random import Random

from comfreyhatch.daemon.versions.ratings import RatingCollector, RatingJob
from comfreyhatch.decisions.quality import QualityKey
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import Member, MemoryNetwork, View
from comfreyhatch.ports.platform import RatingRequest

KEY = QualityKey("c", "chat", "v@1")
REQUEST = RatingRequest("r1", "c", "chat", "v@1", "a question", "an answer")


class Rater:
    """A rating service that can be down."""

    def __init__(self) -> None:
        self.down = False
        self.asked = 0

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        self.asked += 1
        if self.down:
            raise PlatformError("down")
        return 0.9


def view() -> View:
    address = Address("", 0)
    return View({name: Member(name, "", "z", address, address) for name in ("a", "b")})


def ratings(
    rater: Rater, own_id: str, network: MemoryNetwork, rate: float = 100.0
) -> RatingCollector:
    return RatingCollector(
        rater, f"i-{own_id}", rate, Random(1), own_id, view, network.join(own_id)
    )


async def test_rater_that_is_down_is_left_alone_for_a_time() -> None:
    rater = Rater()
    tested = ratings(rater, "a", MemoryNetwork())
    assert await tested.rate_now(REQUEST, 0.8) == 0.9
    rater.down = True
    assert await tested.rate_now(REQUEST, 0.8) is None
    assert tested.expected_rating_s(asyncio.get_running_loop().time()) is None
    for _ in range(20):
        assert await tested.rate_now(REQUEST, 0.8) is None
    assert rater.asked == 2
    assert tested.estimate(KEY).samples == 1


async def test_estimates_are_shared_with_peers() -> None:
    network = MemoryNetwork()
    one, other = (ratings(Rater(), name, network) for name in ("a", "b"))
    await one.rate_now(REQUEST, 0.8)
    await one.send_tallies()
    await one.send_tallies()
    assert other.estimate(KEY).samples == 1
    assert other.estimate(KEY).share == 1


async def test_queued_answers_are_rated_canaries_first_and_the_queue_is_bounded() -> None:
    rater = Rater()
    tested = ratings(rater, "a", MemoryNetwork(), rate=100_000)
    done: list[bool] = []
    for number in range(600):
        canary = number == 5
        tested.enqueue(RatingJob(REQUEST, 0.8, canary, lambda _, c=canary: done.append(c)))
    task = asyncio.create_task(tested.run())
    async with asyncio.timeout(10):
        while len(done) < 257:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert done[0] and not any(done[1:]) and len(done) == 257


async def test_answers_beyond_the_rate_are_not_rated() -> None:
    rater = Rater()
    tested = ratings(rater, "a", MemoryNetwork(), rate=2.0)
    results = [await tested.rate_now(REQUEST, 0.8) for _ in range(10)]
    assert sum(result is not None for result in results) <= 2
    assert rater.asked <= 2
