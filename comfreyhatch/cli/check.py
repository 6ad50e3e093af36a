"""Commands that check files and print examples; they ask no daemon."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Typer, echo

from comfreyhatch.adapters.contract_file import load_contract
from comfreyhatch.adapters.settings import load_settings, settings_example
from comfreyhatch.cli.options import checked
from comfreyhatch.platform.settings import load_deployment

check_app = Typer(help="Check files before they are used.", no_args_is_help=True)
settings_app = Typer(help="Settings of the daemon.", no_args_is_help=True)

FileArgument = Annotated[Path, Argument(help="INI file.")]


@check_app.command("settings")
def check_settings(file: FileArgument) -> None:
    """Check a daemon's settings file; prints all errors.

    Example: comfreyhatch check settings daemon.ini
    """
    checked(lambda: load_settings(file))
    echo(f"{file}: no errors")


@check_app.command("contract")
def check_contract(file: FileArgument) -> None:
    """Check a contract file; prints all errors.

    Example: comfreyhatch check contract trackline.ini
    """
    contract = checked(lambda: load_contract(file))
    echo(f"{file}: no errors; customer {contract.customer}")


@check_app.command("deployment")
def check_deployment(
    file: Annotated[Path, Argument(help="Settings file of the platform.")],
) -> None:
    """Check the settings file that the users' platform lays on an instance; prints all errors.

    Example: comfreyhatch check deployment /etc/comfreyhatch/local.conf
    """
    deployment = checked(lambda: load_deployment(file))
    echo(f"{file}: no errors; instance {deployment.instance} in zone {deployment.zone}")


@settings_app.command("example")
def example() -> None:
    """Print a commented settings file.

    Example: comfreyhatch settings example > daemon.ini
    """
    echo(settings_example(), nl=False)
