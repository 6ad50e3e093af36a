"""The runs of requests at endpoint processes, and the calls of callers that they belong to."""

from bisect import bisect_right
from collections import defaultdict

from msgspec import Struct

from tests.fleet_callers import Call
from tests.platform_processes import Fleet

KILLED = "killed"


class Run(Struct):
    """A request at an endpoint, from its begin to its end.

    Attributes:
        endpoint: Id of the endpoint.
        began: When it began; all times are monotonic, in seconds.
        ended: When it ended.
        how: How it ended.
        last: Last event that its caller had, where it is the continuation of a stream.
        left: When the endpoint saw the end of its connection.
    """

    endpoint: str
    began: float
    ended: float
    how: str
    last: str
    left: float = float("inf")

    def __str__(self) -> str:
        after = f" after event {self.last}" if self.last else ""
        left = f" left {self.left:.2f}" if self.left < self.ended else ""
        return f"at {self.endpoint}{after} {self.began:.2f}-{self.ended:.2f} {self.how}{left}"


def runs_by_id(fleet: Fleet) -> dict[str, list[Run]]:
    """Return the runs of each request in the order in which they began.

    A run that the end of its endpoint's process ended has no end in the log: it ended by the kill.
    """
    open_runs: dict[tuple[str, str, int], Run] = {}
    last_on: dict[tuple[str, int], Run] = {}
    found: dict[str, list[Run]] = defaultdict(list)
    for event in fleet.events():
        key = (event.id, event.endpoint, event.port)
        if event.event == "began":
            open_runs[key] = Run(event.endpoint, event.t, float("inf"), "never ended", event.last)
            found[event.id].append(open_runs[key])
            last_on[event.endpoint, event.port] = open_runs[key]
        elif event.event == "ended":
            open_runs[key].ended, open_runs[key].how = event.t, event.how
        elif event.event in ("closed", "end_of_file"):
            last = last_on.get((event.endpoint, event.port))
            if last:
                last.left = min(last.left, event.t)
    for run in (run for runs in found.values() for run in runs if run.how == "never ended"):
        kills = fleet.endpoint_by_id[run.endpoint].kills
        if killed_at := min((at for at in kills if at >= run.began), default=None):
            run.ended, run.how = killed_at, KILLED
    return found


def calls_by_id(fleet: Fleet) -> dict[str, list[Call]]:
    """Return the calls with each id in the order in which they were sent."""
    found: dict[str, list[Call]] = defaultdict(list)
    for call in sorted(fleet.calls, key=lambda call: call.sent):
        found[call.id].append(call)
    return found


def call_of(calls: list[Call], at: float) -> Call:
    """Return the call to which something at an endpoint belongs: the last one sent by then.

    Args:
        calls: Calls with its id, oldest first.
        at: When it came to the endpoint.
    """
    return calls[max(0, bisect_right(calls, at, key=lambda call: call.sent) - 1)]
