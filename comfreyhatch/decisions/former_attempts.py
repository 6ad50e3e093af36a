"""Services at whose endpoints attempts of a former process of this daemon may wait unread.

A process that was killed leaves what it sent in the sockets of silent endpoints, and no account of
it. While no endpoint of a service has answered the new process, and for a window after that if they
were silent before, the budget of extra requests is left to what the former process sent.
"""

# A service whose first answer comes sooner was not silent.
SILENT_S = 1.0
# Time after which a service that does not answer is taken for gone.
GONE_S = 30.0


class FormerAttempts:
    """Tells for which services attempts of a former process may wait."""

    def __init__(self, window_s: float, had_process: bool) -> None:
        """Create it as the process starts.

        Args:
            window_s: Window of the budget of extra requests, in seconds.
            had_process: Whether this daemon may have had a process before.
        """
        self._window_s = window_s
        self._had_process = had_process
        self._asked_at_by_service: dict[str, float] = {}
        self._held_until_by_service: dict[str, float] = {}

    def note_sent(self, service: str, now: float) -> None:
        """Note that a request is sent to an endpoint of a service."""
        if self._had_process and service not in self._asked_at_by_service:
            self._asked_at_by_service[service] = now
            self._held_until_by_service[service] = now + GONE_S

    def note_answer(self, service: str, now: float) -> None:
        """Note that an endpoint of a service has answered."""
        held_until = self._held_until_by_service.get(service)
        if held_until is None:
            return
        if now - self._asked_at_by_service[service] < SILENT_S:
            del self._held_until_by_service[service]
        else:
            self._held_until_by_service[service] = min(held_until, now + self._window_s)

    def may_wait(self, service: str, now: float) -> bool:
        """Return whether attempts of a former process may wait, or have arrived in the window."""
        return now < self._held_until_by_service.get(service, 0.0)
