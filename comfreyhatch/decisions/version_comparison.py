"""Sequential comparison of a roll-out's target version with the versions that it replaces.

Each route is compared by itself, since a version may be bad on one route only, and the sum of all
routes besides. The comparison is Wald's sequential probability ratio test: the score is the
logarithm of the likelihood that the version fails by a material excess more often than the replaced
versions, over the likelihood that it fails as often. A high score says that it is worse, a low one
that it is not, and between them it is not known yet: few answers without a failure prove nothing.

Slow answers are noisier than failures, as sound answers of busy endpoints count among them. They
are compared apart, so that they do not hide failures.
"""

from collections.abc import Iterable
from math import inf, log, sqrt

from msgspec import Struct

from comfreyhatch.decisions.trial_evidence import (
    PooledEvidence,
    add_outcomes,
    answers_on,
    failures_text,
    total_outcomes,
)
from comfreyhatch.domain.operations import VersionOutcomes

# Scores from which a version is worse (one false alarm in 200, for each thing that is compared) and
# up to which it is not (one miss in 20).
WORSE_SCORE = log(200)
NOT_WORSE_SCORE = -log(20)
# Score up to which more answers are wanted if there are requests for them (one miss in 100).
ASSURED_SCORE = -log(100)
# Answers that are missing are reckoned for a score this many standard deviations above its mean.
SCORE_DEVIATIONS = 1.0
# Excess of failures that is material on one route and on all together, as a share of the answers.
ROUTE_EXCESS = 0.15
TOTAL_EXCESS = 0.06
# On a route with little traffic a larger excess is material: one of this share of all answers.
RARE_ROUTE_EXCESS_OF_ALL = 0.035
# Where the replaced versions fail too, their endpoints differ more among each other, and a larger
# excess is material. Beyond FREQUENT_FAILURE_SHARE it has to be larger still: the answers that the
# exposure allows are too few to tell smaller ones from chance.
EXCESS_PER_USUAL_SHARE = 1.5
FREQUENT_FAILURE_SHARE = 0.02
EXCESS_PER_FREQUENT_SHARE = 2.0
# Routes with a smaller share of the answers are compared together.
MIN_ROUTE_SHARE = 0.05
RARE_ROUTES = "rare routes"
ALL_ROUTES = "all routes"
MIN_USUAL_FAILURE_SHARE = 0.005
MAX_SHARE = 0.95
MAX_USUAL_SHARE = 0.9025
MIN_USUAL_SLOW_SHARE = 0.05
SLOW_EXCESS = 0.3
# Scores of slow answers from which a version is in doubt, on all routes together and on one.
TOTAL_DOUBT_SCORE = 0.0
ROUTE_DOUBT_SCORE = 2.0


# The version is bad if at least MIN_BAD_ANSWERS failed or were slow, and the lower confidence bound
# of their share is at least the replaced version's share plus BAD_SHARE_MARGIN and at least
# BAD_SHARE_FACTOR times that share.
MIN_BAD_ANSWERS = 4
BAD_SHARE_MARGIN = 0.12
BAD_SHARE_FACTOR = 2.0
# One-sided confidence of 95%.
CONFIDENCE_Z = 1.64


class MissingAnswers(Struct, frozen=True):
    """Further answers of the target version, by route, if it fails as often as the replaced ones.

    Attributes:
        needed_by_route: Those without which there is no verdict.
        wanted_by_route: Those with which the verdict is as sure as it may be; more than the others.
    """

    needed_by_route: dict[str, float]
    wanted_by_route: dict[str, float]


class Comparison(Struct, frozen=True):
    """Result of a comparison.

    Attributes:
        pooled: Evidence that was compared.
        fault: Why the target version is worse; empty if it is not or that is not known yet.
        is_not_worse: Whether the target version is known not to be worse.
        is_slow_in_doubt: Whether the version may be slow over all routes.
        unknown: What is not known yet, for the log; empty if all is.
        missing: Further answers of the target version that the comparison lacks.
    """

    pooled: PooledEvidence
    fault: str
    is_not_worse: bool
    is_slow_in_doubt: bool
    unknown: str
    missing: MissingAnswers


class _Subject(Struct, frozen=True):
    """What is compared: a route, the rare routes together, or all routes.

    Attributes:
        name: Name for the log.
        answers_by_route: Answers of all versions on the routes that belong to it.
        target: Outcomes of the target version.
        other: Outcomes of the replaced versions.
        endpoints: Outcomes of the endpoints of the target version.
        excess: Material excess of failures.
        slow_doubt_score: Score of slow answers from which the version is in doubt.
    """

    name: str
    answers_by_route: dict[str, int]
    target: VersionOutcomes
    other: VersionOutcomes
    endpoints: tuple[VersionOutcomes, ...]
    excess: float
    slow_doubt_score: float


