"""What the logs of endpoint processes and the answers of callers show of broken rules."""

from collections import defaultdict
from itertools import pairwise

from msgspec import Struct

from tests.platform_processes import MAX_ATTEMPTS_BY_KIND, SERVICE_BY_KIND, Call, Fleet

# Time that a request may stay at work at an endpoint after it went on at another one.
TWICE_SLACK_S = 0.4
# An end of file that a process reads so soon after a request had come before it began.
ONE_WAKE_S = 0.002
# A request that has used this share of its time may be cut.
LATE_SHARE = 0.7


class Run(Struct):
    """A request at an endpoint, from its begin to its end."""

    endpoint: str
    began: float
    ended: float
    how: str
    last: str

    def __str__(self) -> str:
        after = f" after event {self.last}" if self.last else ""
        return f"at {self.endpoint}{after} {self.began:.2f}-{self.ended:.2f} {self.how}"


class Window(Struct):
    """A span of the budget and the repeats that a service got in it."""

    service: str
    start: float
    repeats: int
    allowed: float


def runs_by_id(fleet: Fleet) -> dict[str, list[Run]]:
    """Return the runs of each request in the order in which they began."""
    open_runs: dict[tuple[str, str, int], Run] = {}
    found: dict[str, list[Run]] = defaultdict(list)
    for event in fleet.events():
        key = (event.id, event.endpoint, event.port)
        if event.event == "began":
            open_runs[key] = Run(event.endpoint, event.t, float("inf"), "never ended", event.last)
            found[event.id].append(open_runs[key])
        elif event.event == "ended":
            open_runs[key].ended, open_runs[key].how = event.t, event.how
    return found


def too_many_endpoints(fleet: Fleet) -> list[str]:
    """BUDGET: requests that ran at more endpoints than their route's attempts."""
    runs = runs_by_id(fleet)
    at_by_id = {
        call.id: {run.endpoint for run in runs[call.id] if not _was_killed(fleet, run, call)}
        for call in fleet.calls
    }
    return [
        f"{call.id} ran at {sorted(at_by_id[call.id])}"
        for call in fleet.calls
        if len(at_by_id[call.id]) > MAX_ATTEMPTS_BY_KIND[call.kind]
    ]


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
    """Return when requests for a service were sent, and when others than their firsts arrived."""
    arrived = [event for event in fleet.events() if event.event == "read"]
    mine = [e for e in arrived if fleet.endpoint_by_id[e.endpoint].service == service]
    first_by_id = {event.id: event for event in reversed(mine)}
    anywhere = {event.id for event in arrived}
    sent = [
        call.sent
        for call in fleet.calls
        if call.id in first_by_id or (call.id not in anywhere and fleet.routed_to(call) == service)
    ]
    return sent, [event.t for event in mine if event is not first_by_id[event.id]]


def lost(fleet: Fleet) -> list[str]:
    """LOST: requests that reached an endpoint and ended early without a complete answer."""
    reached = {event.id for event in fleet.events() if event.event == "arrived"}
    return [
        f"{call.id} {call.kind} {call.outcome} kept={call.kept} at {_used_share(fleet, call):.2f}"
        for call in fleet.calls
        if call.id in reached
        and call.outcome != "complete"
        and _used_share(fleet, call) < LATE_SHARE
    ]


def _used_share(fleet: Fleet, call: Call) -> float:
    """Return the share of its time that a request had used as it ended."""
    return (call.ended - call.sent) / fleet.plan.deadline_s


def cut_and_left(fleet: Fleet) -> list[str]:
    """LOST: broken answers whose last run had been ended early, at an endpoint that is sound."""
    runs = runs_by_id(fleet)
    return [
        f"{call.id} sent {call.sent:.2f}, broken {call.ended:.2f}, last {runs[call.id][-1]}"
        for call in fleet.calls
        if call.outcome == "broken"
        and runs[call.id][-1].ended - call.sent < LATE_SHARE * fleet.plan.deadline_s
    ]


def refused_though_run(fleet: Fleet) -> list[str]:
    """REFUSED: unsafe requests that ran, though their callers were told that they had not."""
    runs = runs_by_id(fleet)
    refused = [call for call in fleet.calls if call.kind == "pay" and call.status == 503]
    return [f"{call.id} {runs[call.id][0]}" for call in refused if call.id in runs]


def ran_twice(fleet: Fleet) -> list[str]:
    """TWICE: unsafe requests with two runs, and streams at work at two endpoints at once."""
    runs = runs_by_id(fleet)
    pays = [call.id for call in fleet.calls if call.kind == "pay" and len(runs[call.id]) > 1]
    streams = [call.id for call in fleet.calls if call.kind == "stream"]
    pairs = [(stream, a, b) for stream in streams for a, b in pairwise(runs[stream])]
    return [f"{pay} ran {runs[pay]}" for pay in pays] + [
        f"{stream} {a}, {b}"
        for stream, a, b in pairs
        if a.endpoint != b.endpoint
        and fleet.endpoint_by_id[a.endpoint].awake_s(b.began, a.ended) > TWICE_SLACK_S
    ]


def late_begins(fleet: Fleet) -> list[str]:
    """Return the runs that began though their connection had been closed by then."""
    events = fleet.events()
    closings = [event for event in reversed(events) if event.event in ("end_of_file", "closed")]
    closed = {(event.endpoint, event.port): event.t for event in closings}
    begun = [event for event in events if event.event == "began"]
    late = [e for e in begun if closed.get((e.endpoint, e.port), e.t + 1) - e.t < ONE_WAKE_S]
    return [f"{event.id} {event.method} {event.endpoint} at {event.t:.2f}" for event in late]
