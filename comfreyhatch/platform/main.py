"""Runs the daemon on the users' platform."""

import asyncio
import logging
import signal
import socket
import sys
from pathlib import Path
from random import Random
from time import monotonic

from comfreyhatch.adapters.event_loop import new_event_loop
from comfreyhatch.adapters.log_output import NonBlockingOutput, VolumeLimit
from comfreyhatch.adapters.logs import ROOT_LOGGER, set_up_logs
from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.usage import new_run
from comfreyhatch.errors import ListenError, SettingsError
from comfreyhatch.exchange.daemon import ExchangeDaemon
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.header_codec import PlatformHeaderCodec
from comfreyhatch.platform.held_signals import release_signals
from comfreyhatch.platform.setting_lines import settings_path
from comfreyhatch.platform.settings import load_deployment
from comfreyhatch.platform.store import StoreClient

METRICS_PORT = 9464
# Events that explain failed requests; the volume limit of the log never drops them.
ALWAYS_LOGGED = frozenset({"refused", "stream_cut", "attempt_failed", "abandoned"})
EXIT_INVALID_SETTINGS = 2
EXIT_LISTEN_FAILED = 3

log = logging.getLogger("comfreyhatch.main")


async def serve(
    deployment: Deployment, settings: Path, listener: socket.socket | None = None
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Args:
        deployment: Settings read at start-up.
        settings: Path of the settings file, which is read again on SIGHUP.
        listener: Socket that already listens on the callers' address; None to open one.
    """
    store = StoreClient(deployment.store)
    directory = StoreDirectory(store)
    rng = Random(deployment.instance)
    # An earlier run may have used this daemon's slack until just now.
    slack_from = monotonic() + deployment.bounds.retry_window_s
    daemon = ExchangeDaemon(
        deployment, directory, PlatformHeaderCodec(), rng, new_run(), slack_from
    )
    add_gauge(daemon.registry, "store_calls", "Calls to the store.", lambda: store.calls)
    add_gauge(
        daemon.registry, "store_bytes_read", "Bytes of its answers.", lambda: store.bytes_read
    )
    add_gauge(
        daemon.registry, "store_unanswered", "Calls without an answer.", lambda: store.unanswered
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings, deployment)
    release_signals()
    await daemon.start(Address(deployment.callers.host, METRICS_PORT), listener)
    await stopping.wait()
    await daemon.shut_down()
    store.close()


def _reload(settings: Path, deployment: Deployment) -> None:
    """Check the settings file again and log which settings differ; they apply after a restart."""
    try:
        reloaded = load_deployment(settings)
    except SettingsError as error:
        log.error("event=reload_failed reason=%r", str(error))
        return
    changed = [
        f for f in Deployment.__struct_fields__ if getattr(reloaded, f) != getattr(deployment, f)
    ]
    log.info("event=reloaded changed=%s", ",".join(changed) or "nothing")


def set_up_bounded_logs(descriptor: int) -> None:
    """Log to a file descriptor without blocking and with a limited volume."""
    output = NonBlockingOutput(descriptor)
    set_up_logs("keyvalue", "info", output)
    limit = VolumeLimit(monotonic, ALWAYS_LOGGED)
    for handler in logging.getLogger(ROOT_LOGGER).handlers:
        handler.addFilter(limit)


def main(listener: socket.socket | None = None) -> None:
    """Read the settings and run the daemon.

    Args:
        listener: Socket that already listens on the callers' address; None to open one.
    """
    settings = Path(settings_path())
    set_up_bounded_logs(sys.stdout.fileno())
    try:
        deployment = load_deployment(settings)
    except SettingsError as error:
        print(f"comfreyhatch: {int(error.code)} {error.code.name}\n{error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(serve(deployment, settings, listener))
    except ListenError as error:
        log.error("event=start_failed code=%d reason=%r", error.code, str(error))
        raise SystemExit(EXIT_LISTEN_FAILED) from error


if __name__ == "__main__":
    main()
