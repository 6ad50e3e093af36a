"""The task that has answers rated and keeps the estimates of quality."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from random import Random
from time import monotonic

from msgspec import Struct

from comfreyhatch.daemon.members.evidence_peers import evidence_peers
from comfreyhatch.decisions.quality import (
    Estimate,
    QualityDigest,
    QualityEstimator,
    QualityKey,
    RatingRateLimiter,
    quality_key,
)
from comfreyhatch.decisions.retries import SampleWindow
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import PeerBus, View
from comfreyhatch.ports.platform import RatingRequest, RatingService

RATING_TIMEOUT_S = 1.0
RATING_GUESS_S = 0.1
RATING_QUANTILE = 0.95
BURST_S = 0.5
PAUSE_S = 1.0
MAX_PAUSE_S = 15.0
QUEUE_BOUND = 256
WORKERS = 4
SHARE_INTERVAL_S = 1.0
ENTRIES_PER_DIGEST = 8

log = logging.getLogger("comfreyhatch.ratings")


class RatingJob(Struct, frozen=True):
    """An answer that was delivered and is to be rated.

    Attributes:
        request: What is sent to the rating service.
        target: The contract's quality target.
        canary: Whether its version is being rolled out; such answers go first.
        done: Called with the rating.
    """

    request: RatingRequest
    target: float
    canary: bool
    done: Callable[[float], None]


class RatingCollector:
    """Asks for ratings within the rate and pools the estimates with some peers."""

    def __init__(
        self,
        service: RatingService,
        incarnation: str,
        ratings_per_s: float,
        rng: Random,
        own_id: str,
        view: Callable[[], View],
        bus: PeerBus | None = None,
    ) -> None:
        self.book = QualityEstimator(incarnation)
        self._service = service
        self._fleet_rate_hz = ratings_per_s
        self._rate = RatingRateLimiter(ratings_per_s, max(1.0, ratings_per_s * BURST_S))
        self._rng = rng
        self._own_id = own_id
        self._view = view
        self._bus = bus
        self._canaries: deque[RatingJob] = deque(maxlen=QUEUE_BOUND)
        self._others: deque[RatingJob] = deque(maxlen=QUEUE_BOUND)
        self._arrived = asyncio.Event()
        self._times = SampleWindow()
        self._failures = 0
        self._paused_until = 0.0
        if bus:
            bus.on_message(QualityDigest, self._take_digest)

    def expected_s(self, now: float) -> float | None:
        """Return the expected time of a rating, or None while none can be had."""
        if now < self._paused_until or not self._rate.available(now, urgent=True):
            return None
        return self._times.quantile(RATING_QUANTILE) or RATING_GUESS_S

    def estimate(self, key: QualityKey) -> Estimate:
        """Return what is known of a version's quality for a customer's task."""
        return self.book.estimate(key)

    async def rate_now(self, request: RatingRequest, target: float) -> float | None:
        """Return a rating that a caller waits for, or None if there is none."""
        now = monotonic()
        if now < self._paused_until or not self._rate.take(now, urgent=True):
            return None
        return await self._ask(request, target)

    def offer(self, job: RatingJob) -> None:
        """Queue an answer for rating; the oldest goes when the queue is full."""
        (self._canaries if job.canary else self._others).append(job)
        self._arrived.set()

    async def run(self) -> None:
        """Rate queued answers and share estimates until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(WORKERS):
                group.create_task(self._work())
            group.create_task(self._share())

    async def _work(self) -> None:
        while True:
            job = self._next_job()
            if job is None:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            now = monotonic()
            if now < self._paused_until or not self._rate.take(now, urgent=job.canary):
                continue
            rating = await self._ask(job.request, job.target)
            if rating is not None:
                job.done(rating)

    def _next_job(self) -> RatingJob | None:
        if self._canaries:
            return self._canaries.pop()
        return self._others.pop() if self._others else None

    async def _ask(self, request: RatingRequest, target: float) -> float | None:
        started = monotonic()
        try:
            rating = await self._service.rate(request, RATING_TIMEOUT_S)
        except PlatformError as error:
            self._pause(str(error))
            return None
        self._failures = 0
        self._times.add(monotonic() - started)
        key = quality_key(request.customer, request.task, request.version_id, target)
        self.book.add(key, rating, target)
        return rating

    def _pause(self, reason: str) -> None:
        """Ask for nothing for a time that grows with each failure in a row."""
        pause_s = min(MAX_PAUSE_S, PAUSE_S * float(2**self._failures))
        pause_s *= 0.5 + 0.5 * self._rng.random()
        self._failures = min(self._failures + 1, 10)
        self._paused_until = monotonic() + pause_s
        log.info("event=rating_failed pause_s=%.1f reason=%r", pause_s, reason)

    async def _share(self) -> None:
        while True:
            await asyncio.sleep(SHARE_INTERVAL_S)
            await self.share_once()

    async def share_once(self) -> None:
        """Send changed estimates to the pool and adapt the rate to the fleet's size."""
        view = self._view()
        self._rate.set_rate(self._fleet_rate_hz / max(1, len(view.member_by_id)))
        digest = self.book.digest(ENTRIES_PER_DIGEST)
        if digest is None or self._bus is None:
            return
        for peer in evidence_peers(self._own_id, view):
            await self._bus.send(peer, digest)

    async def _take_digest(self, sender: str, digest: QualityDigest) -> None:
        self.book.merge(digest)
