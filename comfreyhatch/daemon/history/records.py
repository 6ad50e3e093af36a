"""Records of the requests that this daemon accepted."""

from collections.abc import Awaitable, Callable

from comfreyhatch.daemon.history.journal import Journal
from comfreyhatch.domain.journal import Intent, Outcome
from comfreyhatch.domain.record import RequestRecord

MAX_RECORDS = 2_000


class RecordStore:
    """Keeps the latest records in memory, by request id."""

    def __init__(self, observe: Callable[[RequestRecord], None], journal: Journal) -> None:
        self._observe = observe
        self._journal = journal
        self._intent_copied_by_id: dict[str, Awaitable[bool]] = {}
        self.record_by_id: dict[str, RequestRecord] = {}

    def append_intent(self, intent: Intent) -> None:
        """Note that a request is about to be dispatched; does not wait."""
        if intent.request_id not in self._intent_copied_by_id:
            self._intent_copied_by_id[intent.request_id] = self._journal.append(intent)

    async def wait_for_intent(self, request_id: str) -> None:
        """Wait until others keep the note, before the caller sees the first of its answer."""
        copied = self._intent_copied_by_id.get(request_id)
        if copied is not None:
            await copied

    async def commit(self, record: RequestRecord) -> None:
        """Store a record before the caller sees the end of its answer."""
        self._intent_copied_by_id.pop(record.request_id, None)
        self.record_by_id[record.request_id] = record
        self._observe(record)
        if len(self.record_by_id) > MAX_RECORDS:
            del self.record_by_id[next(iter(self.record_by_id))]
        await self._journal.commit(Outcome(record))

    async def find(self, request_id: str) -> RequestRecord | None:
        """Return a record by its request id."""
        return self.record_by_id.get(request_id)

    async def since(self, unix_s: float, customer: str = "") -> list[RequestRecord]:
        """Return the records accepted since a time, of one customer or of all."""
        return [
            record
            for record in self.record_by_id.values()
            if record.at_unix_s >= unix_s and customer in ("", record.customer)
        ]
