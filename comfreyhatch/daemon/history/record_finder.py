"""Looks up records and bills in memory, on other daemons and in the stores."""

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
# Segments that one listing of records reads, the latest first.
MAX_SEGMENTS_READ = 200

log = logging.getLogger("comfreyhatch.explain")


class RecordQuery(Struct, frozen=True, tag="record-query"):
    """Query to a daemon for a record that it has in memory."""

    request_id: str


class RecordReply(Struct, frozen=True, tag="record-reply"):
    """Reply to a `RecordQuery`: the record, or None if the daemon does not have it."""

    record: RequestRecord | None


class RecordFinder:
    """Finds records and settles bills from memory, other daemons and the stores."""

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
        """Create a finder and register for queries of other daemons.

        Args:
            bus: Carries queries between daemons.
            view: Returns the live daemons.
            instance_id: Instance id of this daemon.
            records: Latest records of this daemon.
            journal: Journal of this daemon.
            journal_copies: Copies of other daemons' journals.
            store: Stored segments and bills.
        """
        self._bus = bus
        self._view = view
        self._instance_id = instance_id
        self._records = records
        self._journal = journal
        self._journal_copies = journal_copies
        self._store = store
        bus.on_message(RecordQuery, self._on_query)

    async def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request id; None if no daemon and no segment has it.

        Looks in memory here, then on the writer of the journal and its possible buddies, then in
        stored segments.

        Raises:
            RequestError: If the id is malformed.
            PlatformError: If no daemon has it in memory and the stores do not answer.
        """
        parsed = parse_request_id(request_id)
        record = await self._find_local(request_id)
        record = record or await self._find_at_peers(request_id, parsed.incarnation)
        return record or await self._find_stored(request_id, parsed)

    async def since(self, unix_s: float, customer: str) -> list[RequestRecord]:
        """Return the records of requests accepted since a time, in order of acceptance.

        Records of other daemons are included once they are stored. If the stores do not answer,
        only the records that this daemon has in memory are returned.

        Args:
            unix_s: Earliest time of acceptance, in seconds since the epoch.
            customer: Customer; empty for all.
        """
        by_id = {r.request_id: r for r in await self._records.since(unix_s, customer)}
        try:
            for record in await self._stored_since(unix_s, customer):
                by_id.setdefault(record.request_id, record)
        except PlatformError as error:
            log.warning("event=stored_records_unavailable reason=%r", str(error))
        return sorted(by_id.values(), key=lambda record: record.at_unix_s)

    async def settlement(self, since_unix_s: float) -> Settlement:
        """Return the settlement of all bills since a time.

        Includes the unstored entries of this daemon's journal and of its copies of other journals.

        Args:
            since_unix_s: Start of the period, in seconds since the epoch.

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
        """Query the writer of a journal and its possible buddies for a record."""
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
        """Search the stored segments of a journal from the hour of the request's acceptance on."""
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
        # Segments whose bills are not yet written.
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
        """Return the stored records since a time, from at most `MAX_SEGMENTS_READ` segments."""
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
