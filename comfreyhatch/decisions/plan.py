"""Choice of a request's plan: one version, or a cascade from a cheap version to a better one.

A plan is chosen by the lower confidence bounds of the versions' quality (exploitation). A share of
the requests goes to versions whose quality is not yet known well enough (exploration).
"""

from random import Random

from msgspec import Struct

from comfreyhatch.decisions.quality import Estimate
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.record import Candidate
from comfreyhatch.domain.version import Version, VersionState, cost_micros

# Share of requests that may explore a version whose answer is delivered without a rating.
EXPLORATION_SHARE = 0.02
# Share of requests that may explore a version with at least MIN_SAMPLES ratings by a cascade: the
# caller gets the default model's answer if the explored version's answer rates too low.
RATED_EXPLORATION_SHARE = 0.7
MAX_EXPLORED_SAMPLES = 200
# Below this number of ratings an estimate is not used.
MIN_SAMPLES = 12
# Fraction of the time left until the deadline that a cascade may be expected to take.
MAX_DEADLINE_FRACTION = 0.8


class AnswerTiming(Struct, frozen=True):
    """Expected answer times of a version at the 95th percentile.

    Attributes:
        first_token_s: Time to the first token, in seconds.
        total_s: Time to the whole answer, in seconds.
    """

    first_token_s: float = 0.4
    total_s: float = 2.0


class VersionOption(Struct, frozen=True):
    """A version that may serve the request, with its estimates.

    Attributes:
        version: The version.
        estimate: Estimate of its quality.
        timing: Estimate of its answer times.
    """

    version: Version
    estimate: Estimate = Estimate()
    timing: AnswerTiming = AnswerTiming()


class PlanQuery(Struct, frozen=True):
    """Inputs of the choice besides the versions.

    Attributes:
        contract: Contract of the customer.
        input_tokens: Tokens of the prompt.
        output_tokens: Expected tokens of the answer.
        stream: Whether the caller takes the answer as a stream.
        time_left_s: Time until the deadline, in seconds.
        rating_s: Expected time of one rating, in seconds; None while no rating is available.
        critical: Whether the request is critical; critical requests are not used for exploration.
        policy: "learned"; or "cheapest" or "dearest", baselines that always take that version.
    """

    contract: Contract
    input_tokens: int
    output_tokens: int
    stream: bool
    time_left_s: float
    rating_s: float | None
    critical: bool = False
    policy: str = "learned"


class Plan(Struct, frozen=True):
    """Versions to run in order; each but the first runs only if the answer before rates too low.

    Attributes:
        steps: Version ids.
        grounds: Reason for the choice, for logs and records.
        expected_micros: Expected cost, in micros.
        candidates: Versions considered.
    """

    steps: tuple[str, ...]
    grounds: str
    expected_micros: float = 0.0
    candidates: tuple[Candidate, ...] = ()

    def describe(self) -> str:
        """Return the plan as a short text."""
        if len(self.steps) == 1:
            return f"direct {self.steps[0]}"
        return "cascade " + " > ".join(self.steps)


class _Scored(Struct, frozen=True):
    """A plan with its expected cost, quality and times.

    Attributes:
        steps: Version ids, in order.
        cost: Expected cost, in micros.
        lower: Lower confidence bound of the share of answers that meet the quality target.
        first_token_s: Expected time to the first token, in seconds.
        total_s: Expected time to the whole answer, in seconds.
        samples: Fewest ratings behind the estimate of any of its versions.
    """

    steps: tuple[str, ...]
    cost: float
    lower: float
    first_token_s: float
    total_s: float
    samples: float


def usable_versions(
    versions: list[Version],
    contract: Contract,
    wanted: str,
    quarantined: frozenset[str],
    new_session: bool = True,
) -> tuple[list[Version], list[Candidate]]:
    """Return the versions that may serve a request, and the others with the reason against each.

    Args:
        versions: All declared versions.
        contract: Contract of the customer.
        wanted: Requested model or version id; empty for any.
        quarantined: Version ids in quarantine.
        new_session: Whether the request does not belong to a session that runs already.
    """
    usable = []
    refused = []
    for version in versions:
        reason = _reason_against(version, contract, wanted, quarantined, new_session)
        if reason:
            refused.append(Candidate(version.version_id, reason))
        else:
            usable.append(version)
    return usable, refused


