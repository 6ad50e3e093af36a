"""Keeps a daemon's view current: polls the directory, or a peer that does.

Each daemon that polls the directory makes more than two calls a second to the platform's store, so
only a few daemons of each region, the readers, poll it; the others, the followers, poll a reader.
A follower polls the directory itself while no reader answers with current data. A daemon that has
lost the directory queries random peers.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from comfreyhatch.decisions.readers import MAX_POLL_WAIT_S, poll_wait_s
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.operations import Operations
from comfreyhatch.domain.permit import PermitAnswer, PermitAsk
from comfreyhatch.domain.position import Position
from comfreyhatch.errors import ComfreyhatchError, PeerError, PlatformError
from comfreyhatch.exchange.address_publisher import AddressPublisher
from comfreyhatch.exchange.endpoint_changes import apply_changes
from comfreyhatch.exchange.peer_answers import PeerAnswers, no_permit
from comfreyhatch.exchange.peer_reports import PeerReports, Report
from comfreyhatch.exchange.peer_updates import updated_operations
from comfreyhatch.exchange.peers import PeerClient, PeerQuery, PeerUpdate
from comfreyhatch.exchange.reader_selector import ReaderSelector
from comfreyhatch.exchange.record_changes import apply_record_changes
from comfreyhatch.exchange.report_relay import ReportRelay
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory

# Longest wait of a long poll for orders and endpoints, and for records during a roll-out.
LONG_POLL_WAIT_S = MAX_POLL_WAIT_S
# Time after the last query of a peer for which this daemon polls as a reader; see `poll_wait_s`.
PEER_QUERY_VALID_S = 30.0
# Longest time that a reader holds a follower's query while it has nothing newer.
READER_QUERY_WAIT_S = 0.4
# Oldest data that a follower accepts from a reader, as a share of `Bounds.config_s`, the time after
# which a configuration is in force.
READER_MAX_AGE_SHARE = 0.6
# Interval at which a daemon that polls the directory itself looks for a reader.
READER_CHECK_INTERVAL_S = 0.5
# Pause between two long polls of the endpoints.
ENDPOINTS_PAUSE_S = 0.3
# Bounds of the back-off after a failed read of the directory, before jitter.
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 0.6
# Interval at which a daemon checks whether it has to query peers, and how many it queries then.
PEER_CHECK_INTERVAL_S = 0.5
PEERS_PER_CHECK = 2
# Peers are queried when the orders are older than a long poll takes, plus this margin.
OVERDUE_MARGIN_S = 0.6
# Pause after the first read of the records, and after each later one, without a roll-out.
RECORDS_FIRST_PAUSE_S = 2.0
RECORDS_PAUSE_S = 15.0
# Pause between long polls of the records during a roll-out. Plain reads every 0.7 s cost more calls
# to the store.
ROLLOUT_RECORDS_PAUSE_S = 0.5
# Interval at which a daemon that follows no reader asks one for reports.
REPORT_PULL_INTERVAL_S = 0.5
# Age of the orders from which a daemon that has lost the directory counts as cut off. It may then
# fail its readiness check: in a cut-off zone one endpoint had all of the zone's work, with first
# events after 0.9 s and gaps of 2.1 s between events.
CUT_OFF_AGE_S = 1.8

log = logging.getLogger("comfreyhatch.news")


class DirectorySync:
    """Tasks that keep a `FleetView` current with orders, endpoints and the daemons' records.

    Attributes:
        addresses: Publishes this daemon's addresses.
    """

    def __init__(
        self,
        deployment: Deployment,
        directory: Directory,
        view: FleetView,
        rng: Random,
        on_change: Callable[[], None],
        reports: PeerReports | None = None,
        answer_permit: Callable[[PermitAsk, float], PermitAnswer] = no_permit,
        connect: Callable[[str], PeerClient] = PeerClient,
        went_on_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        """Create the sync; no task runs yet.

        Args:
            deployment: Settings of this daemon.
            directory: Source of orders, endpoints and records.
            view: Updated with what is read.
            rng: Seeded source of jitter and of the choice of peers.
            on_change: Called after the view has changed.
            reports: Reports to pass on between daemons; None for none.
            answer_permit: Answers a peer that asks for a permit, at a monotonic time.
            connect: Returns a connection to the peer at an address.
            went_on_at: Returns when this process last went on after it was stopped, as a monotonic
                time in seconds.
        """
        self._went_on_at = went_on_at
        self._operations_asked_at = float("-inf")
        self._connect = connect
        self._deployment = deployment
        self._directory = directory
        self._view = view
        self._rng = rng
        self._on_change = on_change
        self._lost_since_by_source: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.addresses = AddressPublisher(deployment, directory, view)
        self._reads_directory = asyncio.Event()
        self._reads_directory.set()
        self._reader: PeerClient | None = None
        self._selector = ReaderSelector(deployment, view)
        self._answers = PeerAnswers(view, reports, answer_permit)
        self._relay: ReportRelay | None = None
        if reports is not None:
            self._relay = ReportRelay(
                reports, self._selector.others, self._send_reports, self._answers.wake
            )
            self._answers.receive_reports = self._relay.receive

    def start(self) -> None:
        """Start the tasks."""
        for poll in (self._poll_operations, self._poll_endpoints, self._poll_records):
            self._tasks.append(asyncio.create_task(self._repeat(poll)))
        self._tasks.append(asyncio.create_task(self._repeat(self._query_peers)))
        self._tasks.append(asyncio.create_task(self._repeat(self._poll_reader)))
        if self._relay is not None:
            self._tasks.append(asyncio.create_task(self._repeat(self._pull_reports)))

    async def stop(self) -> None:
        """Cancel the tasks and close the connection to the reader."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._relay is not None:
            await self._relay.stop()
        if self._reader:
            self._reader.close()

    async def answer(self, query: PeerQuery) -> PeerUpdate:
        """Answer a query of a peer; see `PeerAnswers.answer`."""
        return await self._answers.answer(query)

    async def _pull_reports(self) -> None:
        """Ask readers for reports, unless this daemon follows one."""
        await asyncio.sleep(REPORT_PULL_INTERVAL_S)
        if self._relay is not None and self._reads_directory.is_set():
            await self._relay.pull(str(self._deployment.control), self._query_once)

    async def _send_reports(self, address: str, reports: tuple[Report, ...]) -> None:
        """Send reports over a new connection.

        Raises:
            PeerError: If the peer does not answer.
        """
        peer = self._connect(address)
        try:
            update = await peer.query(PeerQuery(reports=reports, only_reports=True))
        finally:
            peer.close()
        if self._relay is not None:
            self._relay.note_start(address, update.reports_start)

    def _notify_change(self) -> None:
        """Wake the long polls of peers and call `on_change`."""
        self._answers.wake()
        self._on_change()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step for ever; an unexpected error is logged and does not end the loop."""
        while True:
            try:
                await step()
            except Exception:
                log.exception("event=news_turn_failed")
                await asyncio.sleep(BACKOFF_MIN_S)

    async def _poll_operations(self) -> None:
        loop = asyncio.get_running_loop()
        await self._reads_directory.wait()
        held, asked_at = self._view.listed_operations, loop.time()
        # After a stop it is not known whether the orders still hold until they are read anew.
        wait_s = 0.0 if self._operations_asked_at < self._went_on_at() else None
        self._operations_asked_at = asked_at
        found = await self._read("orders", self._directory.operations, held, wait_s)
        if found is None:
            return
        self._apply_operations(found, loop.time(), "store", asked_at)
        self._notify_change()

    async def _poll_endpoints(self) -> None:
        loop = asyncio.get_running_loop()
        await self._reads_directory.wait()
        found = await self._read("endpoints", self._directory.endpoints, self._view.endpoint_list)
        if found is None:
            return
        self._view.apply_endpoints(found, loop.time())
        self._notify_change()
        await asyncio.sleep(ENDPOINTS_PAUSE_S)

    async def _poll_records(self) -> None:
        loop = asyncio.get_running_loop()
        await self._reads_directory.wait()
        if not self.addresses.published:
            await self.addresses.publish()
        first = self._view.records is None
        wait_s = LONG_POLL_WAIT_S if self._rollout_running() else 0.0
        found = await self._read("records", self._directory.records, self._view.records, wait_s)
        if found is None:
            return
        self._view.apply_records(found, loop.time())
        self._notify_change()
        await self._pause_records(RECORDS_FIRST_PAUSE_S if first else RECORDS_PAUSE_S)

    async def _pause_records(self, longest_s: float) -> None:
        """Wait before the next read of the records.

        The wait is shorter while a roll-out is running or the store has a newer generation.
        """
        waited_s = 0.0
        while waited_s < longest_s:
            await asyncio.sleep(ROLLOUT_RECORDS_PAUSE_S)
            waited_s += ROLLOUT_RECORDS_PAUSE_S
            if self._rollout_running() or self._records_outdated():
                return

    def _records_outdated(self) -> bool:
        """Return whether the records are of an older generation than other things read."""
        records = self._view.records
        return records is not None and records.generation != self._view.generation

    def cut_off(self, now: float) -> bool:
        """Return whether the directory is lost and peers have sent no current orders either."""
        return bool(self._lost_since_by_source) and self._view.operations_age_s(now) > CUT_OFF_AGE_S

    def _rollout_running(self) -> bool:
        operations = self._view.operations
        services = operations.order_by_service if operations else ()
        return any(self._view.final_state(service) is None for service in services)

    async def _read(
        self,
        name: str,
        read: Callable[[Any, float], Awaitable[Any]],
        held: object,
        wait_s: float | None = None,
    ) -> Any:
        """Read from the directory; on failure, back off and return None.

        Args:
            name: Name of the source in the log.
            read: Reading call of the directory; takes the held state and the wait in seconds.
            held: State that is held already; None for none.
            wait_s: Longest wait for anything newer; None for the usual long poll.
        """
        if name in self._lost_since_by_source:
            # After an outage a long poll would return up to LONG_POLL_WAIT_S late, and the daemon
            # would refuse requests with keys and routes that it does not know yet.
            wait_s = 0.0
        try:
            found = await read(held, self._long_poll_wait_s() if wait_s is None else wait_s)
        except PlatformError as error:
            self._note_lost(name, error)
            lost_s = asyncio.get_running_loop().time() - self._lost_since_by_source[name]
            pause_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S + lost_s / 4)
            await asyncio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))
            return None
        if self._lost_since_by_source.pop(name, None) is not None:
            log.info("event=directory_regained what=%s", name)
        return found

    def _long_poll_wait_s(self) -> float:
        """Return the wait of a long poll, in seconds; shorter while followers query this daemon."""
        now = asyncio.get_running_loop().time()
        return (
            poll_wait_s(self._deployment.bounds.config_s)
            if now - self._answers.last_query_at < PEER_QUERY_VALID_S
            else LONG_POLL_WAIT_S
        )

    def _note_lost(self, name: str, error: ComfreyhatchError) -> None:
        if name not in self._lost_since_by_source:
            self._lost_since_by_source[name] = asyncio.get_running_loop().time()
            log.warning("event=directory_lost what=%s reason=%r", name, str(error))

    async def _query_peers(self) -> None:
        await asyncio.sleep(PEER_CHECK_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        lost = "orders" in self._lost_since_by_source or "endpoints" in self._lost_since_by_source
        if not lost and self._view.operations_age_s(now) < LONG_POLL_WAIT_S + OVERDUE_MARGIN_S:
            return
        known = self._peer_addresses()
        chosen = self._rng.sample(known, min(PEERS_PER_CHECK, len(known)))
        await asyncio.gather(*(self._query_once(address) for address in chosen))

    def _peer_addresses(self) -> list[str]:
        known = {str(address) for address in self._deployment.seeds}
        known |= set(self._view.control_by_daemon.values())
        known.discard(str(self._deployment.control))
        return sorted(known)

    async def _query_once(self, address: str) -> bool:
        """Query a peer over a new connection, so that one to a silent peer is not used again.

        Returns:
            Whether it has answered.
        """
        peer = self._connect(address)
        asked_at = asyncio.get_running_loop().time()
        try:
            self.apply_update(await peer.query(self.query(0.0, address)), address, asked_at)
        except PeerError as error:
            log.debug("event=peer_silent peer=%s reason=%r", address, str(error))
            return False
        finally:
            peer.close()
        return True

    def query(self, wait_s: float, address: str = "") -> PeerQuery:
        """Return a query for what is newer than the view.

        Args:
            wait_s: Longest wait, in seconds.
            address: Peer to which it is sent.
        """
        view = self._view
        catalog = view.listed_operations.catalog if view.listed_operations else None
        return PeerQuery(
            view.listed_operations.position if view.listed_operations else Position(),
            view.endpoint_list.position if view.endpoint_list else Position(),
            view.records.position if view.records else Position(),
            wait_s,
            catalog.version if catalog else None,
            reports_seen=self._relay.seen(address) if self._relay else None,
        )

    def apply_update(
        self, update: PeerUpdate, source: str, asked_at: float = float("-inf")
    ) -> None:
        """Apply the answer of a peer to the view; one of an older generation changes nothing.

        Args:
            update: The answer.
            source: Address of the peer, for the log.
            asked_at: Monotonic time in seconds at which the peer was asked.
        """
        now = asyncio.get_running_loop().time()
        view = self._view
        operations = updated_operations(view.listed_operations, update)
        if operations is not None:
            age_s = update.operations_age_s
            self._apply_operations(operations, now - age_s, source, asked_at - age_s)
        if update.endpoints is not None:
            held = view.endpoint_list
            known = held is not None and held.generation == update.endpoints.generation
            if update.endpoints.whole or known:
                endpoints = apply_changes(held, update.endpoints)
                view.apply_endpoints(endpoints, now - update.endpoints_age_s)
        changes = update.record_changes
        if changes is not None and changes.applies_to(view.records):
            view.apply_records(apply_record_changes(view.records, changes), now)
        if self._relay is not None:
            self._relay.apply(update, source)
        self._notify_change()

    def _apply_operations(
        self, found: Operations, confirmed_at: float, source: str, asked_at: float
    ) -> None:
        """Apply orders to the view, and log from whom a new configuration comes.

        Args:
            found: Orders as read.
            confirmed_at: Monotonic time at which they were current, in seconds.
            source: Address of the peer that sent them, or "store".
            asked_at: Monotonic time at which they were surely current, in seconds.
        """
        held = self._view.catalog
        self._view.apply_operations(found, confirmed_at, self._deployment.heartbeat_s, asked_at)
        catalog = self._view.catalog
        if catalog is not None and (held is None or catalog.version != held.version):
            now = asyncio.get_running_loop().time()
            log.info(
                "event=config_received version=%d revision=%d source=%s age_s=%.2f",
                catalog.version,
                found.revision,
                source,
                now - confirmed_at,
            )

    async def _poll_reader(self) -> None:
        """Query this daemon's reader, and stop polling the directory while the reader is current.

        Without a reader, or while the directory is lost, the daemon polls the directory itself.
        """
        now = asyncio.get_running_loop().time()
        address = self._selector.address(now) if self.addresses.published else None
        if address is None or self._lost_since_by_source:
            self._reads_directory.set()
            await asyncio.sleep(READER_CHECK_INTERVAL_S)
            return
        if self._reader is None or self._reader.address != address:
            self._connect_reader(address)
        assert self._reader
        try:
            update = await self._reader.query(self.query(READER_QUERY_WAIT_S, address))
            self.apply_update(update, address, now)
        except PeerError as error:
            self._drop_reader(address, str(error))
            return
        now = asyncio.get_running_loop().time()
        age_s = max(self._view.operations_age_s(now), self._view.endpoints_age_s(now))
        if age_s > READER_MAX_AGE_SHARE * self._deployment.bounds.config_s:
            self._drop_reader(address, f"its data is {age_s:.1f} s old")
            return
        self._selector.clear_hold_down(address)
        self._reads_directory.clear()

    def _connect_reader(self, address: str) -> None:
        if self._reader:
            self._reader.close()
        self._reader = self._connect(address)
        log.info("event=reader_chosen peer=%s", address)

    def _drop_reader(self, address: str, reason: str) -> None:
        """Poll the directory again, and put the reader in hold-down."""
        self._reads_directory.set()
        self._selector.hold_down(address, reason, asyncio.get_running_loop().time())