def compare_versions(pooled: PooledEvidence) -> Comparison:
    """Return how the target version compares with the replaced versions."""
    fault = find_fault(pooled)
    subjects = _subjects(pooled)
    worse_score = WORSE_SCORE + log(len(subjects))
    missing = MissingAnswers({}, {})
    unknown = []
    total = subjects[-1]
    for subject in subjects:
        score = _failure_score(subject)
        if score >= worse_score and not fault:
            fault = _text(subject)
        needed = _missing_answers(subject, score, NOT_WORSE_SCORE)
        doubt = _slow_score(subject) > subject.slow_doubt_score
        if needed > 0 or doubt:
            lacks = "maybe slow" if doubt else f"{needed:.0f} missing"
            unknown.append(f"{_text(subject)}, {lacks}")
        _add_missing(missing.needed_by_route, subject, needed)
        wanted = _missing_answers(subject, score, ASSURED_SCORE)
        _add_missing(missing.wanted_by_route, subject, wanted)
    return Comparison(
        pooled=pooled,
        fault=with_failures(fault, pooled) if fault else "",
        is_not_worse=not unknown and not fault,
        is_slow_in_doubt=_slow_score(total) > TOTAL_DOUBT_SCORE,
        unknown="; ".join(unknown),
        missing=missing,
    )


def with_failures(reason: str, pooled: PooledEvidence) -> str:
    """Return a reason with how answers of the target version failed."""
    return f"{reason} ({failures_text(pooled.target_by_failure)})"


def find_fault(pooled: PooledEvidence) -> str:
    """Return why the target version is clearly bad, over all routes or on one; empty if it is not.

    Failures and slow answers count alike, so that it finds versions that are a little of both.
    """
    routes = sorted(pooled.target_by_route)
    for name, members in [(ALL_ROUTES, routes), *((route, [route]) for route in routes)]:
        target = _total_of(pooled.target_by_route, members)
        counted = _without_worst_endpoint(target, _endpoints_on(pooled, members))
        reason = _fault_on(name, counted, _total_of(pooled.other_by_route, members))
        if reason:
            return reason
    return ""


def _subjects(pooled: PooledEvidence) -> list[_Subject]:
    """Return the routes, the rare ones as one, and all of them together as the last one."""
    routes = sorted(pooled.target_by_route | pooled.other_by_route)
    answers = max(1, sum(answers_on(pooled, route) for route in routes))
    rare = [r for r in routes if answers_on(pooled, r) < MIN_ROUTE_SHARE * answers]
    subjects = []
    for name, members in [*((r, [r]) for r in routes if r not in rare), (RARE_ROUTES, rare)]:
        share = sum(answers_on(pooled, route) for route in members) / answers
        if share > 0:
            excess = max(ROUTE_EXCESS, RARE_ROUTE_EXCESS_OF_ALL / share)
            subjects.append(_subject(pooled, name, members, excess, ROUTE_DOUBT_SCORE))
    subjects.append(_subject(pooled, ALL_ROUTES, routes, TOTAL_EXCESS, TOTAL_DOUBT_SCORE))
    return subjects


def _subject(
    pooled: PooledEvidence,
    name: str,
    routes: list[str],
    excess: float,
    slow_doubt_score: float,
) -> _Subject:
    return _Subject(
        name,
        {route: answers_on(pooled, route) for route in routes},
        _total_of(pooled.target_by_route, routes),
        _total_of(pooled.other_by_route, routes),
        _endpoints_on(pooled, routes),
        excess,
        slow_doubt_score,
    )


def _total_of(by_route: dict[str, VersionOutcomes], routes: list[str]) -> VersionOutcomes:
    return total_outcomes(by_route.get(route, VersionOutcomes()) for route in routes)


def _endpoints_on(pooled: PooledEvidence, routes: list[str]) -> tuple[VersionOutcomes, ...]:
    """Return the outcomes of each endpoint of the target version on some routes."""
    by_endpoint: dict[str, VersionOutcomes] = {}
    for route in routes:
        for endpoint, outcomes in pooled.target_by_endpoint.get(route, {}).items():
            known = by_endpoint.get(endpoint, VersionOutcomes())
            by_endpoint[endpoint] = add_outcomes(known, outcomes)
    return tuple(by_endpoint.values())


def _failure_score(subject: _Subject) -> float:
    """Return the logarithm of the likelihood ratio of a material excess of failures."""
    counted = _without_worst_endpoint(subject.target, subject.endpoints)
    worse_gain, good_loss = _score_steps(subject)
    good = max(0, counted.answers - counted.failures)
    return counted.failures * worse_gain - good * good_loss


