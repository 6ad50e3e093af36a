"""Stores journal segments as objects and their bills as table rows."""

import asyncio
from collections.abc import AsyncIterator

from comfreyhatch.decisions.journal import JournalTail, bill_segment
from comfreyhatch.domain.journal import (
    Segment,
    SegmentBill,
    bill_key,
    bill_prefix,
    decode_bill,
    decode_segment,
    encode_bill,
    encode_segment,
    segment_key,
    segment_prefix,
)
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import ObjectStore
from comfreyhatch.ports.table import Insert, Table, WriteOutcome

SCAN_PAGE_ROWS = 1000
# Segments after the last billed one of a journal that are searched for a record.
MAX_UNBILLED_SEGMENTS = 20


class SegmentStore:
    """Stores and reads segments; the content of a sequence number never changes once written.

    The object is written before the bill. The bill depends on the object alone, so that a daemon
    that completes the write of another daemon writes the same row.
    """

    def __init__(self, objects: ObjectStore, table: Table) -> None:
        self._objects = objects
        self._table = table

    async def store_next(self, tail: JournalTail, now_unix_s: float) -> bool:
        """Store the next segment of a tail and its bill, and record the segment in the tail.

        If another daemon has stored a segment under the same sequence number, that segment is
        used instead.

        Args:
            tail: Entries not known to be stored.
            now_unix_s: Present time, in seconds since the epoch.

        Returns:
            Whether there was a segment to store.

        Raises:
            PlatformError: If the object store or the table does not answer; the call may be
                repeated.
        """
        if tail.needs_previous_segment:
            tail.record_stored(await self.read(tail.journal, tail.next_sequence - 1))
        segment = tail.next_segment(now_unix_s)
        if segment is None:
            return False
        value = await asyncio.to_thread(encode_segment, segment)
        key = segment_key(segment.journal, segment.sequence)
        outcome = await self._objects.put_if_absent(key, value)
        if outcome is WriteOutcome.UNKNOWN:
            raise PlatformError("the outcome of writing a segment is unknown")
        if outcome is WriteOutcome.REFUSED:
            segment = await self.read(segment.journal, segment.sequence)
        await self._insert_bill(segment)
        tail.record_stored(segment)
        return True

    async def read(self, journal: str, sequence: int) -> Segment:
        """Return a stored segment.

        Raises:
            PlatformError: If it does not exist or the object store does not answer.
        """
        value = await self._objects.get(segment_key(journal, sequence))
        if value is None:
            raise PlatformError(f"segment {sequence} of journal {journal} is missing")
        return decode_segment(value)

    async def bills(self, hour: str, journal: str = "") -> AsyncIterator[SegmentBill]:
        """Yield the bills of segments that were closed in an hour.

        Args:
            hour: Name of the hour, as `hour_of` returns it.
            journal: Journal whose bills are returned; empty for all.

        Raises:
            PlatformError: If the table does not answer.
        """
        after = ""
        while True:
            rows = await self._table.scan(bill_prefix(hour, journal), after, SCAN_PAGE_ROWS)
            for row in rows:
                yield decode_bill(row.value)
            if len(rows) < SCAN_PAGE_ROWS:
                return
            after = rows[-1].key

    async def sequences_after(self, journal: str, sequence: int) -> list[int]:
        """Return the sequence numbers of the first stored segments after a given one.

        At most `MAX_UNBILLED_SEGMENTS` are returned.

        Raises:
            PlatformError: If the object store does not answer.
        """
        prefix = segment_prefix(journal)
        after = segment_key(journal, sequence)
        keys = await self._objects.list_keys(prefix, after, MAX_UNBILLED_SEGMENTS)
        return [int(key.removeprefix(prefix)) for key in keys]

    async def _insert_bill(self, segment: Segment) -> None:
        row = Insert(bill_key(segment), encode_bill(bill_segment(segment)))
        if await self._table.commit([row]) is WriteOutcome.UNKNOWN:
            raise PlatformError("the outcome of writing a bill is unknown")
