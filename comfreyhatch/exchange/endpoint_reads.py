"""Notes what endpoints have read, what may wait there unread, and which ones are silent."""

import logging
from collections.abc import Callable

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.former_attempts import FormerAttempts
from comfreyhatch.decisions.request_arrivals import AttemptArrival
from comfreyhatch.decisions.unread_attempts import UnreadAttempts

log = logging.getLogger("comfreyhatch.reads")


class EndpointReads:
    """Tells attempts that were given up from those that have surely arrived, or never will."""

    def __init__(
        self,
        unread: UnreadAttempts,
        former: FormerAttempts,
        probe: Callable[[EndpointTracker], None],
    ) -> None:
        """Create it.

        Args:
            unread: Attempts that endpoints may not have read; updated.
            former: What a former process may have left at endpoints; updated.
            probe: Begins to probe an endpoint that was left as silent.
        """
        self._probe = probe
        self._unread = unread
        self._former = former

    def note_sent(self, service: str, now: float) -> None:
        """Note that a request is sent to an endpoint of a service."""
        self._former.note_sent(service, now)

    def give_up(self, endpoint: EndpointTracker, arrival: AttemptArrival, now: float) -> None:
        """Note that an attempt is given up; it may arrive yet if it was sent and not answered."""
        arrival.end_unsent()
        if arrival.is_open:
            self._unread.add(endpoint.record.endpoint_id, arrival, now)

    def note_answer(self, endpoint: EndpointTracker, sent_at: float, now: float) -> None:
        """Note that an endpoint has answered a request that was sent at a time, in seconds."""
        record = endpoint.record
        self._former.note_answer(record.service, record.endpoint_id, now)
        _log_settled(endpoint, self._unread.note_answer(record.endpoint_id, sent_at, now))

    def note_ended(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that nothing listens at an endpoint; it has read what it ever will."""
        _log_settled(endpoint, self._unread.note_ended(endpoint.record.endpoint_id, now))

    def note_left_silent(self, endpoint: EndpointTracker, sent_at: float, now: float) -> None:
        """Note that a request is left at an endpoint, or sent elsewhere, too, as nothing has come.

        Args:
            endpoint: The endpoint, which is avoided from now on.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        record = endpoint.record
        if not endpoint.is_left_silent:
            log.info(
                "event=endpoint_silent endpoint=%s running=%d silent_s=%.2f",
                record.endpoint_id,
                endpoint.in_flight,
                now - max(endpoint.last_received_at, endpoint.busy_since),
            )
        endpoint.note_left_silent(sent_at, now)
        self._former.note_silent(record.service, record.endpoint_id, now)
        self._probe(endpoint)


def _log_settled(endpoint: EndpointTracker, attempts: int) -> None:
    """Log that attempts which were given up no longer wait at an endpoint."""
    if attempts:
        log.info(
            "event=unread_attempts_settled endpoint=%s attempts=%d",
            endpoint.record.endpoint_id,
            attempts,
        )
