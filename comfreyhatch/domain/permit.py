"""Permits to send a request to an endpoint whose rate is divided among a few daemons."""

from msgspec import Struct


class PermitAsk(Struct, frozen=True):
    """A daemon asks a sender for a permit.

    Attributes:
        start: The endpoint, with its start; empty to ask only whether the daemon is there.
        within_s: Longest wait for the permit, in seconds.
        silent: Senders that don't answer, which the asked daemon may have to stand in for.
    """

    start: str = ""
    within_s: float = 0.0
    silent: tuple[str, ...] = ()


class PermitAnswer(Struct, frozen=True):
    """A sender's answer.

    Attributes:
        delay_s: Time until the permit may be used, in seconds; None if there is none in time.
        next_s: Time until the sender has another, in seconds; None if it is no sender of the
            endpoint, or does not know that its rate is bounded.
    """

    delay_s: float | None = None
    next_s: float | None = None
