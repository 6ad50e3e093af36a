"""Placement by samples of the endpoints' present load (power of a few choices).

In a large fleet a daemon sends so few requests that it hears of an endpoint once in many seconds.
Reports of that age mislead: an endpoint that was idle gets the requests of all daemons at once. So
before a request is placed, the daemon asks a few endpoints for their load and compares just these:
the one that is likely to hold the request's prompt prefix, and some drawn at random. The cost for a
request doesn't grow with the fleet.
"""

from collections.abc import Sequence
from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker

# Endpoints compared for a request, beside the one with its prefix, by its work in seconds.
DRAWN_FOR_SHORT = 1
DRAWN_FOR_LONG = 2
LONG_WORK_S = 0.1
# A prefix that saves less engine time doesn't bind a request to an endpoint.
MIN_SAVED_S = 0.01
# Age up to which a report is as good as a new one.
FRESH_REPORT_S = 0.1
# Time for which an endpoint that left a probe unanswered is passed over while there are others.
MISSED_PROBE_S = 1.0
# Age up to which reports count for the load of a whole service.
SERVICE_REPORT_S = 3.0
# Delay of a newcomer for each running request, in seconds, until answers have shown it.
INITIAL_DELAY_PER_RUNNING_S = 0.05
# Running requests that the initial value weighs, and the weight that a sample loses by the next.
INITIAL_WEIGHT = 10.0
DELAY_DECAY = 0.97
# Rate limit of a daemon's probes, and their burst. At 400 bytes each the limit is 4 KB/s; a loaded
# daemon sends 3 to 5 a second in the mean (docs/CAPACITY.md).
PROBES_PER_S = 10.0
PROBE_BURST = 40.0


def draw_endpoints(
    eligible: Sequence[EndpointTracker],
    preferred: EndpointTracker | None,
    work_s: float,
    zone: str,
    rng: Random,
    now: float,
) -> list[EndpointTracker]:
    """Return the endpoints whose load is compared for a request.

    Args:
        eligible: Endpoints that may serve it.
        preferred: The one that is likely to hold its prompt prefix; None if that saves little.
        work_s: Engine time of the request, in seconds.
        zone: Availability zone of this daemon; one endpoint is drawn from it, if it has any.
        rng: Random source.
        now: Monotonic time in seconds.
    """
    answering = [t for t in eligible if not missed_probe(t, now)] or list(eligible)
    drawn = [preferred] if preferred is not None and preferred in answering else []
    wanted = DRAWN_FOR_LONG if work_s >= LONG_WORK_S else DRAWN_FOR_SHORT
    if not drawn:
        wanted += 1
    near = [t for t in answering if t.record.zone == zone and t not in drawn]
    if near:
        drawn.append(rng.choice(near))
        wanted -= 1
    rest = [t for t in answering if t not in drawn]
    return drawn + rng.sample(rest, min(wanted, len(rest)))


def missed_probe(tracker: EndpointTracker, now: float) -> bool:
    """Return whether an endpoint left a probe unanswered a short time ago."""
    return now - tracker.probe_missed_at < MISSED_PROBE_S


def is_fresh(tracker: EndpointTracker, now: float) -> bool:
    """Return whether an endpoint's last report is as good as a new one."""
    return now - tracker.reported_at <= FRESH_REPORT_S


class QueueDelay:
    """Learns how long a newcomer is delayed for each request that an engine runs.

    How many of these still have their prompts read differs from service to service, and so does
    how long that takes; answers show the product of both.
    """

    def __init__(self) -> None:
        self._delay_s = INITIAL_DELAY_PER_RUNNING_S * INITIAL_WEIGHT
        self._running = INITIAL_WEIGHT

    def add(self, running: float, delay_s: float) -> None:
        """Add an answer.

        Args:
            running: Requests that its endpoint ran when it was placed.
            delay_s: Time to its first event beyond its own work, in seconds.
        """
        self._delay_s = DELAY_DECAY * self._delay_s + max(0.0, delay_s)
        self._running = DELAY_DECAY * self._running + max(1.0, running)

    def expected_s(self, running: float) -> float:
        """Return the expected delay at an engine that runs some requests, in seconds."""
        return running * self._delay_s / self._running


class ProbeBudget:
    """Token bucket for probes."""

    def __init__(self, now: float) -> None:
        """Create a full bucket at a monotonic time, in seconds."""
        self._tokens = PROBE_BURST
        self._at = now

    def take(self, wanted: int, now: float) -> int:
        """Return how many of some probes may be sent now, and take them."""
        self._tokens = min(PROBE_BURST, self._tokens + (now - self._at) * PROBES_PER_S)
        self._at = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken


def service_load(trackers: Sequence[EndpointTracker], now: float) -> float | None:
    """Return the mean share of the slots in use at the endpoints that reported lately.

    Returns:
        The share; None if none did.
    """
    recent = _recently_reported(trackers, now)
    if not recent:
        return None
    return sum(t.reported_load / max(1, t.record.slots) for t in recent) / len(recent)


def mean_running(trackers: Sequence[EndpointTracker], now: float) -> float:
    """Return the mean number of requests at the endpoints that reported lately; 0 without any."""
    recent = _recently_reported(trackers, now)
    return sum(t.reported_load for t in recent) / len(recent) if recent else 0.0


def _recently_reported(trackers: Sequence[EndpointTracker], now: float) -> list[EndpointTracker]:
    return [t for t in trackers if now - t.reported_at <= SERVICE_REPORT_S]
