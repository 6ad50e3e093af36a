"""Finds records of requests: here, at other daemons, and in stored segments."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from time import time

from msgspec import Struct

from comfreyhatch.daemon.history.journal import Journal
from comfreyhatch.daemon.history.journal_copies import JournalCopies
from comfreyhatch.daemon.history.records import RecordStore
from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.decisions.journal import bill_segment
from comfreyhatch.decisions.lookup import (
    MAX_REQUEST_S,
    hours_between,
    likely_holders,
    may_contain,
)
from comfreyhatch.decisions.settlement import Settlement, settle
from comfreyhatch.domain.journal import SegmentBill
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.domain.request_id import MILLISECONDS_PER_S, RequestId, parse_request_id
from comfreyhatch.errors import PeerError, PlatformError
from comfreyhatch.ports.peers import MembershipView, PeerBus

PEER_QUERY_TIMEOUT_S = 1.0
MAX_SEGMENTS_READ = 200

log = logging.getLogger("comfreyhatch.explain")


class RecordQuery(Struct, frozen=True, tag="record-query"):
    """Asks a daemon for a record that it has in memory."""

    request_id: str


class RecordReply(Struct, frozen=True, tag="record-reply"):
    """The record, or None if the daemon does not have it."""

    record: RequestRecord | None


class RecordFinder:
    """Looks for records."""

    def __init__(
        self,
        bus: PeerBus,
        view: Callable[[], MembershipView],
        instance_id: str,
        records: RecordStore,
        journal: Journal,
        journal_copies: JournalCopies,
        store: SegmentStore,
    ) -> None:
        self._bus = bus
        self._view = view
        self._instance_id = instance_id
        self._records = records
        self._journal = journal
        self._journal_copies = journal_copies
        self._store = store
        bus.on_message(RecordQuery, self._on_query)

    async def find(self, request_id: str) -> RequestRecord | None:
        """Return a record by its request id, wherever it is.

        Raises:
            RequestError: If the id is malformed.
            PlatformError: If nobody has it in memory and the stores do not answer.
        """
        parsed = parse_request_id(request_id)
        record = await self._find_local(request_id)
        record = record or await self._find_at_peers(request_id, parsed.incarnation)
        return record or await self._find_stored(request_id, parsed)

    async def since(self, unix_s: float, customer: str) -> list[RequestRecord]:
        """Return the records accepted since a time, of one customer or of all.

        Those that other daemons have not stored yet are left out; so are all stored ones but
        those kept in memory if the stores do not answer.
        """
        by_id = {r.request_id: r for r in await self._records.since(unix_s, customer)}
        try:
            for record in await self._stored_since(unix_s, customer):
                by_id.setdefault(record.request_id, record)
        except PlatformError as error:
            log.warning("event=stored_records_unavailable reason=%r", str(error))
        return sorted(by_id.values(), key=lambda record: record.at_unix_s)

    async def settlement(self, since_unix_s: float) -> Settlement:
        """Return the bills since a time, with what is not stored yet as far as it is known here.

        Raises:
            PlatformError: If the table does not answer.
        """
        now = time()
        tails = [self._journal.tail, *self._journal_copies.tails()]
        segments = [tail.next_segment(now) for tail in tails]
        bills = [bill_segment(segment) for segment in segments if segment]
        async for bill in self._bills(since_unix_s, now):
            bills.append(bill)
        return settle(bills)

    async def _bills(self, since_unix_s: float, until_unix_s: float) -> AsyncIterator[SegmentBill]:
        for hour in hours_between(since_unix_s, until_unix_s):
            async for bill in self._store.bills(hour):
                yield bill

    async def _find_local(self, request_id: str) -> RequestRecord | None:
        return (
            await self._records.find(request_id)
            or self._journal.find(request_id)
            or self._journal_copies.find(request_id)
        )

    async def _find_at_peers(self, request_id: str, journal: str) -> RequestRecord | None:
        holders = likely_holders(journal, self._instance_id, self._view())
        found = await asyncio.gather(*(self._query_peer(holder, request_id) for holder in holders))
        return next((record for record in found if record), None)

    async def _query_peer(self, holder: str, request_id: str) -> RequestRecord | None:
        try:
            reply = await self._bus.request(
                holder, RecordQuery(request_id), RecordReply, PEER_QUERY_TIMEOUT_S
            )
        except PeerError:
            return None
        return reply.record

    async def _on_query(self, _sender: str, query: RecordQuery) -> RecordReply:
        return RecordReply(await self._find_local(query.request_id))

    async def _find_stored(self, request_id: str, parsed: RequestId) -> RequestRecord | None:
        at_unix_s = parsed.at_ms / MILLISECONDS_PER_S
        journal = parsed.incarnation
        last = 0
        for hour in hours_between(at_unix_s, min(time(), at_unix_s + MAX_REQUEST_S)):
            async for bill in self._store.bills(hour, journal):
                last = bill.sequence
                if may_contain(bill, at_unix_s):
                    record = await self._find_in_segment(journal, bill.sequence, request_id)
                    if record:
                        return record
        # Segments whose bills are not written yet.
        for sequence in await self._store.sequences_after(journal, last):
            record = await self._find_in_segment(journal, sequence, request_id)
            if record:
                return record
        return None

    async def _find_in_segment(
        self, journal: str, sequence: int, request_id: str
    ) -> RequestRecord | None:
        segment = await self._store.read(journal, sequence)
        return next((r for r in segment.records if r.request_id == request_id), None)

    async def _stored_since(self, unix_s: float, customer: str) -> list[RequestRecord]:
        bills = [
            bill
            async for bill in self._bills(unix_s, time())
            if bill.last_unix_s >= unix_s and (not customer or customer in bill.customers)
        ]
        if len(bills) > MAX_SEGMENTS_READ:
            log.warning("event=records_truncated segments=%d", len(bills))
        bills.sort(key=lambda bill: -bill.last_unix_s)
        found: list[RequestRecord] = []
        for bill in bills[:MAX_SEGMENTS_READ]:
            segment = await self._store.read(bill.journal, bill.sequence)
            found += [
                record
                for record in segment.records
                if record.at_unix_s >= unix_s and customer in ("", record.customer)
            ]
        return found
