"""LOST in plays that also disturb daemons: answers that were cut, and what excuses them."""

from tests.endpoint_processes import EndpointEvent
from tests.endpoint_runs import KILLED, Run, call_of, calls_by_id, runs_by_id
from tests.fleet_callers import Call
from tests.fleet_daemons import Span
from tests.platform_processes import Fleet

CONTACT_S = 3.0
LOSS_SLACK_S = 0.2
GRACE_S = 8.0
CONFIG_S = 2.0
# What is said of planned work after its end.
AFTER_GRACE_S = 1.0
AFTER_CONFIG_S = 1.0
# A request that has used this share of its time may be cut beside a configuration.
LATE_SHARE = 0.7
# Requests sent so soon after SIGTERM that are at work in the last part of the grace period may be
# cut.
LATE_SENT_S = 3.0
LATE_PART = 1 / 6
# The time of a request is over so long before its caller's clock says so.
DEADLINE_SLACK_S = 0.1


def lost_in_plays(fleet: Fleet) -> list[str]:
    """LOST: requests that a process has read and whose connections ended without a whole answer.

    Counted at all times, also without planned work, of which the text names what there was.
    """
    runs = runs_by_id(fleet)
    return [
        f"{call.id} {call.kind} {call.outcome} {call.status} at {call.host} sent {call.sent:.2f}"
        f" over a connection idle for {call.idle_s:.2f}, ended {call.ended:.2f},"
        f" {_planned(fleet, call) or 'no'} planned work, {call.reason}, "
        + ", ".join(map(str, runs[call.id]))
        for call, excuse in _unanswered(fleet)
        if not excuse
    ]


def excused_losses(fleet: Fleet) -> list[tuple[Call, str]]:
    """Return the requests without whole answers that the rule doesn't count, and why it doesn't."""
    return [(call, excuse) for call, excuse in _unanswered(fleet) if excuse]


def _unanswered(fleet: Fleet) -> list[tuple[Call, str]]:
    """Return the requests without whole answers, and what excuses them; nothing if nothing does."""
    runs = runs_by_id(fleet)
    by_id = calls_by_id(fleet)
    arrived = [event for event in fleet.events() if event.event == "read"]
    reached = {id(call_of(by_id[event.id], event.t)) for event in arrived}
    return [
        (call, _excuse(fleet, call, [r for r in runs[call.id] if r.began >= call.sent]))
        for call in fleet.calls
        if call.outcome != "complete"
        and call.opened
        and (id(call) in reached or call.ended - call.sent > LOSS_SLACK_S)
    ]


def _excuse(fleet: Fleet, call: Call, runs: list[Run]) -> str:
    """Return why the rule doesn't count a request that got no whole answer; nothing if it does."""
    if runs and runs[-1].how == KILLED:
        return "its endpoint was killed"
    if _touches(fleet.daemons.stops + fleet.daemons.kills, call, CONTACT_S):
        return "its daemon was stopped or killed"
    if call.ended >= call.until - DEADLINE_SLACK_S:
        return "its time was over"
    if any(call.ended - call.sent >= t - DEADLINE_SLACK_S for t in _route_timeouts_s(fleet, call)):
        return "the timeout of its route was reached"
    planned = _planned(fleet, call)
    if planned == "configuration" and call.used_share >= LATE_SHARE:
        return f"it had used {LATE_SHARE} of its time"
    if any(_runs_late(span, call, runs) for span in fleet.daemons.ends):
        return "it was at work in the last part of the grace period"
    return ""


def _route_timeouts_s(fleet: Fleet, call: Call) -> set[float]:
    """Return the timeouts of the routes that may have been in force as a call was sent."""
    stored = [found for found in fleet.configured if found.at <= call.sent]
    applied = [found for found in stored if found.at <= call.sent - CONFIG_S]
    return {found.route_timeout_s for found in [*applied[-1:], *stored[len(applied) :]]}


def _touches(spans: list[Span], call: Call, before_s: float) -> bool:
    """Return whether something was done to a call's daemon in its time, or shortly before."""
    mine = [span for span in spans if span.host == call.host]
    return any(span.start <= call.ended and span.end >= call.sent - before_s for span in mine)


def _planned(fleet: Fleet, call: Call) -> str:
    """Return which planned work there was beside a call."""
    daemons = fleet.daemons
    terms = [span for span in daemons.ends if span.host == call.host]
    hups = [span for span in daemons.reloads if span.host == call.host]
    found = []
    if any(s.start <= call.ended <= s.start + GRACE_S + AFTER_GRACE_S for s in terms):
        found.append("SIGTERM")
    if any(s.start <= call.ended and call.sent <= s.start + CONFIG_S for s in hups):
        found.append("SIGHUP")
    after_s = CONFIG_S + AFTER_CONFIG_S
    if any(c.at <= call.ended and call.sent <= c.at + after_s for c in fleet.configured):
        found.append("configuration")
    return "+".join(found)


def _runs_late(span: Span, call: Call, runs: list[Run]) -> bool:
    """Return whether a request was still at work as its daemon's grace period was nearly over."""
    late_at = span.start + GRACE_S * (1 - LATE_PART)
    return (
        span.host == call.host
        and span.start <= call.ended
        and call.sent <= span.start + LATE_SENT_S
        and any(run.began <= late_at <= run.ended for run in runs)
    )


def ended_late(fleet: Fleet) -> list[str]:
    """Return the daemons that still ran when their grace period was over."""
    late = [span for span in fleet.daemons.ends if span.end - span.start > GRACE_S]
    return [f"{span.host} from {span.start:.2f} to {span.end:.2f}" for span in late]


def ended_by_themselves(fleet: Fleet) -> list[str]:
    """Return the daemons whose processes ended though nobody had ended them."""
    return fleet.daemons.ended_by_themselves


def copies_sent(fleet: Fleet) -> list[EndpointEvent]:
    """Return the copies of earlier answers that endpoints have sent."""
    return [event for event in fleet.events() if event.event == "copied"]
