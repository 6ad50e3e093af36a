"""Commands that report on requests: status, explanations, bills and burn."""

import re
from pathlib import Path
from time import time
from typing import Annotated

from typer import Argument, BadParameter, Option, Typer

from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.cli.options import (
    ClientFileOption,
    DaemonOption,
    JsonOption,
    checked,
    run_command,
    show,
)
from comfreyhatch.decisions.burn import BurnCount, BurnReport, burn_report
from comfreyhatch.errors import RequestError
from comfreyhatch.porcelain.bills import bill_lines
from comfreyhatch.porcelain.burn_text import burn_lines, plot_burn
from comfreyhatch.porcelain.explain import explain_lines, group_lines, group_records
from comfreyhatch.porcelain.status import status_lines

app = Typer(help="Reports.", no_args_is_help=True)

SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
DURATION = re.compile(r"^(\d+)([smhd])$")
DEFAULT_BURN_PERIOD = "6h"

SinceOption = Annotated[str, Option("--since", help="Period up to now, such as 30m, 1h or 7d.")]
CustomerOption = Annotated[str, Option("--customer", help="Name of the customer; all if empty.")]


def period_s(text: str) -> int:
    """Return a duration such as 30m in seconds.

    Raises:
        BadParameter: If it is malformed.
    """
    match = DURATION.match(text)
    if not match:
        raise BadParameter(f"--since {text!r}: must be a number and s, m, h or d, such as 30m")
    return int(match[1]) * SECONDS_BY_UNIT[match[2]]


def status(
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print the fleet on one screen, as the daemon sees it.

    Example: comfreyhatch status --daemon 10.0.0.1:9100
    """
    state = run_command(daemon, client_settings, lambda client: client.state())
    show(state, status_lines(state), json)


def explain(
    request_id: Annotated[str, Argument(help="Request id; leave out with --customer.")] = "",
    customer: CustomerOption = "",
    since: SinceOption = "1h",
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print why a request went where it did, or group a customer's requests.

    Example: comfreyhatch explain d-1.18f3a.42

    Example: comfreyhatch explain --customer trackline --since 1h
    """
    if request_id:
        record = run_command(daemon, client_settings, lambda client: client.explain(request_id))
        show(record, explain_lines(record), json)
        return
    if not customer:
        raise BadParameter("give a request id or --customer")
    start = time() - period_s(since)
    records = run_command(daemon, client_settings, lambda client: client.records(customer, start))
    groups = group_records(records)
    show(groups, group_lines(groups), json)


def bills(
    customer: CustomerOption = "",
    since: SinceOption = "1d",
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print what customers owe, by day and version.

    Example: comfreyhatch bills --since 30d --json
    """
    start = time() - period_s(since)
    found = run_command(daemon, client_settings, lambda client: client.bills(customer, start))
    show(found.bills, bill_lines(found), json)


@app.command()
def burn(
    since: SinceOption = DEFAULT_BURN_PERIOD,
    plot: Annotated[Path | None, Option(help="Write a plot to this file; .svg or .png.")] = None,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print error budgets left, how fast they burn and what burns them.

    Example: comfreyhatch report burn --since 6h --plot burn.svg
    """
    if plot and plot.suffix not in (".svg", ".png"):
        raise BadParameter(f"--plot {plot}: must end with .svg or .png")
    now = time()
    start = now - period_s(since)

    async def read(client: OperatorClient) -> tuple[list[BurnCount], BurnReport]:
        counts = await client.burn_counts(start, now)
        contracts = (await client.config()).contract_by_customer
        return counts, burn_report(counts, contracts, start, now)

    counts, report = run_command(daemon, client_settings, read)
    show(report, burn_lines(report), json)
    if plot:
        checked(lambda: _write_plot(counts, report, plot))


def _write_plot(counts: list[BurnCount], report: BurnReport, path: Path) -> None:
    try:
        plot_burn(counts, report, path)
    except OSError as error:
        raise RequestError(f"{path}: cannot be written: {error.strerror}") from error
