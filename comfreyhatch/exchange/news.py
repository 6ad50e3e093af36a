"""Keeps a daemon's view current: follows the directory, and asks peers while it is out of reach."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.errors import ComfreyhatchError, PeerError, PlatformError
from comfreyhatch.exchange.peers import PeerNews, ask_peer
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory

WAIT_S = 1.6
ENDPOINTS_PAUSE_S = 0.3
BACKOFF_S = 0.2
BACKOFF_MOST_S = 0.6
PEERS_INTERVAL_S = 0.5
PEERS_ASKED = 2
LOST_AFTER_S = 0.6
RECORDS_AGAIN_S = 2.0
RECORDS_INTERVAL_S = 15.0
TRIAL_PAUSE_S = 0.5
CUT_OFF_S = 1.8

log = logging.getLogger("comfreyhatch.news")


class News:
    """Tasks that follow orders, endpoints and the daemons' records."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Directory,
        view: FleetView,
        rng: Random,
        on_change: Callable[[], None],
    ) -> None:
        """Create the tasks' owner.

        Args:
            deployment: Settings.
            directory: Where facts are read.
            view: Where they are kept.
            rng: Seeded source of spreads.
            on_change: Called after the view has changed.
        """
        self._deployment = deployment
        self._directory = directory
        self._view = view
        self._rng = rng
        self._on_change = on_change
        self._lost_since: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._published = False

    def start(self) -> None:
        """Start to follow."""
        for follow in (self._follow_operations, self._follow_endpoints, self._follow_records):
            self._tasks.append(asyncio.create_task(self._keep_on(follow)))
        self._tasks.append(asyncio.create_task(self._keep_on(self._ask_peers)))

    async def stop(self) -> None:
        """Stop to follow."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def current(self) -> PeerNews:
        """Return what this daemon knows, for a peer that asks."""
        now = asyncio.get_running_loop().time()
        return PeerNews(
            self._view.operations,
            self._view.operations_age_s(now),
            self._view.endpoint_list,
            self._view.endpoints_age_s(now),
            self._view.records,
        )

    async def _keep_on(self, follow: Callable[[], Awaitable[None]]) -> None:
        """Repeat a turn for ever; an unexpected error is logged and the next turn comes."""
        while True:
            try:
                await follow()
            except Exception:
                log.exception("event=news_turn_failed")
                await asyncio.sleep(BACKOFF_S)

    async def _follow_operations(self) -> None:
        loop = asyncio.get_running_loop()
        found = await self._try("orders", self._directory.operations, self._view.operations)
        if found is None:
            return
        self._view.apply_operations(found, loop.time(), self._deployment.heartbeat_s)
        self._on_change()

    async def _follow_endpoints(self) -> None:
        loop = asyncio.get_running_loop()
        found = await self._try("endpoints", self._directory.endpoints, self._view.endpoint_list)
        if found is None:
            return
        self._view.apply_endpoints(found, loop.time())
        self._on_change()
        await asyncio.sleep(ENDPOINTS_PAUSE_S)

    async def _follow_records(self) -> None:
        loop = asyncio.get_running_loop()
        if not self._published:
            await self._publish()
        first = self._view.records is None
        wait_s = WAIT_S if self._trial_open() else 0.0
        found = await self._try("records", self._directory.records, self._view.records, wait_s)
        if found is None:
            return
        self._view.apply_records(found, loop.time())
        self._on_change()
        await self._pause(RECORDS_AGAIN_S if first else RECORDS_INTERVAL_S)

    async def _pause(self, longest_s: float) -> None:
        """Wait for the next reading; less long while a roll-out is under way."""
        waited_s = 0.0
        while waited_s < longest_s:
            await asyncio.sleep(TRIAL_PAUSE_S)
            waited_s += TRIAL_PAUSE_S
            if self._trial_open():
                return

    def cut_off(self, now: float) -> bool:
        """Return whether neither the directory nor a peer has been heard of for a while."""
        return bool(self._lost_since) and self._view.operations_age_s(now) > CUT_OFF_S

    def _trial_open(self) -> bool:
        operations = self._view.operations
        services = operations.order_by_service if operations else ()
        return any(self._view.finished(service) is None for service in services)

    async def _publish(self) -> None:
        if self._deployment.control is None:
            return
        address = str(self._deployment.control)
        self._published = await self._directory.put_control(self._deployment.instance, address)

    async def _try(
        self,
        name: str,
        read: Callable[[Any, float], Awaitable[Any]],
        held: object,
        wait_s: float = WAIT_S,
    ) -> Any:
        """Return what a reading call gives; None, after a pause, when the directory is away."""
        if name in self._lost_since:
            # A plain reading tells at once that the directory is back, and what is new.
            wait_s = 0.0
        try:
            found = await read(held, wait_s)
        except PlatformError as error:
            self._note_lost(name, error)
            lost_s = asyncio.get_running_loop().time() - self._lost_since[name]
            pause_s = min(BACKOFF_MOST_S, BACKOFF_S + lost_s / 4)
            await asyncio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))
            return None
        if self._lost_since.pop(name, None) is not None:
            log.info("event=directory_regained what=%s", name)
        return found

    def _note_lost(self, name: str, error: ComfreyhatchError) -> None:
        if name not in self._lost_since:
            self._lost_since[name] = asyncio.get_running_loop().time()
            log.warning("event=directory_lost what=%s reason=%r", name, str(error))

    async def _ask_peers(self) -> None:
        await asyncio.sleep(PEERS_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        lost = "orders" in self._lost_since or "endpoints" in self._lost_since
        if not lost and self._view.operations_age_s(now) < WAIT_S + LOST_AFTER_S:
            return
        known = self._peer_addresses()
        chosen = self._rng.sample(known, min(PEERS_ASKED, len(known)))
        await asyncio.gather(*(self._ask(address) for address in chosen))

    def _peer_addresses(self) -> list[str]:
        known = {str(address) for address in self._deployment.seeds}
        if self._view.records:
            known |= set(self._view.records.control_by_daemon.values())
        known.discard(str(self._deployment.control))
        return sorted(known)

    async def _ask(self, address: str) -> None:
        try:
            news = await ask_peer(address)
        except PeerError as error:
            log.debug("event=peer_silent peer=%s reason=%r", address, str(error))
            return
        now = asyncio.get_running_loop().time()
        if news.operations is not None:
            at = now - news.operations_age_s
            self._view.apply_operations(news.operations, at, self._deployment.heartbeat_s)
        if news.endpoints is not None:
            self._view.apply_endpoints(news.endpoints, now - news.endpoints_age_s)
        if news.records is not None:
            self._view.apply_records(news.records, now)
        self._on_change()
