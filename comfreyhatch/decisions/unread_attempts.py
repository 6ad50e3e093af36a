"""Attempts that were given up before it was known whether their endpoints had read them.

A process that is stopped has what was sent to it in its sockets, and reads it all when it goes on;
a reset doesn't take that back. Such an attempt has surely arrived, or never will, once its endpoint
has answered a request that was sent after it was given up, or refuses connections.
"""

from collections import deque

from msgspec import Struct

from comfreyhatch.decisions.request_arrivals import AttemptArrival

# An endpoint that was silent reads its sockets in any order.
READ_MARGIN_S = 0.25
# An endpoint that has not answered for so long since is gone, or so is the path to it.
UNREAD_LIFE_S = 30.0


class _Unread(Struct):
    """The arrival of an attempt, and the monotonic time in seconds at which it was given up."""

    arrival: AttemptArrival
    given_up_at: float


class UnreadAttempts:
    """Attempts that may arrive at their endpoints yet, by endpoint."""

    def __init__(self) -> None:
        self._waiting_by_endpoint: dict[str, deque[_Unread]] = {}

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting_by_endpoint.values())

    def oldest_s(self, now: float) -> float:
        """Return how long ago the first of them was given up, in seconds; 0 without any."""
        first = (waiting[0].given_up_at for waiting in self._waiting_by_endpoint.values())
        return now - min(first, default=now)

    def add(self, endpoint_id: str, arrival: AttemptArrival, now: float) -> None:
        """Add an attempt that is given up."""
        waiting = self._waiting_by_endpoint.setdefault(endpoint_id, deque())
        waiting.append(_Unread(arrival, now))

    def note_answer(self, endpoint_id: str, sent_at: float, now: float) -> int:
        """Note that an endpoint has answered a request; it has read what was given up before.

        If it has started again since, it has read what it ever will.

        Args:
            endpoint_id: The endpoint.
            sent_at: Monotonic time in seconds at which the request was sent.
            now: Monotonic time in seconds of the answer.

        Returns:
            Number of attempts that have surely been read now.
        """
        return self._end_until(endpoint_id, sent_at, now + READ_MARGIN_S)

    def note_ended(self, endpoint_id: str, now: float) -> int:
        """Note that nothing listens at an endpoint; it may have read all until now.

        Returns:
            Number of attempts that can't be read any more.
        """
        return self._end_until(endpoint_id, now, now)

    def expire(self, now: float) -> int:
        """Give up waiting for endpoints that have been silent for too long.

        Returns:
            Number of attempts that no longer count.
        """
        expired = 0
        for waiting in self._waiting_by_endpoint.values():
            while waiting and now - waiting[0].given_up_at >= UNREAD_LIFE_S:
                waiting.popleft().arrival.note_gone()
                expired += 1
        self._remove_empty()
        return expired

    def _end_until(self, endpoint_id: str, given_up_at: float, read_at: float) -> int:
        waiting = self._waiting_by_endpoint.get(endpoint_id)
        if waiting is None:
            return 0
        ended = 0
        while waiting and waiting[0].given_up_at <= given_up_at:
            waiting.popleft().arrival.note_read(read_at)
            ended += 1
        if not waiting:
            del self._waiting_by_endpoint[endpoint_id]
        return ended

    def _remove_empty(self) -> None:
        for endpoint_id in [e for e, waiting in self._waiting_by_endpoint.items() if not waiting]:
            del self._waiting_by_endpoint[endpoint_id]
