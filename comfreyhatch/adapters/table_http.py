"""The platform's transactional table over HTTP."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder
from msgspec.json import encode as encode_json

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.platform_http import PLATFORM_TIMEOUT_S, ask, send_named
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, HttpError, PlatformError
from comfreyhatch.ports.table import Operation, Row, WriteOutcome

UNAVAILABLE_STATUS = 503


class ReadRequest(Struct, frozen=True):
    """Asks for one row."""

    key: str


class ScanRequest(Struct, frozen=True):
    """Asks for rows by prefix."""

    prefix: str
    after: str
    limit: int


class RowsReply(Struct, frozen=True):
    """Rows in key order."""

    rows: tuple[Row, ...]


class CommitRequest(Struct, frozen=True):
    """A transaction."""

    operations: tuple[Operation, ...]


class CommitReply(Struct, frozen=True):
    """Whether the transaction took effect."""

    outcome: WriteOutcome


_rows_decoder = Decoder(RowsReply)
_commit_decoder = Decoder(CommitReply)


class HttpTable:
    """A table whose rows are read and written by HTTP requests with JSON bodies."""

    def __init__(
        self, client: HttpClient, address: Address, timeout_s: float = PLATFORM_TIMEOUT_S
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if absent.

        Raises:
            PlatformError: If the table does not answer.
        """
        rows = await self._rows("/table/read", ReadRequest(key))
        return rows[0] if rows else None

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has the prefix and sorts after `after`, in key order.

        Raises:
            PlatformError: If the table does not answer.
        """
        return list(await self._rows("/table/scan", ScanRequest(prefix, after, limit)))

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none.

        Returns:
            UNKNOWN when the answer was lost: the write may have taken effect.

        Raises:
            PlatformError: If it is certain that nothing was written.
        """
        body = encode_json(CommitRequest(tuple(operations)))
        try:
            reply = await send_named(
                self._client,
                self._address,
                "POST",
                "/table/commit",
                body,
                timeout_s=self._timeout_s,
            )
        except ConnectError as error:
            raise PlatformError(f"table at {self._address}: {error}") from error
        except HttpError:
            return WriteOutcome.UNKNOWN
        if reply.status == UNAVAILABLE_STATUS:
            raise PlatformError(f"table at {self._address} refused the write")
        if reply.status != 200:
            return WriteOutcome.UNKNOWN
        try:
            return _commit_decoder.decode(reply.body).outcome
        except (DecodeError, ValidationError):
            return WriteOutcome.UNKNOWN

    async def _rows(self, target: str, request: Struct) -> tuple[Row, ...]:
        body = encode_json(request)
        reply = await ask(self._client, self._address, "POST", target, body, self._timeout_s)
        try:
            return _rows_decoder.decode(reply).rows
        except (DecodeError, ValidationError) as error:
            raise PlatformError(f"the table's answer is malformed: {error}") from error
