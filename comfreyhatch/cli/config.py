"""Commands on the configuration as a whole."""

from pathlib import Path
from typing import Annotated

from msgspec import DecodeError, ValidationError
from msgspec.json import decode
from typer import Argument, Option, Typer
from typer import Exit as CommandExit

from comfreyhatch.adapters.contract_file import read_contract
from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.cli.exits import Exit
from comfreyhatch.cli.options import (
    ClientFileOption,
    DaemonOption,
    JsonOption,
    checked,
    end_check,
    read_file,
    run_command,
    show,
)
from comfreyhatch.decisions.contract_check import contract_findings, with_contracts
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.finding import Finding, FindingCode
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ContractError
from comfreyhatch.porcelain.changes import diff_configs
from comfreyhatch.porcelain.check import check_report
from comfreyhatch.porcelain.history import history_lines
from comfreyhatch.ports.operators import InForce

app = Typer(help="Read the configuration and its history.", no_args_is_help=True)


@app.command()
def status(
    revision: Annotated[int, Option(min=0, help="Revision; the one in force if 0.")] = 0,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print on which instances a revision is in force; fails if one has not confirmed it.

    Example: comfreyhatch config status --revision 12
    """

    async def read(client: OperatorClient) -> InForce:
        wanted = revision or (await client.config()).revision
        return await client.in_force(wanted)

    state = run_command(daemon, client_settings, read)
    total = len(state.confirmed) + len(state.unconfirmed)
    lines = [f"revision {state.revision} in force on {len(state.confirmed)} of {total} instances"]
    if state.unconfirmed:
        lines.append("not confirmed: " + " ".join(state.unconfirmed))
    show(state, lines, json)
    if state.unconfirmed:
        raise CommandExit(Exit.NOT_IN_FORCE)


@app.command("show")
def show_config(
    revision: Annotated[int, Option(min=0, help="Revision; the one in force if 0.")] = 0,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
) -> None:
    """Print a revision as JSON.

    Example: comfreyhatch config show > in-force.json
    """
    config = run_command(daemon, client_settings, lambda client: client.config(revision))
    show(config, (), as_json=True)


@app.command()
def check(
    files: Annotated[list[Path], Argument(help="Contracts as INI files.")],
    in_force: Annotated[
        Path | None,
        Option(help="Compare with this output of `config show`, and ask no daemon."),
    ] = None,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Check contracts together against the configuration in force; changes nothing.

    Example: comfreyhatch config check trackline.ini keepers.ini
    """
    if in_force is not None:
        path = in_force
        config = checked(lambda: _read_config(path))
    else:
        config = run_command(daemon, client_settings, lambda client: client.config())
    contracts: list[Contract] = []
    findings: list[Finding] = []
    for file in files:
        try:
            contracts.append(read_contract(file))
        except ContractError as error:
            where = f"file {file}"
            lines = str(error).splitlines()
            findings += [Finding(FindingCode.UNREADABLE, where, line) for line in lines]
    findings += contract_findings(contracts, config)
    differences = diff_configs(config, with_contracts(config, contracts))
    end_check(check_report(findings, differences, config.revision), json)


@app.command()
def history(
    limit: Annotated[int, Option(min=1, max=1000, help="Number of changes.")] = 20,
    after: Annotated[
        int | None, Option(min=0, help="Print changes that follow this revision.")
    ] = None,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print the newest changes of the configuration.

    Example: comfreyhatch config history --limit 50
    """
    records = run_command(daemon, client_settings, lambda client: client.history(after, limit))
    show(records, history_lines(records), json)


@app.command()
def diff(
    old: Annotated[int, Argument(min=1, help="Older revision.")],
    new: Annotated[int, Argument(min=0, help="Newer revision; the one in force if 0.")] = 0,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print what differs between two revisions.

    Example: comfreyhatch config diff 12 15
    """

    async def read(client: OperatorClient) -> tuple[str, ...]:
        return diff_configs(await client.config(old), await client.config(new))

    lines = run_command(daemon, client_settings, read)
    show(lines, lines, json)


def _read_config(path: Path) -> FleetConfig:
    """Read a configuration as JSON.

    Raises:
        ContractError: If it can't be read.
    """
    try:
        return decode(read_file(path), type=FleetConfig)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise ContractError(f"{path}: {error}") from error
