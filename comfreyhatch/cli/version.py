"""Commands on versions."""

from typing import Annotated

from typer import Argument, BadParameter, Option, Typer

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
from comfreyhatch.domain.change import DrainVersion, SetShare, SetVersion, WithdrawVersion
from comfreyhatch.domain.version import FULL_SHARE, Version
from comfreyhatch.porcelain.changes import CONFIRM_TIMEOUT_S

app = Typer(help="Declare versions, roll them out and withdraw them.", no_args_is_help=True)

VersionArgument = Annotated[str, Argument(help="Version id, such as coach-large@3.")]


@app.command()
def declare(
    version: VersionArgument,
    input_price: Annotated[int, Option(min=0, help="Micros for 1,000 prompt tokens.")],
    output_price: Annotated[int, Option(min=0, help="Micros for 1,000 generated tokens.")],
    replaces: Annotated[str, Option(help="Version id that it takes over from.")] = "",
    share: Annotated[
        int, Option(min=0, max=FULL_SHARE, help="Share of new sessions, in hundredths.")
    ] = FULL_SHARE,
    prior_quality: Annotated[
        float, Option(min=0, max=1, help="Expected rating before any is known.")
    ] = 0.5,
    trial: Annotated[
        int, Option(min=0, help="Raise it to end a quarantine and begin the test anew.")
    ] = 0,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Declare a version, new or replaced.

    Example: comfreyhatch version declare coach-large@3 --input-price 900 --output-price 3600
    --replaces coach-large@2 --share 0
    """
    model, _, name = version.partition("@")
    if not model or not name:
        raise BadParameter(f"{version!r}: must be of the form model@name")
    declared = Version(
        model,
        name,
        input_price,
        output_price,
        share=share,
        replaces=replaces,
        prior_quality=prior_quality,
        trial=trial,
    )
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetVersion(declared), options)


@app.command("roll-out")
def roll_out(
    version: VersionArgument,
    share: Annotated[
        int, Option(min=0, max=FULL_SHARE, help="Share of new sessions, in hundredths.")
    ] = FULL_SHARE,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Set a version's share of its model's new sessions.

    Example: comfreyhatch version roll-out coach-large@3 --share 10 --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetShare(version, share), options)


@app.command()
def drain(
    version: VersionArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """End new sessions on a version; running sessions stay.

    Example: comfreyhatch version drain coach-large@2 --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, DrainVersion(version), options)


@app.command()
def withdraw(
    version: VersionArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """End all new work on a version; sessions on it are refused or moved.

    Example: comfreyhatch version withdraw coach-large@2 --yes --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, WithdrawVersion(version), options, dangerous=True)
