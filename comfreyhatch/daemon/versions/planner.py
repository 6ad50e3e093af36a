"""Plans chat requests by quality estimates, answer times, roll-out shares and quarantines."""

from collections.abc import Callable
from random import Random

from msgspec.structs import replace
from xxhash import xxh64_intdigest

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.versions.quarantine import Quarantine
from comfreyhatch.daemon.versions.ratings import RatingCollector
from comfreyhatch.decisions.plan import (
    MIN_SAMPLES,
    AnswerTiming,
    Plan,
    PlanQuery,
    VersionOption,
    choose_by_share,
    choose_plan,
    usable_versions,
)
from comfreyhatch.decisions.quality import Estimate, quality_key
from comfreyhatch.decisions.retries import SampleWindow
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.record import Candidate
from comfreyhatch.domain.request import ChatRequest
from comfreyhatch.domain.version import FULL_SHARE, Version
from comfreyhatch.errors import RefusedError, RequestError

# Assumed characters per token, to estimate the number of tokens of a prompt.
CHARS_PER_TOKEN = 4
ANSWER_TIME_QUANTILE = 0.95
# Assumed answer times of a version with too few samples.
DEFAULT_TOKEN_GAP_S = 0.028
DEFAULT_FIRST_TOKEN_S = 0.4
# Versions whose answer times are kept; the one that was added first is dropped.
MAX_TIMED_VERSIONS = 256
# Reasons why an allowed version is not in service.
UNHEALTHY_REASONS = ("in quarantine", "draining", "withdrawn", "no endpoint takes it")
# Retry-After of a request that no healthy version may serve: minimum plus random jitter.
RETRY_AFTER_MIN_S = 2.0
RETRY_AFTER_JITTER_S = 3.0


class VersionAnswerTimes:
    """Recent answer times of one version at this daemon, in seconds."""

    def __init__(self) -> None:
        self.first_token = SampleWindow()
        self.token_gap = SampleWindow()

    def timing(self, tokens: int) -> AnswerTiming:
        """Return the expected times of an answer with a number of tokens."""
        first_token_s = self.first_token.quantile(ANSWER_TIME_QUANTILE) or DEFAULT_FIRST_TOKEN_S
        gap_s = self.token_gap.quantile(ANSWER_TIME_QUANTILE) or DEFAULT_TOKEN_GAP_S
        return AnswerTiming(first_token_s, first_token_s + gap_s * tokens)