def _reason_against(
    version: Version,
    contract: Contract,
    wanted: str,
    quarantined: frozenset[str],
    new_session: bool,
) -> str:
    """Return why a version may not serve a request; empty if it may."""
    if not contract.allows(version.model, version.version_id):
        return "not allowed by the contract"
    if wanted and wanted not in (version.model, version.version_id):
        return "not the model asked for"
    if version.state is VersionState.WITHDRAWN:
        return "withdrawn"
    if version.version_id in quarantined:
        return "in quarantine"
    if new_session and version.state is VersionState.DRAINING:
        return "draining"
    return ""


def choose_by_share(versions: list[Version], point: int) -> list[Version]:
    """Return one version of each model, according to the roll-out shares.

    When a share grows, points move only to the new version, never between old versions.

    Args:
        versions: Usable versions.
        point: Hash of the session or request, 0 to 99; versions with a larger share may get it.
    """
    chosen: dict[str, Version] = {}
    newest_first = sorted(versions, key=lambda v: (not v.replaces, v.share, v.version_id))
    for version in newest_first:
        if version.model not in chosen and point < version.share:
            chosen[version.model] = version
    for version in reversed(newest_first):
        chosen.setdefault(version.model, version)
    return sorted(chosen.values(), key=lambda v: v.version_id)


def choose_plan(query: PlanQuery, options: list[VersionOption], rng: Random) -> Plan | None:
    """Return the cheapest plan whose lower confidence bound meets the quality target in time.

    Args:
        query: The request.
        options: Usable versions, at most one of each model.
        rng: Random source that selects requests for exploration.

    Returns:
        The plan, or None if there are no options.
    """
    if not options:
        return None
    ordered = sorted(options, key=lambda o: (_cost(query, o), o.version.version_id))
    if query.policy == "cheapest":
        return _plan(query, _direct(query, ordered[0]), "policy: cheapest", ordered)
    if query.policy == "dearest":
        return _plan(query, _direct(query, ordered[-1]), "policy: dearest", ordered)
    explored = _explore(query, ordered, rng)
    if explored:
        return explored
    return _exploit(query, ordered)


def _exploit(query: PlanQuery, ordered: list[VersionOption]) -> Plan:
    """Return the cheapest plan that is known to meet the target, else the best known one."""
    scored = [_direct(query, option) for option in ordered]
    scored += _cascades(query, ordered)
    in_time = [plan for plan in scored if _in_time(query, plan)]
    known = [plan for plan in in_time if plan.samples >= MIN_SAMPLES]
    objective = query.contract.objectives.quality
    meeting = [plan for plan in known if plan.lower >= objective]
    if meeting:
        best = min(meeting, key=lambda plan: (plan.cost, plan.steps))
        return _plan(query, best, f"cheapest with lower bound {best.lower:.3f}", ordered)
    default = _default_option(query, ordered)
    if not known or default.estimate.samples < MIN_SAMPLES:
        return _plan(query, _direct(query, default), "no estimate: default model", ordered)
    best = max(known, key=lambda plan: (plan.lower, -plan.cost, plan.steps))
    return _plan(query, best, f"none meets the target: best bound {best.lower:.3f}", ordered)


def _explore(query: PlanQuery, ordered: list[VersionOption], rng: Random) -> Plan | None:
    """Return a plan that gets a rating for a version whose estimate is still inconclusive.

    Requests without streaming get a cascade, whose first answer is rated before delivery. Of
    streams only a small share is used, since their answers cannot be rated before delivery.

    Versions that cost no less than one that is known to meet the target are not explored.

    Returns:
        The plan, or None if the request is not used for exploration.
    """
    if query.critical or query.rating_s is None:
        return None
    default = _default_option(query, ordered)
    max_cost = _cheapest_proven_cost(query, ordered)
    inconclusive = [
        o
        for o in ordered
        if o is not default and _cost(query, o) < max_cost and _is_inconclusive(query, o.estimate)
    ]
    if not inconclusive:
        return None
    chosen = min(inconclusive, key=lambda o: (o.estimate.samples >= MIN_SAMPLES, _cost(query, o)))
    if not query.stream:
        known = chosen.estimate.samples >= MIN_SAMPLES
        cascade = _cascade(query, chosen, default)
        if _in_time(query, cascade) and not (known and rng.random() >= RATED_EXPLORATION_SHARE):
            return _plan(query, cascade, "exploration, rated before delivery", ordered)
    if rng.random() >= EXPLORATION_SHARE:
        return None
    direct = _direct(query, chosen)
    return _plan(query, direct, "exploration", ordered) if _in_time(query, direct) else None


