"""What the logs of endpoint processes and the answers of callers show of broken rules."""

from itertools import combinations

from msgspec import Struct

from tests.endpoint_processes import EndpointEvent
from tests.endpoint_runs import KILLED, Run, call_of, calls_by_id, runs_by_id
from tests.fleet_callers import Call
from tests.fleet_plan import MAX_ATTEMPTS_BY_KIND, SERVICE_BY_KIND
from tests.platform_processes import Fleet

# Time that a request may stay at work at an endpoint after it went on at another one.
TWICE_SLACK_S = 0.4
# An end of file that a process reads so soon after a request had come before it began.
ONE_WAKE_S = 0.002
# Statuses that promise that a request has not run and never will.
PROMISING_STATUSES = (408, 421, 429, 503)
# A request that has used this share of its time may be cut.
LATE_SHARE = 0.7


class Window(Struct):
    """A span of the budget and the repeats that a service got in it."""

    service: str
    start: float
    repeats: int
    allowed: float


def too_many_endpoints(fleet: Fleet) -> list[str]:
    """BUDGET: calls that ran at more endpoints than their route's attempts."""
    runs = runs_by_id(fleet)
    found = []
    for request_id, calls in calls_by_id(fleet).items():
        for call in calls:
            mine = [run for run in runs[request_id] if call_of(calls, run.began) is call]
            at = {run.endpoint for run in mine if not _was_killed(fleet, run, call)}
            if len(at) > MAX_ATTEMPTS_BY_KIND[call.kind]:
                found.append(f"{call.id} ran at {sorted(at)}")
    return found


def _was_killed(fleet: Fleet, run: Run, call: Call) -> bool:
    """Return whether the endpoint of a run was killed before its request ended."""
    kills = fleet.endpoint_by_id[run.endpoint].kills
    return any(run.began <= killed <= call.ended for killed in kills)


def repeats_beyond_budget(fleet: Fleet) -> list[str]:
    """BUDGET: the windows in which a service got more repeats than its budget allows."""
    return [str(window) for window in repeat_windows(fleet) if window.repeats > window.allowed]


def repeat_windows(fleet: Fleet) -> list[Window]:
    """Return the windows that begin with a repeat."""
    found = []
    plan = fleet.plan
    shifts = (0.0, plan.window_s / 2, plan.window_s)
    for service in sorted(set(SERVICE_BY_KIND.values())):
        sent, repeats = _arrivals(fleet, service)
        for start in repeats:
            extra = sum(start <= t < start + plan.window_s for t in repeats)
            counts = [sum(start <= t + s < start + plan.window_s for t in sent) for s in shifts]
            found.append(Window(service, start, extra, plan.ratio * max(counts) + plan.slack))
    return found


def _arrivals(fleet: Fleet, service: str) -> tuple[list[float], list[float]]:
    """Return when calls for a service were sent, and when others than their firsts arrived.

    A call that its caller sends again is a new one: its first arrival isn't a repeat.
    """
    arrived = [event for event in fleet.events() if event.event == "read"]
    by_id = calls_by_id(fleet)
    call_by_event = {id(event): call_of(by_id[event.id], event.t) for event in arrived}
    mine = [e for e in arrived if fleet.endpoint_by_id[e.endpoint].service == service]
    first_by_call: dict[int, EndpointEvent] = {}
    for event in mine:
        first_by_call.setdefault(id(call_by_event[id(event)]), event)
    anywhere = {id(call) for call in call_by_event.values()}
    sent = [
        call.sent
        for call in fleet.calls
        if id(call) in first_by_call
        or (id(call) not in anywhere and fleet.routed_to(call) == service)
    ]
    firsts = {id(event) for event in first_by_call.values()}
    return sent, [event.t for event in mine if id(event) not in firsts]


def lost(fleet: Fleet) -> list[str]:
    """LOST: requests that reached an endpoint and ended early without a complete answer."""
    reached = {event.id for event in fleet.events() if event.event == "arrived"}
    return [
        f"{call.id} {call.kind} {call.outcome} kept={call.kept} at {call.used_share:.2f}"
        for call in fleet.calls
        if call.id in reached and call.outcome != "complete" and call.used_share < LATE_SHARE
    ]


