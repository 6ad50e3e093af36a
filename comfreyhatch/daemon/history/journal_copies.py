"""Keeps copies of other daemons' journals and stores them once their writers have ended."""

import asyncio
import logging
from collections.abc import Callable
from time import time

from msgspec import Struct
from prometheus_client import CollectorRegistry, Counter, Gauge

from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.decisions.journal import JournalTail
from comfreyhatch.domain.journal import Entry, Outcome, decode_body
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import MembershipView, PeerBus, may_be_process

ORPHAN_CHECK_INTERVAL_S = 2.0
# Time since a writer's last batch before its copy may be stored here.
WRITER_GRACE_S = 20.0
# Time since the last batch after which an empty copy is dropped.
EMPTY_COPY_MAX_AGE_S = 120.0
# Batches are refused once all copies together reach this size.
MAX_COPIES_BYTES = 12_000_000

log = logging.getLogger("comfreyhatch.journal")


class JournalBatch(Struct, frozen=True, tag="journal-batch"):
    """Entries of a journal for a buddy, and how far the journal is stored.

    Attributes:
        journal: The journal, named by the incarnation of its writer.
        next_sequence: Sequence number of the writer's next segment.
        stored_through: Number up to which all entries are stored.
        entries: The entries; empty if the batch only reports what is stored.
    """

    journal: str
    next_sequence: int
    stored_through: int
    entries: tuple[Entry, ...] = ()


class JournalAck(Struct, frozen=True, tag="journal-ack"):
    """Reply to a `JournalBatch`: whether the buddy keeps its entries."""

    accepted: bool


class _Copy:
    """A copy of a journal, the instance id of its writer and the time of its last batch."""

    def __init__(self, tail: JournalTail, writer: str) -> None:
        self.tail = tail
        self.writer = writer
        self.last_batch_at = 0.0


class JournalCopies:
    """Copies of the journals for which this daemon is a buddy.

    A writer that is only paused may store its entries at the same time as this daemon. Segments
    are written only if their sequence number is free, so that no entry is stored twice.
    """

    def __init__(
        self,
        bus: PeerBus,
        view: Callable[[], MembershipView],
        store: SegmentStore,
        instance_id: str,
        registry: CollectorRegistry | None = None,
        max_bytes: int = MAX_COPIES_BYTES,
        grace_s: float = WRITER_GRACE_S,
    ) -> None:
        """Create an empty set of copies and register for batches.

        Args:
            bus: Delivers batches of other daemons.
            view: Returns the live daemons.
            store: Stores the segments of ended writers.
            instance_id: Instance id of this daemon.
            registry: Registry for the metrics.
            max_bytes: Batches with entries are refused once all copies together reach this size.
            grace_s: Time since a writer's last batch before its copy may be stored, in seconds.
        """
        self._view = view
        self._store = store
        self._instance_id = instance_id
        self._max_bytes = max_bytes
        self._grace_s = grace_s
        self._copy_by_journal: dict[str, _Copy] = {}
        registry = registry or CollectorRegistry()
        size = Gauge(
            "comfreyhatch_journal_copies_bytes",
            "Size of the copies of other daemons' journals.",
            registry=registry,
        )
        size.set_function(lambda: self.size_bytes)
        self._refused = Counter(
            "comfreyhatch_journal_copies_refused",
            "Batches of other journals refused because the copies were full.",
            registry=registry,
        )
        self._taken_over = Counter(
            "comfreyhatch_journal_take_overs",
            "Segments stored for writers that have ended.",
            registry=registry,
        )
        bus.on_message(JournalBatch, self._on_batch)

    @property
    def size_bytes(self) -> int:
        """Total size of the encoded entries of all copies."""
        return sum(copy.tail.size_bytes for copy in self._copy_by_journal.values())

    async def run(self) -> None:
        """Store the copies of ended writers periodically, until cancelled."""
        while True:
            await asyncio.sleep(ORPHAN_CHECK_INTERVAL_S)
            await self.store_orphans()

    async def store_orphans(self) -> None:
        """Store the copies of ended writers and drop empty copies that are no longer written.

        A copy that cannot be stored is kept and retried by the next call.
        """
        now = asyncio.get_running_loop().time()
        for journal, copy in list(self._copy_by_journal.items()):
            idle_s = now - copy.last_batch_at
            if not copy.tail.entry_by_number:
                if idle_s > EMPTY_COPY_MAX_AGE_S:
                    del self._copy_by_journal[journal]
            elif idle_s > self._grace_s and self._writer_has_ended(journal, copy):
                await self._store_orphan(copy)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request id; None if no copy contains it."""
        # A request id is the incarnation, which names the journal, a time and a counter.
        journal = request_id.rsplit(".", 2)[0]
        copy = self._copy_by_journal.get(journal)
        return find_record(copy.tail, request_id) if copy else None

    def tails(self) -> list[JournalTail]:
        """Return the copies that are not empty."""
        return [copy.tail for copy in self._copy_by_journal.values() if copy.tail.entry_by_number]

    def _writer_has_ended(self, journal: str, copy: _Copy) -> bool:
        """Return whether the writer's process is no longer among the live daemons."""
        member = self._view().member_by_id.get(copy.writer)
        return member is None or not may_be_process(member, journal)

    async def _store_orphan(self, copy: _Copy) -> None:
        try:
            while await self._store.store_next(copy.tail, time()):
                self._taken_over.inc()
                log.info(
                    "event=journal_taken_over journal=%s writer=%s through=%d",
                    copy.tail.journal,
                    copy.writer,
                    copy.tail.stored_through,
                )
        except PlatformError as error:
            log.info("event=take_over_delayed journal=%s reason=%r", copy.tail.journal, str(error))

    async def _on_batch(self, sender: str, batch: JournalBatch) -> JournalAck:
        """Drop the entries that a batch reports as stored, and keep its entries unless full."""
        copy = self._copy_by_journal.get(batch.journal)
        if copy is None:
            copy = _Copy(JournalTail(batch.journal, self._instance_id), sender)
            self._copy_by_journal[batch.journal] = copy
        copy.last_batch_at = asyncio.get_running_loop().time()
        copy.tail.trim(batch.next_sequence, batch.stored_through)
        if batch.entries and self.size_bytes >= self._max_bytes:
            self._refused.inc()
            return JournalAck(False)
        for entry in batch.entries:
            copy.tail.add(entry)
        return JournalAck(True)


def find_record(tail: JournalTail, request_id: str) -> RequestRecord | None:
    """Return the record of a request id; None if the tail does not contain it."""
    encoded_id = request_id.encode()
    for entry in reversed(tail.entry_by_number.values()):
        # Avoids decoding the entries of other requests.
        if encoded_id not in entry.body:
            continue
        body = decode_body(entry.body)
        if isinstance(body, Outcome) and body.record.request_id == request_id:
            return body.record
    return None
