"""Takes a daemon's paths to all endpoints away, while callers, store and peers still reach it."""

import asyncio
from enum import Enum

from comfreyhatch.adapters.http_link import HttpLink
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError
from comfreyhatch.exchange.daemon import ExchangeDaemon


class Loss(Enum):
    """How paths are lost: what becomes of open connections, and of new ones."""

    SILENT = "open ones are silent, new ones hang"
    RESET = "open ones are reset, new ones are refused"
    REFUSED = "open ones are silent, new ones are refused"
    HALF_OPEN = "open ones live on, new ones are refused"


class LostPaths:
    """The paths of one daemon to its endpoints, which can be cut and restored."""

    def __init__(self, daemon: ExchangeDaemon) -> None:
        self._client = daemon._client
        self._connect = self._client._connect
        self._links: list[HttpLink] = []
        self._loss: Loss | None = None
        self._client._connect = self._connect_or_fail

    def cut(self, loss: Loss) -> None:
        self._loss = loss
        for link in self._links:
            if loss is Loss.RESET:
                link.transport.abort()
            elif loss is not Loss.HALF_OPEN and not link.transport.is_closing():
                link.transport.pause_reading()
                link.write = lambda data: None

    def restore(self) -> None:
        """Let new connections succeed; silent ones stay so."""
        self._loss = None

    async def _connect_or_fail(self, address: Address) -> HttpLink:
        if self._loss is None:
            link = await self._connect(address)
            self._links.append(link)
            return link
        if self._loss is Loss.SILENT:
            await asyncio.sleep(self._client._connect_timeout_s)
            raise ConnectError(f"cannot connect to {address}") from TimeoutError()
        raise ConnectError(f"cannot connect to {address}") from ConnectionRefusedError()
