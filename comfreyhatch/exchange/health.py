"""Tells an endpoint's state of lost answers, and logs when it is ejected for them."""

import logging

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.errors import ConnectError

log = logging.getLogger("comfreyhatch.health")


def note_lost_answer(endpoint: EndpointTracker, error: Exception, now: float) -> None:
    """Count an answer that was lost, or a connection that could not be opened.

    Args:
        endpoint: The endpoint.
        error: How the answer was lost.
        now: Monotonic time in seconds.
    """
    before = endpoint.ejected_until
    endpoint.record_connection_failure(now, isinstance(error, ConnectError))
    if endpoint.ejected_until > max(now, before):
        log.info(
            "event=endpoint_ejected endpoint=%s for_s=%.1f reason=%r",
            endpoint.record.endpoint_id,
            endpoint.ejected_until - now,
            str(error),
        )
