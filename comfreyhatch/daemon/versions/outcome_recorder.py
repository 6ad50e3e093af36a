"""What the daemon learns from each answer: outcomes, times and ratings of versions."""

from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.versions.planner import Planner
from comfreyhatch.daemon.versions.quarantine import Quarantine
from comfreyhatch.daemon.versions.ratings import RatingCollector, RatingJob
from comfreyhatch.decisions.quality import quality_key, sample_for_rating
from comfreyhatch.decisions.regression import Outcomes
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.request import ChatRequest
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import Chunk
from comfreyhatch.ports.platform import RatingRequest

SLOW_GAP_S = 0.042


class AnswerTrace(Struct):
    """What was seen of one answer while it came.

    Attributes:
        started: When it was asked for, in seconds of the monotonic clock.
        sampled: Whether its text is kept for a rating.
        first_at: When its first token came; None before.
        tokens: Tokens so far.
        text: Text so far, if sampled.
    """

    started: float
    sampled: bool = False
    first_at: float | None = None
    tokens: int = 0
    text: list[str] = field(default_factory=list)

    def add(self, chunk: Chunk, now: float) -> None:
        """Note a piece of the answer."""
        if self.first_at is None:
            self.first_at = now
        self.tokens += len(chunk.tokens)
        if self.sampled:
            self.text += chunk.tokens

    def gap_s(self, now: float) -> float | None:
        """Return the mean time between tokens."""
        if self.first_at is None or self.tokens < 2:
            return None
        return (now - self.first_at) / (self.tokens - 1)


LateRating = Callable[[str, str, float], None]


class OutcomeRecorder:
    """Hands what was seen of answers to the parts that decide by it."""

    def __init__(
        self,
        planner: Planner,
        ratings: RatingCollector,
        quarantine: Quarantine,
        rng: Random,
        on_late_rating: LateRating | None = None,
    ) -> None:
        self._on_late_rating = on_late_rating
        self._planner = planner
        self._ratings = ratings
        self._quarantine = quarantine
        self._rng = rng

    def start_trace(
        self, call: ChatRequest, contract: Contract, version: Version, now: float
    ) -> AnswerTrace:
        """Return the trace of an answer that is asked for now."""
        key = quality_key(call.customer, call.task, version.version_id, contract.quality_target)
        samples = self._ratings.book.own_samples(key)
        sampled = sample_for_rating(bool(version.replaces), samples, self._rng)
        return AnswerTrace(now, sampled)

    def record_success(
        self, contract: Contract, version: Version, trace: AnswerTrace, now: float
    ) -> None:
        """Note a whole answer."""
        first_s = (trace.first_at or now) - trace.started
        gap_s = trace.gap_s(now)
        times = self._planner.times(version.version_id)
        times.first_token.add(first_s)
        if gap_s is not None:
            times.gap.add(gap_s)
        slow = first_s > contract.objectives.first_token_s or (gap_s or 0) > SLOW_GAP_S
        self._quarantine.add(version, Outcomes(count=1, slow=int(slow)))

    def record_failure(self, version: Version, error: ComfreyhatchError) -> None:
        """Note a failure; one that did not run says nothing of the version."""
        if error.ran is Ran.NO:
            return
        if error.code is ResultCode.DEADLINE_EXCEEDED:
            self._quarantine.add(version, Outcomes(count=1, slow=1))
        else:
            self._quarantine.add(version, Outcomes(count=1, errors=1))

    async def rate_now(
        self, call: ChatRequest, contract: Contract, version: Version, text: str
    ) -> float | None:
        """Return the rating of an answer that is held back for it."""
        rating = await self._ratings.rate_now(
            rating_request(call, version, text), contract.quality_target
        )
        if rating is not None:
            self._note_rating(version, rating, contract.quality_target)
        return rating

    def rate_later(
        self, call: ChatRequest, contract: Contract, version: Version, trace: AnswerTrace
    ) -> None:
        """Have a delivered answer rated if it is in the sample."""
        if not trace.sampled:
            return
        target = contract.quality_target
        request = rating_request(call, version, "".join(trace.text))

        def note(rating: float) -> None:
            self._note_rating(version, rating, target)
            if self._on_late_rating:
                self._on_late_rating(call.customer, version.version_id, rating)

        self._ratings.offer(
            RatingJob(
                request,
                target,
                bool(version.replaces),
                note,
            )
        )

    def _note_rating(self, version: Version, rating: float, target: float) -> None:
        self._quarantine.add(version, Outcomes(rated=1, low=int(rating < target)))


def rating_request(call: ChatRequest, version: Version, text: str) -> RatingRequest:
    """Return what the rating service is asked."""
    return RatingRequest(
        request_id=call.request_id,
        customer=call.customer,
        task=call.task,
        version_id=version.version_id,
        prompt=call.messages[-1].content,
        answer=text,
    )
