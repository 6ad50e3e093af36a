"""Steps of a roll-out, and the verdict on its version from the fleet's pooled evidence.

Answers a version that is bad at once, later, under load or on one route only: a small fixed share
of the sessions goes to it for most of the time, and the share grows in steps only at the end. Over
the whole time the version gets less than the share that a bad one may get, also if nothing bad is
seen of it.
"""

from collections.abc import Iterable
from math import sqrt

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutState,
    TrialRecord,
    VersionOutcomes,
)

MS_PER_S = 1000.0
CANARY_OF_EXPOSURE = 0.3
TIME_TO_STORE_END_S = 1.2
FULL_SHARE = 1.0
MIN_BAD = 4
DOUBT_BAD = 2
DOUBT_SHARE = 0.12
BAD_MARGIN = 0.12
BAD_FACTOR = 2.0
CONFIDENCE_Z = 1.64
BAD_NEWS_INTERVAL_S = 0.6
GOOD_NEWS_INTERVAL_S = 4.0


class ShareStep(Struct, frozen=True):
    """A share of the sessions and how long it lasts, as a part of the exposure allowed."""

    share: float
    part: float


SHARE_STEPS = (ShareStep(0.25, 0.2), ShareStep(0.5, 0.2), ShareStep(FULL_SHARE, 0.25))


class PooledEvidence(Struct, frozen=True):
    """Outcomes of the target version and of the replaced ones, by route."""

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
    """Return the sum of two counts."""
    return VersionOutcomes(
        one.answers + two.answers, one.failures + two.failures, one.slow + two.slow
    )


def find_fault(pooled: PooledEvidence) -> str:
    """Return why the target version is bad, on all routes together or on one; empty if not."""
    whole = ("all routes", _total(pooled.target_by_route), _total(pooled.other_by_route))
    parts = [
        (route, found, pooled.other_by_route.get(route, VersionOutcomes()))
        for route, found in pooled.target_by_route.items()
    ]
    for name, target, other in (whole, *parts):
        reason = _worse(name, target, other)
        if reason:
            return reason
    return ""


def should_publish_evidence(published: Evidence | None, found: Evidence, age_s: float) -> bool:
    """Return whether a daemon's evidence is worth a write to the store.

    Bad outcomes are published soon, since a bad version has to go soon; good ones seldom.

    Args:
        published: What the daemon published last; None if nothing.
        found: What it has counted now.
        age_s: Time since it published last.
    """
    before = _total(published.target_by_route) if published else VersionOutcomes()
    if published and published.order_revision != found.order_revision:
        before = VersionOutcomes()
    after = _total(found.target_by_route)
    bad = after.failures + after.slow > before.failures + before.slow
    if bad:
        return age_s >= BAD_NEWS_INTERVAL_S
    return after != before and age_s >= GOOD_NEWS_INTERVAL_S


def next_trial_record(
    order: RolloutOrder,
    trial: TrialRecord | None,
    pooled: PooledEvidence,
    expose_share: float,
    target_ready: bool,
    store_ms: int,
) -> TrialRecord | None:
    """Return the state to store next, or None when there is nothing to change.

    Args:
        order: The order.
        trial: State stored last; None when there is none.
        pooled: Evidence of the fleet on this order.
        expose_share: Share of the service's requests that a bad version may get.
        target_ready: Whether endpoints of the target version are there.
        store_ms: The store's clock.
    """
    if trial is None or trial.order_revision != order.revision:
        revision = trial.revision if trial else 0
        return TrialRecord(
            order.service,
            order.version,
            order.revision,
            RolloutState.RUNNING,
            canary_share(expose_share),
            store_ms,
            store_ms,
            revision,
        )
    if trial.state is not RolloutState.RUNNING:
        return None
    fault = find_fault(pooled)
    if not fault and _doubtful(pooled) and trial.share > canary_share(expose_share):
        # Too many sessions are on it to wait for proof.
        fault = "doubtful with more than the first share of the sessions"
    if fault:
        return replace(
            trial, state=RolloutState.ROLLED_BACK, share=0.0, stepped_ms=store_ms, reason=fault
        )
    if _doubtful(pooled):
        return None
    return _grown(order, trial, expose_share, target_ready, store_ms)


def _doubtful(pooled: PooledEvidence) -> bool:
    """Return whether the little that is known speaks against more traffic for now."""
    target = _total(pooled.target_by_route)
    bad = target.failures + target.slow
    return bad >= DOUBT_BAD and bad >= DOUBT_SHARE * target.answers


def _grown(
    order: RolloutOrder,
    trial: TrialRecord,
    expose_share: float,
    target_ready: bool,
    store_ms: int,
) -> TrialRecord | None:
    if not target_ready:
        return None
    share = _share_at(order, (store_ms - trial.started_ms) / MS_PER_S, expose_share)
    if share is None and trial.share >= FULL_SHARE:
        return replace(trial, state=RolloutState.COMPLETED, stepped_ms=store_ms)
    wanted = FULL_SHARE if share is None else share
    return replace(trial, share=wanted, stepped_ms=store_ms) if wanted > trial.share else None


def _share_at(order: RolloutOrder, elapsed_s: float, expose_share: float) -> float | None:
    """Return the share of the sessions at a time since the start; None when it is over."""
    ends_s = order.duration_s - TIME_TO_STORE_END_S
    if elapsed_s >= ends_s:
        return None
    for step in reversed(SHARE_STEPS):
        ends_s -= step.part * expose_share * order.duration_s
        if elapsed_s >= ends_s:
            return step.share
    return canary_share(expose_share)


def canary_share(expose_share: float) -> float:
    """Return the share of the sessions that a version gets before it has proved itself."""
    return CANARY_OF_EXPOSURE * expose_share


def _worse(name: str, target: VersionOutcomes, other: VersionOutcomes) -> str:
    usual = (other.failures + other.slow + 1) / (other.answers + 10)
    bad = target.failures + target.slow
    if bad < MIN_BAD:
        return ""
    low = _lower_bound(bad, target.answers)
    if low < max(usual + BAD_MARGIN, usual * BAD_FACTOR):
        return ""
    return (
        f"{name}: {target.failures} failed and {target.slow} slow of {target.answers},"
        f" others {usual:.3f}"
    )


def _lower_bound(bad: int, count: int) -> float:
    """Return the lower Wilson bound of a share."""
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
