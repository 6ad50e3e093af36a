"""Counts for reports on error budget burn, stored as segments in the platform's object store."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from time import time
from zlib import compress, decompress
from zlib import error as zlib_error

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from comfreyhatch.decisions.burn import (
    BurnCounts,
    BurnSegment,
    StoredBurn,
    downsample,
    sum_segments,
)
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.objects import ObjectStore
from comfreyhatch.ports.table import WriteOutcome

FLUSH_INTERVAL_S = 300.0
# Closed segments kept in memory while the store is down; beyond this number the oldest one is
# dropped.
MAX_PENDING_SEGMENTS = 288
LIST_PAGE_KEYS = 1000
MAX_CONCURRENT_READS = 16
BURN_PREFIX = "burn/"

log = logging.getLogger("comfreyhatch.burn")

_decoder = Decoder(BurnSegment)


class PendingSegment(Struct, frozen=True):
    """A closed segment that is not known to be stored, and its object key."""

    key: str
    segment: BurnSegment


class BurnStore:
    """Counts requests and ratings and stores the counts in segments.

    Each segment has its own object key and does not change once it has the key. A write whose
    outcome is unknown can therefore be repeated safely.
    """

    def __init__(
        self,
        objects: ObjectStore,
        incarnation: str,
        contracts: Callable[[], dict[str, Contract]],
        bad_versions: Callable[[], frozenset[str]],
    ) -> None:
        """Create a store without counts.

        Args:
            objects: Object store of the platform.
            incarnation: Incarnation of this daemon, part of the object keys.
            contracts: Returns the contracts in force by customer.
            bad_versions: Returns the ids of the versions known to be bad.
        """
        self._objects = objects
        self._incarnation = incarnation
        self._contracts = contracts
        self._bad_versions = bad_versions
        self._open_counts = BurnCounts()
        self._sequence = 0
        self._pending: deque[PendingSegment] = deque(maxlen=MAX_PENDING_SEGMENTS)

    def observe(self, record: RequestRecord) -> None:
        """Count a request for the objectives of its customer's contract, if there is one."""
        contract = self._contracts().get(record.customer)
        if contract:
            self._open_counts.add_record(record, contract, self._bad_versions())

    def observe_rating(self, customer: str, version_id: str, rating: float) -> None:
        """Count a rating of an answer whose request is already counted."""
        contract = self._contracts().get(customer)
        if contract:
            self._open_counts.add_rating(contract, version_id, rating, time())

    async def run(self) -> None:
        """Store a segment every `FLUSH_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.flush(time())

    async def flush(self, now_unix_s: float) -> None:
        """Close the open segment and store all pending segments, oldest first.

        Segments that cannot be stored remain pending.

        Args:
            now_unix_s: Present time, in seconds since the epoch.
        """
        self._close_segment(now_unix_s)
        while self._pending:
            first = self._pending[0]
            try:
                outcome = await self._objects.put_if_absent(
                    first.key, _encode_segment(first.segment)
                )
            except ComfreyhatchError as error:
                log.warning("event=burn_store_unavailable reason=%r", str(error))
                return
            if outcome is WriteOutcome.UNKNOWN:
                log.info("event=burn_write_unknown key=%s", first.key)
                return
            if self._pending and self._pending[0] is first:
                self._pending.popleft()

    def pending(self) -> list[BurnSegment]:
        """Return the segments that are not yet stored, including the open one."""
        return [entry.segment for entry in self._pending] + [self._open_segment()]

    async def stored(self, from_unix_s: float, to_unix_s: float) -> StoredBurn:
        """Return the summed counts of all instances' segments that were closed in a period.

        Missing and malformed segments are skipped.

        Args:
            from_unix_s: Start of the period, in seconds since the epoch.
            to_unix_s: End of the period, in seconds since the epoch.

        Raises:
            PlatformError: If the store does not answer.
        """
        keys = await self._list_keys_between(
            segment_key(from_unix_s, "", 0), segment_key(to_unix_s, "", 0)
        )
        segments: list[BurnSegment] = []
        for start in range(0, len(keys), MAX_CONCURRENT_READS):
            found = await asyncio.gather(
                *(self._objects.get(key) for key in keys[start : start + MAX_CONCURRENT_READS])
            )
            pairs = zip(keys[start:], found, strict=False)
            segments += [s for key, value in pairs if (s := _decode_segment(key, value))]
        return sum_segments(segments)

    async def _list_keys_between(self, after: str, before: str) -> list[str]:
        keys: list[str] = []
        while page := await self._objects.list_keys(BURN_PREFIX, after, LIST_PAGE_KEYS):
            keys += [key for key in page if key < before]
            if page[-1] >= before:
                break
            after = page[-1]
        return keys

    def _open_segment(self) -> BurnSegment:
        return BurnSegment(self._incarnation, self._sequence, tuple(self._open_counts.counts()))

    def _close_segment(self, now_unix_s: float) -> None:
        """Move the open counts, if there are any, to the pending segments."""
        segment = self._open_segment()
        if not segment.counts:
            return
        if len(self._pending) == MAX_PENDING_SEGMENTS:
            log.warning("event=burn_segment_dropped key=%s", self._pending[0].key)
        key = segment_key(now_unix_s, self._incarnation, self._sequence)
        self._pending.append(PendingSegment(key, downsample(segment)))
        self._open_counts = BurnCounts()
        self._sequence += 1


def segment_key(unix_s: float, incarnation: str, sequence: int) -> str:
    """Return the object key of a segment closed at a time; keys sort by that time."""
    return f"{BURN_PREFIX}{int(unix_s):012d}/{incarnation}/{sequence:06d}"


def _encode_segment(segment: BurnSegment) -> bytes:
    return compress(encode(segment))


def _decode_segment(key: str, value: bytes | None) -> BurnSegment | None:
    """Return a stored segment; None if it is missing or malformed, which is logged."""
    if value is None:
        return None
    try:
        return _decoder.decode(decompress(value))
    except (zlib_error, DecodeError) as error:
        log.warning("event=burn_segment_malformed key=%s reason=%r", key, str(error))
        return None
