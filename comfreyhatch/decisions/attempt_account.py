"""Account of one request's attempts: which may have run, and whether another one is allowed.

An attempt counts from its decision on, not from its sending: two attempts that wait for a slot at
the same time would otherwise both use the last one that the route allows.
"""

from enum import Enum, auto

# A request is not retried after more than this many attempts that reached an endpoint; a stream not
# after more than this plus the route's attempts.
MAX_REFUSED_ATTEMPTS = 4
# Failed connections draw nothing from the budget of extra requests, so they have a limit here.
MAX_UNREACHABLE_ATTEMPTS = 8


class AttemptState(Enum):
    """What is known of an attempt."""

    POSSIBLE_RUN = auto()
    NOT_RUN = auto()
    ENDPOINT_ENDED = auto()


class CountedAttempt:
    """An attempt from its decision on.

    Attributes:
        state: What is known of it; changed by its account alone.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = AttemptState.POSSIBLE_RUN


class AttemptAccount:
    """Counts the attempts of one request against the limits on them."""

    __slots__ = ("_attempts", "_max_attempts", "_max_reached", "_placed", "_unreachable")

    def __init__(self, max_attempts: int, max_reached: int) -> None:
        """Create an account without attempts.

        Args:
            max_attempts: Most attempts that may run, by the route.
            max_reached: Most attempts that may reach an endpoint, refused ones included.
        """
        self._max_attempts = max_attempts
        self._max_reached = max_reached
        self._attempts: list[CountedAttempt] = []
        self._placed = 0
        self._unreachable = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run, or may run yet."""
        return any(attempt.state is not AttemptState.NOT_RUN for attempt in self._attempts)

    @property
    def counted(self) -> int:
        """Number of attempts that count against the route's limit."""
        return sum(attempt.state is AttemptState.POSSIBLE_RUN for attempt in self._attempts)

    @property
    def used_up(self) -> bool:
        """Whether no further attempt may run by the route's limit."""
        return self.counted >= self._max_attempts

    @property
    def failed_often(self) -> bool:
        """Whether too many attempts could not connect, or reached an endpoint."""
        reached = self._placed - self._unreachable
        return self._unreachable > MAX_UNREACHABLE_ATTEMPTS or reached > self._max_reached

    def allows_another(self, repeatable: bool) -> bool:
        """Return whether another attempt may run.

        Args:
            repeatable: Whether the request may run more than once.
        """
        return not self.used_up and (repeatable or not self.may_have_run)

    def decide(self) -> CountedAttempt:
        """Count an attempt that is going to be made."""
        attempt = CountedAttempt()
        self._attempts.append(attempt)
        return attempt

    def note_placed(self) -> None:
        """Note that an attempt got a slot of an endpoint."""
        self._placed += 1

    def end_not_run(self, attempt: CountedAttempt) -> None:
        """Take off an attempt that got no slot, or that its endpoint stated not to have run."""
        attempt.state = AttemptState.NOT_RUN

    def end_unreachable(self, attempt: CountedAttempt) -> None:
        """Take off an attempt whose connection could not be opened."""
        attempt.state = AttemptState.NOT_RUN
        self._unreachable += 1

    def note_endpoint_ended(self, attempt: CountedAttempt) -> None:
        """Leave an attempt out of the route's limit, as its endpoint has ended since."""
        if attempt.state is AttemptState.POSSIBLE_RUN:
            attempt.state = AttemptState.ENDPOINT_ENDED
