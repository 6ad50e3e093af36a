"""Canary analysis of an ordered roll-out: share of sessions and verdict by the fleet's evidence.

A version may be bad from the start, only after a while, only under load or only on one route. It
therefore gets a small constant share of the sessions for most of the roll-out (the canary phase);
the share grows in steps only at the end. Over the whole roll-out the version gets less than the
share of requests that a bad version may get (the exposure), even if it shows no fault. Beyond the
first step it gets more only after enough of its answers were compared with those of the replaced
version: after the completion that version is gone, and missing evidence says nothing for the new.
"""

from collections.abc import Iterable
from math import sqrt

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    VersionOutcomes,
)

MS_PER_S = 1000.0
CANARY_SHARE_OF_EXPOSURE = 0.3
# The roll-out completes this long before its end, so that its completion is stored in time.
COMPLETION_MARGIN_S = 1.2
ALL_SESSIONS = 1.0
# The version is bad if at least MIN_BAD_ANSWERS failed or were slow, and the lower confidence bound
# of their share is at least the replaced version's share plus BAD_SHARE_MARGIN and at least
# BAD_SHARE_FACTOR times that share.
MIN_BAD_ANSWERS = 4
BAD_SHARE_MARGIN = 0.12
BAD_SHARE_FACTOR = 2.0
# One-sided confidence of 95%.
CONFIDENCE_Z = 1.64
# The version is in doubt from this number and this share of failed or slow answers on.
MIN_DOUBTFUL_ANSWERS = 2
MIN_DOUBTFUL_SHARE = 0.12
# Fewest answers before the share grows beyond the first step. Of 10 answers of a version of which
# half are bad, at least MIN_DOUBTFUL_ANSWERS are bad with a probability of 99%.
MIN_ANSWERS_TO_GROW = 10
# Bad outcomes are published soon, good ones seldom, to limit the writes to the store.
MIN_BAD_EVIDENCE_INTERVAL_S = 0.6
MIN_GOOD_EVIDENCE_INTERVAL_S = 4.0


class ShareStep(Struct, frozen=True):
    """A step of growth at the end of a roll-out.

    Attributes:
        share: Share of the sessions for the target version, 0 to 1.
        exposure_fraction: Duration of the step, as a fraction of the allowed exposure, which is
            itself a fraction of the roll-out's duration.
    """

    share: float
    exposure_fraction: float


SHARE_STEPS = (ShareStep(0.25, 0.2), ShareStep(0.5, 0.2), ShareStep(ALL_SESSIONS, 0.25))


class VersionsReady(Struct, frozen=True):
    """Which versions have available endpoints.

    Attributes:
        target: Whether the target version has a warm one.
        replaced: Whether a replaced version has one.
    """

    target: bool
    replaced: bool


class PooledEvidence(Struct, frozen=True):
    """Outcomes of the target and the replaced versions by route, summed over daemons."""

    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]


def pool_evidence(evidence: Iterable[Evidence]) -> PooledEvidence:
    """Return the sum of the evidence of several daemons."""
    target: dict[str, VersionOutcomes] = {}
    other: dict[str, VersionOutcomes] = {}
    for item in evidence:
        for route, outcomes in item.target_by_route.items():
            target[route] = add_outcomes(target.get(route, VersionOutcomes()), outcomes)
        for route, outcomes in item.other_by_route.items():
            other[route] = add_outcomes(other.get(route, VersionOutcomes()), outcomes)
    return PooledEvidence(target, other)


def add_outcomes(one: VersionOutcomes, two: VersionOutcomes) -> VersionOutcomes:
    """Return the sum of two outcome counts."""
    return VersionOutcomes(
        one.answers + two.answers, one.failures + two.failures, one.slow + two.slow
    )


def find_fault(pooled: PooledEvidence) -> str:
    """Return why the target version is bad, over all routes or on one; empty if it is not."""
    overall = ("all routes", _total(pooled.target_by_route), _total(pooled.other_by_route))
    per_route = [
        (route, outcomes, pooled.other_by_route.get(route, VersionOutcomes()))
        for route, outcomes in pooled.target_by_route.items()
    ]
    for name, target, other in (overall, *per_route):
        reason = _fault_on(name, target, other)
        if reason:
            return reason
    return ""


def should_publish_evidence(published: Evidence | None, found: Evidence, age_s: float) -> bool:
    """Return whether a daemon should write its evidence to the store now.

    Bad outcomes are published soon, since a bad version has to be rolled back soon; good ones
    seldom.

    Args:
        published: Evidence published last; None if there was none.
        found: Evidence counted until now.
        age_s: Time since evidence was published last, in seconds.
    """
    before = _total(published.target_by_route) if published else VersionOutcomes()
    if published and published.order_revision != found.order_revision:
        before = VersionOutcomes()
    after = _total(found.target_by_route)
    bad = after.failures + after.slow > before.failures + before.slow
    if bad:
        return age_s >= MIN_BAD_EVIDENCE_INTERVAL_S
    return after != before and age_s >= MIN_GOOD_EVIDENCE_INTERVAL_S


