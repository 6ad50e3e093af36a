"""The journal of this daemon: copies to buddies at once, segments to the stores in time."""

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
SECOND_COPY_WAIT_S = 0.05
BUDDY_TIMEOUT_S = 0.25
UNRESPONSIVE_S = 2.0
SEGMENT_INTERVAL_S = 30.0
DIRECT_STORE_TIMEOUT_S = 0.5
DIRECT_STORE_INTERVAL_S = 0.1
STORE_RETRY_S = 2.0
BATCH_TARGET_BYTES = 200_000
SHORTEN_RECORDS_BYTES = 4_000_000
MAX_JOURNAL_BYTES = 8_000_000
COPIES_LABELS = ("none", "one", "two")

T = TypeVar("T")

log = logging.getLogger("comfreyhatch.journal")


class JournalLimits(Struct, frozen=True):
    """Intervals and bounds of a journal.

    Attributes:
        batch_window_s: Time for which entries are gathered into one batch.
        segment_interval_s: Time between segments.
        shorten_bytes: Size from which records are kept without their grounds.
        max_bytes: Size from which no entry is kept.
    """

    batch_window_s: float = BATCH_WINDOW_S
    segment_interval_s: float = SEGMENT_INTERVAL_S
    shorten_bytes: int = SHORTEN_RECORDS_BYTES
    max_bytes: int = MAX_JOURNAL_BYTES


class _PendingEntry(Struct):
    """An entry that is to be copied, and who waits for it."""

    number: int
    copied: asyncio.Future[bool]


class Journal:
    """Entries of one incarnation; owns the tasks that copy and store them."""

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
            "Journal entries by copies kept when the request went on: two, one, store, none.",
            ["copies"],
            registry=registry,
        )
        self._dropped = Counter(
            "comfreyhatch_journal_dropped",
            "Entries not kept because the journal was full; their bills are lost.",
            registry=registry,
        )
        self._shortened = Counter(
            "comfreyhatch_journal_shortened",
            "Records kept without their grounds because the journal was nearly full.",
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
        """Add an entry; the future tells whether it is kept elsewhere, and never fails."""
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
        """Add an entry and return whether it is kept elsewhere; waits a bounded time."""
        return await asyncio.shield(self.append(body))

    def find(self, request_id: str) -> RequestRecord | None:
        """Return a record by its request id, if it is not yet stored."""
        return find_record(self.tail, request_id)

    async def run(self) -> None:
        """Store a segment at each interval, and retry through outages."""
        # Daemons that start together store their segments at different times.
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
        """Store all entries; return whether that succeeded."""
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
        """Copy and store what is left; return the number of entries not stored."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        while self.lag and asyncio.get_running_loop().time() < deadline:
            if not await self.store():
                await asyncio.sleep(min(STORE_RETRY_S, timeout_s / 10))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.lag

    async def _copy_after_window(self) -> None:
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
        """Send entries to the buddies; return how many acknowledged them in time."""
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
        """Send a buddy all entries that it does not have; return whether it keeps them."""
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
                    self._unresponsive_until_by_peer[peer] = loop.time() + UNRESPONSIVE_S
                    return False
                sent = entries[-1].number if entries else through
                self._sent_through_by_peer[peer] = sent

    async def _send_batch(self, peer: str, entries: list[Entry]) -> bool:
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
        """Store entries that no buddy keeps; return whether that succeeded in time."""
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self._next_direct_store_at - loop.time())
        self._next_direct_store_at = loop.time() + delay_s + DIRECT_STORE_INTERVAL_S
        if delay_s:
            await asyncio.sleep(min(delay_s, DIRECT_STORE_TIMEOUT_S))
        if self.tail.stored_through < through:
            await asyncio.wait([self._start_task(self.store())], timeout=DIRECT_STORE_TIMEOUT_S)
        return self.tail.stored_through >= through

    async def _announce_stored(self) -> None:
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
