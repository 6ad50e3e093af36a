"""The platform's transactional table, and an in-memory implementation."""

from enum import Enum
from typing import Protocol

from msgspec import Struct


class WriteOutcome(Enum):
    """Result of a write: done, refused by a condition, or unknown because the answer was lost."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Row(Struct, frozen=True):
    """A row and its revision, which starts at 1 and increases by 1 with each write."""

    key: str
    value: bytes
    revision: int


class Insert(Struct, frozen=True, tag="insert"):
    """Insert a row; refuse the transaction if the key is present."""

    key: str
    value: bytes


class Update(Struct, frozen=True, tag="update"):
    """Replace a row; refuse the transaction unless the row has the expected revision."""

    key: str
    value: bytes
    expected: int


class Delete(Struct, frozen=True, tag="delete"):
    """Delete a row; refuse the transaction unless the row has the expected revision."""

    key: str
    expected: int


class Require(Struct, frozen=True, tag="require"):
    """Refuse the transaction unless the row has the expected revision; 0 for an absent row."""

    key: str
    expected: int


Operation = Insert | Update | Delete | Require


class Table(Protocol):
    """Table of rows by key, with optimistic transactions."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if absent.

        Raises:
            PlatformError: If the table does not answer.
        """
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return up to `limit` rows with the prefix whose keys sort after `after`, in key order.

        Raises:
            PlatformError: If the table does not answer.
        """
        ...

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none.

        Returns:
            REFUSED if a condition failed; UNKNOWN if the answer was lost, in which case
            the operations may have been applied.

        Raises:
            PlatformError: If certainly nothing was written.
        """
        ...


class MemoryTable:
    """In-memory table."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, Row] = {}

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if absent."""
        return self.row_by_key.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return up to `limit` rows with the prefix whose keys sort after `after`, in key order."""
        keys = sorted(k for k in self.row_by_key if k.startswith(prefix) and k > after)
        return [self.row_by_key[key] for key in keys[:limit]]

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none."""
        return self.commit_now(operations)

    def commit_now(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none; synchronous variant of `commit`."""
        if not all(self._holds(operation) for operation in operations):
            return WriteOutcome.REFUSED
        for operation in operations:
            self._apply(operation)
        return WriteOutcome.DONE

    def _holds(self, operation: Operation) -> bool:
        row = self.row_by_key.get(operation.key)
        revision = row.revision if row else 0
        if isinstance(operation, Insert):
            return revision == 0
        return revision == operation.expected

    def _apply(self, operation: Operation) -> None:
        match operation:
            case Insert(key=key, value=value):
                self.row_by_key[key] = Row(key, value, 1)
            case Update(key=key, value=value, expected=expected):
                self.row_by_key[key] = Row(key, value, expected + 1)
            case Delete(key=key):
                self.row_by_key.pop(key, None)
