"""The operators' command line."""

import asyncio

from typer import Typer

from comfreyhatch.cli.demo import run_demo

app = Typer(help="Operate a fleet of comfreyhatch.", no_args_is_help=True)


@app.callback()
def _root() -> None:
    """Operate a fleet of comfreyhatch."""


@app.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins, print what happened, and end."""
    asyncio.run(run_demo())


if __name__ == "__main__":
    app()
