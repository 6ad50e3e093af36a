"""What a former process of this daemon may have left unread at endpoints.

A process that was killed leaves what it sent in the sockets of silent endpoints, and no account of
it. The new one leaves a part of the budget of extra requests to that: all of it while no endpoint
of a service has answered, and for a window after that if they were silent before; then the share
of the endpoints that fall silent soon after and have never answered it.
"""

from msgspec import Struct, field

# A service whose first answer comes sooner was not silent.
SILENT_S = 1.0
# Time after which an endpoint that does not answer is taken for gone.
GONE_S = 30.0


class _Service(Struct):
    """A service since the first request to it; times are monotonic, in seconds.

    Attributes:
        asked_at: When that was sent.
        held_until: Until when the whole budget is left to the former process.
        has_answered: Whether any endpoint has answered.
        answered_ids: Endpoints that have answered, silent before or not.
        held_until_by_id: Until when the share of an endpoint is left to the former process.
    """

    asked_at: float
    held_until: float
    has_answered: bool = False
    answered_ids: set[str] = field(default_factory=set)
    held_until_by_id: dict[str, float] = field(default_factory=dict)

    def is_over(self, now: float) -> bool:
        """Return whether an endpoint that falls silent now holds nothing of the former process."""
        return now >= self.asked_at + GONE_S


class FormerAttempts:
    """Tells which share of a service's budget is left to a former process."""

    def __init__(self, window_s: float, had_process: bool) -> None:
        """Create it as the process starts.

        Args:
            window_s: Window of the budget of extra requests, in seconds.
            had_process: Whether this daemon may have had a process before.
        """
        self._window_s = window_s
        self._had_process = had_process
        self._found_by_service: dict[str, _Service] = {}

    def note_sent(self, service: str, now: float) -> None:
        """Note that a request is sent to an endpoint of a service."""
        if self._had_process and service not in self._found_by_service:
            self._found_by_service[service] = _Service(now, now + GONE_S)

    def note_silent(self, service: str, endpoint_id: str, now: float) -> None:
        """Note that a request was left at an endpoint as nothing had come from it."""
        found = self._found_by_service.get(service)
        if found is None or found.is_over(now) or endpoint_id in found.answered_ids:
            return
        found.held_until_by_id.setdefault(endpoint_id, now + GONE_S)

    def note_answer(self, service: str, endpoint_id: str, now: float) -> None:
        """Note that an endpoint has answered."""
        found = self._found_by_service.get(service)
        if found is None or endpoint_id in found.answered_ids:
            return
        if found.is_over(now) and endpoint_id not in found.held_until_by_id:
            return
        found.answered_ids.add(endpoint_id)
        window_until = now + self._window_s
        if endpoint_id in found.held_until_by_id:
            held_until = found.held_until_by_id[endpoint_id]
            found.held_until_by_id[endpoint_id] = min(held_until, window_until)
        if not found.has_answered:
            found.has_answered = True
            was_silent = now - found.asked_at >= SILENT_S
            found.held_until = min(found.held_until, window_until) if was_silent else now

    def held_share(self, service: str, endpoints: int, now: float) -> float:
        """Return the share of the budget that is left to the former process, 0 to 1.

        Args:
            service: The service.
            endpoints: Number of its endpoints.
            now: Monotonic time in seconds.
        """
        found = self._found_by_service.get(service)
        if found is None:
            return 0.0
        if now < found.held_until:
            return 1.0
        held = sum(now < held_until for held_until in found.held_until_by_id.values())
        return min(1.0, held / max(1, endpoints))
