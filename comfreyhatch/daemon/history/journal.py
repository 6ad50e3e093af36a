"""Journal of this daemon: copies each entry to buddies and stores segments periodically.

Buddies are daemons that keep copies of another daemon's journal. They store its unstored entries
if its writer has ended.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Coroutine
from time import time
from typing import Any, TypeVar

from msgspec import Struct
from prometheus_client import CollectorRegistry, Counter, Gauge
from xxhash import xxh64_intdigest

from comfreyhatch.daemon.history.journal_copies import JournalAck, JournalBatch, find_record
from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.decisions.journal import (
    MAX_SEGMENT_ENTRIES,
    JournalTail,
    choose_buddies,
    shorten_record,
)
from comfreyhatch.domain.journal import Body, Entry, Outcome, encode_body
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import PeerError, PlatformError
from comfreyhatch.ports.peers import MembershipView, PeerBus

BATCH_WINDOW_S = 0.02
# After this time one acknowledged copy is enough to answer the request.
SECOND_COPY_WAIT_S = 0.05
BUDDY_TIMEOUT_S = 0.25
# How long a buddy that did not accept a batch is left out of the choice of buddies.
BUDDY_HOLD_DOWN_S = 2.0
SEGMENT_INTERVAL_S = 30.0
# Entries that no buddy keeps are stored without waiting for the next segment interval. This limits
# the delay before such a write and, separately, the write itself.
DIRECT_STORE_TIMEOUT_S = 0.5
# Spacing of such writes; a write that would be delayed more than `DIRECT_STORE_TIMEOUT_S` starts
# after that time.
DIRECT_STORE_INTERVAL_S = 0.1
STORE_RETRY_S = 2.0
# A batch is closed when its bodies reach this size.
BATCH_TARGET_BYTES = 200_000
# Entries accumulate while the stores are down. Once they reach the first size, records are added
# without the reasons for their decisions; once they reach the second, new entries are dropped.
SHORTEN_RECORDS_BYTES = 4_000_000
MAX_JOURNAL_BYTES = 8_000_000
# Values of the metric label `copies`, by number of buddies that keep the entries.
COPIES_LABELS = ("none", "one", "two")

T = TypeVar("T")

log = logging.getLogger("comfreyhatch.journal")


class JournalLimits(Struct, frozen=True):
    """Intervals and size limits of a journal.

    Attributes:
        batch_window_s: Time for which entries are collected into one batch, in seconds.
        segment_interval_s: Time between stored segments, in seconds.
        shorten_bytes: Once the unstored entries reach this size, records are added without the
            reasons for their decisions.
        max_bytes: Once the unstored entries reach this size, new ones are dropped.
    """

    batch_window_s: float = BATCH_WINDOW_S
    segment_interval_s: float = SEGMENT_INTERVAL_S
    shorten_bytes: int = SHORTEN_RECORDS_BYTES
    max_bytes: int = MAX_JOURNAL_BYTES


class _PendingEntry(Struct):
    """An entry to be copied, and the future that is done when it is copied or stored."""

    number: int
    copied: asyncio.Future[bool]


class Journal:
    """Journal of one incarnation of this daemon; runs the tasks that copy and store its entries.

    Attributes:
        tail: Entries that are not yet stored.
    """

    def __init__(
        self,
        bus: PeerBus,
        view: Callable[[], MembershipView],
        store: SegmentStore,
        instance_id: str,
        zone: str,
        incarnation: str,
        registry: CollectorRegistry | None = None,
        limits: JournalLimits | None = None,
    ) -> None:
        """Create an empty journal.

        Args:
            bus: Carries batches to the buddies.
            view: Returns the live daemons, from which buddies are chosen.
            store: Stores segments and their bills.
            instance_id: Instance id of this daemon.
            zone: Availability zone of this daemon.
            incarnation: Incarnation of this daemon, which names the journal.
            registry: Registry for the metrics.
            limits: Intervals and size limits.
        """
        self._bus = bus
        self._view = view
        self._store = store
        self._instance_id = instance_id
        self._zone = zone
        self._limits = limits or JournalLimits()
        self.tail = JournalTail(incarnation, instance_id)
        self._last_number = 0
        self._pending: list[_PendingEntry] = []
        self._sent_through_by_peer: dict[str, int] = {}
        self._unresponsive_until_by_peer: dict[str, float] = {}
        self._lock_by_peer: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._store_lock = asyncio.Lock()
        self._next_direct_store_at = 0.0
        self._segment_due = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        registry = registry or CollectorRegistry()
        self._copied = Counter(
            "comfreyhatch_journal_entries",
            "Journal entries by copies made before their request continued: two, one, store, none.",
            ["copies"],
            registry=registry,
        )
        self._dropped = Counter(
            "comfreyhatch_journal_dropped",
            "Entries dropped because the journal was full; their requests are not billed.",
            registry=registry,
        )
        self._shortened = Counter(
            "comfreyhatch_journal_shortened",
            "Records added without the reasons for their decisions; the journal was nearly full.",
            registry=registry,
        )
        self._stored = Counter(
            "comfreyhatch_journal_segments", "Segments stored.", registry=registry
        )
        lag = Gauge("comfreyhatch_journal_lag", "Entries not yet stored.", registry=registry)
        lag.set_function(lambda: self.lag)

    @property
    def lag(self) -> int:
        """Number of entries that are not yet stored."""
        return len(self.tail.entry_by_number)

    def append(self, body: Body) -> asyncio.Future[bool]:
        """Add an entry without waiting until it is copied.

        Returns:
            A future that never fails. Its result is True once a buddy keeps the entry or it is
            stored, and False if neither succeeded in time or the journal is full.
        """
        copied: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if self.tail.size_bytes >= self._limits.max_bytes:
            self._dropped.inc()
            copied.set_result(False)
            return copied
        if isinstance(body, Outcome) and self.tail.size_bytes >= self._limits.shorten_bytes:
            self._shortened.inc()
            body = Outcome(shorten_record(body.record))
        self._last_number += 1
        self.tail.add(Entry(self._last_number, encode_body(body)))
        if not self._pending:
            self._start_task(self._copy_after_window())
        self._pending.append(_PendingEntry(self._last_number, copied))
        if self.lag >= MAX_SEGMENT_ENTRIES // 2:
            self._segment_due.set()
        return copied

    async def commit(self, body: Body) -> bool:
        """Add an entry and wait a bounded time until it is copied or stored.

        Returns:
            Whether a buddy keeps the entry or it is stored.
        """
        return await asyncio.shield(self.append(body))

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request id; None if the unstored entries do not contain it."""
        return find_record(self.tail, request_id)

    async def run(self) -> None:
        """Store segments until cancelled: at each interval or when half a segment is full.

        A write that fails is retried after `STORE_RETRY_S`.
        """
        # Spreads out the first writes of daemons that started together.
        phase = xxh64_intdigest(self.tail.journal.encode()) % 100 / 100
        delay_s = self._limits.segment_interval_s * (1 - phase / 2)
        while True:
            try:
                async with asyncio.timeout(delay_s):
                    await self._segment_due.wait()
            except TimeoutError:
                pass
            self._segment_due.clear()
            delay_s = self._limits.segment_interval_s
            if not await self.store():
                await asyncio.sleep(STORE_RETRY_S)
                delay_s = 0.0

    async def store(self) -> bool:
        """Store all unstored entries; return whether that succeeded."""
        async with self._store_lock:
            try:
                while await self._store.store_next(self.tail, time()):
                    self._stored.inc()
            except PlatformError as error:
                log.info("event=segment_delayed lag=%d reason=%r", self.lag, str(error))
                return False
            finally:
                await self._announce_stored()
        return True

    async def close(self, timeout_s: float) -> int:
        """Store the remaining entries and stop all tasks.

        Args:
            timeout_s: Time for the attempts to store, in seconds.

        Returns:
            Number of entries that are not stored.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while self.lag and asyncio.get_running_loop().time() < deadline:
            if not await self.store():
                await asyncio.sleep(min(STORE_RETRY_S, timeout_s / 10))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.lag

    async def _copy_after_window(self) -> None:
        """Copy the entries of one batch window to buddies, or store them if no buddy keeps them."""
        await asyncio.sleep(self._limits.batch_window_s)
        pending, self._pending = self._pending, []
        copies = await self._copy(pending[-1].number)
        label = COPIES_LABELS[copies]
        if not copies and await self._store_directly(pending[-1].number):
            label = "store"
        self._copied.labels(label).inc(len(pending))
        if label == "none":
            log.warning("event=journal_exposed entries=%d", len(pending))
        for entry in pending:
            if not entry.copied.done():
                entry.copied.set_result(label != "none")

    async def _copy(self, through: int) -> int:
        """Send the unstored entries to the buddies.

        Waits for both buddies up to `SECOND_COPY_WAIT_S`, then for one up to `BUDDY_TIMEOUT_S`.

        Args:
            through: Number of the last entry to be copied.

        Returns:
            Number of buddies that acknowledged the entries in time.
        """
        now = asyncio.get_running_loop().time()
        unresponsive = frozenset(
            p for p, until in self._unresponsive_until_by_peer.items() if until > now
        )
        members = choose_buddies(
            self.tail.journal, self._instance_id, self._zone, self._view(), unresponsive
        )
        sends = [self._start_task(self._send(m.instance_id, through)) for m in members]
        if not sends:
            return 0
        await asyncio.wait(sends, timeout=SECOND_COPY_WAIT_S)
        deadline = now + BUDDY_TIMEOUT_S
        while not _acknowledged(sends):
            late = [send for send in sends if not send.done()]
            left_s = deadline - asyncio.get_running_loop().time()
            if not late or left_s <= 0:
                break
            await asyncio.wait(late, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
        return _acknowledged(sends)

    async def _send(self, peer: str, through: int) -> bool:
        """Send a buddy all unstored entries that it lacks; return whether it now keeps them."""
        loop = asyncio.get_running_loop()
        async with self._lock_by_peer[peer]:
            while True:
                sent = max(self._sent_through_by_peer.get(peer, 0), self.tail.stored_through)
                if sent >= through:
                    return True
                if self._unresponsive_until_by_peer.get(peer, 0.0) > loop.time():
                    return False
                entries = self._entries_after(sent)
                if entries and not await self._send_batch(peer, entries):
                    self._unresponsive_until_by_peer[peer] = loop.time() + BUDDY_HOLD_DOWN_S
                    return False
                sent = entries[-1].number if entries else through
                self._sent_through_by_peer[peer] = sent

    async def _send_batch(self, peer: str, entries: list[Entry]) -> bool:
        """Send one batch to a buddy; return whether the buddy accepted it."""
        batch = JournalBatch(
            self.tail.journal, self.tail.next_sequence, self.tail.stored_through, tuple(entries)
        )
        try:
            ack = await self._bus.request(peer, batch, JournalAck, BUDDY_TIMEOUT_S)
        except PeerError as error:
            log.info("event=buddy_silent peer=%s reason=%r", peer, str(error))
            return False
        return ack.accepted

    def _entries_after(self, sent: int) -> list[Entry]:
        """Return the next batch, the first unstored entries after an entry number."""
        entries = []
        size_bytes = 0
        for number in range(sent + 1, self._last_number + 1):
            entry = self.tail.entry_by_number.get(number)
            if entry is None:
                continue
            entries.append(entry)
            size_bytes += len(entry.body)
            if size_bytes >= BATCH_TARGET_BYTES:
                break
        return entries

    async def _store_directly(self, through: int) -> bool:
        """Store entries that no buddy keeps, without waiting for the next segment interval.

        Calls are spaced by `DIRECT_STORE_INTERVAL_S`, but none is delayed more than
        `DIRECT_STORE_TIMEOUT_S`. Nothing is written if the entries are stored in the meantime.

        Args:
            through: Number of the last entry to be stored.

        Returns:
            Whether the entries were stored in time.
        """
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self._next_direct_store_at - loop.time())
        self._next_direct_store_at = loop.time() + delay_s + DIRECT_STORE_INTERVAL_S
        if delay_s:
            await asyncio.sleep(min(delay_s, DIRECT_STORE_TIMEOUT_S))
        if self.tail.stored_through < through:
            await asyncio.wait([self._start_task(self.store())], timeout=DIRECT_STORE_TIMEOUT_S)
        return self.tail.stored_through >= through

    async def _announce_stored(self) -> None:
        """Report to the buddies how far the journal is stored, so that they drop those entries."""
        batch = JournalBatch(self.tail.journal, self.tail.next_sequence, self.tail.stored_through)
        for peer, sent in list(self._sent_through_by_peer.items()):
            await self._bus.send(peer, batch)
            if sent <= batch.stored_through:
                del self._sent_through_by_peer[peer]

    def _start_task(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _acknowledged(sends: list[asyncio.Task[bool]]) -> int:
    return sum(send.done() and not send.cancelled() and send.result() for send in sends)
