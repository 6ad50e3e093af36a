"""Commands on roll-outs that a driver carries out step by step."""

from typing import Annotated

from typer import Argument, BadParameter, Option, Typer

from comfreyhatch.cli.options import (
    ClientFileOption,
    DaemonOption,
    JsonOption,
    run_command,
    show,
)
from comfreyhatch.decisions.rollout import DEFAULT_SHARES, Rollout
from comfreyhatch.domain.version import FULL_SHARE
from comfreyhatch.porcelain.rollout import rollout_lines

app = Typer(help="Roll a version out step by step, and watch it.", no_args_is_help=True)

DEFAULT_SETTLE_S = 60.0

ModelArgument = Annotated[str, Argument(help="Name of the model, such as coach-large.")]


@app.command()
def start(
    version: Annotated[str, Argument(help="Version id to roll out, such as coach-large@3.")],
    engine: Annotated[
        list[str] | None,
        Option("--engine", help="Engine that loads it first; may be given several times."),
    ] = None,
    replaces: Annotated[str, Option(help="Version id that it takes over from.")] = "",
    shares: Annotated[
        str, Option(help="Shares of new sessions, in hundredths, separated by commas.")
    ] = ",".join(map(str, DEFAULT_SHARES)),
    settle: Annotated[
        float, Option(min=0, help="Time between two shares, in seconds.")
    ] = DEFAULT_SETTLE_S,
    unload: Annotated[
        bool, Option("--unload", help="Unload the replaced version at the end.")
    ] = False,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Start a roll-out; one daemon drives it, and another goes on if that one ends.

    Example: comfreyhatch rollout start coach-large@3 --replaces coach-large@2 --engine engine-a1
    """
    model, _, name = version.partition("@")
    if not model or not name:
        raise BadParameter(f"{version!r}: must be of the form model@name")
    rollout = Rollout(
        model,
        version,
        replaces,
        tuple(engine or ()),
        _shares(shares),
        settle,
        unload,
    )
    run_command(daemon, client_settings, lambda client: client.start_rollout(rollout))
    show(rollout, [f"roll-out of {version} started"], json)


@app.command()
def status(
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print all roll-outs and their next steps.

    Example: comfreyhatch rollout status
    """
    rollouts = run_command(daemon, client_settings, lambda client: client.rollouts())
    show(rollouts, rollout_lines(rollouts), json)


@app.command()
def halt(
    model: ModelArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Halt a roll-out; the step under way is finished first.

    Example: comfreyhatch rollout halt coach-large
    """
    rollout = run_command(daemon, client_settings, lambda client: client.halt_rollout(model, True))
    show(rollout, rollout_lines([rollout]), json)


@app.command()
def resume(
    model: ModelArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Let a halted roll-out go on.

    Example: comfreyhatch rollout resume coach-large
    """
    rollout = run_command(daemon, client_settings, lambda client: client.halt_rollout(model, False))
    show(rollout, rollout_lines([rollout]), json)


def _shares(text: str) -> tuple[int, ...]:
    words = text.split(",")
    if not all(word.strip().isdecimal() for word in words):
        raise BadParameter(f"--shares {text!r}: must be integers separated by commas")
    shares = tuple(int(word) for word in words)
    if list(shares) != sorted(set(shares)) or shares[-1] > FULL_SHARE:
        raise BadParameter(f"--shares {text!r}: must rise, up to {FULL_SHARE}")
    return shares
