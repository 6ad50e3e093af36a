"""Canary analysis of an ordered roll-out: share of sessions and verdict by the fleet's evidence.

A version may be bad from the start, only after a while, only under load or only on one route. It
therefore gets a small share of the sessions until the roll-out's end, within the share of requests
that a bad version may get (the exposure). It is completed only once its answers are known to be no
worse than those of the replaced version, route by route: after the completion that version is gone.
While that is not known, also beyond the planned duration, both versions stay in service.
"""

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.decisions.trial_evidence import PooledEvidence, total_outcomes
from comfreyhatch.decisions.trial_shares import (
    COMPLETION_MARGIN_S,
    MIN_SHARE_GROWTH,
    Exposure,
    canary_share,
    is_plan_due,
    planned_share,
)
from comfreyhatch.decisions.version_comparison import (
    BAD_SHARE_FACTOR,
    BAD_SHARE_MARGIN,
    MIN_BAD_ANSWERS,
    Comparison,
    baseline_share,
    with_failures,
)
from comfreyhatch.domain.operations import RolloutOrder, RolloutRecord, RolloutState

MS_PER_S = 1000.0
ALL_SESSIONS = 1.0
# Time with all sessions on the target before the completion, at which the replaced version stops:
# what runs there may end.
FULL_SHARE_S = 0.3
# A share from which doubt ends the roll-out at once.
LARGE_SHARE = 0.5
# The version is in doubt from this number and this share of failed or slow answers on, if that is
# also BAD_SHARE_FACTOR times the replaced version's share.
MIN_DOUBTFUL_ANSWERS = 2
MIN_DOUBTFUL_SHARE = 0.12


class VersionsReady(Struct, frozen=True):
    """Which versions have available endpoints.

    Attributes:
        target: Whether the target version has a warm one.
        replaced: Whether a replaced version has one.
    """

    target: bool
    replaced: bool


def is_completion_due(order: RolloutOrder, trial: RolloutRecord, store_ms: int) -> bool:
    """Return whether the time has come at which a roll-out completes if its version is no worse."""
    return _elapsed_s(trial, store_ms) >= order.duration_s - COMPLETION_MARGIN_S


def is_share_planned(order: RolloutOrder, trial: RolloutRecord, store_ms: int) -> bool:
    """Return whether the share depends on the evidence, as it does from the middle on."""
    return is_plan_due(_elapsed_s(trial, store_ms), order.duration_s, order.duration_s)


def next_trial_record(
    order: RolloutOrder,
    trial: RolloutRecord | None,
    comparison: Comparison,
    exposure: Exposure,
    ready: VersionsReady,
    store_ms: int,
) -> RolloutRecord | None:
    """Return the state of a roll-out to store next, or None if it does not change.

    Args:
        order: The roll-out order.
        trial: State stored last; None if there is none.
        comparison: Comparison of the versions by the fleet's evidence for this order.
        exposure: Requests that a bad version may get.
        ready: Which versions have available endpoints.
        store_ms: Time of the store's clock, in milliseconds.
    """
    if trial is None or trial.order_revision != order.revision:
        return _started(order, trial, exposure, store_ms)
    if trial.state is not RolloutState.RUNNING:
        return None
    fault, pooled = comparison.fault, comparison.pooled
    in_doubt = _in_doubt(pooled) and not comparison.is_not_worse
    if not fault and in_doubt and trial.share >= LARGE_SHARE:
        # Too many sessions run on the version to wait for more evidence.
        fault = with_failures("doubtful with a large share of the sessions", pooled)
    if fault:
        return _rolled_back(trial, fault, store_ms)
    due = is_completion_due(order, trial, store_ms)
    if due and in_doubt and _is_worse(pooled):
        reason = with_failures("doubtful when its completion was due", pooled)
        return _rolled_back(trial, reason, store_ms)
    if not ready.target:
        return None
    # Without endpoints of a replaced version there is nothing to compare with, and the sessions
    # assigned to that version have no endpoint.
    if due and (comparison.is_not_worse or not ready.replaced):
        return _with_completion(trial, store_ms)
    return _with_next_share(order, trial, comparison, exposure, store_ms)


def _started(
    order: RolloutOrder, trial: RolloutRecord | None, exposure: Exposure, store_ms: int
) -> RolloutRecord:
    return RolloutRecord(
        order.service,
        order.version,
        order.revision,
        RolloutState.RUNNING,
        canary_share(exposure.share),
        store_ms,
        store_ms,
        trial.revision if trial else 0,
        generation=trial.generation if trial else 0,
    )


def _elapsed_s(trial: RolloutRecord, store_ms: int) -> float:
    return (store_ms - trial.started_ms) / MS_PER_S


def _since_step_s(trial: RolloutRecord, store_ms: int) -> float:
    return (store_ms - trial.stepped_ms) / MS_PER_S


def _in_doubt(pooled: PooledEvidence) -> bool:
    """Return whether many answers are bad, and a multiple of the replaced version's share."""
    target = total_outcomes(pooled.target_by_route.values())
    bad = target.failures + target.slow
    usual = baseline_share(total_outcomes(pooled.other_by_route.values()))
    doubtful_share = max(MIN_DOUBTFUL_SHARE, BAD_SHARE_FACTOR * usual)
    return bad >= MIN_DOUBTFUL_ANSWERS and bad >= doubtful_share * target.answers


def _rolled_back(trial: RolloutRecord, reason: str, store_ms: int) -> RolloutRecord:
    return replace(
        trial,
        state=RolloutState.ROLLED_BACK,
        share=0.0,
        stepped_ms=store_ms,
        reason=reason,
    )


def _is_worse(pooled: PooledEvidence) -> bool:
    """Return whether the target's share of bad answers is higher, without regard to confidence."""
    target = total_outcomes(pooled.target_by_route.values())
    bad = target.failures + target.slow
    if bad < MIN_BAD_ANSWERS:
        return False
    baseline = baseline_share(total_outcomes(pooled.other_by_route.values()))
    return bad / max(bad, target.answers) >= baseline + BAD_SHARE_MARGIN


def _with_completion(trial: RolloutRecord, store_ms: int) -> RolloutRecord | None:
    """Return the state with all sessions on the target, and completed a short time later."""
    if trial.share < ALL_SESSIONS:
        return replace(trial, share=ALL_SESSIONS, stepped_ms=store_ms)
    if _since_step_s(trial, store_ms) < FULL_SHARE_S:
        return None
    return replace(trial, state=RolloutState.COMPLETED, stepped_ms=store_ms)


def _with_next_share(
    order: RolloutOrder,
    trial: RolloutRecord,
    comparison: Comparison,
    exposure: Exposure,
    store_ms: int,
) -> RolloutRecord | None:
    """Return the state with the share that is due; None if the share stays."""
    elapsed_s = _elapsed_s(trial, store_ms)
    if comparison.is_slow_in_doubt:
        return None
    if not is_plan_due(elapsed_s, _since_step_s(trial, store_ms), order.duration_s):
        return None
    share = planned_share(
        comparison.pooled, comparison.missing, exposure, elapsed_s, order.duration_s
    )
    if share < trial.share * (1 + MIN_SHARE_GROWTH):
        return None
    return replace(trial, share=share, stepped_ms=store_ms)