def cut_and_left(fleet: Fleet) -> list[str]:
    """LOST: broken answers whose last run had been ended early, at an endpoint that is sound."""
    runs = runs_by_id(fleet)
    return [
        f"{call.id} sent {call.sent:.2f}, broken {call.ended:.2f}, last {runs[call.id][-1]}"
        for call in fleet.calls
        if call.outcome == "broken"
        and runs[call.id][-1].how != KILLED
        and runs[call.id][-1].ended - call.sent < LATE_SHARE * fleet.plan.deadline_s
    ]


def refused_though_run(fleet: Fleet) -> list[str]:
    """REFUSED: unsafe requests that ran, though their callers were told that they had not."""
    runs = runs_by_id(fleet)
    found = []
    for request_id, calls in calls_by_id(fleet).items():
        # A run that begins late, after its caller sent the request again, is one too many there:
        # see `ran_twice`.
        statuses = [call_of(calls, run.began).status for run in runs[request_id]]
        promised = zip(runs[request_id], statuses, strict=True)
        refused = [run for run, status in promised if status in PROMISING_STATUSES]
        if calls[0].kind == "pay" and refused:
            found.append(f"{request_id} {', '.join(map(str, refused))}")
    return found


def ran_twice(fleet: Fleet) -> list[str]:
    """TWICE: unsafe requests with two runs, and streams at work at two endpoints at once.

    An unsafe request may run once in all, also if its caller sent it again after a refusal.
    """
    runs = runs_by_id(fleet)
    kind_by_id = {call.id: call.kind for call in fleet.calls}
    pays = [i for i, kind in kind_by_id.items() if kind == "pay" and len(runs[i]) > 1]
    streams = [i for i, kind in kind_by_id.items() if kind == "stream"]
    pairs = [(stream, a, b) for stream in streams for a, b in combinations(runs[stream], 2)]
    return [f"{pay} ran {', '.join(map(str, runs[pay]))}" for pay in pays] + [
        f"{stream} {a}, {b}"
        for stream, a, b in pairs
        if a.endpoint != b.endpoint
        and fleet.endpoint_by_id[a.endpoint].awake_s(b.began, a.ended) > TWICE_SLACK_S
    ]


def answers_of_others(fleet: Fleet) -> list[str]:
    """MIXED: successes that belong to another request, or to one that no endpoint has run."""
    runs = runs_by_id(fleet)
    return [
        f"{call.id} {call.kind} sent {call.sent:.2f} got {call.answered_id!r}, {runs[call.id]}"
        for call in fleet.calls
        if call.status == 200 and (call.answered_id != call.id or not runs[call.id])
    ]


def failed_beside_copies(fleet: Fleet) -> list[str]:
    """Return calls that failed early though an endpoint that is sound had only sent a copy first.

    No rule counts them; their callers are owed the answer that came behind the copy.
    """
    by_id = calls_by_id(fleet)
    all_runs = runs_by_id(fleet)
    found = []
    for event in (event for event in fleet.events() if event.event == "copied"):
        calls = by_id[event.before]
        call = call_of(calls, event.t)
        runs = [run for run in all_runs[call.id] if call_of(calls, run.began) is call]
        if (
            (call.outcome != "complete" or call.status >= 500)
            and event.t <= call.ended + TWICE_SLACK_S
            and call.used_share < LATE_SHARE
            and not _lost_its_daemon(fleet, call)
            and any(run.endpoint == event.endpoint and run.how != KILLED for run in runs)
        ):
            found.append(
                f"{call.id} {call.kind} {call.outcome} {call.status} at"
                f" {call.used_share:.2f}, copy {event.status} of {event.id or 'none'} by"
                f" {event.endpoint} at {event.t:.2f}, {', '.join(map(str, runs))}"
            )
    return found


def _lost_its_daemon(fleet: Fleet, call: Call) -> bool:
    """Return whether a call's daemon was killed before the call ended."""
    kills = [span.start for span in fleet.daemons.kills if span.host == call.host]
    return any(call.sent <= killed <= call.ended for killed in kills)


def late_begins(fleet: Fleet) -> list[str]:
    """Return the runs that began though their connection had been closed by then."""
    events = fleet.events()
    closings = [event for event in reversed(events) if event.event in ("end_of_file", "closed")]
    closed = {(event.endpoint, event.port): event.t for event in closings}
    begun = [event for event in events if event.event == "began"]
    late = [e for e in begun if closed.get((e.endpoint, e.port), e.t + 1) - e.t < ONE_WAKE_S]
    return [f"{event.id} {event.method} {event.endpoint} at {event.t:.2f}" for event in late]
