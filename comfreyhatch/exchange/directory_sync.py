"""Keeps a daemon's view current: follows the directory, or asks a daemon that does."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from typing import Any

from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.errors import ComfreyhatchError, PeerError, PlatformError
from comfreyhatch.exchange.endpoint_changes import apply_changes
from comfreyhatch.exchange.peers import LONGEST_WAIT_S, PeerClient, PeerQuery, PeerUpdate
from comfreyhatch.exchange.reader_selector import ReaderSelector
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory

WAIT_S = 1.6
ASKED_WAIT_S = 0.6
ASKED_LATELY_S = 30.0
READER_WAIT_S = 0.4
READER_AGE_OF_CONFIG = 0.6
READER_PAUSE_S = 0.5
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


class DirectorySync:
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
        self._changed = asyncio.Event()
        self._reads_itself = asyncio.Event()
        self._reads_itself.set()
        self._reader: PeerClient | None = None
        self._selector = ReaderSelector(deployment, view)
        self._asked_at = float("-inf")

    def start(self) -> None:
        """Start to follow."""
        for follow in (self._follow_operations, self._follow_endpoints, self._follow_records):
            self._tasks.append(asyncio.create_task(self._keep_on(follow)))
        self._tasks.append(asyncio.create_task(self._keep_on(self._ask_peers)))
        self._tasks.append(asyncio.create_task(self._keep_on(self._follow_reader)))

    async def stop(self) -> None:
        """Stop to follow."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._reader:
            self._reader.close()

    async def answer(self, question: PeerQuery) -> PeerUpdate:
        """Return what is newer here than what a peer holds, once there is anything or in time."""
        loop = asyncio.get_running_loop()
        self._asked_at = loop.time()
        ends_at = self._asked_at + min(question.wait_s, LONGEST_WAIT_S)
        while not self._has_newer(question) and loop.time() < ends_at:
            changed = self._changed
            with suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
        return self._news_after(question)

    def _has_newer(self, question: PeerQuery) -> bool:
        view = self._view
        return (
            (view.operations is not None and view.operations.revision > question.operations)
            or view.endpoint_history.changed_revision > question.endpoints
            or (view.records is not None and view.records.revision > question.records)
        )

    def _news_after(self, question: PeerQuery) -> PeerUpdate:
        now = asyncio.get_running_loop().time()
        view = self._view
        operations, records = view.operations, view.records
        listed = view.endpoint_list is not None
        return PeerUpdate(
            operations if operations and operations.revision > question.operations else None,
            view.operations_age_s(now),
            view.endpoint_history.since(question.endpoints) if listed else None,
            view.endpoints_age_s(now),
            records if records and records.revision > question.records else None,
        )

    def _announce(self) -> None:
        """Let peers that wait, and the owner, see what has changed."""
        self._changed.set()
        self._changed = asyncio.Event()
        self._on_change()

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
        await self._reads_itself.wait()
        found = await self._try("orders", self._directory.operations, self._view.operations)
        if found is None:
            return
        self._view.apply_operations(found, loop.time(), self._deployment.heartbeat_s)
        self._announce()

    async def _follow_endpoints(self) -> None:
        loop = asyncio.get_running_loop()
        await self._reads_itself.wait()
        found = await self._try("endpoints", self._directory.endpoints, self._view.endpoint_list)
        if found is None:
            return
        self._view.apply_endpoints(found, loop.time())
        self._announce()
        await asyncio.sleep(ENDPOINTS_PAUSE_S)

    async def _follow_records(self) -> None:
        loop = asyncio.get_running_loop()
        await self._reads_itself.wait()
        if not self._published:
            await self._publish()
        first = self._view.records is None
        wait_s = WAIT_S if self._trial_open() else 0.0
        found = await self._try("records", self._directory.records, self._view.records, wait_s)
        if found is None:
            return
        self._view.apply_records(found, loop.time())
        self._announce()
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
        return any(self._view.final_state(service) is None for service in services)

    async def _publish(self) -> None:
        if self._deployment.control is None:
            return
        address = str(self._deployment.control)
        deployment = self._deployment
        self._published = await self._directory.put_control(
            deployment.instance, address, deployment.region
        )

    async def _try(
        self,
        name: str,
        read: Callable[[Any, float], Awaitable[Any]],
        held: object,
        wait_s: float | None = None,
    ) -> Any:
        """Return what a reading call gives; None, after a pause, when the directory is away."""
        if name in self._lost_since:
            # A plain reading tells at once that the directory is back, and what is new.
            wait_s = 0.0
        try:
            found = await read(held, self._usual_wait_s() if wait_s is None else wait_s)
        except PlatformError as error:
            self._note_lost(name, error)
            lost_s = asyncio.get_running_loop().time() - self._lost_since[name]
            pause_s = min(BACKOFF_MOST_S, BACKOFF_S + lost_s / 4)
            await asyncio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))
            return None
        if self._lost_since.pop(name, None) is not None:
            log.info("event=directory_regained what=%s", name)
        return found

    def _usual_wait_s(self) -> float:
        """Return how long a reading call waits; less long while others go by its age."""
        now = asyncio.get_running_loop().time()
        return ASKED_WAIT_S if now - self._asked_at < ASKED_LATELY_S else WAIT_S

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
        await asyncio.gather(*(self._ask_once(address) for address in chosen))

    def _peer_addresses(self) -> list[str]:
        known = {str(address) for address in self._deployment.seeds}
        if self._view.records:
            known |= set(self._view.records.control_by_daemon.values())
        known.discard(str(self._deployment.control))
        return sorted(known)

    async def _ask_once(self, address: str) -> None:
        """Ask a peer over a connection of its own, so that a silent one is not used again."""
        peer = PeerClient(address)
        try:
            self._take(await peer.ask(self._question(0.0)))
        except PeerError as error:
            log.debug("event=peer_silent peer=%s reason=%r", address, str(error))
        finally:
            peer.close()

    def _question(self, wait_s: float) -> PeerQuery:
        view = self._view
        return PeerQuery(
            view.operations.revision if view.operations else 0,
            view.endpoint_list.revision if view.endpoint_list else 0,
            view.records.revision if view.records else 0,
            wait_s,
        )

    def _take(self, news: PeerUpdate) -> None:
        """Take in what a peer has told."""
        now = asyncio.get_running_loop().time()
        view = self._view
        operations = news.operations or view.operations
        if operations is not None:
            at = now - news.operations_age_s
            view.apply_operations(operations, at, self._deployment.heartbeat_s)
        if news.endpoints is not None:
            held = view.endpoint_list
            if news.endpoints.whole or held is not None:
                endpoints = apply_changes(held, news.endpoints)
                view.apply_endpoints(endpoints, now - news.endpoints_age_s)
        if news.records is not None:
            view.apply_records(news.records, now)
        self._announce()

    async def _follow_reader(self) -> None:
        """Ask the daemon that reads for this one, if there is one that answers and is current."""
        now = asyncio.get_running_loop().time()
        address = self._selector.address(now) if self._published else None
        if address is None or self._lost_since:
            self._reads_itself.set()
            await asyncio.sleep(READER_PAUSE_S)
            return
        if self._reader is None or self._reader.address != address:
            self._change_reader(address)
        assert self._reader
        try:
            self._take(await self._reader.ask(self._question(READER_WAIT_S)))
        except PeerError as error:
            self._leave_reader(address, str(error))
            return
        now = asyncio.get_running_loop().time()
        age_s = max(self._view.operations_age_s(now), self._view.endpoints_age_s(now))
        if age_s > READER_AGE_OF_CONFIG * self._deployment.bounds.config_s:
            self._leave_reader(address, f"its news is {age_s:.1f} s old")
            return
        self._selector.clear_hold_down(address)
        self._reads_itself.clear()

    def _change_reader(self, address: str) -> None:
        if self._reader:
            self._reader.close()
        self._reader = PeerClient(address)
        log.info("event=reader_chosen peer=%s", address)

    def _leave_reader(self, address: str, reason: str) -> None:
        """Read the directory again."""
        self._reads_itself.set()
        self._selector.hold_down(address, reason, asyncio.get_running_loop().time())
