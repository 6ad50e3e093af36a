"""Commands that take availability zones and endpoints out of service and back in."""

from typing import Annotated

from typer import Argument, Typer

from comfreyhatch.cli.options import (
    AuthorOption,
    ChangeOptions,
    ClientFileOption,
    DaemonOption,
    DryRunOption,
    JsonOption,
    TimeoutOption,
    WaitOption,
    YesOption,
    make_change,
)
from comfreyhatch.domain.change import SetEndpoint, SetZone
from comfreyhatch.porcelain.changes import CONFIRM_TIMEOUT_S

zone_app = Typer(help="Take availability zones out of service and back in.", no_args_is_help=True)
endpoint_app = Typer(help="Take endpoints out of service and back in.", no_args_is_help=True)

ZoneArgument = Annotated[str, Argument(help="Availability zone.")]
EndpointArgument = Annotated[str, Argument(help="Instance id of the endpoint.")]


@zone_app.command("out")
def zone_out(
    zone: ZoneArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Take an availability zone out of service; it gets no new work.

    Example: comfreyhatch zone out bkk-2 --yes --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetZone(zone, True), options, dangerous=True)


@zone_app.command("in")
def zone_in(
    zone: ZoneArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Bring an availability zone back into service.

    Example: comfreyhatch zone in bkk-2 --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetZone(zone, False), options)


@endpoint_app.command("out")
def endpoint_out(
    endpoint: EndpointArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Take an endpoint out of service; it gets no new work.

    Example: comfreyhatch endpoint out engine-7 --yes --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetEndpoint(endpoint, True), options, dangerous=True)


@endpoint_app.command("in")
def endpoint_in(
    endpoint: EndpointArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    dry_run: DryRunOption = False,
    yes: YesOption = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = CONFIRM_TIMEOUT_S,
    author: AuthorOption = "",
    json: JsonOption = False,
) -> None:
    """Bring an endpoint back into service.

    Example: comfreyhatch endpoint in engine-7 --wait
    """
    options = ChangeOptions(dry_run, yes, wait, timeout, author, json)
    make_change(daemon, client_settings, SetEndpoint(endpoint, False), options)