def _score_steps(subject: _Subject) -> tuple[float, float]:
    """Return by how much a failure raises the score and a good answer lowers it."""
    other = subject.other
    usual = max(MIN_USUAL_FAILURE_SHARE, (other.failures + 0.5) / (other.answers + 10))
    seldom = min(usual, FREQUENT_FAILURE_SHARE)
    excess = subject.excess + EXCESS_PER_USUAL_SHARE * seldom
    excess += EXCESS_PER_FREQUENT_SHARE * (usual - seldom)
    return _steps(usual, usual + excess)


def _steps(usual: float, worse: float) -> tuple[float, float]:
    usual = min(usual, MAX_USUAL_SHARE)
    worse = min(worse, MAX_SHARE)
    return log(worse / usual), log((1 - usual) / (1 - worse))


def _without_worst_endpoint(
    target: VersionOutcomes, endpoints: Iterable[VersionOutcomes]
) -> VersionOutcomes:
    """Return the outcomes in which the endpoint with most failures counts as one failure.

    A single failing endpoint is no fault of its version. If most answers came from that endpoint,
    the others say too little to tell the two apart, and it counts in full.
    """
    worst = max(endpoints, key=lambda found: found.failures, default=VersionOutcomes())
    if worst.failures <= 1 or 2 * worst.answers > target.answers:
        return target
    return VersionOutcomes(
        target.answers - worst.answers + 1,
        target.failures - worst.failures + 1,
        target.slow - worst.slow,
    )


def _slow_score(subject: _Subject) -> float:
    """Return the logarithm of the likelihood ratio of a material excess of slow answers."""
    target, other = subject.target, subject.other
    usual = max(MIN_USUAL_SLOW_SHARE, (other.slow + 1) / (other.answers + 10))
    slow_gain, good_loss = _steps(usual, usual + SLOW_EXCESS)
    return target.slow * slow_gain - max(0, target.answers - target.slow) * good_loss


def _missing_answers(subject: _Subject, score: float, sought_score: float) -> float:
    """Return the number of further answers by which a score is likely to be reached.

    A version that is no worse fails as often as the replaced ones; each failure costs many good
    answers, and their number varies.
    """
    if score <= sought_score:
        return 0.0
    if not subject.other.answers and not subject.target.answers:
        return inf
    worse_gain, good_loss = _score_steps(subject)
    usual = subject.other.failures / (subject.other.answers + 10)
    mean_loss = (1 - usual) * good_loss - usual * worse_gain
    deviation = sqrt(usual * (1 - usual)) * (worse_gain + good_loss)
    # The root of n * mean_loss - SCORE_DEVIATIONS * deviation * sqrt(n) = score - sought_score.
    spread = SCORE_DEVIATIONS * deviation
    root = (spread + sqrt(spread**2 + 4 * mean_loss * (score - sought_score))) / (2 * mean_loss)
    return root**2


def _add_missing(missing_by_route: dict[str, float], subject: _Subject, answers: float) -> None:
    """Add the answers that a subject lacks to its routes, by their traffic.

    What its routes lack already is taken off.
    """
    total = sum(subject.answers_by_route.values())
    if not total:
        return
    known = sum(missing_by_route.get(route, 0.0) for route in subject.answers_by_route)
    more = max(0.0, answers - known)
    for route, found in subject.answers_by_route.items():
        missing_by_route[route] = missing_by_route.get(route, 0.0) + more * found / total


def _text(subject: _Subject) -> str:
    target, other = subject.target, subject.other
    return (
        f"{subject.name}: {target.failures} failed and {target.slow} slow of {target.answers},"
        f" others {other.failures} and {other.slow} of {other.answers}"
    )


def _fault_on(name: str, target: VersionOutcomes, other: VersionOutcomes) -> str:
    """Return why the target version is bad by these outcomes; empty if it is not.

    Args:
        name: Route of the outcomes, for the reason.
        target: Outcomes of the target version.
        other: Outcomes of the replaced versions.
    """
    baseline = baseline_share(other)
    bad = target.failures + target.slow
    if bad < MIN_BAD_ANSWERS:
        return ""
    # Streams that run when a version is ordered again count as slow, but no longer as answers.
    lower = _lower_bound(bad, max(bad, target.answers))
    if lower < max(baseline + BAD_SHARE_MARGIN, baseline * BAD_SHARE_FACTOR):
        return ""
    return (
        f"{name}: {target.failures} failed and {target.slow} slow of {target.answers},"
        f" others {baseline:.3f}"
    )


def baseline_share(other: VersionOutcomes) -> float:
    """Return the share of bad answers of the replaced versions.

    Additive smoothing; a version without any answers counts as 10% bad.
    """
    return (other.failures + other.slow + 1) / (other.answers + 10)


def _lower_bound(bad: int, count: int) -> float:
    """Return the lower bound of the Wilson score interval of a share."""
    share = bad / count
    square = CONFIDENCE_Z**2 / count
    centre = share + square / 2
    spread = CONFIDENCE_Z * sqrt((share * (1 - share) + square / 4) / count)
    return (centre - spread) / (1 + square)
