"""What daemons tell each other of endpoints that say that they are leaving."""

from msgspec import Struct


class LeavingReport(Struct, frozen=True, tag="leaving"):
    """A report that an endpoint is leaving.

    Attributes:
        start: The endpoint, with its start.
        age_s: Time since its answer came, in seconds.
    """

    start: str
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return "leaving"

    @property
    def subject(self) -> str:
        """What it is about; a later report on the same replaces it."""
        return self.start