class Planner:
    """Chooses the plans of requests and keeps the answer times of versions."""

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        ratings: RatingCollector,
        quarantine: Quarantine,
        rng: Random,
        policy: str,
    ) -> None:
        """Create the planner.

        Args:
            config: Returns the configuration in force.
            ratings: Keeps the quality estimates.
            quarantine: Knows the versions in quarantine.
            rng: Random source for exploration and for the jitter of Retry-After.
            policy: How a plan is chosen; see `PlanQuery.policy`.
        """
        self._config = config
        self._ratings = ratings
        self._quarantine = quarantine
        self._rng = rng
        self._policy = policy
        self._answer_times_by_version: dict[str, VersionAnswerTimes] = {}

    def plan(
        self,
        call: ChatRequest,
        contract: Contract,
        draft: RecordDraft,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Plan:
        """Choose the plan of a request and write the reasons into its record.

        Args:
            call: The request.
            contract: Contract of the customer.
            draft: Draft of the request's record; gets the plan and the versions considered.
            now: Monotonic time in seconds.
            excluded: Ids of versions that must not be chosen; the record gives "no endpoint takes
                it" as the reason.

        Raises:
            RequestError: If the contract allows no version of the requested model.
            RefusedError: If all allowed versions are unavailable for new work.
        """
        by_id = self._config().version_by_id
        versions = [v for v in by_id.values() if v.version_id not in excluded]
        quarantined = self._quarantine.quarantined()
        usable, refused = usable_versions(versions, contract, call.model, quarantined)
        refused += [Candidate(version_id, "no endpoint takes it") for version_id in excluded]
        if not usable:
            self._refuse(call, refused)
        target = contract.quality_target
        chosen = choose_by_share(usable, share_point(call.session or call.request_id))
        query = self._query(call, contract, now)
        plan = choose_plan(query, [self._option(call, v, target) for v in chosen], self._rng)
        assert plan is not None
        draft.clause = f"allowed={','.join(contract.allowed)}"
        draft.plan = plan.describe()
        draft.grounds = plan.grounds
        outside_share = [
            Candidate(v.version_id, "outside its share of the roll-out")
            for v in usable
            if v not in chosen
        ]
        draft.versions = (*plan.candidates, *outside_share, *refused)
        return plan

    def plan_pinned(self, call: ChatRequest, contract: Contract, draft: RecordDraft) -> Plan:
        """Return the plan of a request whose session is pinned to a version; record the reason.

        Args:
            call: The request; `kept` is the pinned version.
            contract: Contract of the customer.
            draft: Draft of the request's record; gets the plan and the reason.
        """
        plan = Plan((call.kept,), f"the session keeps its version ({draft.pin})")
        draft.clause = f"allowed={','.join(contract.allowed)}"
        draft.plan = plan.describe()
        draft.grounds = plan.grounds
        return plan

    def answer_times(self, version_id: str) -> VersionAnswerTimes:
        """Return the answer times of a version, to read or to add samples."""
        times = self._answer_times_by_version.get(version_id)
        if times is None:
            while len(self._answer_times_by_version) >= MAX_TIMED_VERSIONS:
                del self._answer_times_by_version[next(iter(self._answer_times_by_version))]
            times = self._answer_times_by_version[version_id] = VersionAnswerTimes()
        return times

    def _query(self, call: ChatRequest, contract: Contract, now: float) -> PlanQuery:
        return PlanQuery(
            contract=contract,
            input_tokens=sum(len(m.content) for m in call.messages) // CHARS_PER_TOKEN + 1,
            output_tokens=call.max_tokens,
            stream=call.stream,
            time_left_s=call.deadline - now,
            rating_s=self._ratings.expected_rating_s(now),
            critical=call.critical,
            policy=self._policy,
        )

    def _option(self, call: ChatRequest, version: Version, target: float) -> VersionOption:
        estimate = self._estimate(call, version, target)
        return VersionOption(
            version, estimate, self.answer_times(version.version_id).timing(call.max_tokens)
        )

    def _estimate(self, call: ChatRequest, version: Version, target: float) -> Estimate:
        """Return the quality estimate of a version.

        A new version with too few ratings gets the estimate of the version that it replaces.
        """
        key = quality_key(call.customer, call.task, version.version_id, target)
        estimate = self._ratings.estimate(key)
        if version.replaces and estimate.samples < MIN_SAMPLES:
            return self._ratings.estimate(replace(key, version_id=version.replaces))
        return estimate

    def _refuse(self, call: ChatRequest, refused: list[Candidate]) -> None:
        """Raise the error for a request that no version may serve.

        Args:
            call: The request.
            refused: All versions, with the reason against each.
        """
        reasons = {c.name: c.passed_over for c in refused}
        unhealthy = [n for n, reason in reasons.items() if reason in UNHEALTHY_REASONS]
        if unhealthy:
            raise RefusedError(
                f"no healthy version: {', '.join(unhealthy)} not in service",
                ResultCode.NO_HEALTHY_VERSION,
                retry_after_s=RETRY_AFTER_MIN_S + RETRY_AFTER_JITTER_S * self._rng.random(),
            )
        raise RequestError(
            f"the contract allows no version of {call.model or 'any model'}",
            ResultCode.NOT_ALLOWED,
        )


def share_point(key: str) -> int:
    """Return the fixed point of a session or request on the scale of roll-out shares, 0 to 99.

    Args:
        key: Session id, or request id without a session.
    """
    return xxh64_intdigest(key.encode()) % FULL_SHARE
