"""Entry point of the daemon process."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

from typer import Option, run

from comfreyhatch.adapters.event_loop import new_event_loop
from comfreyhatch.adapters.logs import set_up_logs
from comfreyhatch.adapters.settings import Settings, accepted_fleet_keys, fleet_key, load_settings
from comfreyhatch.daemon.daemon import Daemon
from comfreyhatch.errors import ListenError, SettingsError

EXIT_INVALID_SETTINGS = 2
EXIT_LISTEN_FAILED = 3


def serve(
    settings: Annotated[Path, Option(help="INI file with the settings.")],
) -> None:
    """Run a daemon of comfreyhatch until SIGTERM."""
    try:
        loaded = load_settings(settings)
        keys = (fleet_key(loaded.fleet), *accepted_fleet_keys(loaded.fleet))
    except SettingsError as error:
        print(f"comfreyhatchd: {int(error.code)} {error.code.name}\n{error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    set_up_logs(loaded.logs.format, loaded.logs.level)
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(_serve(loaded, keys))
    except ListenError as error:
        print(f"comfreyhatchd: {int(error.code)} {error.code.name}\n{error}", file=sys.stderr)
        raise SystemExit(EXIT_LISTEN_FAILED) from error


async def _serve(settings: Settings, keys: tuple[bytes, ...]) -> None:
    daemon = Daemon(settings, keys[0], accepted_keys=keys[1:])
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    await daemon.shut_down()


def main() -> None:
    """Parse the command line and run the daemon."""
    run(serve)


if __name__ == "__main__":
    main()