def next_trial_record(
    order: RolloutOrder,
    trial: RolloutRecord | None,
    pooled: PooledEvidence,
    expose_share: float,
    ready: VersionsReady,
    store_ms: int,
) -> RolloutRecord | None:
    """Return the state of a roll-out to store next, or None if it does not change.

    Args:
        order: The roll-out order.
        trial: State stored last; None if there is none.
        pooled: Evidence of the fleet for this order.
        expose_share: Share of the service's requests that a bad version may get.
        ready: Which versions have available endpoints.
        store_ms: Time of the store's clock, in milliseconds.
    """
    if trial is None or trial.order_revision != order.revision:
        revision = trial.revision if trial else 0
        return RolloutRecord(
            order.service,
            order.version,
            order.revision,
            RolloutState.RUNNING,
            canary_share(expose_share),
            store_ms,
            store_ms,
            revision,
            generation=trial.generation if trial else 0,
        )
    if trial.state is not RolloutState.RUNNING:
        return None
    fault = find_fault(pooled)
    if not fault and _in_doubt(pooled) and trial.share > canary_share(expose_share):
        # Too many sessions run on the version to wait for more evidence.
        fault = "doubtful with more than the first share of the sessions"
    if fault:
        return _rolled_back(trial, fault, store_ms)
    if _in_doubt(pooled):
        return _with_verdict_when_due(order, trial, pooled, store_ms)
    if not ready.target:
        return None
    largest = ALL_SESSIONS if _may_grow(pooled, ready) else SHARE_STEPS[0].share
    return _with_next_share(order, trial, expose_share, largest, store_ms)


def _in_doubt(pooled: PooledEvidence) -> bool:
    """Return whether too many of few answers are bad to give the version a larger share."""
    target = _total(pooled.target_by_route)
    bad = target.failures + target.slow
    return bad >= MIN_DOUBTFUL_ANSWERS and bad >= MIN_DOUBTFUL_SHARE * target.answers


def _may_grow(pooled: PooledEvidence, ready: VersionsReady) -> bool:
    """Return whether the share may grow beyond the first step.

    Without endpoints of a replaced version there is nothing to compare with, and the sessions
    assigned to that version have no endpoint.
    """
    return _total(pooled.target_by_route).answers >= MIN_ANSWERS_TO_GROW or not ready.replaced


def _rolled_back(trial: RolloutRecord, reason: str, store_ms: int) -> RolloutRecord:
    return replace(
        trial, state=RolloutState.ROLLED_BACK, share=0.0, stepped_ms=store_ms, reason=reason
    )


def _with_verdict_when_due(
    order: RolloutOrder, trial: RolloutRecord, pooled: PooledEvidence, store_ms: int
) -> RolloutRecord | None:
    """Return the roll-back of a doubtful version once its completion is due; None before.

    A version whose answers are no worse than those of the replaced one is left in doubt.
    """
    if _completion_due(order, trial, store_ms) and _is_worse(pooled):
        return _rolled_back(trial, "doubtful when its completion was due", store_ms)
    return None


def _completion_due(order: RolloutOrder, trial: RolloutRecord, store_ms: int) -> bool:
    elapsed_s = (store_ms - trial.started_ms) / MS_PER_S
    return elapsed_s >= order.duration_s - COMPLETION_MARGIN_S


def _is_worse(pooled: PooledEvidence) -> bool:
    """Return whether the target's share of bad answers is higher, without regard to confidence."""
    target = _total(pooled.target_by_route)
    bad = target.failures + target.slow
    if bad < MIN_BAD_ANSWERS:
        return False
    return (
        bad / max(bad, target.answers)
        >= _baseline(_total(pooled.other_by_route)) + BAD_SHARE_MARGIN
    )


def _with_next_share(
    order: RolloutOrder,
    trial: RolloutRecord,
    expose_share: float,
    largest: float,
    store_ms: int,
) -> RolloutRecord | None:
    """Return the state with the share that is due, or completed; None if neither is due.

    Args:
        order: The roll-out order.
        trial: State stored last.
        expose_share: Share of the service's requests that a bad version may get.
        largest: Largest share that the evidence allows.
        store_ms: Time of the store's clock, in milliseconds.
    """
    share = _share_at(order, (store_ms - trial.started_ms) / MS_PER_S, expose_share)
    if share is None and trial.share >= ALL_SESSIONS:
        return replace(trial, state=RolloutState.COMPLETED, stepped_ms=store_ms)
    due = min(largest, ALL_SESSIONS if share is None else share)
    return replace(trial, share=due, stepped_ms=store_ms) if due > trial.share else None


def _share_at(order: RolloutOrder, elapsed_s: float, expose_share: float) -> float | None:
    """Return the share of the sessions due at a time since the start; None after the end."""
    boundary_s = order.duration_s - COMPLETION_MARGIN_S
    if elapsed_s >= boundary_s:
        return None
    for step in reversed(SHARE_STEPS):
        boundary_s -= step.exposure_fraction * expose_share * order.duration_s
        if elapsed_s >= boundary_s:
            return step.share
    return canary_share(expose_share)


def canary_share(expose_share: float) -> float:
    """Return the share of the sessions in the canary phase.

    Args:
        expose_share: Share of the service's requests that a bad version may get.
    """
    return CANARY_SHARE_OF_EXPOSURE * expose_share


def _fault_on(name: str, target: VersionOutcomes, other: VersionOutcomes) -> str:
    """Return why the target version is bad by these outcomes; empty if it is not.

    Args:
        name: Route of the outcomes, for the reason.
        target: Outcomes of the target version.
        other: Outcomes of the replaced versions.
    """
    baseline = _baseline(other)
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


def _baseline(other: VersionOutcomes) -> float:
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


def _total(by_route: dict[str, VersionOutcomes]) -> VersionOutcomes:
    total = VersionOutcomes()
    for outcomes in by_route.values():
        total = add_outcomes(total, outcomes)
    return total
