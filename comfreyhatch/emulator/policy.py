"""Policies that a replay compares: the product's decisions and the baselines they replaced."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from comfreyhatch.decisions.cascade import CascadeState, escalates, escalation_threshold
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.placement import choose_endpoint
from comfreyhatch.domain.exchange import Exchange

# Confidence, 0 to 100, below which the policy "fixed confidence" escalates.
FIXED_CONFIDENCE_THRESHOLD = 60

# Arguments: the request, the candidates, the request's expected time to the first event on an idle
# engine and the current time, both in seconds.
Placer = Callable[[Exchange, Sequence[EndpointTracker], float, float], EndpointTracker | None]
Escalator = Callable[[int, CascadeState], bool]


class Policy(Struct, frozen=True):
    """Rules for placement, escalation to the large model and unreachable engines.

    Attributes:
        name: Name in experiments and results.
        place: Chooses the endpoint of a request, or None if there is no candidate.
        escalate: Returns whether the large model is asked after the small one.
        ejects: Whether endpoints that were ejected after connection failures get no requests
            while others can take them.
        counts_unreachable: Whether a connection that cannot be opened counts as an attempt and
            as an extra request.
    """

    name: str
    place: Placer
    escalate: Escalator
    ejects: bool = True
    counts_unreachable: bool = False


def place_by_engine_time(
    exchange: Exchange, trackers: Sequence[EndpointTracker], work_s: float, now: float
) -> EndpointTracker | None:
    """Choose an endpoint as the product does, by the expected engine time."""
    return choose_endpoint(exchange, trackers, "", work_s, now)


def place_by_request_count(
    exchange: Exchange, trackers: Sequence[EndpointTracker], work_s: float, now: float
) -> EndpointTracker | None:
    """Choose the endpoint with the fewest running requests."""
    return min(trackers, key=lambda tracker: tracker.running(now), default=None)


def escalate_by_pressure(confidence: int, state: CascadeState) -> bool:
    """Escalate as the product does: load lowers the confidence below which it escalates."""
    return escalates(confidence, state)


def escalate_at_full_contention(confidence: int, state: CascadeState) -> bool:
    """Escalate as if other requests needed all the engine time.

    The time of a long prompt then lowers the threshold on idle engines too.
    """
    return confidence < escalation_threshold(state, 1.0)


def escalate_below_fixed_threshold(confidence: int, state: CascadeState) -> bool:
    """Escalate below a fixed confidence, whatever the load."""
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
