"""In-memory store of the records of requests that this daemon accepted."""

from collections.abc import Awaitable, Callable

from comfreyhatch.daemon.history.journal import Journal
from comfreyhatch.domain.journal import Intent, Outcome
from comfreyhatch.domain.record import RequestRecord

MAX_RECORDS = 2_000


class RecordStore:
    """Writes the journal entries of each request and keeps the latest records in memory.

    Attributes:
        record_by_id: The latest records by request id, oldest first.
    """

    def __init__(self, observe: Callable[[RequestRecord], None], journal: Journal) -> None:
        """Create an empty store.

        Args:
            observe: Called with each record, to count it in metrics and burn reports.
            journal: Journal of this daemon.
        """
        self._observe = observe
        self._journal = journal
        self._intent_copied_by_id: dict[str, Awaitable[bool]] = {}
        self.record_by_id: dict[str, RequestRecord] = {}

    def append_intent(self, intent: Intent) -> None:
        """Add the intent to dispatch a request to the journal, once; does not wait for copies."""
        if intent.request_id not in self._intent_copied_by_id:
            self._intent_copied_by_id[intent.request_id] = self._journal.append(intent)

    async def wait_for_intent(self, request_id: str) -> None:
        """Wait a bounded time until the intent of a request is copied or stored.

        Called before the caller receives the first part of the answer.
        """
        copied = self._intent_copied_by_id.get(request_id)
        if copied is not None:
            await copied

    async def commit(self, record: RequestRecord) -> None:
        """Keep a record and wait a bounded time until the journal has copied or stored it.

        Called before the caller receives the end of the answer.
        """
        self._intent_copied_by_id.pop(record.request_id, None)
        self.record_by_id[record.request_id] = record
        self._observe(record)
        if len(self.record_by_id) > MAX_RECORDS:
            del self.record_by_id[next(iter(self.record_by_id))]
        await self._journal.commit(Outcome(record))

    async def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request id; None if it is not in memory."""
        return self.record_by_id.get(request_id)

    async def since(self, unix_s: float, customer: str = "") -> list[RequestRecord]:
        """Return the records in memory of requests accepted since a time.

        Args:
            unix_s: Earliest time of acceptance, in seconds since the epoch.
            customer: Customer; empty for all.
        """
        return [
            record
            for record in self.record_by_id.values()
            if record.at_unix_s >= unix_s and customer in ("", record.customer)
        ]
