"""BUDGET in plays: the time that endpoints are handed on with requests that are sent once more."""

from msgspec import Struct

from tests.endpoint_processes import EndpointEvent
from tests.endpoint_runs import call_of, calls_by_id
from tests.fleet_callers import Call
from tests.platform_harness import MS_PER_S
from tests.platform_processes import Fleet

# Time beyond what is left, and from the first arrival to a later one, from which one counts.
SLACK_S = 0.5
# Requests with too much time that are allowed, in all and as a share of those that may have it.
MAX_LATE = 20
MAX_LATE_SHARE = 0.2
# Time from a disturbance of a daemon on from which the rule counts what it passes on.
CONTACT_S = 3.0


class Late(Struct):
    """A request that an endpoint read with more time than is left.

    Attributes:
        id: Its id.
        endpoint: Id of the endpoint.
        read: When it was read; all times are monotonic, in seconds.
        beyond_s: Time beyond what is left, in seconds; infinite without a header.
        stopped_for_s: Time for which the endpoint had been stopped as it was sent, by the time that
            it was handed; 0 if it ran.
        is_first_sent: Whether no other attempt of its request was handed more time.
        is_in_touch: Whether its daemon had run undisturbed for the time that the rule names.
    """

    id: str
    endpoint: str
    read: float
    beyond_s: float
    stopped_for_s: float
    is_first_sent: bool
    is_in_touch: bool

    def __str__(self) -> str:
        order = "first" if self.is_first_sent else "again"
        return (
            f"{self.id} at {self.endpoint} read {self.read:.2f}, {self.beyond_s:.2f} s beyond,"
            f" sent {order}, {self.stopped_for_s:.2f} s after it was stopped"
        )


class HandedTime(Struct):
    """Requests with too much time, and number of those that were read again so late."""

    late: list[Late]
    again: int

    @property
    def is_beyond(self) -> bool:
        """Whether there are more than the rule allows."""
        return len(self.late) > max(MAX_LATE, MAX_LATE_SHARE * self.again)

    def __str__(self) -> str:
        running = sum(late.stopped_for_s == 0 for late in self.late)
        known = sum(late.stopped_for_s > SLACK_S for late in self.late)
        first = sum(late.is_first_sent for late in self.late)
        in_touch = sum(late.is_in_touch for late in self.late)
        return (
            f"{len(self.late)} of {self.again} with too much time: {running} sent to an endpoint"
            f" that ran, {known} to one stopped for over {SLACK_S} s, {first} sent first,"
            f" {in_touch} by daemons in touch"
        )


def too_much_time(fleet: Fleet) -> list[str]:
    """BUDGET: requests that endpoints are handed more time with than is left."""
    found = handed_time(fleet)
    return [str(found), *map(str, found.late)] if found.is_beyond else []


def handed_time(fleet: Fleet) -> HandedTime:
    """Return the requests that were read with more time than was left."""
    by_id = calls_by_id(fleet)
    reads_by_call: dict[int, list[EndpointEvent]] = {}
    call_by_key: dict[int, Call] = {}
    for event in fleet.events():
        if event.event == "read":
            call = call_of(by_id[event.id], event.t)
            call_by_key[id(call)] = call
            reads_by_call.setdefault(id(call), []).append(event)
    found = HandedTime([], 0)
    for key, reads in reads_by_call.items():
        _add_late(fleet, call_by_key[key], reads, found)
    return found


def _add_late(fleet: Fleet, call: Call, reads: list[EndpointEvent], found: HandedTime) -> None:
    """Add what was read of one call."""
    own_s = call.until - call.sent
    left_until = max(call.until, _ends(reads[0]))
    longest_ms = max(_deadline_ms(event) for event in reads)
    for event in reads:
        beyond_s = _deadline_ms(event) / MS_PER_S - own_s
        if event.t > reads[0].t + SLACK_S:
            found.again += 1
            beyond_s = max(beyond_s, _ends(event) - left_until)
        if beyond_s > SLACK_S:
            is_first = _deadline_ms(event) == longest_ms
            sent = call.until - _deadline_ms(event) / MS_PER_S
            stopped_s = _stopped_for_s(fleet, event.endpoint, sent)
            in_touch = _is_in_touch(fleet, call.host, sent)
            found.late.append(
                Late(call.id, event.endpoint, event.t, beyond_s, stopped_s, is_first, in_touch)
            )


def _deadline_ms(event: EndpointEvent) -> float:
    return float(event.deadline_ms) if event.deadline_ms else float("inf")


def _ends(event: EndpointEvent) -> float:
    return event.t + _deadline_ms(event) / MS_PER_S


def _stopped_for_s(fleet: Fleet, endpoint: str, at: float) -> float:
    """Return for how long an endpoint had been stopped at a time, in seconds."""
    stops = fleet.endpoint_by_id[endpoint].stops
    return max((at - start for start, end in stops if start <= at < end), default=0.0)


def _is_in_touch(fleet: Fleet, host: str, at: float) -> bool:
    """Return whether a daemon had run undisturbed before a time."""
    daemons = fleet.daemons
    disturbed = daemons.stops + daemons.kills + daemons.ends
    mine = [span for span in disturbed if span.host == host]
    return not any(span.start <= at and span.end >= at - CONTACT_S for span in mine)
