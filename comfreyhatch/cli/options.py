"""Options that commands share, and how a command runs, prints and ends."""

import asyncio
import sys
from collections.abc import Callable, Coroutine, Sequence
from getpass import getuser
from pathlib import Path
from typing import Annotated, Any, TypeVar

from msgspec import Struct
from msgspec.json import encode, format
from typer import Exit as CommandExit
from typer import Option, confirm, echo

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.ini import read_section, read_sections
from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.adapters.settings import HostPort
from comfreyhatch.cli.exits import Exit, exit_of
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.change import Change
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ComfreyhatchError, RequestError, SettingsError
from comfreyhatch.porcelain.changes import (
    ChangeOutcome,
    PlannedChange,
    await_in_force,
    commit_change,
    plan_change,
)
from comfreyhatch.porcelain.check import CheckReport, report_lines

T = TypeVar("T")

DaemonOption = Annotated[
    list[str] | None,
    Option(
        "--daemon",
        envvar="COMFREYHATCH_DAEMON",
        help="Operators' address of a daemon, host:port; may be given several times.",
    ),
]
ClientFileOption = Annotated[
    Path | None,
    Option(
        "--client-settings",
        envvar="COMFREYHATCH_CLIENT_SETTINGS",
        help="INI file whose section client names daemons.",
    ),
]
JsonOption = Annotated[bool, Option("--json", help="Print JSON.")]
DryRunOption = Annotated[bool, Option("--dry-run", help="Print the diff and change nothing.")]
YesOption = Annotated[bool, Option("--yes", help="Do not ask for confirmation.")]
WaitOption = Annotated[
    bool, Option("--wait", help="Fail if a live instance does not confirm in time.")
]
TimeoutOption = Annotated[
    float, Option("--timeout", min=0, help="Longest wait for confirmations, in seconds.")
]
AuthorOption = Annotated[
    str, Option("--author", envvar="COMFREYHATCH_AUTHOR", help="Who makes the change.")
]


class ClientSettings(Struct, frozen=True):
    """Where the command line finds daemons.

    Attributes:
        daemons: Operators' addresses of daemons.
    """

    daemons: tuple[HostPort, ...]


class ChangeOptions(Struct, frozen=True):
    """How a change is made."""

    dry_run: bool
    yes: bool
    wait: bool
    timeout_s: float
    author: str
    json: bool


def addresses_of(daemons: Sequence[str] | None, client_file: Path | None) -> list[Address]:
    """Return the addresses of daemons from the options or the file.

    Raises:
        SettingsError: If none is named or one is malformed.
    """
    named = [word for text in daemons or () for word in text.replace(",", " ").split()]
    if not named and client_file:
        named = list(_client_settings(client_file).daemons)
    if not named:
        raise SettingsError("no daemon is named; use --daemon host:port or COMFREYHATCH_DAEMON")
    return [_address(name) for name in named]


def run_command(
    daemons: Sequence[str] | None,
    client_file: Path | None,
    work: Callable[[OperatorClient], Coroutine[Any, Any, T]],
) -> T:
    """Run work with a client of the daemons; errors end the command with their status."""

    async def call() -> T:
        client = HttpClient()
        try:
            return await work(OperatorClient(client, addresses_of(daemons, client_file)))
        finally:
            client.close()

    return checked(lambda: asyncio.run(call()))


def checked(work: Callable[[], T]) -> T:
    """Return what work returns; errors are printed and end the command with their status."""
    try:
        return work()
    except ComfreyhatchError as error:
        echo(f"comfreyhatch: {int(error.code)} {error.code.name}: {error}", err=True)
        raise CommandExit(exit_of(error.code)) from error


def show(value: object, lines: Sequence[str], as_json: bool) -> None:
    """Print a value as JSON or its lines."""
    if as_json:
        echo(format(encode(value)).decode())
        return
    for line in lines:
        echo(line)


def read_file(path: Path) -> bytes:
    """Return the bytes of a file.

    Raises:
        RequestError: If it can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise RequestError(f"{path}: {error.strerror}", ResultCode.NOT_FOUND) from error


def end_check(report: CheckReport, as_json: bool) -> None:
    """Print the report of a check, and end the command with the status of its worst finding."""
    show(report, report_lines(report), as_json)
    if report.errors:
        raise CommandExit(Exit.INVALID)
    if report.warnings:
        raise CommandExit(Exit.WARNINGS)


def make_change(
    daemons: Sequence[str] | None,
    client_file: Path | None,
    change: Change,
    options: ChangeOptions,
    dangerous: bool = False,
) -> None:
    """Show a change's diff, ask if it is dangerous, commit it and print where it is in force."""
    planned = run_command(daemons, client_file, lambda client: plan_change(client, change))
    for note in planned.notes:
        echo(f"note: {note}", err=True)
    if options.dry_run or not planned.diff:
        outcome = ChangeOutcome(False, planned.base_revision, planned.diff)
        show(outcome, _plan_lines(planned), options.json)
        return
    _show_diff(planned, options.json)
    if dangerous and not options.yes and not confirm("Make this change?", err=True):
        echo("comfreyhatch: not confirmed; nothing was changed", err=True)
        raise CommandExit(Exit.ABORTED)
    outcome = run_command(daemons, client_file, lambda client: _commit(client, planned, options))
    show(outcome, [_confirmations(outcome)], options.json)
    if options.wait and (outcome.unconfirmed or not outcome.confirmed):
        code = ResultCode.NOT_IN_FORCE
        echo(f"comfreyhatch: {int(code)} {code.name}", err=True)
        raise CommandExit(Exit.NOT_IN_FORCE)


async def _commit(
    client: OperatorClient, planned: PlannedChange, options: ChangeOptions
) -> ChangeOutcome:
    revision = await commit_change(client, planned, options.author or getuser())
    if not options.json:
        echo(f"accepted at revision {revision}")
        sys.stdout.flush()
    try:
        state = await await_in_force(client, revision, options.timeout_s)
    except ComfreyhatchError as error:
        echo(f"comfreyhatch: confirmations cannot be read: {error}", err=True)
        return ChangeOutcome(True, revision, planned.diff)
    return ChangeOutcome(True, revision, planned.diff, state.confirmed, state.unconfirmed)


def _show_diff(planned: PlannedChange, as_json: bool) -> None:
    for line in planned.diff:
        echo(line, err=as_json)


def _plan_lines(planned: PlannedChange) -> list[str]:
    if not planned.diff:
        return [f"nothing to change at revision {planned.base_revision}"]
    return [*planned.diff, f"dry run against revision {planned.base_revision}; nothing was changed"]


def _confirmations(outcome: ChangeOutcome) -> str:
    total = len(outcome.confirmed) + len(outcome.unconfirmed)
    text = f"in force on {len(outcome.confirmed)} of {total} instances"
    if outcome.unconfirmed:
        text += "; not confirmed: " + " ".join(outcome.unconfirmed)
    return text


def _client_settings(path: Path) -> ClientSettings:
    sections, errors = read_sections(path)
    if errors:
        raise SettingsError("\n".join(errors))
    found, problems = read_section("client", sections.get("client", {}), ClientSettings)
    if found is None:
        raise SettingsError("\n".join(f"{path}: {problem}" for problem in problems))
    return found


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise SettingsError(f"daemon {text!r}: must be of the form host:port")
    return Address(host, int(port))
