"""Start and stop of a daemon."""

import asyncio
import logging
from collections.abc import Coroutine
from time import time
from typing import Any

from msgspec import Struct

from comfreyhatch.adapters.settings import Settings
from comfreyhatch.daemon.components import Components
from comfreyhatch.domain.instance import Address

log = logging.getLogger("comfreyhatch.daemon")


class Addresses(Struct, frozen=True):
    """Listening addresses of a running daemon.

    Attributes:
        callers: Listener for callers' requests.
        operators: Listener for operators' requests.
        peers_http: Listener for requests that peers forward.
    """

    callers: Address
    operators: Address
    peers_http: Address


class Daemon(Components):
    """One daemon: its components with their listeners and background tasks."""

    def __init__(
        self,
        settings: Settings,
        key: bytes,
        seed: int | None = None,
        accepted_keys: tuple[bytes, ...] = (),
    ) -> None:
        """Build a daemon; takes the arguments of Components."""
        super().__init__(settings, key, seed, accepted_keys)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Addresses:
        """Start the listeners and the background tasks, and return the addresses.

        The caller listener starts last.
        """
        settings = self._settings
        peers_http = await self._peer_server.start(settings.peers.host, settings.peers.http_port)
        self._forwarded.address = peers_http
        control = await self.bus.start(settings.peers.host, settings.peers.control_port)
        self.membership.set_addresses(control, peers_http)
        self.directory.set_addresses(peers_http, control)
        for component in (
            self.list_feed,
            self.membership,
            self.config_sync,
            self.pool,
            self.sessions,
            self.rollouts,
            self.ratings,
            self.quarantine,
            self.burn,
            self.journal,
            self.journal_copies,
        ):
            self._start_task(component.run())
        operators = await self._operator_server.start(
            settings.operators.host, settings.operators.port
        )
        callers = await self._caller_server.start(settings.callers.host, settings.callers.port)
        addresses = Addresses(callers, operators, peers_http)
        log.info(
            "event=daemon_started instance=%s zone=%s callers=%s operators=%s peers=%s",
            settings.instance.id,
            settings.instance.zone,
            callers,
            operators,
            peers_http,
        )
        return addresses

    async def shut_down(self) -> None:
        """Stop gracefully: wait for the balancer to stop sending, then finish running requests."""
        await self.shutdown.run()
        await self._close()

    async def stop(self) -> None:
        """Stop without waiting for a balancer; running requests are finished first."""
        await self.shutdown.leave()
        await self.shutdown.finish()
        await self._close()

    async def _close(self) -> None:
        await self._operator_server.stop(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.claims.close()
        await self.bus.stop()
        await self.burn.flush(time())
        for client in self._clients:
            client.close()
        log.info("event=daemon_stopped instance=%s", self._settings.instance.id)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        log.critical("event=task_failed", exc_info=task.exception())
