"""Choice of the plan of a request: one version, or a cheap one with escalation."""

from random import Random

from msgspec import Struct

from comfreyhatch.decisions.quality import Estimate
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.record import Candidate
from comfreyhatch.domain.version import Version, VersionState, cost_micros

EXPLORATION_SHARE = 0.02
RATED_EXPLORATION_SHARE = 0.7
EXPLORED_SAMPLES = 200
MIN_SAMPLES = 12
DEADLINE_MARGIN = 0.8


class AnswerTiming(Struct, frozen=True):
    """Expected times of a version's answers at the 95th percentile, in seconds."""

    first_token_s: float = 0.4
    total_s: float = 2.0


class VersionOption(Struct, frozen=True):
    """A version that may run the request, with what is known of it."""

    version: Version
    estimate: Estimate = Estimate()
    timing: AnswerTiming = AnswerTiming()


class PlanQuery(Struct, frozen=True):
    """What the choice depends on besides the versions.

    Attributes:
        contract: Contract of the customer.
        input_tokens: Size of the prompt.
        output_tokens: Expected size of the answer.
        stream: Whether the caller takes the answer as a stream.
        time_left_s: Time until the deadline.
        rating_s: Expected time of one rating; None while no rating can be had.
        critical: Whether the request is critical; such requests are not explored with.
        policy: How to choose; all but "learned" are baselines.
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
    """Versions to run in order; the next runs only if the answer before it rates too low.

    Attributes:
        steps: Version ids.
        grounds: Why the plan was chosen.
        expected_micros: Expected cost.
        candidates: Versions weighed.
    """

    steps: tuple[str, ...]
    grounds: str
    expected_micros: float = 0.0
    candidates: tuple[Candidate, ...] = ()

    def describe(self) -> str:
        """Return the plan as one phrase."""
        if len(self.steps) == 1:
            return f"direct {self.steps[0]}"
        return "cascade " + " > ".join(self.steps)


class _Scored(Struct, frozen=True):
    """A plan with its figures."""

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
    """Return the versions that may take a request, and why the others may not.

    Args:
        versions: All declared versions.
        contract: Contract of the customer.
        wanted: Model or version id asked for; empty for any.
        quarantined: Version ids in quarantine.
        new_session: Whether the request is no part of a running session.
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
    """Return one version of each model, by the roll-out shares.

    A share that grows only moves points to the new version, never between old ones.

    Args:
        versions: Usable versions.
        point: Place of the session or request, 0 to 99.
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
    """Return the cheapest plan whose lower confidence bound meets the target in time.

    Args:
        query: The request.
        options: Usable versions, at most one of each model.
        rng: Seeded source of exploration.

    Returns:
        The plan, or None without options.
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
    scored = [_direct(query, option) for option in ordered]
    scored += _cascades(query, ordered)
    timely = [plan for plan in scored if _in_time(query, plan)]
    known = [plan for plan in timely if plan.samples >= MIN_SAMPLES]
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
    """Return a plan that has a version rated whose estimate does not decide yet.

    Callers that do not stream get a cascade, whose answer is rated before delivery; of streams
    only a small share is used.
    """
    if query.critical or query.rating_s is None:
        return None
    default = _default_option(query, ordered)
    limit = _cheapest_proven(query, ordered)
    open_options = [
        o
        for o in ordered
        if o is not default and _cost(query, o) < limit and _undecided(query, o.estimate)
    ]
    if not open_options:
        return None
    chosen = min(open_options, key=lambda o: (o.estimate.samples >= MIN_SAMPLES, _cost(query, o)))
    if not query.stream:
        known = chosen.estimate.samples >= MIN_SAMPLES
        cascade = _cascade(query, chosen, default)
        if _in_time(query, cascade) and not (known and rng.random() >= RATED_EXPLORATION_SHARE):
            return _plan(query, cascade, "exploration, rated before delivery", ordered)
    if rng.random() >= EXPLORATION_SHARE:
        return None
    direct = _direct(query, chosen)
    return _plan(query, direct, "exploration", ordered) if _in_time(query, direct) else None


def _cheapest_proven(query: PlanQuery, ordered: list[VersionOption]) -> float:
    """Return the cost of the cheapest version that is known to meet the target by itself."""
    objective = query.contract.objectives.quality
    return min(
        (
            _cost(query, option)
            for option in ordered
            if option.estimate.samples >= MIN_SAMPLES and option.estimate.lower >= objective
        ),
        default=float("inf"),
    )


def _undecided(query: PlanQuery, estimate: Estimate) -> bool:
    """Return whether more ratings could show that a version meets the target by itself."""
    if estimate.samples < MIN_SAMPLES:
        return True
    objective = query.contract.objectives.quality
    return estimate.lower < objective <= estimate.upper and estimate.samples < EXPLORED_SAMPLES


def _default_option(query: PlanQuery, ordered: list[VersionOption]) -> VersionOption:
    """Return the contract's default model, else the version of the highest prior."""
    for option in ordered:
        if query.contract.default_model in (option.version.model, option.version.version_id):
            return option
    return max(ordered, key=lambda o: (o.version.prior_quality, o.version.version_id))


def _cost(query: PlanQuery, option: VersionOption) -> float:
    return cost_micros(option.version, query.input_tokens, query.output_tokens)


def _direct(query: PlanQuery, option: VersionOption) -> _Scored:
    return _Scored(
        (option.version.version_id,),
        _cost(query, option),
        option.estimate.lower,
        option.timing.first_token_s,
        option.timing.total_s,
        option.estimate.samples,
    )


def _cascades(query: PlanQuery, ordered: list[VersionOption]) -> list[_Scored]:
    if query.rating_s is None:
        return []
    return [
        _cascade(query, cheap, dear)
        for index, cheap in enumerate(ordered)
        for dear in ordered[index + 1 :]
        if cheap.version.model != dear.version.model
    ]


def _cascade(query: PlanQuery, cheap: VersionOption, dear: VersionOption) -> _Scored:
    """Return the figures of running the cheap version, rating it, and escalating if low.

    The caller sees no byte before the cheap answer is whole and rated.
    """
    rating_s = query.rating_s or 0.0
    rated_s = cheap.timing.total_s + rating_s
    low, high = cheap.estimate.lower, cheap.estimate.share
    return _Scored(
        (cheap.version.version_id, dear.version.version_id),
        _cost(query, cheap) + (1 - high) * _cost(query, dear),
        low + (1 - low) * dear.estimate.lower,
        rated_s + dear.timing.first_token_s,
        rated_s + dear.timing.total_s,
        min(cheap.estimate.samples, dear.estimate.samples),
    )


def _in_time(query: PlanQuery, plan: _Scored) -> bool:
    if len(plan.steps) == 1:
        return True
    if query.stream and plan.first_token_s > query.contract.objectives.first_token_s:
        return False
    return plan.total_s <= query.time_left_s * DEADLINE_MARGIN


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
