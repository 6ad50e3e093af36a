"""Stand-ins as a process of their own, to try a fleet by hand."""

import asyncio
import signal
from typing import Annotated

from typer import BadParameter, Option, run

from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.standins.engine import EngineStandin
from comfreyhatch.standins.platform import PlatformStandin
from comfreyhatch.standins.service import ServiceStandin

HOST = "127.0.0.1"


def serve(
    versions: Annotated[
        list[str], Option(help="Version id that the engines load, such as coach-small@1.")
    ],
    engine_zone: Annotated[list[str], Option(help="Zone of an engine; one option an engine.")],
    service: Annotated[
        list[str], Option(help="Plain service as name:zone; one option an endpoint.")
    ] = [],  # noqa: B006
    port: Annotated[int, Option(help="Port of the platform.")] = 7000,
    quality: Annotated[
        list[str], Option(help="Quality of a version's answers, as version=0.9.")
    ] = [],  # noqa: B006
) -> None:
    """Run a platform, engines and plain services on loopback until SIGTERM."""
    quality_by_version = dict(_quality(text) for text in quality)
    asyncio.run(_serve(port, tuple(versions), engine_zone, service, quality_by_version))


def _quality(text: str) -> tuple[str, float]:
    version_id, _, number = text.partition("=")
    try:
        return version_id, float(number)
    except ValueError:
        raise BadParameter(f"{text!r} is not version=number") from None


async def _serve(
    port: int,
    versions: tuple[str, ...],
    engine_zones: list[str],
    services: list[str],
    quality_by_version: dict[str, float],
) -> None:
    platform = PlatformStandin(HOST, port)
    print(f"platform={await platform.start()} switches={platform.switch_address}", flush=True)
    parts: list[EngineStandin | ServiceStandin] = []
    for number, zone in enumerate(engine_zones):
        instance = Instance(f"engine-{zone}{number}", Role.ENGINE, zone, Address(HOST, 0))
        engine = EngineStandin(
            instance, versions, seed=number, quality_by_version=quality_by_version
        )
        parts.append(engine)
    for number, text in enumerate(services):
        name, _, zone = text.partition(":")
        instance = Instance(
            f"service-{zone}{number}", Role.SERVICE, zone, Address(HOST, 0), service=name
        )
        parts.append(ServiceStandin(instance))
    for part in parts:
        await part.start()
        platform.put_instance(part.instance)
        shown = part.instance
        print(f"{shown.instance_id}={shown.address} switches={part.switch_address}", flush=True)
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    for part in parts:
        await part.stop()
    await platform.stop()


def main() -> None:
    """Run the command line of the stand-ins."""
    run(serve)


if __name__ == "__main__":
    main()
