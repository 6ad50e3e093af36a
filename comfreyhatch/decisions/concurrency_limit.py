"""The limit of an endpoint: what it says it bears, else slow start; a fall counts at once."""

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.ports.engine import LoadReport

REPORT_MAX_AGE_S = 6.0
LATENCY_JUMP_FACTOR = 4.0
LATENCY_FLOOR_S = 0.1
LATENCY_SMOOTHING = 0.1
MIN_LATENCY_SAMPLES = 8
MAX_WINDOW = 4096.0


class SlotOutcome(Enum):
    """What the end of a request tells of its endpoint's load; neutral ends tell nothing."""

    OK = "ok"
    REFUSED = "refused"
    COLD = "cold"
    FAILED = "failed"
    NEUTRAL = "neutral"


class LimitState(Struct, frozen=True):
    """What is known of an endpoint's limit.

    Attributes:
        reported_limit: What the endpoint said last; None if it never did.
        cold: Whether it said that it is in cold start.
        reported_at: When that figure was taken, by the clock of this daemon.
        window: Slow start's own limit; None while what the endpoint says is trusted.
        reduced_at: When the endpoint last showed that it reported_limit less.
        latency_s: Mean time to the first token, weighted to the newest; 0 before any.
        samples: Number of latencies behind the mean.
    """

    reported_limit: int | None = None
    cold: bool = False
    reported_at: float = float("-inf")
    window: float | None = None
    reduced_at: float = float("-inf")
    latency_s: float = 0.0
    samples: int = 0


def current_limit(state: LimitState, now: float) -> int:
    """Return how many requests the endpoint may have running in all."""
    if state.window is None:
        return (
            state.reported_limit
            if state.reported_limit is not None and _is_current(state, now)
            else 1
        )
    window = max(1, int(state.window))
    if state.reported_limit is None or not _is_current(state, now):
        return window
    return min(state.reported_limit, window)


def after_report(state: LimitState, report: LoadReport, now: float) -> LimitState:
    """Return the state after a load report, of this daemon or passed on by a peer.

    An older report than the one in force is dropped, unless it lowers the limit.
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
        state: State before it.
        outcome: How it ended.
        first_token_s: Time to its first token, if it had one.
        now: Present time.
    """
    if outcome is SlotOutcome.NEUTRAL:
        return state
    if outcome is SlotOutcome.COLD:
        return replace(state, window=1.0, reduced_at=now, cold=True)
    if outcome in (SlotOutcome.REFUSED, SlotOutcome.FAILED):
        return _with_window_halved(state, now)
    if first_token_s is None:
        return _with_window_grown(state, now)
    # Below the floor, the jitter of the daemon's own loop looks like a jump.
    threshold_s = max(LATENCY_FLOOR_S, LATENCY_JUMP_FACTOR * state.latency_s)
    jumped = state.samples >= MIN_LATENCY_SAMPLES and first_token_s > threshold_s
    measured = _with_latency(state, first_token_s)
    return _with_window_halved(measured, now) if jumped else _with_window_grown(measured, now)


def after_peer_decrease(state: LimitState, limit: int, now: float) -> LimitState:
    """Return the state after a peer told that the endpoint reported_limit less."""
    if limit >= current_limit(state, now):
        return state
    return replace(state, window=float(max(1, limit)), reduced_at=now)


def after_report_expiry(state: LimitState, now: float) -> LimitState:
    """Return the state with slow start from 1 begun, if what the endpoint said is outdated."""
    if state.window is None and not _is_current(state, now):
        return replace(state, window=1.0)
    return state


def _is_current(state: LimitState, now: float) -> bool:
    return now - state.reported_at <= REPORT_MAX_AGE_S


def _slow_start_is_done(state: LimitState) -> bool:
    """Return whether the endpoint's word counts again: slow start has come up to it."""
    reported_limit = state.reported_limit or 0
    if state.window is None or reported_limit == 0 or state.reported_at <= state.reduced_at:
        return False
    return state.window >= reported_limit or state.reported_at > state.reduced_at + REPORT_MAX_AGE_S


def _with_window_halved(state: LimitState, now: float) -> LimitState:
    window = max(1.0, current_limit(state, now) / 2)
    return replace(state, window=window, reduced_at=now)


def _with_window_grown(state: LimitState, now: float) -> LimitState:
    """Add to the window, but not while the last report may be older than the trouble."""
    state = after_report_expiry(state, now)
    outdated = _is_current(state, now) and state.reported_at <= state.reduced_at
    if state.window is None or outdated:
        return state
    return replace(state, window=min(MAX_WINDOW, state.window + 1 / state.window))


def _with_latency(state: LimitState, first_token_s: float) -> LimitState:
    samples = state.samples + 1
    weight = max(LATENCY_SMOOTHING, 1 / samples)
    latency_s = state.latency_s + weight * (first_token_s - state.latency_s)
    return replace(state, latency_s=latency_s, samples=samples)
