"""Records outcomes, answer times and ratings of versions from the answers of this daemon."""

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

# An answer counts as slow above this mean time between tokens.
MAX_TOKEN_GAP_S = 0.042


class AnswerTrace(Struct):
    """Progress of one answer, recorded while it arrives.

    Attributes:
        started_at: When the answer was requested, in seconds of the monotonic clock.
        sampled: Whether the answer is to be rated; its text is then kept.
        first_token_at: When the first token arrived; None before.
        tokens: Number of tokens received.
        text: Text received, if sampled.
    """

    started_at: float
    sampled: bool = False
    first_token_at: float | None = None
    tokens: int = 0
    text: list[str] = field(default_factory=list)

    def record_chunk(self, chunk: Chunk, now: float) -> None:
        """Add a chunk of the answer that arrived at a monotonic time."""
        if self.first_token_at is None:
            self.first_token_at = now
        self.tokens += len(chunk.tokens)
        if self.sampled:
            self.text += chunk.tokens

    def mean_gap_s(self, now: float) -> float | None:
        """Return the mean time between tokens in seconds; None with fewer than two tokens."""
        if self.first_token_at is None or self.tokens < 2:
            return None
        return (now - self.first_token_at) / (self.tokens - 1)


LateRatingCallback = Callable[[str, str, float], None]


class OutcomeRecorder:
    """Records the times and outcomes of answers, and has a sample of the answers rated."""

    def __init__(
        self,
        planner: Planner,
        ratings: RatingCollector,
        quarantine: Quarantine,
        rng: Random,
        on_late_rating: LateRatingCallback | None = None,
    ) -> None:
        """Create the recorder.

        Args:
            planner: Keeps the answer times of versions.
            ratings: Rates answers.
            quarantine: Counts the outcomes of versions.
            rng: Random source that selects answers for rating.
            on_late_rating: Called with customer, version id and rating when an answer was rated
                after its delivery.
        """
        self._on_late_rating = on_late_rating
        self._planner = planner
        self._ratings = ratings
        self._quarantine = quarantine
        self._rng = rng

    def start_trace(
        self, call: ChatRequest, contract: Contract, version: Version, now: float
    ) -> AnswerTrace:
        """Return the trace of an answer that is requested now; select it for rating or not."""
        key = quality_key(call.customer, call.task, version.version_id, contract.quality_target)
        samples = self._ratings.estimator.own_samples(key)
        sampled = sample_for_rating(bool(version.replaces), samples, self._rng)
        return AnswerTrace(now, sampled)

    def record_success(
        self, contract: Contract, version: Version, trace: AnswerTrace, now: float
    ) -> None:
        """Record the times and the outcome of a complete answer."""
        first_token_s = (trace.first_token_at or now) - trace.started_at
        gap_s = trace.mean_gap_s(now)
        times = self._planner.answer_times(version.version_id)
        times.first_token.add(first_token_s)
        if gap_s is not None:
            times.token_gap.add(gap_s)
        slow = first_token_s > contract.objectives.first_token_s or (gap_s or 0) > MAX_TOKEN_GAP_S
        self._quarantine.record_outcomes(version, Outcomes(count=1, slow=int(slow)))

    def record_failure(self, version: Version, error: ComfreyhatchError) -> None:
        """Record a failed request; one that did not run is no evidence about the version."""
        if error.ran is Ran.NO:
            return
        if error.code is ResultCode.DEADLINE_EXCEEDED:
            self._quarantine.record_outcomes(version, Outcomes(count=1, slow=1))
        else:
            self._quarantine.record_outcomes(version, Outcomes(count=1, errors=1))

    async def rate_now(
        self, call: ChatRequest, contract: Contract, version: Version, text: str
    ) -> float | None:
        """Rate an answer before it is delivered.

        Returns:
            The rating, 0 to 1; None if none is available.
        """
        rating = await self._ratings.rate_now(
            rating_request(call, version, text), contract.quality_target
        )
        if rating is not None:
            self._record_rating(version, rating, contract.quality_target)
        return rating

    def rate_later(
        self, call: ChatRequest, contract: Contract, version: Version, trace: AnswerTrace
    ) -> None:
        """Queue a delivered answer for rating if it was sampled."""
        if not trace.sampled:
            return
        target = contract.quality_target
        request = rating_request(call, version, "".join(trace.text))

        def on_rating(rating: float) -> None:
            self._record_rating(version, rating, target)
            if self._on_late_rating:
                self._on_late_rating(call.customer, version.version_id, rating)

        self._ratings.enqueue(
            RatingJob(
                request,
                target,
                bool(version.replaces),
                on_rating,
            )
        )

    def _record_rating(self, version: Version, rating: float, target: float) -> None:
        self._quarantine.record_outcomes(version, Outcomes(rated=1, low=int(rating < target)))


def rating_request(call: ChatRequest, version: Version, text: str) -> RatingRequest:
    """Return the request to the rating service for an answer."""
    return RatingRequest(
        request_id=call.request_id,
        customer=call.customer,
        task=call.task,
        version_id=version.version_id,
        prompt=call.messages[-1].content,
        answer=text,
    )
