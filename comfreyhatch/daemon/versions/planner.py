"""Plans of chat requests from the estimates, times and quarantines that the daemon knows."""

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

CHARS_PER_TOKEN = 4
TIMING_QUANTILE = 0.95
GAP_GUESS_S = 0.028
FIRST_TOKEN_GUESS_S = 0.4
MAX_VERSIONS = 256
UNHEALTHY_REASONS = ("in quarantine", "draining", "withdrawn", "no endpoint takes it")
RETRY_AFTER_MIN_S = 2.0
RETRY_AFTER_SPREAD_S = 3.0


class VersionTimes:
    """Times of one version's answers at this daemon."""

    def __init__(self) -> None:
        self.first_token = SampleWindow()
        self.gap = SampleWindow()

    def timing(self, tokens: int) -> AnswerTiming:
        """Return the expected times of an answer of some tokens."""
        first_s = self.first_token.quantile(TIMING_QUANTILE) or FIRST_TOKEN_GUESS_S
        gap_s = self.gap.quantile(TIMING_QUANTILE) or GAP_GUESS_S
        return AnswerTiming(first_s, first_s + gap_s * tokens)


class Planner:
    """Chooses plans; owns the times of versions."""

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        ratings: RatingCollector,
        quarantine: Quarantine,
        rng: Random,
        policy: str,
    ) -> None:
        self._config = config
        self._ratings = ratings
        self._quarantine = quarantine
        self._rng = rng
        self._policy = policy
        self._times_by_version: dict[str, VersionTimes] = {}

    def plan(
        self,
        call: ChatRequest,
        contract: Contract,
        draft: RecordDraft,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Plan:
        """Return the plan of a request and note its grounds.

        Args:
            call: The request.
            contract: Contract of the customer.
            draft: Takes the grounds and what was weighed.
            now: Monotonic time, in seconds.
            excluded: Version ids that were found not to take work.

        Raises:
            RequestError: If the contract allows no such version.
            RefusedError: If no such version takes new work.
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
        others = [
            Candidate(v.version_id, "outside its share of the roll-out")
            for v in usable
            if v not in chosen
        ]
        draft.versions = (*plan.candidates, *others, *refused)
        return plan

    def plan_pinned(self, call: ChatRequest, contract: Contract, draft: RecordDraft) -> Plan:
        """Return the plan of a request whose session keeps its version, and note its grounds."""
        plan = Plan((call.kept,), f"the session keeps its version ({draft.pin})")
        draft.clause = f"allowed={','.join(contract.allowed)}"
        draft.plan = plan.describe()
        draft.grounds = plan.grounds
        return plan

    def times(self, version_id: str) -> VersionTimes:
        """Return the times of a version."""
        times = self._times_by_version.get(version_id)
        if times is None:
            while len(self._times_by_version) >= MAX_VERSIONS:
                del self._times_by_version[next(iter(self._times_by_version))]
            times = self._times_by_version[version_id] = VersionTimes()
        return times

    def _query(self, call: ChatRequest, contract: Contract, now: float) -> PlanQuery:
        return PlanQuery(
            contract=contract,
            input_tokens=sum(len(m.content) for m in call.messages) // CHARS_PER_TOKEN + 1,
            output_tokens=call.max_tokens,
            stream=call.stream,
            time_left_s=call.deadline - now,
            rating_s=self._ratings.expected_s(now),
            critical=call.critical,
            policy=self._policy,
        )

    def _option(self, call: ChatRequest, version: Version, target: float) -> VersionOption:
        estimate = self._estimate(call, version, target)
        return VersionOption(
            version, estimate, self.times(version.version_id).timing(call.max_tokens)
        )

    def _estimate(self, call: ChatRequest, version: Version, target: float) -> Estimate:
        """Return a version's estimate; a new one has that of the version it replaces."""
        key = quality_key(call.customer, call.task, version.version_id, target)
        estimate = self._ratings.estimate(key)
        if version.replaces and estimate.samples < MIN_SAMPLES:
            return self._ratings.estimate(replace(key, version_id=version.replaces))
        return estimate

    def _refuse(self, call: ChatRequest, refused: list[Candidate]) -> None:
        """Raise the error for a request that no version may take."""
        reasons = {c.name: c.passed_over for c in refused}
        unhealthy = [n for n, reason in reasons.items() if reason in UNHEALTHY_REASONS]
        if unhealthy:
            raise RefusedError(
                f"no healthy version: {', '.join(unhealthy)} not in service",
                ResultCode.NO_HEALTHY_VERSION,
                retry_after_s=RETRY_AFTER_MIN_S + RETRY_AFTER_SPREAD_S * self._rng.random(),
            )
        raise RequestError(
            f"the contract allows no version of {call.model or 'any model'}",
            ResultCode.NOT_ALLOWED,
        )


def share_point(key: str) -> int:
    """Return the place of a session or request among the roll-out shares, 0 to 99."""
    return xxh64_intdigest(key.encode()) % FULL_SHARE
