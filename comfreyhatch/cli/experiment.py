"""Commands that replay load patterns against the decisions."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, Typer, echo

from comfreyhatch.emulator.experiment import load_experiment, result_lines, run_experiment
from comfreyhatch.errors import SettingsError

EXIT_SETTINGS = 2

app = Typer(help="Replay load patterns on emulated engines.", no_args_is_help=True)


@app.callback()
def experiments() -> None:
    """Replay load patterns on emulated engines."""


@app.command()
def run(file: Annotated[Path, Argument(help="INI file of the experiment.")]) -> None:
    """Run an experiment and print what each policy gives its callers.

    Example: comfreyhatch experiment run bench/experiments/long-prompts.ini
    """
    try:
        experiment = load_experiment(file)
    except SettingsError as error:
        echo(f"{int(error.code)} {error.code.name}: {error}", err=True)
        raise Exit(EXIT_SETTINGS) from error
    for line in result_lines(run_experiment(experiment)):
        echo(line)
