"""Policies that a replay compares: those of the product, and the baselines that they replaced."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from comfreyhatch.decisions.cascade import CascadeState, escalates, escalation_threshold
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.domain.exchange import Exchange

FIXED_CONFIDENCE_THRESHOLD = 60

Placer = Callable[[Exchange, Sequence[EndpointTracker], float, float], EndpointTracker | None]
Escalator = Callable[[int, CascadeState], bool]


class Policy(Struct, frozen=True):
    """How requests are placed, which model answers, and what becomes of lost engines.

    Attributes:
        name: Its name.
        place: Chooses the engine.
        escalate: Tells whether the largest model is asked.
        ejects: Whether engines that cannot be reached get no work for a while.
        counts_unreachable: Whether a connection that cannot be opened counts as an attempt and
            as a further arrival.
    """

    name: str
    place: Placer
    escalate: Escalator
    ejects: bool = True
    counts_unreachable: bool = False


def place_by_engine_time(
    exchange: Exchange, trackers: Sequence[EndpointTracker], work_s: float, now: float
) -> EndpointTracker | None:
    """Place as the product does."""
    return choose_endpoint(exchange, trackers, "", work_s, now)


def place_by_request_count(
    exchange: Exchange, trackers: Sequence[EndpointTracker], work_s: float, now: float
) -> EndpointTracker | None:
    """Place where the fewest requests run."""
    return min(trackers, key=lambda tracker: tracker.running(now), default=None)


def escalate_by_pressure(confidence: int, state: CascadeState) -> bool:
    """Choose the model as the product does."""
    return escalates(confidence, state)


def escalate_at_full_contention(confidence: int, state: CascadeState) -> bool:
    """Choose the model as if every engine's time were needed by others."""
    return confidence < escalation_threshold(state, 1.0)


def escalate_below_fixed_threshold(confidence: int, state: CascadeState) -> bool:
    """Ask the largest model below a fixed confidence."""
    return confidence < FIXED_CONFIDENCE_THRESHOLD


PRODUCT = Policy("product", place_by_engine_time, escalate_by_pressure)
BASELINES = (
    Policy("by count", place_by_request_count, escalate_by_pressure),
    Policy("prompt counts", place_by_engine_time, escalate_at_full_contention),
    Policy("fixed confidence", place_by_engine_time, escalate_below_fixed_threshold),
    Policy("no ejection", place_by_engine_time, escalate_by_pressure, ejects=False),
    Policy(
        "counts unreachable",
        place_by_engine_time,
        escalate_by_pressure,
        counts_unreachable=True,
    ),
)
POLICY_BY_NAME = {policy.name: policy for policy in (PRODUCT, *BASELINES)}
