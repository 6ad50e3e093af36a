"""Stores segments of journals: their records as objects, their bills as rows."""

import asyncio

from comfreyhatch.decisions.journal import Tail, bill_segment
from comfreyhatch.domain.journal import (
    Segment,
    bill_key,
    decode_segment,
    encode_bill,
    encode_segment,
    segment_key,
)
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import ObjectStore
from comfreyhatch.ports.table import Insert, Table, WriteOutcome


class SegmentStore:
    """Writes segments so that each sequence number of a journal has one content.

    The object comes first. Its bill follows from it alone, so that whoever finishes the work
    of another writes the same row.
    """

    def __init__(self, objects: ObjectStore, table: Table) -> None:
        self._objects = objects
        self._table = table

    async def store_next(self, tail: Tail, now_unix_s: float) -> bool:
        """Store the next segment of a tail; return False if it has nothing to store.

        Args:
            tail: Entries not known to be stored.
            now_unix_s: Present time, in seconds since the epoch.

        Raises:
            PlatformError: If the stores do not answer; call again later.
        """
        if tail.needs_previous:
            tail.stored(await self.read(tail.journal, tail.next_sequence - 1))
        segment = tail.segment(now_unix_s)
        if segment is None:
            return False
        value = await asyncio.to_thread(encode_segment, segment)
        key = segment_key(segment.journal, segment.sequence)
        outcome = await self._objects.put_if_absent(key, value)
        if outcome is WriteOutcome.UNKNOWN:
            raise PlatformError("the answer to a segment's write was lost")
        if outcome is WriteOutcome.REFUSED:
            segment = await self.read(segment.journal, segment.sequence)
        await self._insert_bill(segment)
        tail.stored(segment)
        return True

    async def read(self, journal: str, sequence: int) -> Segment:
        """Return a stored segment.

        Raises:
            PlatformError: If it cannot be read.
        """
        value = await self._objects.get(segment_key(journal, sequence))
        if value is None:
            raise PlatformError(f"segment {sequence} of journal {journal} is missing")
        return decode_segment(value)

    async def _insert_bill(self, segment: Segment) -> None:
        row = Insert(bill_key(segment), encode_bill(bill_segment(segment)))
        if await self._table.commit([row]) is WriteOutcome.UNKNOWN:
            raise PlatformError("the answer to a bill's write was lost")
