"""The limit of an endpoint: what it says it bears, else slow start; a fall counts at once."""

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.ports.engine import LoadReport

REPORT_LIFE_S = 6.0
LATENCY_JUMP = 4.0
LATENCY_FLOOR_S = 0.1
LATENCY_WEIGHT = 0.1
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
        bears: What the endpoint said last; None if it never did.
        cold: Whether it said that it is in cold start.
        taken_at: When that figure was taken, by the clock of this daemon.
        window: Slow start's own limit; None while what the endpoint says is trusted.
        trouble_at: When the endpoint last showed that it bears less.
        latency_s: Mean time to the first token, weighted to the newest; 0 before any.
        samples: Number of latencies behind the mean.
    """

    bears: int | None = None
    cold: bool = False
    taken_at: float = float("-inf")
    window: float | None = None
    trouble_at: float = float("-inf")
    latency_s: float = 0.0
    samples: int = 0


def limit_of(state: LimitState, now: float) -> int:
    """Return how many requests the endpoint may have running in all."""
    if state.window is None:
        return state.bears if state.bears is not None and _is_current(state, now) else 1
    window = max(1, int(state.window))
    if state.bears is None or not _is_current(state, now):
        return window
    return min(state.bears, window)


def after_report(state: LimitState, report: LoadReport, now: float) -> LimitState:
    """Return the state after a load report, of this daemon or passed on by a peer.

    An older report than the one in force is dropped, unless it lowers the limit.
    """
    taken_at = now - report.age_s
    lowers = state.bears is not None and report.bears < state.bears
    if taken_at < state.taken_at and not (lowers and report.age_s <= REPORT_LIFE_S):
        return state
    changed = replace(
        state,
        bears=max(0, report.bears),
        cold=report.cold,
        taken_at=max(taken_at, state.taken_at),
    )
    if changed.window is not None and _window_is_done(changed):
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
        return replace(state, window=1.0, trouble_at=now, cold=True)
    if outcome in (SlotOutcome.REFUSED, SlotOutcome.FAILED):
        return _halved(state, now)
    if first_token_s is None:
        return _grown(state, now)
    # Below the floor, the jitter of the daemon's own loop looks like a jump.
    threshold_s = max(LATENCY_FLOOR_S, LATENCY_JUMP * state.latency_s)
    jumped = state.samples >= MIN_LATENCY_SAMPLES and first_token_s > threshold_s
    measured = _with_latency(state, first_token_s)
    return _halved(measured, now) if jumped else _grown(measured, now)


def after_peer_fall(state: LimitState, limit: int, now: float) -> LimitState:
    """Return the state after a peer told that the endpoint bears less."""
    if limit >= limit_of(state, now):
        return state
    return replace(state, window=float(max(1, limit)), trouble_at=now)


def after_stale(state: LimitState, now: float) -> LimitState:
    """Return the state with slow start from 1 begun, if what the endpoint said is outdated."""
    if state.window is None and not _is_current(state, now):
        return replace(state, window=1.0)
    return state


def _is_current(state: LimitState, now: float) -> bool:
    return now - state.taken_at <= REPORT_LIFE_S


def _window_is_done(state: LimitState) -> bool:
    """Return whether the endpoint's word counts again: slow start has come up to it."""
    bears = state.bears or 0
    if state.window is None or bears == 0 or state.taken_at <= state.trouble_at:
        return False
    return state.window >= bears or state.taken_at > state.trouble_at + REPORT_LIFE_S


def _halved(state: LimitState, now: float) -> LimitState:
    window = max(1.0, limit_of(state, now) / 2)
    return replace(state, window=window, trouble_at=now)


def _grown(state: LimitState, now: float) -> LimitState:
    """Add to the window, but not while the last report may be older than the trouble."""
    state = after_stale(state, now)
    outdated = _is_current(state, now) and state.taken_at <= state.trouble_at
    if state.window is None or outdated:
        return state
    return replace(state, window=min(MAX_WINDOW, state.window + 1 / state.window))


def _with_latency(state: LimitState, first_token_s: float) -> LimitState:
    samples = state.samples + 1
    weight = max(LATENCY_WEIGHT, 1 / samples)
    latency_s = state.latency_s + weight * (first_token_s - state.latency_s)
    return replace(state, latency_s=latency_s, samples=samples)
