"""Share of the sessions that a roll-out gives its target version before its verdict.

In the first half sessions stay on their version, and the target gets a small constant share (the
canary share). From then on it gets the share at which each route is known well enough by the end,
within the requests that a bad version may get (the exposure). A share never shrinks, as sessions
on the target would go back.
"""

from math import sqrt

from msgspec import Struct

from comfreyhatch.decisions.trial_evidence import PooledEvidence, answers_on
from comfreyhatch.decisions.version_comparison import MissingAnswers

CANARY_SHARE_OF_EXPOSURE = 0.3
# The target gets all sessions this long before the end, so that the completion is stored in time.
COMPLETION_MARGIN_S = 1.4
# Part of the allowed exposure that is planned for; sessions come unevenly, and daemons count late.
PLANNED_PART_OF_EXPOSURE = 0.85
# Part of the requests between completion and end for which exposure is kept back from answers
# that the verdict needs; from others it is kept back for all.
PART_KEPT_FROM_NEEDED = 0.25
# Time from a request to its outcome at other daemons.
EVIDENCE_DELAY_S = 1.0
# Below the share from which requests without an endpoint fall back to the other version.
MAX_TRIAL_SHARE = 0.4
# Answers planned for beyond those that are missing, in standard deviations of their number.
SPARE_DEVIATIONS = 1.5
# The share is planned anew after this part of the roll-out's duration.
PLAN_INTERVAL_OF_DURATION = 1 / 6
# Shortest time for which requests are reckoned.
MIN_SPAN_S = 0.2
# A share that is larger by less than this part is not worth a write to the store.
MIN_SHARE_GROWTH = 0.2


class Exposure(Struct, frozen=True):
    """Requests that a bad version may get from its order to the end of the order's time.

    Attributes:
        share: Share of the service's requests.
        slack: Number of requests in addition.
    """

    share: float
    slack: float = 0.0


def canary_share(expose_share: float) -> float:
    """Return the share of the sessions in the canary phase.

    Args:
        expose_share: Share of the service's requests that a bad version may get.
    """
    return CANARY_SHARE_OF_EXPOSURE * expose_share


def is_plan_due(elapsed_s: float, since_step_s: float, duration_s: float) -> bool:
    """Return whether the share is to be planned, all times being in seconds.

    Args:
        elapsed_s: Time since the start of the roll-out.
        since_step_s: Time since its last step.
        duration_s: Duration of the roll-out.
    """
    in_second_half = elapsed_s >= duration_s / 2
    return in_second_half and since_step_s >= PLAN_INTERVAL_OF_DURATION * duration_s


def planned_share(
    pooled: PooledEvidence,
    missing: MissingAnswers,
    exposure: Exposure,
    elapsed_s: float,
    duration_s: float,
) -> float:
    """Return the share of the sessions that brings the answers that a comparison lacks.

    Args:
        pooled: Evidence of the fleet.
        missing: Answers of the target version that are missing.
        exposure: Requests that a bad version may get.
        elapsed_s: Time since the start of the roll-out, in seconds.
        duration_s: Duration of the roll-out, in seconds.
    """
    rate_by_route = _rate_by_route(pooled, elapsed_s)
    span_s = duration_s - COMPLETION_MARGIN_S - elapsed_s - EVIDENCE_DELAY_S
    is_late = span_s <= MIN_SPAN_S
    if is_late:
        # The end is not met: what is missing is to come in the time of one more plan.
        span_s = max(MIN_SPAN_S, PLAN_INTERVAL_OF_DURATION * duration_s)
    needed = _share_for(missing.needed_by_route, rate_by_route, span_s)
    wanted = _share_for(missing.wanted_by_route, rate_by_route, span_s)
    if is_late:
        needed = max(exposure.share, needed)
    if elapsed_s < duration_s:
        planned = _planned_requests(pooled, sum(rate_by_route.values()), exposure, duration_s)
        kept = sum(rate_by_route.values()) * COMPLETION_MARGIN_S
        coming = sum(rate_by_route.values()) * max(MIN_SPAN_S, duration_s - elapsed_s)
        needed = _within(needed, planned - PART_KEPT_FROM_NEEDED * kept, coming)
        wanted = _within(wanted, planned - kept, coming)
    return max(canary_share(exposure.share), min(MAX_TRIAL_SHARE, max(needed, wanted)))


def _share_for(
    missing_by_route: dict[str, float], rate_by_route: dict[str, float], span_s: float
) -> float:
    """Return the share that brings the missing answers of all routes within a time."""
    return max(
        (
            _with_spare(missing) / (rate_by_route[route] * span_s)
            for route, missing in missing_by_route.items()
            if route in rate_by_route
        ),
        default=0.0,
    )


def _with_spare(answers: float) -> float:
    """Return the answers to plan for; parts of an answer are those of many rare routes."""
    return answers + SPARE_DEVIATIONS * sqrt(answers) if answers >= 1 else answers


def _within(share: float, requests: float, coming: float) -> float:
    """Return a share of the coming requests, bounded by a number of requests."""
    return min(share, max(0.0, requests) / coming) if coming else 0.0


def _rate_by_route(pooled: PooledEvidence, elapsed_s: float) -> dict[str, float]:
    """Return the answers a second of each route that has any."""
    span_s = max(MIN_SPAN_S, elapsed_s - EVIDENCE_DELAY_S)
    routes = pooled.target_by_route | pooled.other_by_route
    answers_by_route = {route: answers_on(pooled, route) for route in routes}
    return {route: answers / span_s for route, answers in answers_by_route.items() if answers}


def _planned_requests(
    pooled: PooledEvidence, rate: float, exposure: Exposure, duration_s: float
) -> float:
    """Return how many more requests the target version may get by plan until the end.

    Args:
        pooled: Evidence of the fleet.
        rate: Requests of the service a second.
        exposure: Requests that a bad version may get.
        duration_s: Duration of the roll-out, in seconds.
    """
    allowed = exposure.share * rate * duration_s + exposure.slack
    return PLANNED_PART_OF_EXPOSURE * allowed - pooled.target_sent
