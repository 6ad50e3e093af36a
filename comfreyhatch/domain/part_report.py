"""What daemons tell each other of prompt parts under which endpoints crash."""

from enum import Enum

from msgspec import Struct


class ReportKind(Enum):
    """What a report says of its parts."""

    CRASHED = "crashed"  # an endpoint crashed as it began to answer prompts with them
    SOUND = "sound"  # answers to prompts with them went well
    BLOCKED = "blocked"  # requests with all of them are refused


class PartReport(Struct, frozen=True, tag="part"):
    """A report on prompt parts.

    Attributes:
        kind: What it says.
        part_ids: Ids of the parts.
        endpoint: The endpoint that crashed, with its start; empty for other reports.
        age_s: Time since what it says was seen, in seconds.
    """

    kind: ReportKind
    part_ids: frozenset[str]
    endpoint: str = ""
    age_s: float = 0.0

    @property
    def room(self) -> str:
        """Name of the room in which it is kept for other daemons."""
        return f"part-{self.kind.value}"

    @property
    def subject(self) -> tuple[frozenset[str], str]:
        """What it is about; a later report on the same replaces it."""
        return (self.part_ids, self.endpoint)
