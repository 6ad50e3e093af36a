"""Client of the platform's store: tables of rows with conditional writes and a change feed."""

import logging
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from enum import Enum
from urllib.parse import urlencode

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode

from comfreyhatch.adapters.http_client import HttpClient, HttpReply
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import HttpError, PlatformError

CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
ROWS_PER_PAGE = 500
MS_PER_S = 1000.0

HTTP_OK = 200
HTTP_PRECONDITION_FAILED = 412
HTTP_GONE = 410

log = logging.getLogger("comfreyhatch.store")


class Row(Struct, frozen=True):
    """A row of a table, or the record of its removal.

    Attributes:
        table: Name of the table.
        key: Key in the table's partition with the empty name, the only one that the daemons use.
        value: Value; empty if the row is removed or its value is not valid base64.
        revision: Revision of the store that last changed the row.
        removed: Whether the row is removed.
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False


class Rows(Struct, frozen=True):
    """Rows at one revision of the store.

    Attributes:
        rows: All rows of a table, or those that changed.
        revision: Revision of the store.
        store_ms: Time by the store's clock, in milliseconds.
    """

    rows: tuple[Row, ...]
    revision: int
    store_ms: int


class Write(Struct, frozen=True):
    """A row to write.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        value: New value.
        expected: Revision that the row must have; 0 if it must not exist, None for any.
    """

    table: str
    key: str
    value: bytes
    expected: int | None = None


class WriteResult(Enum):
    """Result of a write; see `StoreClient.write`."""

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class HistoryGoneError(PlatformError):
    """The store no longer has the requested changes; the table must be read in full."""


class _WireRow(Struct):
    """A row in an answer; `part` is its partition, `ver` the revision that last changed it."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class _WireRows(Struct):
    """Body of an answer with rows; `ver` is the revision of the store."""

    rows: list[_WireRow] = []
    has_more: bool = False
    ver: int = 0
    now_ms: float = 0


class _WireRef(Struct):
    """A row and the revision `ver` that it must have; 0 if it must not exist."""

    table: str
    part: str
    key: str
    ver: int


class _WireWrite(Struct):
    table: str
    part: str
    key: str
    value: str


class _WireTransaction(Struct):
    expected_rev: list[_WireRef]
    writes: list[_WireWrite]
    remove: list[_WireRef] = []


class StoreClient:
    """Reads, watches and writes rows; every call has a timeout.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client = HttpClient(connect_timeout_s=CONNECT_TIMEOUT_S)
        self._decoder = Decoder(_WireRows)
        self.calls = 0

    async def read(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises:
            PlatformError: If the store does not answer or refuses.
        """
        rows: list[Row] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(ROWS_PER_PAGE)}
            if start:
                query["from"] = start
            page = self._rows(await self._call("GET", f"/rows-get?{urlencode(query)}"))
            rows += [row for row in map(_to_row, page.rows) if row]
            if not page.has_more or not page.rows:
                return Rows(tuple(rows), page.ver, int(page.now_ms))
            start = page.rows[-1].key + "\0"  # the smallest key after the last one

    async def follow(self, table: str, after: int, wait_s: float) -> Rows:
        """Return the rows of a table that changed after a revision (long poll).

        Args:
            table: Name of the table.
            after: Revision of the store.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryGoneError: If the store no longer has these changes.
            PlatformError: If the store does not answer or refuses.
        """
        query = {"table": table, "after": str(after), "wait_ms": str(int(wait_s * MS_PER_S))}
        reply = await self._call("GET", f"/rows-feed?{urlencode(query)}", extra_timeout_s=wait_s)
        if reply.status == HTTP_GONE:
            raise HistoryGoneError(
                f"the changes of table {table} after revision {after} are no longer available"
            )
        page = self._rows(reply)
        rows = tuple(row for row in map(_to_row, page.rows) if row)
        return Rows(rows, max(after, page.ver), int(page.now_ms))

    async def write(self, writes: list[Write]) -> WriteResult:
        """Apply all writes, or none of them.

        Returns:
            DONE if the writes are applied; CONFLICT if a row does not have its expected revision;
            REFUSED if the store rejected the writes for another reason; UNKNOWN if no answer
            arrived: the writes may be applied now or later.
        """
        refs = [_WireRef(w.table, "", w.key, w.expected) for w in writes if w.expected is not None]
        puts = [_WireWrite(w.table, "", w.key, b64encode(w.value).decode()) for w in writes]
        try:
            reply = await self._call("POST", "/rows-tx", encode(_WireTransaction(refs, puts)))
        except PlatformError as error:
            log.warning("event=store_write_unanswered reason=%r", str(error))
            return WriteResult.UNKNOWN
        if reply.status == HTTP_OK:
            return WriteResult.DONE
        if reply.status == HTTP_PRECONDITION_FAILED:
            return WriteResult.CONFLICT
        log.info("event=store_write_refused status=%d", reply.status)
        return WriteResult.REFUSED

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self, method: str, target: str, body: bytes = b"", extra_timeout_s: float = 0.0
    ) -> HttpReply:
        self.calls += 1
        headers = {"content-type": "application/json"} if body else {}
        try:
            return await self._client.request(
                self._address, method, target, body, headers, CALL_TIMEOUT_S + extra_timeout_s
            )
        except HttpError as error:
            raise PlatformError(f"the store does not answer: {error}") from error

    def _rows(self, reply: HttpReply) -> _WireRows:
        if reply.status != HTTP_OK:
            raise PlatformError(f"the store refused a read with status {reply.status}")
        try:
            return self._decoder.decode(reply.body)
        except (DecodeError, ValidationError) as error:
            raise PlatformError(f"the store's answer is malformed: {error}") from error


def _to_row(wire: _WireRow) -> Row | None:
    """Convert a row; return None for other partitions than the one that the daemons use.

    A value that is not valid base64 is logged and becomes empty.
    """
    if wire.part:
        return None
    try:
        value = b64decode(wire.value, validate=True)
    except (Base64Error, ValueError):
        log.warning("event=row_unreadable table=%s key=%s", wire.table, wire.key)
        value = b""
    return Row(wire.table, wire.key, value, wire.ver, wire.removed)
