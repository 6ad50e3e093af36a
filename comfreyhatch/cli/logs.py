"""Commands that read the logs of daemons."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, Typer, echo, get_text_stream

from comfreyhatch.porcelain.log_story import story_lines, summary_lines

EXIT_NOT_READ = 1

app = Typer(help="Read the logs of daemons.", no_args_is_help=True)

FilesArgument = Annotated[
    list[Path] | None, Argument(help="Log files of all instances; standard input without any.")
]


@app.command()
def explain(
    request_id: Annotated[str, Argument(help="Id of the request.")],
    files: FilesArgument = None,
) -> None:
    """Tell what happened to a request, and why.

    Example: comfreyhatch logs explain 9c41d07be2a35f68 front-1.log front-2.log
    """
    for line in story_lines(_lines(files), request_id):
        echo(line)


@app.command()
def summary(files: FilesArgument = None) -> None:
    """Group the requests that were not served by cause.

    Example: comfreyhatch logs summary front-1.log front-2.log
    """
    for line in summary_lines(_lines(files)):
        echo(line)


def _lines(files: list[Path] | None) -> Iterator[str]:
    if not files:
        yield from get_text_stream("stdin")
        return
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="backslashreplace") as file:
                yield from file
        except OSError as error:
            echo(f"{path}: cannot be read: {error.strerror}", err=True)
            raise Exit(EXIT_NOT_READ) from error
