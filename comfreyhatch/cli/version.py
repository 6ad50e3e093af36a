"""Commands on versions."""

from typing import Annotated

from typer import Argument, BadParameter, Option, Typer

from comfreyhatch.cli.change_command import change_command
from comfreyhatch.domain.change import DrainVersion, SetShare, SetVersion, WithdrawVersion
from comfreyhatch.domain.version import FULL_SHARE, Version

app = Typer(help="Declare versions, roll them out and withdraw them.", no_args_is_help=True)

VersionArgument = Annotated[str, Argument(help="Version id, such as coach-large@3.")]


@change_command(app, "declare")
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
) -> SetVersion:
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
    return SetVersion(declared)


@change_command(app, "roll-out")
def roll_out(
    version: VersionArgument,
    share: Annotated[
        int, Option(min=0, max=FULL_SHARE, help="Share of new sessions, in hundredths.")
    ] = FULL_SHARE,
) -> SetShare:
    """Set a version's share of its model's new sessions.

    Example: comfreyhatch version roll-out coach-large@3 --share 10 --wait
    """
    return SetShare(version, share)


@change_command(app, "drain")
def drain(version: VersionArgument) -> DrainVersion:
    """End new sessions on a version; running sessions stay.

    Example: comfreyhatch version drain coach-large@2 --wait
    """
    return DrainVersion(version)


@change_command(app, "withdraw", dangerous=True)
def withdraw(version: VersionArgument) -> WithdrawVersion:
    """End all new work on a version; sessions on it are refused or moved.

    Example: comfreyhatch version withdraw coach-large@2 --yes --wait
    """
    return WithdrawVersion(version)
