"""Requests ratings of answers within a rate limit, and keeps the quality estimates."""

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
from comfreyhatch.ports.peers import MembershipView, PeerBus
from comfreyhatch.ports.platform import RatingRequest, RatingService

RATING_TIMEOUT_S = 1.0
# Expected time of a rating until enough ratings were timed.
DEFAULT_RATING_TIME_S = 0.1
RATING_TIME_QUANTILE = 0.95
# Burst that the rate limit allows: the ratings of this time at the fleet's rate, at least one.
RATING_BURST_S = 0.5
# Exponential back-off after failed ratings.
MIN_BACK_OFF_S = 1.0
MAX_BACK_OFF_S = 15.0
MAX_QUEUED_JOBS = 256
RATING_WORKERS = 4
DIGEST_INTERVAL_S = 1.0
MAX_ENTRIES_PER_DIGEST = 8

log = logging.getLogger("comfreyhatch.ratings")


class RatingJob(Struct, frozen=True):
    """A delivered answer that waits for its rating.

    Attributes:
        request: Request to the rating service.
        quality_target: Quality target of the contract, 0 to 1.
        canary: Whether the version is being rolled out; answers of such versions are rated first.
        on_rating: Called with the rating.
    """

    request: RatingRequest
    quality_target: float
    canary: bool
    on_rating: Callable[[float], None]


class RatingCollector:
    """Has answers rated, and exchanges the tallies (counts of ratings) with some peers.

    After a failure of the rating service no rating is requested during an exponential back-off.
    """

    def __init__(
        self,
        service: RatingService,
        incarnation: str,
        ratings_per_s: float,
        rng: Random,
        own_id: str,
        view: Callable[[], MembershipView],
        bus: PeerBus | None = None,
    ) -> None:
        """Create the collector.

        Args:
            service: The rating service.
            incarnation: Incarnation of this daemon.
            ratings_per_s: Rate limit of the whole fleet; each daemon takes an equal share.
            rng: Random source for the jitter of the back-off.
            own_id: Instance id of this daemon.
            view: Returns the live daemons.
            bus: Peer bus; without one, no tallies are exchanged.
        """
        self.estimator = QualityEstimator(incarnation)
        self._service = service
        self._fleet_rate_hz = ratings_per_s
        self._rate_limiter = RatingRateLimiter(
            ratings_per_s, max(1.0, ratings_per_s * RATING_BURST_S)
        )
        self._rng = rng
        self._own_id = own_id
        self._view = view
        self._bus = bus
        self._canary_jobs: deque[RatingJob] = deque(maxlen=MAX_QUEUED_JOBS)
        self._other_jobs: deque[RatingJob] = deque(maxlen=MAX_QUEUED_JOBS)
        self._job_added = asyncio.Event()
        self._rating_times = SampleWindow()
        self._failures = 0
        self._backed_off_until = 0.0
        if bus:
            bus.on_message(QualityDigest, self._handle_digest)

    def expected_rating_s(self, now: float) -> float | None:
        """Return the expected time of a rating in seconds; None while none is available."""
        if now < self._backed_off_until or not self._rate_limiter.available(now, urgent=True):
            return None
        return self._rating_times.quantile(RATING_TIME_QUANTILE) or DEFAULT_RATING_TIME_S

    def estimate(self, key: QualityKey) -> Estimate:
        """Return the estimated quality of a version for a customer's task."""
        return self.estimator.estimate(key)

    async def rate_now(self, request: RatingRequest, quality_target: float) -> float | None:
        """Request a rating that a caller waits for.

        Args:
            request: Request to the rating service.
            quality_target: Quality target of the contract, 0 to 1.

        Returns:
            The rating, 0 to 1; None during a back-off, above the rate limit or after a failure.
        """
        now = monotonic()
        if now < self._backed_off_until or not self._rate_limiter.take(now, urgent=True):
            return None
        return await self._request_rating(request, quality_target)

    def enqueue(self, job: RatingJob) -> None:
        """Queue an answer for rating; a full queue drops its oldest answer."""
        (self._canary_jobs if job.canary else self._other_jobs).append(job)
        self._job_added.set()

    async def run(self) -> None:
        """Rate queued answers and send tallies to peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(RATING_WORKERS):
                group.create_task(self._rate_queued())
            group.create_task(self._send_tallies_periodically())

    async def _rate_queued(self) -> None:
        """Rate queued answers; those that the rate limit or a back-off forbids are dropped."""
        while True:
            job = self._next_job()
            if job is None:
                self._job_added.clear()
                await self._job_added.wait()
                continue
            now = monotonic()
            if now < self._backed_off_until or not self._rate_limiter.take(now, urgent=job.canary):
                continue
            rating = await self._request_rating(job.request, job.quality_target)
            if rating is not None:
                job.on_rating(rating)

    def _next_job(self) -> RatingJob | None:
        """Remove and return the newest job, canaries first."""
        if self._canary_jobs:
            return self._canary_jobs.pop()
        return self._other_jobs.pop() if self._other_jobs else None

    async def _request_rating(self, request: RatingRequest, quality_target: float) -> float | None:
        """Request a rating and count it; return None after a failure, which starts a back-off."""
        started = monotonic()
        try:
            rating = await self._service.rate(request, RATING_TIMEOUT_S)
        except PlatformError as error:
            self._back_off(str(error))
            return None
        self._failures = 0
        self._rating_times.add(monotonic() - started)
        key = quality_key(request.customer, request.task, request.version_id, quality_target)
        self.estimator.add(key, rating, quality_target)
        return rating

    def _back_off(self, reason: str) -> None:
        """Start a back-off with jitter that doubles with each failure in a row, up to a limit."""
        pause_s = min(MAX_BACK_OFF_S, MIN_BACK_OFF_S * float(2**self._failures))
        pause_s *= 0.5 + 0.5 * self._rng.random()
        # The limit bounds the power above; the back-off reaches its maximum earlier.
        self._failures = min(self._failures + 1, 10)
        self._backed_off_until = monotonic() + pause_s
        log.info("event=rating_failed pause_s=%.1f reason=%r", pause_s, reason)

    async def _send_tallies_periodically(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            await self.send_tallies()

    async def send_tallies(self) -> None:
        """Send changed tallies to some peers, and adapt the rate limit to the size of the fleet."""
        view = self._view()
        self._rate_limiter.set_rate(self._fleet_rate_hz / max(1, len(view.member_by_id)))
        digest = self.estimator.digest(MAX_ENTRIES_PER_DIGEST)
        if digest is None or self._bus is None:
            return
        for peer in evidence_peers(self._own_id, view):
            await self._bus.send(peer, digest)

    async def _handle_digest(self, sender: str, digest: QualityDigest) -> None:
        self.estimator.merge(digest)
