"""Rate limit for requests to a cold endpoint, divided among the daemons.

Guards against overload when a zone or an endpoint comes back cold while many daemons have
requests for it. Rendezvous hashing selects a few daemons that may send to the endpoint; daemons
that know the same set of daemons select the same ones. Each of them has a token bucket of one
request, so that all together stay within the bound in any second.
"""

from collections.abc import Iterable

from comfreyhatch.decisions.rendezvous import rendezvous_order

# Share of the endpoint's rate and of its burst allowance that all daemons together use.
SAFETY_FACTOR = 0.7


class ColdRateLimiter:
    """Token bucket of one request for one cold endpoint."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._updated_at = 0.0

    def may_send(self, per_s: float, now: float) -> bool:
        """Return whether a request may be sent now.

        Args:
            per_s: Requests a second that this daemon may send; 0 for none, also from a full bucket.
            now: Monotonic time, in seconds.
        """
        return per_s > 0 and self._level(per_s, now) >= 1.0

    def record(self, per_s: float, now: float) -> None:
        """Take a token for a request that is sent; the arguments are those of `may_send`."""
        self._tokens = self._level(per_s, now) - 1.0
        self._updated_at = now

    def _level(self, per_s: float, now: float) -> float:
        return min(1.0, self._tokens + max(0.0, now - self._updated_at) * per_s)


def daemon_cold_rate(
    endpoint_id: str,
    daemon: str,
    daemons: Iterable[str],
    per_s: float,
    overload_factor: float,
    slack: float,
) -> float:
    """Return the requests a second that a daemon may send to a cold endpoint.

    Args:
        endpoint_id: Id of the endpoint.
        daemon: Instance id of this daemon.
        daemons: Instance ids of all known daemons.
        per_s: Requests a second that the endpoint sustains while cold.
        overload_factor: Multiple of that rate that doesn't harm the endpoint.
        slack: Requests a second allowed in addition.

    Returns:
        The rate; 0 if this daemon isn't among those that may send.
    """
    all_daemons = set(daemons) | {daemon}
    # On top of the steady rate each sender can send one request at once from its full bucket.
    senders = max(1, int(((overload_factor - 1.0) * per_s + slack) * SAFETY_FACTOR))
    selected = rendezvous_order(endpoint_id, all_daemons)[:senders]
    if daemon not in selected:
        return 0.0
    return per_s * SAFETY_FACTOR / len(selected)
