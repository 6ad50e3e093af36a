"""Commands on the configuration as a whole."""

from typing import Annotated

from typer import Argument, Option, Typer
from typer import Exit as CommandExit

from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.cli.exits import Exit
from comfreyhatch.cli.options import (
    ClientFileOption,
    DaemonOption,
    JsonOption,
    run_command,
    show,
)
from comfreyhatch.porcelain.changes import diff_configs
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
