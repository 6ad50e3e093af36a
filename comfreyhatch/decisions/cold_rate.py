"""This daemon's part of the rate that a cold endpoint bears.

Answers a zone or an endpoint that comes back cold while many daemons have work for it. A few
daemons, the same for all who know the same daemons, may send to one cold endpoint; each has a
bucket of one request, so that the sum stays within the bound in any second.
"""

from collections.abc import Iterable

from comfreyhatch.decisions.rendezvous import rendezvous_order

SAFETY = 0.7


class ColdRateLimiter:
    """A token bucket for one cold endpoint."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._at = 0.0

    def may_send(self, per_s: float, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._level(per_s, now) >= 1.0

    def record(self, per_s: float, now: float) -> None:
        """Count a request."""
        self._tokens = self._level(per_s, now) - 1.0
        self._at = now

    def _level(self, per_s: float, now: float) -> float:
        return min(1.0, self._tokens + max(0.0, now - self._at) * per_s)


def daemon_cold_rate(
    endpoint_id: str,
    daemon: str,
    daemons: Iterable[str],
    per_s: float,
    over: float,
    slack: float,
) -> float:
    """Return the requests a second that a daemon may send to a cold endpoint.

    Args:
        endpoint_id: The endpoint.
        daemon: This daemon.
        daemons: All known daemons.
        per_s: Requests a second that the endpoint bears.
        over: Factor on that up to which it is not harmed.
        slack: Requests a second beside that.
    """
    everyone = set(daemons) | {daemon}
    # Each sender may add one request at once to what flows steadily.
    senders = max(1, int(((over - 1.0) * per_s + slack) * SAFETY))
    chosen = rendezvous_order(endpoint_id, everyone)[:senders]
    if daemon not in chosen:
        return 0.0
    return per_s * SAFETY / len(chosen)
