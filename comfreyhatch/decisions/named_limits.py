"""Rates that endpoints name in their answers, by endpoint and start.

A limit holds from the first answer that names it until an answer without it, whichever daemon got
them. Of two observations the later one counts.
"""

from collections import OrderedDict

from msgspec import Struct

# Change of a limit, as a share of it, that other daemons are told of.
MIN_TOLD_CHANGE = 0.05
# Pause between reports on different limits of one endpoint.
TELL_PAUSE_S = 0.5
# A limit is told again after this time, for daemons that have started since; with many limits
# later, so that all of them make no more than this many reports a second.
REFRESH_S = 5.0
MAX_REFRESHES_PER_S = 20.0
MAX_LIMITS = 8192


class _Limit(Struct):
    """A limit in force.

    Attributes:
        per_s: Requests a second.
        seen_at: Time of the last answer that named it.
        told_per_s: Limit that daemons were last told of.
        told_at: Time at which any daemon last told of it.
    """

    per_s: float
    seen_at: float
    told_per_s: float
    told_at: float


class NamedLimits:
    """Limits that this daemon knows of; times are monotonic, in seconds."""

    def __init__(self) -> None:
        self._limit_by_start: OrderedDict[str, _Limit] = OrderedDict()
        self._ended_at_by_start: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of limits in force."""
        return len(self._limit_by_start)

    def per_s(self, start: str) -> float | None:
        """Return the limit of an endpoint in requests a second; None if it names none."""
        limit = self._limit_by_start.get(start)
        return None if limit is None else limit.per_s

    def observe(self, start: str, per_s: float | None, sent_at: float, now: float) -> bool:
        """Note an answer of an endpoint, and return whether other daemons have to be told.

        Args:
            start: The endpoint, with its start.
            per_s: Limit that the answer names; None for none.
            sent_at: Time at which the request was sent. An answer to a request from before the
                limit was last seen doesn't end it.
            now: Present time.
        """
        known = self._limit_by_start.get(start)
        if per_s is None:
            if known is None or sent_at <= known.seen_at:
                return False
            self._end(start, now)
            return True
        if known is None or self._worth_telling(known, per_s, now):
            self._set(start, _Limit(per_s, now, per_s, now))
            return True
        known.per_s, known.seen_at = per_s, now
        return False

    def merge(self, start: str, per_s: float | None, at: float, now: float) -> bool:
        """Learn from another daemon, and return whether the limit has changed.

        Args:
            start: The endpoint, with its start.
            per_s: Its limit; None if it has ceased to name one.
            at: Time at which the answer came to the other daemon.
            now: Present time.
        """
        known = self._limit_by_start.get(start)
        if per_s is None:
            if known is None or at <= known.seen_at:
                return False
            self._end(start, at)
            return True
        if at <= self._ended_at_by_start.get(start, float("-inf")):
            return False
        if known is not None and at <= known.seen_at:
            return False
        self._set(start, _Limit(per_s, at, per_s, now))
        return known is None or known.per_s != per_s

    def _worth_telling(self, known: _Limit, per_s: float, now: float) -> bool:
        told_s = now - known.told_at
        if abs(per_s - known.told_per_s) > MIN_TOLD_CHANGE * known.told_per_s:
            return told_s >= TELL_PAUSE_S
        return told_s >= max(REFRESH_S, len(self) / MAX_REFRESHES_PER_S)

    def _set(self, start: str, limit: _Limit) -> None:
        self._ended_at_by_start.pop(start, None)
        self._limit_by_start[start] = limit
        self._limit_by_start.move_to_end(start)
        if len(self._limit_by_start) > MAX_LIMITS:
            self._limit_by_start.popitem(last=False)

    def _end(self, start: str, at: float) -> None:
        del self._limit_by_start[start]
        self._ended_at_by_start[start] = at
        if len(self._ended_at_by_start) > MAX_LIMITS:
            self._ended_at_by_start.popitem(last=False)
