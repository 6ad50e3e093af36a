"""The operators' command line."""

import asyncio

from typer import Typer

from comfreyhatch.cli.check import check_app, settings_app
from comfreyhatch.cli.config import app as config_app
from comfreyhatch.cli.contract import app as contract_app
from comfreyhatch.cli.experiment import app as experiment_app
from comfreyhatch.cli.logs import app as logs_app
from comfreyhatch.cli.report import app as report_app
from comfreyhatch.cli.report import bills, explain, status
from comfreyhatch.cli.rollout import app as rollout_app
from comfreyhatch.cli.service import endpoint_app, zone_app
from comfreyhatch.cli.usage import usage
from comfreyhatch.cli.version import app as version_app

app = Typer(
    help="Operate a fleet of comfreyhatch. Exit statuses are listed in docs/RESULT-CODES.md.",
    no_args_is_help=True,
)
app.add_typer(contract_app, name="contract")
app.add_typer(version_app, name="version")
app.add_typer(rollout_app, name="rollout")
app.add_typer(zone_app, name="zone")
app.add_typer(endpoint_app, name="endpoint")
app.add_typer(config_app, name="config")
app.add_typer(report_app, name="report")
app.add_typer(logs_app, name="logs")
app.add_typer(experiment_app, name="experiment")
app.add_typer(check_app, name="check")
app.add_typer(settings_app, name="settings")
app.command()(status)
app.command()(explain)
app.command()(bills)
app.command()(usage)


@app.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins, print what happened, and end.

    Example: comfreyhatch demo
    """
    # Loading the daemon takes longer than most commands run.
    from comfreyhatch.cli.demo import run_demo

    asyncio.run(run_demo())


if __name__ == "__main__":
    app()
