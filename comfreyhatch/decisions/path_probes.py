"""When to open connections to endpoints only to find out whether they are within reach."""

from collections.abc import Iterable, Sequence
from random import Random

from msgspec import Struct

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker

# Silence of all endpoints of a service, while requests run, after which the paths are probed.
SILENCE_S = 0.6
# Endpoints that stand for all of a silent service.
MAX_SILENT_PROBES = 4
# Shortest time between two rounds of probes of a silent service.
SILENT_PROBE_INTERVAL_S = 1.0
# Pause before a lost endpoint is probed again, doubling up to a maximum while others of its service
# are within reach.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
MAX_LOST_PROBES = 8


class _Pause(Struct):
    """Pause between the probes of one lost endpoint, in seconds, and its end."""

    pause_s: float
    until: float


class PathProbes:
    """Selects the endpoints to probe; times are monotonic, in seconds."""

    def __init__(self, rng: Random) -> None:
        """Create it.

        Args:
            rng: Seeded source of the choice among endpoints.
        """
        self._rng = rng
        self._probed_at_by_service: dict[str, float] = {}
        self._pause_by_start: dict[str, _Pause] = {}

    def silent(self, service: str, listed: Sequence[EndpointTracker], now: float) -> bool:
        """Return whether all endpoints of a service are silent though requests run on some."""
        if now - self._probed_at_by_service.get(service, float("-inf")) < SILENT_PROBE_INTERVAL_S:
            return False
        if any(now - tracker.last_received_at < SILENCE_S for tracker in listed):
            return False
        running = [tracker for tracker in listed if tracker.lost_at is None]
        return any(tracker.silent_s(now) >= SILENCE_S for tracker in running)

    def sample(
        self, service: str, listed: Iterable[EndpointTracker], now: float
    ) -> list[EndpointTracker]:
        """Return the endpoints to probe for a silent service, the one silent longest first."""
        self._probed_at_by_service[service] = now
        reachable = [tracker for tracker in listed if tracker.lost_at is None]
        first = max(reachable, key=lambda tracker: tracker.silent_s(now))
        others = [tracker for tracker in reachable if tracker is not first]
        return [first, *self._rng.sample(others, min(MAX_SILENT_PROBES - 1, len(others)))]

    def due(
        self, listed: Iterable[EndpointTracker], service_lost: bool, now: float
    ) -> list[EndpointTracker]:
        """Return the lost endpoints of a service that are probed now.

        Args:
            listed: Endpoints of the service.
            service_lost: Whether all of them are lost; the pauses stay short then.
            now: Monotonic time in seconds.
        """
        lost = [tracker for tracker in listed if tracker.lost_at is not None]
        found = [tracker for tracker in lost if self._is_due(tracker, now)]
        chosen = self._rng.sample(found, min(MAX_LOST_PROBES, len(found)))
        for tracker in chosen:
            pause = self._pause_by_start[tracker.start]
            pause.pause_s = FIRST_PAUSE_S if service_lost else min(MAX_PAUSE_S, 2 * pause.pause_s)
            pause.until = now + pause.pause_s
        return chosen

    def forget(self, starts: Iterable[str]) -> None:
        """Forget endpoints that are gone or within reach, except those given."""
        kept = set(starts)
        self._pause_by_start = {s: p for s, p in self._pause_by_start.items() if s in kept}

    def _is_due(self, tracker: EndpointTracker, now: float) -> bool:
        pause = self._pause_by_start.setdefault(
            tracker.start, _Pause(FIRST_PAUSE_S, now + FIRST_PAUSE_S)
        )
        return now >= pause.until
