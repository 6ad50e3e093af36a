"""Graceful shutdown: leave the balancer and the peers, finish all requests, flush, go."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.settings import ShutdownSettings
from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.membership import Membership

FLUSH_TIMEOUT_S = 10.0
ANNOUNCE_TIMEOUT_S = 2.0
FAREWELL_S = 0.05

log = logging.getLogger("comfreyhatch.shutdown")


class Shutdown:
    """Carries out the planned stop of a daemon, in order."""

    def __init__(
        self,
        settings: ShutdownSettings,
        membership: Membership,
        directory: InstanceDirectory,
        servers: tuple[HttpServer, ...],
    ) -> None:
        """Create the shutdown of a daemon.

        Args:
            settings: Times.
            membership: Tells the peers.
            directory: Tells the instance list.
            servers: Listeners for work: callers first, then forwarded requests.
        """
        self.leaving = False
        self._settings = settings
        self._membership = membership
        self._directory = directory
        self._servers = servers
        self._flushes: list[Callable[[], Awaitable[object]]] = []

    def on_flush(self, flush: Callable[[], Awaitable[object]]) -> None:
        """Call this after the last request has ended and before the peers are left."""
        self._flushes.append(flush)

    async def run(self) -> None:
        """Leave, wait for the balancer, finish what runs, flush, and say good-bye."""
        await self.leave()
        await asyncio.sleep(self._settings.balancer_s)
        await self.finish()

    async def leave(self) -> None:
        """Fail the readiness check and tell peers and the list; all work is still served."""
        self.leaving = True
        for server in self._servers:
            server.drain()
        log.info("event=leaving balancer_s=%g", self._settings.balancer_s)
        await self._membership.leave()
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._directory.announce_leaving()
        except TimeoutError:
            log.warning("event=leaving_not_announced reason=%r", "the list did not answer")

    async def finish(self) -> None:
        """Close the listeners, let running requests end, flush, and leave the peers."""
        for server in self._servers:
            await server.stop(self._settings.grace_s)
        for flush in self._flushes:
            await self._flush(flush)
        await self._membership.depart()
        # The library sends in the background and drops what is left when a socket closes.
        await asyncio.sleep(FAREWELL_S)

    async def _flush(self, flush: Callable[[], Awaitable[object]]) -> None:
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await flush()
        except Exception:
            log.exception("event=flush_failed")
