"""Arrivals of one request's attempts at endpoints, and the extra requests reserved for them.

All arrivals beyond the first of a request are extra. Which attempt arrives first is not known from
the order in which they are sent: what is sent to an endpoint that is silent arrives when that goes
on, even if it was given up. A reservation thus stands for a request's attempts together, until all
but one of them are known to have arrived, or never to.
"""

from comfreyhatch.decisions.extra_requests import ExtraRequest, ExtraRequestBudget


class RequestArrivals:
    """Reserves extra requests for the attempts of one request."""

    __slots__ = ("_any_read", "_extras", "_is_next_reserved", "_open")

    def __init__(self) -> None:
        self._any_read = False
        self._extras: list[ExtraRequest] = []
        self._is_next_reserved = False
        self._open = 0

    def reserve(self, budget: ExtraRequestBudget, now: float) -> bool:
        """Reserve what another attempt needs, unless that was done.

        Args:
            budget: Budget of the request's service.
            now: Monotonic time in seconds.

        Returns:
            Whether the budget allows it, or nothing is needed: no attempt can have arrived.
        """
        self._is_next_reserved = True
        while len(self._extras) < self._needed:
            extra = budget.reserve(now)
            if extra is None:
                self.release_unused()
                return False
            self._extras.append(extra)
        return True

    @property
    def any_possible(self) -> bool:
        """Whether any attempt has arrived, or may yet: another one may then be an extra one."""
        return self._any_read or self._open > 0

    def begin(self) -> "AttemptArrival":
        """Return the arrival of an attempt that is going to be made."""
        self._open += 1
        self._is_next_reserved = False
        return AttemptArrival(self)

    def release_unused(self) -> None:
        """Give back what was reserved for another attempt, as there is none."""
        self._is_next_reserved = False
        self._give_back()

    def end(self, read_at: float | None) -> None:
        """Note what became of an attempt; called by its arrival.

        Args:
            read_at: Monotonic time in seconds by which its endpoint has read it; None if it never
                will.
        """
        self._open -= 1
        if read_at is not None:
            if self._any_read and self._extras:
                self._extras.pop().note_arrived(read_at)
            self._any_read = True
        self._give_back()

    @property
    def _needed(self) -> int:
        """Number of extra requests that may arrive yet."""
        possible = self._open + self._is_next_reserved
        return possible if self._any_read else max(0, possible - 1)

    def _give_back(self) -> None:
        while len(self._extras) > self._needed:
            self._extras.pop().release()


class AttemptArrival:
    """Whether one attempt has arrived at its endpoint.

    Attributes:
        is_relayed: Whether another daemon was asked to send it.
        is_open: Whether it may arrive yet, as far as is known.
    """

    __slots__ = ("_is_sent", "_request", "is_open", "is_relayed")

    def __init__(self, request: RequestArrivals) -> None:
        self._request = request
        self.is_open = True
        self.is_relayed = False
        self._is_sent = False

    def note_sent(self) -> None:
        """Note that it is written to a connection."""
        self._is_sent = True

    def note_relayed(self) -> None:
        """Note that another daemon is asked to send it."""
        self._is_sent = True
        self.is_relayed = True

    def note_read(self, now: float) -> None:
        """Note that the endpoint has read it, or has ended, by a monotonic time in seconds."""
        self._end(now)

    def note_gone(self) -> None:
        """Note that it was not sent, or never arrives."""
        self._end(None)

    def end_unsent(self) -> None:
        """Note that it is not sent, unless it was."""
        if not self._is_sent:
            self._end(None)

    def _end(self, read_at: float | None) -> None:
        if self.is_open:
            self.is_open = False
            self._request.end(read_at)
