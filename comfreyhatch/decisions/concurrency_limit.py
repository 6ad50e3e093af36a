"""Concurrency limit of an endpoint, from its load reports and from slow start.

While reports are recent and nothing contradicts them, the limit is the one that the endpoint
reports. Otherwise a window takes its place, or caps it: refusals, failures and latency jumps
halve the window, a cold start sets it to 1, and each success grows it by `1 / window`. Every
decrease takes effect at once.
"""

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.ports.engine import LoadReport

REPORT_MAX_AGE_S = 6.0
# A time to the first token above this multiple of the mean counts as a latency jump.
LATENCY_JUMP_FACTOR = 4.0
# Below this latency, jitter of the daemon's event loop would count as a jump.
LATENCY_FLOOR_S = 0.1
# Minimum weight of the newest sample in the moving mean of the latency.
LATENCY_SMOOTHING = 0.1
# Samples that the mean needs before it is used to detect a jump.
MIN_LATENCY_SAMPLES = 8
MAX_WINDOW = 4096.0


class SlotOutcome(Enum):
    """What the end of a request shows about its endpoint's load; NEUTRAL shows nothing."""

    OK = "ok"
    REFUSED = "refused"
    COLD = "cold"
    FAILED = "failed"
    NEUTRAL = "neutral"


class LimitState(Struct, frozen=True):
    """State from which an endpoint's limit is computed; times in monotonic seconds.

    Attributes:
        reported_limit: Limit of the last report; None before the first report.
        cold: Whether the endpoint reported a cold start.
        reported_at: Time at which the reported figures were taken, on this daemon's clock.
        window: Limit of slow start; None while the reported limit is in use.
        reduced_at: Time of the last sign that the endpoint accepts less than before.
        latency_s: Moving mean of the time to the first token; 0 before the first sample.
        samples: Number of samples in the mean.
    """

    reported_limit: int | None = None
    cold: bool = False
    reported_at: float = float("-inf")
    window: float | None = None
    reduced_at: float = float("-inf")
    latency_s: float = 0.0
    samples: int = 0


def current_limit(state: LimitState, now: float) -> int:
    """Return how many requests of all daemons may run on the endpoint."""
    if state.window is None:
        return (
            state.reported_limit
            if state.reported_limit is not None and _has_recent_report(state, now)
            else 1
        )
    window = max(1, int(state.window))
    if state.reported_limit is None or not _has_recent_report(state, now):
        return window
    return min(state.reported_limit, window)


def after_report(state: LimitState, report: LoadReport, now: float) -> LimitState:
    """Return the state after a load report that this daemon or a peer received.

    A report that is older than the last one is ignored, unless it lowers the limit.
    """
    reported_at = now - report.age_s
    lowers = state.reported_limit is not None and report.bears < state.reported_limit
    if reported_at < state.reported_at and not (lowers and report.age_s <= REPORT_MAX_AGE_S):
        return state
    changed = replace(
        state,
        reported_limit=max(0, report.bears),
        cold=report.cold,
        reported_at=max(reported_at, state.reported_at),
    )
    if changed.window is not None and _slow_start_is_done(changed):
        return replace(changed, window=None)
    return changed


def after_request(
    state: LimitState, outcome: SlotOutcome, first_token_s: float | None, now: float
) -> LimitState:
    """Return the state after a request ended.

    Args:
        state: State before the end.
        outcome: How the request ended.
        first_token_s: Time to the first token, in seconds; None if there was none.
        now: Monotonic time, in seconds.
    """
    if outcome is SlotOutcome.NEUTRAL:
        return state
    if outcome is SlotOutcome.COLD:
        return replace(state, window=1.0, reduced_at=now, cold=True)
    if outcome in (SlotOutcome.REFUSED, SlotOutcome.FAILED):
        return _with_window_halved(state, now)
    if first_token_s is None:
        return _with_window_grown(state, now)
    threshold_s = max(LATENCY_FLOOR_S, LATENCY_JUMP_FACTOR * state.latency_s)
    jumped = state.samples >= MIN_LATENCY_SAMPLES and first_token_s > threshold_s
    measured = _with_latency(state, first_token_s)
    return _with_window_halved(measured, now) if jumped else _with_window_grown(measured, now)


def after_peer_decrease(state: LimitState, limit: int, now: float) -> LimitState:
    """Return the state after a peer reported that the endpoint's limit has dropped."""
    if limit >= current_limit(state, now):
        return state
    return replace(state, window=float(max(1, limit)), reduced_at=now)


def after_report_expiry(state: LimitState, now: float) -> LimitState:
    """Return the state with slow start begun at 1 if the last report is too old."""
    if state.window is None and not _has_recent_report(state, now):
        return replace(state, window=1.0)
    return state


def _has_recent_report(state: LimitState, now: float) -> bool:
    return now - state.reported_at <= REPORT_MAX_AGE_S


def _slow_start_is_done(state: LimitState) -> bool:
    """Return whether the reported limit replaces the window.

    The report must be newer than the last decrease, since reports lag. The window must also
    have reached the reported limit, or `REPORT_MAX_AGE_S` have passed since the decrease.
    """
    reported_limit = state.reported_limit or 0
    if state.window is None or reported_limit == 0 or state.reported_at <= state.reduced_at:
        return False
    return state.window >= reported_limit or state.reported_at > state.reduced_at + REPORT_MAX_AGE_S


def _with_window_halved(state: LimitState, now: float) -> LimitState:
    window = max(1.0, current_limit(state, now) / 2)
    return replace(state, window=window, reduced_at=now)


def _with_window_grown(state: LimitState, now: float) -> LimitState:
    """Return the state with a larger window, unless the last report precedes the decrease."""
    state = after_report_expiry(state, now)
    report_is_older = _has_recent_report(state, now) and state.reported_at <= state.reduced_at
    if state.window is None or report_is_older:
        return state
    return replace(state, window=min(MAX_WINDOW, state.window + 1 / state.window))


def _with_latency(state: LimitState, first_token_s: float) -> LimitState:
    samples = state.samples + 1
    weight = max(LATENCY_SMOOTHING, 1 / samples)
    latency_s = state.latency_s + weight * (first_token_s - state.latency_s)
    return replace(state, latency_s=latency_s, samples=samples)
