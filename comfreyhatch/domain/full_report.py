"""What daemons tell each other of brittle endpoints that have no room."""

from msgspec import Struct


class FullReport(Struct, frozen=True, tag="full"):
    """A report that a brittle endpoint has refused a request for want of room.

    Attributes:
        start: The endpoint, with its start.
        pause_s: Time for which it is to get no requests, in seconds.
        age_s: Time since its answer came, in seconds.
    """

    start: str
    pause_s: float
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return "full"

    @property
    def subject(self) -> str:
        """What it is about; a later report on the same replaces it."""
        return self.start
