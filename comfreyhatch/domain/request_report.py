"""What daemons tell each other of requests under which endpoints crash."""

from msgspec import Struct

from comfreyhatch.domain.part_report import ReportKind


class RequestReport(Struct, frozen=True, tag="request"):
    """A report on requests.

    Attributes:
        kind: What it says.
        requests: Identities of the requests.
        endpoint: The endpoint that crashed, with its start; empty for other reports.
        trials: Number of times that a blocked request was let through since; 0 in other reports.
        age_s: Time since what it says was seen, in seconds.
    """

    kind: ReportKind
    requests: frozenset[bytes]
    endpoint: str = ""
    trials: int = 0
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return f"request-{self.kind.value}"

    @property
    def subject(self) -> tuple[frozenset[bytes], str]:
        """What it is about; a later report on the same replaces it."""
        return (self.requests, self.endpoint)
