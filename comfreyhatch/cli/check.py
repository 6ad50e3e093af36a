"""Commands that check files and print examples; they ask no daemon."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Option, Typer, echo

from comfreyhatch.adapters.contract_file import load_contract
from comfreyhatch.adapters.settings import load_settings, settings_example
from comfreyhatch.cli.options import JsonOption, checked, end_check, read_file
from comfreyhatch.decisions.catalog_check import catalog_findings
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.errors import RequestError
from comfreyhatch.platform.documents import decode_catalog, document_findings
from comfreyhatch.platform.settings import load_deployment
from comfreyhatch.porcelain.check import check_report, diff_catalogs

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


@check_app.command("document")
def check_document(
    file: Annotated[Path, Argument(help="Configuration document of the platform, as JSON.")],
    in_force: Annotated[Path | None, Option(help="Document in force, to compare with.")] = None,
    json: JsonOption = False,
) -> None:
    """Check a configuration document of the users' platform against the one in force.

    Example: comfreyhatch check document config.json --in-force config-12.json
    """
    value = checked(lambda: read_file(file))
    held: Catalog | None = None
    if in_force is not None:
        path = in_force
        held = checked(lambda: _read_catalog(path))
    catalog = decode_catalog(value)
    findings = document_findings(value)
    differences: tuple[str, ...] = ()
    if catalog is not None:
        findings += catalog_findings(catalog, held)
        differences = diff_catalogs(held, catalog) if held else ()
    end_check(check_report(findings, differences, held.version if held else None), json)


def _read_catalog(path: Path) -> Catalog:
    """Read the document in force.

    Raises:
        RequestError: If it can't be read.
    """
    value = read_file(path)
    catalog = decode_catalog(value)
    if catalog is None:
        problems = "; ".join(finding.message for finding in document_findings(value))
        raise RequestError(f"{path}: {problems}")
    return catalog


@settings_app.command("example")
def example() -> None:
    """Print a commented settings file.

    Example: comfreyhatch settings example > daemon.ini
    """
    echo(settings_example(), nl=False)
