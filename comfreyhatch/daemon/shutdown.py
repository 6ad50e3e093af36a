"""Graceful shutdown of a daemon: fail readiness, finish requests, flush, leave the peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.settings import ShutdownSettings
from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.membership import Membership

FLUSH_TIMEOUT_S = 10.0
ANNOUNCE_TIMEOUT_S = 2.0
DEPARTURE_SEND_WAIT_S = 0.05

log = logging.getLogger("comfreyhatch.shutdown")


class Shutdown:
    """Runs the steps of a graceful shutdown in order.

    Attributes:
        leaving: Whether the shutdown has begun.
    """

    def __init__(
        self,
        settings: ShutdownSettings,
        membership: Membership,
        directory: InstanceDirectory,
        servers: tuple[HttpServer, ...],
    ) -> None:
        """Create the shutdown of a daemon.

        Args:
            settings: Time for the balancer to react and grace period of running requests.
            membership: Announces the departure to the peers.
            directory: Announces the departure to the platform's instance list.
            servers: Listeners for requests, in the order in which they are stopped: callers first,
                then forwarded requests.
        """
        self.leaving = False
        self._settings = settings
        self._membership = membership
        self._directory = directory
        self._servers = servers
        self._flushes: list[Callable[[], Awaitable[object]]] = []

    def on_flush(self, flush: Callable[[], Awaitable[object]]) -> None:
        """Register a function that is awaited after the last request and before leaving the peers.

        Flushes run in the order of their registration; a failed one doesn't stop the shutdown.
        """
        self._flushes.append(flush)

    async def run(self) -> None:
        """Announce the departure, wait for the balancer to stop sending, then finish."""
        await self.leave()
        await asyncio.sleep(self._settings.balancer_s)
        await self.finish()

    async def leave(self) -> None:
        """Fail readiness and announce the departure to peers and instance list.

        Requests are still served.
        """
        self.leaving = True
        for server in self._servers:
            server.drain()
        log.info("event=leaving balancer_s=%g", self._settings.balancer_s)
        await self._membership.leave()
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._directory.announce_leaving()
        except TimeoutError:
            log.warning("event=leaving_not_announced reason=%r", "the instance list did not answer")

    async def finish(self) -> None:
        """Close the listeners, finish running requests, flush, and leave the peers."""
        for server in self._servers:
            await server.stop(self._settings.grace_s)
        for flush in self._flushes:
            await self._flush(flush)
        await self._membership.depart()
        # The message library sends in the background and drops unsent messages on close.
        await asyncio.sleep(DEPARTURE_SEND_WAIT_S)

    async def _flush(self, flush: Callable[[], Awaitable[object]]) -> None:
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await flush()
        except Exception:
            log.exception("event=flush_failed")
