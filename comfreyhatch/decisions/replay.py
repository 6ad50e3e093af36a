"""Replay protection for signed requests: each stamp is accepted once and only while fresh."""

from collections import OrderedDict

# Largest difference between a stamp's time and the receiver's clock, in either direction.
MAX_AGE_S = 30.0
MAX_STAMPS = 100_000
MAX_STAMP_CHARS = 64
MS_PER_S = 1000


class ReplayGuard:
    """Remembers accepted stamps for as long as they are fresh, in bounded memory.

    A stamp is a time in milliseconds since the epoch, a dot, and a random nonce. While the memory
    is full no stamp is accepted. Stamps are forgotten by a monotonic clock: a time of day that
    jumps forward and back would make those fresh again that were forgotten meanwhile.
    """

    def __init__(self, max_age_s: float = MAX_AGE_S, limit: int = MAX_STAMPS) -> None:
        self._max_age_s = max_age_s
        self._limit = limit
        self._accepted_at_by_stamp: OrderedDict[str, float] = OrderedDict()

    def accept(self, stamp: str, unix_s: float, now: float) -> bool:
        """Return whether a stamp is fresh and was not accepted before; remember it if so.

        Args:
            stamp: Stamp of a request whose signature has been verified.
            unix_s: Time of day, in seconds since the epoch.
            now: Monotonic time in seconds.
        """
        sent_ms, _, nonce = stamp.partition(".")
        if not sent_ms.isdecimal() or not nonce or len(stamp) > MAX_STAMP_CHARS:
            return False
        self._evict_expired(now)
        if abs(unix_s - int(sent_ms) / MS_PER_S) > self._max_age_s:
            return False
        if stamp in self._accepted_at_by_stamp or len(self._accepted_at_by_stamp) >= self._limit:
            return False
        self._accepted_at_by_stamp[stamp] = now
        return True

    def _evict_expired(self, now: float) -> None:
        """Drop stamps that are too old to be accepted again."""
        while self._accepted_at_by_stamp:
            stamp, accepted_at = next(iter(self._accepted_at_by_stamp.items()))
            # A stamp may have been ahead of the clock by max_age_s when it was accepted.
            if now - accepted_at <= 2 * self._max_age_s:
                return
            del self._accepted_at_by_stamp[stamp]
