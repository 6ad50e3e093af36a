"""Exit statuses of the command line."""

from enum import IntEnum

from comfreyhatch.codes import ResultCode


class Exit(IntEnum):
    """Exit status of a command."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    NOT_IN_FORCE = 6
    UNREACHABLE = 7
    REFUSED = 8
    ABORTED = 9
    WARNINGS = 10


MEANING_BY_EXIT: dict[Exit, str] = {
    Exit.OK: "Done.",
    Exit.INTERNAL: "An internal error.",
    Exit.USAGE: "The command line is wrong.",
    Exit.INVALID: "The file, the contract or the change has errors.",
    Exit.NOT_FOUND: "No such request, customer or revision.",
    Exit.CONFLICT: "Another change came first; nothing was changed.",
    Exit.NOT_IN_FORCE: "Accepted, but not confirmed by every instance in time.",
    Exit.UNREACHABLE: "No daemon answers, or the platform does not; a change may have happened.",
    Exit.REFUSED: "The daemon refused for another reason; the code is on standard error.",
    Exit.ABORTED: "The operator did not confirm; nothing was changed.",
    Exit.WARNINGS: "A check found warnings and no errors.",
}

EXIT_BY_CODE: dict[ResultCode, Exit] = {
    ResultCode.OK: Exit.OK,
    ResultCode.BAD_REQUEST: Exit.INVALID,
    ResultCode.SETTINGS_INVALID: Exit.INVALID,
    ResultCode.CONTRACT_INVALID: Exit.INVALID,
    ResultCode.CHANGE_INVALID: Exit.INVALID,
    ResultCode.NOT_FOUND: Exit.NOT_FOUND,
    ResultCode.CONFLICT: Exit.CONFLICT,
    ResultCode.NOT_IN_FORCE: Exit.NOT_IN_FORCE,
    ResultCode.PEER_TIMEOUT: Exit.UNREACHABLE,
    ResultCode.PLATFORM_UNAVAILABLE: Exit.UNREACHABLE,
    ResultCode.WRITE_UNKNOWN: Exit.UNREACHABLE,
    ResultCode.INTERNAL: Exit.INTERNAL,
}


def exit_of(code: ResultCode) -> Exit:
    """Return the exit status for a result code."""
    return EXIT_BY_CODE.get(code, Exit.REFUSED)


def exits_table() -> str:
    """Return the table of exit statuses as Markdown."""
    lines = ["| exit status | name | meaning |", "| --- | --- | --- |"]
    lines += [f"| {e.value} | `{e.name}` | {MEANING_BY_EXIT[e]} |" for e in Exit]
    return "\n".join(lines) + "\n"