def _cheapest_proven_cost(query: PlanQuery, ordered: list[VersionOption]) -> float:
    """Return the cost of the cheapest version that is known to meet the target by itself.

    It is infinite if there is none.
    """
    objective = query.contract.objectives.quality
    return min(
        (
            _cost(query, option)
            for option in ordered
            if option.estimate.samples >= MIN_SAMPLES and option.estimate.lower >= objective
        ),
        default=float("inf"),
    )


def _is_inconclusive(query: PlanQuery, estimate: Estimate) -> bool:
    """Return whether more ratings could show that a version meets the target by itself."""
    if estimate.samples < MIN_SAMPLES:
        return True
    objective = query.contract.objectives.quality
    return estimate.lower < objective <= estimate.upper and estimate.samples < MAX_EXPLORED_SAMPLES


def _default_option(query: PlanQuery, ordered: list[VersionOption]) -> VersionOption:
    """Return the contract's default model, else the version with the highest prior quality."""
    for option in ordered:
        if query.contract.default_model in (option.version.model, option.version.version_id):
            return option
    return max(ordered, key=lambda o: (o.version.prior_quality, o.version.version_id))


def _cost(query: PlanQuery, option: VersionOption) -> float:
    return cost_micros(option.version, query.input_tokens, query.output_tokens)


def _direct(query: PlanQuery, option: VersionOption) -> _Scored:
    """Return the scored plan that runs one version."""
    return _Scored(
        (option.version.version_id,),
        _cost(query, option),
        option.estimate.lower,
        option.timing.first_token_s,
        option.timing.total_s,
        option.estimate.samples,
    )


def _cascades(query: PlanQuery, ordered: list[VersionOption]) -> list[_Scored]:
    """Return the scored cascades of two versions of different models, the cheaper one first."""
    if query.rating_s is None:
        return []
    return [
        _cascade(query, cheap, expensive)
        for index, cheap in enumerate(ordered)
        for expensive in ordered[index + 1 :]
        if cheap.version.model != expensive.version.model
    ]


def _cascade(query: PlanQuery, cheap: VersionOption, expensive: VersionOption) -> _Scored:
    """Return the scored plan that escalates if the cheap version's answer rates too low.

    Nothing is delivered before the cheap version's answer is complete and rated.
    """
    rating_s = query.rating_s or 0.0
    rated_s = cheap.timing.total_s + rating_s
    lower, share = cheap.estimate.lower, cheap.estimate.share
    return _Scored(
        (cheap.version.version_id, expensive.version.version_id),
        _cost(query, cheap) + (1 - share) * _cost(query, expensive),
        lower + (1 - lower) * expensive.estimate.lower,
        rated_s + expensive.timing.first_token_s,
        rated_s + expensive.timing.total_s,
        min(cheap.estimate.samples, expensive.estimate.samples),
    )


def _in_time(query: PlanQuery, plan: _Scored) -> bool:
    """Return whether a cascade meets the deadline and, streamed, the first-token objective.

    A plan with one version always counts as in time.
    """
    if len(plan.steps) == 1:
        return True
    if query.stream and plan.first_token_s > query.contract.objectives.first_token_s:
        return False
    return plan.total_s <= query.time_left_s * MAX_DEADLINE_FRACTION


def _plan(query: PlanQuery, chosen: _Scored, grounds: str, ordered: list[VersionOption]) -> Plan:
    candidates = tuple(
        Candidate(
            option.version.version_id,
            "" if option.version.version_id in chosen.steps else "not in the plan chosen",
            option.estimate.mean,
            int(_cost(query, option)),
        )
        for option in ordered
    )
    return Plan(chosen.steps, grounds, chosen.cost, candidates)
