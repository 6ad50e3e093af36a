"""Commands that make a change, with the options that all of them have."""

from collections.abc import Callable
from inspect import Parameter, Signature, signature
from typing import Any

from typer import Typer

from comfreyhatch.cli.options import (
    AuthorOption,
    ChangeOptions,
    ClientFileOption,
    DaemonOption,
    DryRunOption,
    JsonOption,
    TimeoutOption,
    WaitOption,
    YesOption,
    make_change,
)
from comfreyhatch.domain.change import Change
from comfreyhatch.porcelain.changes import CONFIRM_TIMEOUT_S

ChangeBuilder = Callable[..., Change]


def change_command(
    app: Typer, name: str, dangerous: bool = False
) -> Callable[[ChangeBuilder], ChangeBuilder]:
    """Return a decorator that makes a command of a function that returns a change.

    The command has the parameters of the function and the options of all changes; its help is the
    function's docstring.

    Args:
        app: The commands to which it is added.
        name: Name of the command.
        dangerous: Whether it asks for confirmation.
    """

    def register(build: ChangeBuilder) -> ChangeBuilder:
        own = signature(build).parameters

        def command(**arguments: Any) -> None:
            change = build(**{key: arguments.pop(key) for key in own})
            _make(change, dangerous, **arguments)

        shared = list(signature(_make).parameters.values())[2:]
        _describe(command, [*own.values(), *shared], build.__doc__)
        app.command(name)(command)
        return build

    return register


def _describe(command: Callable[..., None], parameters: list[Parameter], text: str | None) -> None:
    """Give a function the parameters and the docstring from which its command is made."""
    command.__doc__ = text
    command.__annotations__ = {found.name: found.annotation for found in parameters}
    command.__signature__ = Signature(parameters)  # type: ignore[attr-defined]


def _make(
    change: Change,
    dangerous: bool,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, change, options, dangerous=dangerous)
