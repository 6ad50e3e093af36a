"""Commands that take availability zones and endpoints out of service and back in."""

from typing import Annotated

from typer import Argument, Typer

from comfreyhatch.cli.change_command import change_command
from comfreyhatch.domain.change import SetEndpoint, SetZone

zone_app = Typer(help="Take availability zones out of service and back in.", no_args_is_help=True)
endpoint_app = Typer(help="Take endpoints out of service and back in.", no_args_is_help=True)

ZoneArgument = Annotated[str, Argument(help="Availability zone.")]
EndpointArgument = Annotated[str, Argument(help="Instance id of the endpoint.")]


@change_command(zone_app, "out", dangerous=True)
def zone_out(zone: ZoneArgument) -> SetZone:
    """Take an availability zone out of service; it gets no new work.

    Example: comfreyhatch zone out bkk-2 --yes --wait
    """
    return SetZone(zone, True)


@change_command(zone_app, "in")
def zone_in(zone: ZoneArgument) -> SetZone:
    """Bring an availability zone back into service.

    Example: comfreyhatch zone in bkk-2 --wait
    """
    return SetZone(zone, False)


@change_command(endpoint_app, "out", dangerous=True)
def endpoint_out(endpoint: EndpointArgument) -> SetEndpoint:
    """Take an endpoint out of service; it gets no new work.

    Example: comfreyhatch endpoint out engine-7 --yes --wait
    """
    return SetEndpoint(endpoint, True)


@change_command(endpoint_app, "in")
def endpoint_in(endpoint: EndpointArgument) -> SetEndpoint:
    """Bring an endpoint back into service.

    Example: comfreyhatch endpoint in engine-7 --wait
    """
    return SetEndpoint(endpoint, False)
