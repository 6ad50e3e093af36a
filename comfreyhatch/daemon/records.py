"""Records of the requests that this daemon accepted."""

from collections.abc import Callable

from comfreyhatch.domain.record import RequestRecord

RECORDS_KEPT = 100_000


class RecordBook:
    """Keeps the latest records in memory, by request id."""

    def __init__(self, observe: Callable[[RequestRecord], None]) -> None:
        self._observe = observe
        self.record_by_id: dict[str, RequestRecord] = {}

    async def commit(self, record: RequestRecord) -> None:
        """Store a record before the caller sees the end of its answer."""
        self.record_by_id[record.request_id] = record
        self._observe(record)
        if len(self.record_by_id) > RECORDS_KEPT:
            del self.record_by_id[next(iter(self.record_by_id))]

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
