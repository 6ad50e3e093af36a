"""Command that sums the usage stored on the users' platform."""

import asyncio
from collections.abc import Iterable
from typing import Annotated

from typer import Argument, BadParameter, Exit, echo

from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.usage import MICROS_PER_UNIT, UsageBatch, UsageKey, UsageTotals
from comfreyhatch.errors import PlatformError
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient

EXIT_PLATFORM = 4


def usage(store: Annotated[str, Argument(help="Address of the store, HOST:PORT.")]) -> None:
    """Print what each workspace has used, summed over all daemons.

    Example: comfreyhatch usage 10.200.1.7:8223
    """
    host, _, port = store.rpartition(":")
    if not host or not port.isdecimal():
        raise BadParameter(f"{store!r}: must be HOST:PORT")
    try:
        batches = asyncio.run(_batches(Address(host, int(port))))
    except PlatformError as error:
        echo(f"{int(error.code)} {error.code.name}: {error}", err=True)
        raise Exit(EXIT_PLATFORM) from error
    for line in usage_lines(batches):
        echo(line)


def usage_lines(batches: Iterable[UsageBatch]) -> list[str]:
    """Return a table of usage by workspace, service and model."""
    sum_by_key: dict[UsageKey, UsageTotals] = {}
    for batch in batches:
        for line in batch.lines:
            sum_by_key[line.key] = sum_by_key.get(line.key, UsageTotals()).plus(line.usage)
    lines = [
        f"{'workspace':16} {'service':16} {'model':16} {'requests':>9} {'read':>12} {'made':>12}"
        f" {'cost':>12}"
    ]
    for key, found in sorted(sum_by_key.items()):
        lines.append(
            f"{key.workspace:16} {key.service:16} {key.model:16} {found.requests:9}"
            f" {found.prompt_tokens:12} {found.output_tokens:12}"
            f" {found.cost_micros / MICROS_PER_UNIT:12.6f}"
        )
    return lines


async def _batches(address: Address) -> list[UsageBatch]:
    client = StoreClient(address)
    try:
        return await StoreDirectory(client).usage()
    finally:
        client.close()
