"""Stamps of signed requests: each is accepted once, and only while it is fresh."""

from collections import OrderedDict

MAX_AGE_S = 30.0
MAX_STAMPS = 100_000
MAX_STAMP_CHARS = 64
MS_PER_S = 1000


class ReplayGuard:
    """The stamps accepted lately.

    A stamp is a time in milliseconds since the epoch, a dot, and a random word.
    """

    def __init__(self, max_age_s: float = MAX_AGE_S, limit: int = MAX_STAMPS) -> None:
        self._max_age_s = max_age_s
        self._limit = limit
        self._accepted_at_by_stamp: OrderedDict[str, float] = OrderedDict()

    def accept(self, stamp: str, unix_s: float) -> bool:
        """Return whether a stamp is fresh and new; remember it if so.

        Args:
            stamp: The stamp of a request whose signature is right.
            unix_s: Present time, in seconds since the epoch.
        """
        sent_ms, _, word = stamp.partition(".")
        if not sent_ms.isdecimal() or not word or len(stamp) > MAX_STAMP_CHARS:
            return False
        self._forget(unix_s)
        if abs(unix_s - int(sent_ms) / MS_PER_S) > self._max_age_s:
            return False
        if stamp in self._accepted_at_by_stamp or len(self._accepted_at_by_stamp) >= self._limit:
            return False
        self._accepted_at_by_stamp[stamp] = unix_s
        return True

    def _forget(self, unix_s: float) -> None:
        """Forget stamps that are too old to be accepted again."""
        while self._accepted_at_by_stamp:
            stamp, accepted_at = next(iter(self._accepted_at_by_stamp.items()))
            if unix_s - accepted_at <= 2 * self._max_age_s:
                return
            del self._accepted_at_by_stamp[stamp]
