"""Numbered findings on a configuration that is about to be sent."""

from enum import Enum, IntEnum

from msgspec import Struct


class Severity(Enum):
    """Whether a configuration must not be sent, or should be looked at before."""

    ERROR = "error"
    WARNING = "warning"


class FindingCode(IntEnum):
    """What was found; numbers from 6101 on are warnings."""

    UNREADABLE = 6001
    DUPLICATE_NAME = 6002
    SHARED_KEY = 6003
    CONTRADICTION = 6004
    NOT_SERVED = 6005
    UNKNOWN_SERVICE = 6006
    ZERO_LIMIT = 6007
    NOT_NEWER = 6008
    NEVER_MATCHES = 6101
    COVERED = 6102
    UNUSED = 6103
    NO_KEY = 6104
    ACCESS_REMOVED = 6105
    BUDGET_TOO_SMALL = 6106


FIRST_WARNING = 6101

MEANING_BY_FINDING: dict[FindingCode, str] = {
    FindingCode.UNREADABLE: "A file, or an entry of it, can't be read and would be left out.",
    FindingCode.DUPLICATE_NAME: "Two entries have the same name; one would replace the other.",
    FindingCode.SHARED_KEY: "Two customers or workspaces have the same API key.",
    FindingCode.CONTRADICTION: "Two settings of an entry contradict each other.",
    FindingCode.NOT_SERVED: "Nothing serves what an entry asks for.",
    FindingCode.UNKNOWN_SERVICE: "A route leads to a service that is not defined.",
    FindingCode.ZERO_LIMIT: "A limit is 0 or less, which lets nothing through.",
    FindingCode.NOT_NEWER: "Daemons would pass the configuration over for the one in force.",
    FindingCode.NEVER_MATCHES: "An entry never matches any request.",
    FindingCode.COVERED: "Another entry covers all that an entry matches.",
    FindingCode.UNUSED: "A setting has no effect.",
    FindingCode.NO_KEY: "A customer or workspace has no API key, so that nobody can use it.",
    FindingCode.ACCESS_REMOVED: "Requests that are served now would be refused.",
    FindingCode.BUDGET_TOO_SMALL: "One answer of the largest size exceeds the budget of a day.",
}


class Finding(Struct, frozen=True, order=True):
    """A finding.

    Attributes:
        code: What was found.
        where: The entry, such as "contract trackline" or "route pay".
        message: What is wrong with it.
    """

    code: FindingCode
    where: str
    message: str

    @property
    def severity(self) -> Severity:
        """Whether it is an error or a warning."""
        return Severity.WARNING if self.code >= FIRST_WARNING else Severity.ERROR


def findings_table() -> str:
    """Return the table of findings of docs/RESULT-CODES.md as Markdown."""
    lines = ["| code | name | severity | meaning |", "| --- | --- | --- | --- |"]
    for code in FindingCode:
        severity = Finding(code, "", "").severity.value
        lines.append(f"| {code.value} | `{code.name}` | {severity} | {MEANING_BY_FINDING[code]} |")
    return "\n".join(lines) + "\n"
