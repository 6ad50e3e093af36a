"""Endpoints at which attempts of a former process of this daemon may wait unread.

A process that was killed leaves what it sent in the sockets of silent endpoints, and no account of
it. Until an endpoint has answered the new process, and for a window after that if it was silent
before, its part of the budget of extra requests is left to what the former one sent.
"""

from msgspec import Struct

# An endpoint that answers its first request sooner was not silent.
SILENT_S = 0.5
# Time after which an endpoint that does not answer is taken for gone.
GONE_S = 30.0


class _Held(Struct):
    """An endpoint that may hold attempts.

    Attributes:
        service: Its service.
        until: Monotonic time in seconds at which this ends.
    """

    service: str
    until: float


class FormerAttempts:
    """Tells which share of a service's endpoints may hold attempts of a former process."""

    def __init__(self, window_s: float) -> None:
        """Create it as the process starts.

        Args:
            window_s: Window of the budget of extra requests, in seconds.
        """
        self._window_s = window_s
        self._asked_at_by_endpoint: dict[str, float] = {}
        self._held_by_endpoint: dict[str, _Held] = {}

    def note_sent(self, endpoint_id: str, service: str, now: float) -> None:
        """Note that a request is sent to an endpoint."""
        if endpoint_id not in self._asked_at_by_endpoint:
            self._asked_at_by_endpoint[endpoint_id] = now
            self._held_by_endpoint[endpoint_id] = _Held(service, now + GONE_S)

    def note_answer(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint has answered, or refuses connections."""
        held = self._held_by_endpoint.get(endpoint_id)
        if held is None:
            return
        if now - self._asked_at_by_endpoint[endpoint_id] < SILENT_S:
            del self._held_by_endpoint[endpoint_id]
        else:
            held.until = min(held.until, now + self._window_s)

    def free_share(self, service: str, endpoints: int, now: float) -> float:
        """Return the share of a service's endpoints that hold no such attempts, 0 to 1.

        Args:
            service: The service.
            endpoints: Number of its endpoints.
            now: Monotonic time in seconds.
        """
        for endpoint_id in [e for e, held in self._held_by_endpoint.items() if now >= held.until]:
            del self._held_by_endpoint[endpoint_id]
        holding = sum(held.service == service for held in self._held_by_endpoint.values())
        return max(0.0, 1.0 - holding / endpoints) if endpoints else 1.0
