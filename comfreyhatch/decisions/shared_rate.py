"""Rate of requests that an endpoint takes from all daemons together, divided among a few of them.

An endpoint has such a rate while it is cold, and while it names a limit. Rendezvous hashing selects
a few daemons, the senders; daemons that know the same set of daemons select the same ones. Each has
a token bucket of one request, with an equal part of the rate, so that all together stay within the
bound in any time. A daemon with more requests than tokens of its own, or that is no sender, asks
senders for permits, which draw on their buckets; one busy daemon can so use the whole rate.
"""

from collections.abc import Collection
from functools import lru_cache
from math import isfinite

from msgspec import Struct

from comfreyhatch.decisions.rendezvous import rendezvous_order

# Share of a cold endpoint's rate, and of any burst allowance, that all daemons together use.
SAFETY_FACTOR = 0.7
# Share of a named limit that all daemons together use; the rest covers permits that are used late.
NAMED_SHARE = 0.9
# The users' bound on what an endpoint gets: this multiple of its limit in this window, and more.
NAMED_OVER = 1.5
NAMED_WINDOW_S = 4.0
NAMED_SLACK = 5.0
# An endpoint that takes nothing still gets a request now and then, whose answer tells when it does.
MIN_NAMED_PER_S = 0.1
MAX_COLD_SENDERS = 8
# More senders would each have so few tokens that a busy daemon has to ask many of them.
MAX_NAMED_SENDERS = 3
# A permit that was not used this long after the time for which it was given is void.
PERMIT_LIFE_S = 0.3


# Bounds are asked for with each request, for each endpoint.
MAX_CACHED_BOUNDS = 1024


class RateBound(Struct, frozen=True):
    """Rate that all daemons together may send to an endpoint.

    Attributes:
        per_s: Requests a second.
        senders: Number of daemons that it is divided among; each may send one request at once.
    """

    per_s: float
    senders: int


@lru_cache(maxsize=MAX_CACHED_BOUNDS)
def cold_bound(per_s: float, overload_factor: float, slack: float) -> RateBound:
    """Return the bound of a cold endpoint.

    Args:
        per_s: Requests a second that the endpoint sustains while cold.
        overload_factor: Multiple of that rate that doesn't harm the endpoint.
        slack: Requests a second allowed in addition.
    """
    # On top of the steady rate each sender can send one request at once from its full bucket.
    burst = (overload_factor - 1.0) * per_s + slack
    return RateBound(per_s * SAFETY_FACTOR, _senders(burst, MAX_COLD_SENDERS))


@lru_cache(maxsize=MAX_CACHED_BOUNDS)
def named_bound(per_s: float) -> RateBound:
    """Return the bound of an endpoint that names a limit in requests a second."""
    burst = (NAMED_OVER - 1.0) * per_s * NAMED_WINDOW_S + NAMED_SLACK
    return RateBound(max(MIN_NAMED_PER_S, per_s * NAMED_SHARE), _senders(burst, MAX_NAMED_SENDERS))


def lower_bound(one: RateBound, two: RateBound) -> RateBound:
    """Return the bound that keeps both of two."""
    return RateBound(min(one.per_s, two.per_s), min(one.senders, two.senders))


def _senders(burst: float, most: int) -> int:
    return max(1, int(min(burst * SAFETY_FACTOR, most)))


def senders_of(endpoint_id: str, daemons: Collection[str], bound: RateBound) -> list[str]:
    """Return the daemons that an endpoint's rate is divided among."""
    return rendezvous_order(endpoint_id, daemons)[: bound.senders]


class RateBucket:
    """Token bucket of one request: one daemon's part of an endpoint's rate.

    Tokens may be taken before they are there, for use at the time at which they are; the level is
    below zero then.
    """

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self) -> None:
        self._tokens = 1.0
        self._updated_at = 0.0

    def wait_s(self, per_s: float, now: float) -> float:
        """Return the time until the next token is there, in seconds; infinite without a rate.

        Args:
            per_s: Requests a second that this daemon may send; 0 for none, also from a full bucket.
            now: Monotonic time, in seconds.
        """
        if per_s <= 0:
            return float("inf")
        return max(0.0, 1.0 - self._level(per_s, now)) / per_s

    def take(self, per_s: float, now: float) -> None:
        """Take a token; the arguments are those of `wait_s`."""
        self._tokens = self._level(per_s, now) - 1.0
        self._updated_at = now

    def reserve(self, per_s: float, within_s: float, now: float) -> float | None:
        """Take a token that is there within a time.

        Returns:
            Time until it may be used, in seconds; None if none is there in time.
        """
        wait_s = self.wait_s(per_s, now)
        if not isfinite(wait_s) or wait_s > within_s:
            return None
        self.take(per_s, now)
        return wait_s

    def _level(self, per_s: float, now: float) -> float:
        return min(1.0, self._tokens + max(0.0, now - self._updated_at) * per_s)


class EndpointRate:
    """What a daemon keeps of one endpoint's rate; times are monotonic, in seconds.

    Attributes:
        bucket: This daemon's part of the rate.
    """

    __slots__ = ("_next_at_by_sender", "_permits", "bucket")

    def __init__(self) -> None:
        self.bucket = RateBucket()
        self._permits: list[float] = []
        self._next_at_by_sender: dict[str, float] = {}

    def add_permit(self, usable_at: float) -> None:
        """Add a permit that a sender gave."""
        self._permits.append(usable_at)
        self._permits.sort()

    def permits(self, now: float) -> int:
        """Return the number of permits that may be used now or later."""
        self._permits = [at for at in self._permits if now <= at + PERMIT_LIFE_S]
        return len(self._permits)

    def may_send(self, per_s: float, now: float) -> bool:
        """Return whether a request may be sent now.

        Args:
            per_s: This daemon's part of the rate, in requests a second; 0 if it is no sender.
            now: Present time.
        """
        usable = self.permits(now) > 0 and self._permits[0] <= now
        return usable or self.bucket.wait_s(per_s, now) <= 0

    def take(self, per_s: float, now: float) -> None:
        """Draw a request that is sent; the arguments are those of `may_send`."""
        if self.permits(now) and self._permits[0] <= now:
            self._permits.pop(0)
        else:
            self.bucket.take(per_s, now)

    def note_next(self, sender: str, at: float) -> None:
        """Note the time at which a sender has its next permit, as far as it told."""
        self._next_at_by_sender[sender] = at

    def next_at(self, sender: str) -> float:
        """Return the time from which a sender may have a permit; 0 if it was not asked."""
        return self._next_at_by_sender.get(sender, 0.0)
