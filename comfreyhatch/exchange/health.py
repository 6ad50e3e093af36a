"""Outlier detection: counts lost answers of endpoints and logs ejections."""

import logging

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.errors import ConnectError

log = logging.getLogger("comfreyhatch.health")


def note_lost_answer(endpoint: EndpointTracker, error: Exception, now: float) -> None:
    """Count a lost answer, or a failed connection, against an endpoint.

    Args:
        endpoint: The endpoint; ejected for a while after repeated failures.
        error: Why there is no answer; a `ConnectError` if no connection could be opened.
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
