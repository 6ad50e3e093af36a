"""What daemons tell each other of sessions as a roll-out begins."""

from msgspec import Struct


class SessionReport(Struct, frozen=True, tag="session"):
    """A session that a daemon serves on a replaced version, and that is to stay there.

    Attributes:
        service: Service.
        version: Target version of the roll-out, which the session must not get yet.
        session: The session.
        age_s: Time since the session was served, in seconds.
    """

    service: str
    version: str
    session: str
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return "session"

    @property
    def subject(self) -> tuple[str, str, str]:
        """What it is about; a later report on the same replaces it."""
        return (self.service, self.version, self.session)
