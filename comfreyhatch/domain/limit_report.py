"""What daemons tell each other of the rates that endpoints name."""

from msgspec import Struct


class LimitReport(Struct, frozen=True, tag="limit"):
    """A report on the limit of one endpoint.

    Attributes:
        start: The endpoint, with its start.
        per_s: Requests a second that it takes from all daemons together; None if it has ceased to
            name a limit.
        age_s: Time since its answer came, in seconds.
    """

    start: str
    per_s: float | None
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return "limit"

    @property
    def subject(self) -> str:
        """What it is about; a later report on the same replaces it."""
        return self.start
