"""Choice of the daemons that relay requests to endpoints that this daemon has lost its paths to.

A daemon of the endpoint's zone comes first: the request crosses zones once, as without a relay. The
next ones are of any zone, since those of one zone may have lost their paths together.
"""

from collections.abc import Mapping
from random import Random

from comfreyhatch.domain.relay import RelayAddress

# Daemons that are asked for one request.
MAX_RELAYS = 3
# Time for which a daemon is not asked after it could not be reached, doubling up to a maximum.
FIRST_HOLD_DOWN_S = 0.5
MAX_HOLD_DOWN_S = 8.0
# Time for which a daemon is not asked for a service that it does not reach either, or while it is
# busy.
UNREACHABLE_HOLD_DOWN_S = 1.0
BUSY_HOLD_DOWN_S = 0.1
# Daemons in a row that do not reach a service, after which it counts as down for a time. Without
# that, hundreds of daemons would ask each other for each request to a service that is down.
MAX_UNREACHABLE = 4
FIRST_DOWN_S = 0.5
MAX_DOWN_S = 4.0


class RelayChoice:
    """Which daemons may relay; times are monotonic, in seconds."""

    def __init__(self, rng: Random) -> None:
        """Create it with all daemons allowed.

        Args:
            rng: Seeded source of the choice.
        """
        self._rng = rng
        self._held_until_by_daemon: dict[str, float] = {}
        self._failures_by_daemon: dict[str, int] = {}
        self._unreachable_until: dict[tuple[str, str], float] = {}
        self._unreachable_by_service: dict[str, int] = {}
        self._down_until_by_service: dict[str, float] = {}

    def candidates(
        self,
        relay_by_daemon: Mapping[str, RelayAddress],
        service: str,
        zone: str,
        now: float,
    ) -> list[str]:
        """Return the daemons to ask for one request, in order.

        Args:
            relay_by_daemon: Listeners of the other daemons.
            service: Service of the endpoint.
            zone: Zone of the endpoint.
            now: Monotonic time in seconds.
        """
        if now < self._down_until_by_service.get(service, 0.0):
            return []
        free = [daemon for daemon in relay_by_daemon if not self._is_held(daemon, service, now)]
        near = [daemon for daemon in free if relay_by_daemon[daemon].zone == zone]
        first = [self._rng.choice(near)] if near else []
        others = [daemon for daemon in free if daemon not in first]
        return first + self._rng.sample(others, min(MAX_RELAYS - len(first), len(others)))

    def note_reached(self, daemon: str, service: str) -> None:
        """Note that a daemon has reached an endpoint."""
        self._failures_by_daemon.pop(daemon, None)
        self._unreachable_by_service.pop(service, None)

    def note_unreachable(self, daemon: str, service: str, now: float) -> None:
        """Note that a daemon does not reach an endpoint either."""
        self._failures_by_daemon.pop(daemon, None)
        self._unreachable_until[daemon, service] = now + UNREACHABLE_HOLD_DOWN_S
        count = self._unreachable_by_service.get(service, 0) + 1
        self._unreachable_by_service[service] = count
        if count >= MAX_UNREACHABLE:
            pause_s = min(MAX_DOWN_S, FIRST_DOWN_S * 2 ** min(count - MAX_UNREACHABLE, 8))
            self._down_until_by_service[service] = now + pause_s

    def note_busy(self, daemon: str, now: float) -> None:
        """Note that a daemon relays too many requests already."""
        self._held_until_by_daemon[daemon] = now + BUSY_HOLD_DOWN_S

    def note_lost(self, daemon: str, now: float) -> None:
        """Note that a daemon could not be reached, or did not answer to the end."""
        failures = self._failures_by_daemon.get(daemon, 0)
        self._failures_by_daemon[daemon] = failures + 1
        pause_s = min(MAX_HOLD_DOWN_S, FIRST_HOLD_DOWN_S * 2 ** min(failures, 8))
        self._held_until_by_daemon[daemon] = now + pause_s

    def _is_held(self, daemon: str, service: str, now: float) -> bool:
        held_until = self._held_until_by_daemon.get(daemon, 0.0)
        return now < max(held_until, self._unreachable_until.get((daemon, service), 0.0))
