"""The platform's transactional table, and an in-memory implementation."""

from enum import Enum
from typing import Protocol

from msgspec import Struct


class WriteOutcome(Enum):
    """What is known of a write: done, refused by a condition, or its answer was lost."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Row(Struct, frozen=True):
    """A row and its revision, which grows by one with each write of the row, from 1."""

    key: str
    value: bytes
    revision: int


class Insert(Struct, frozen=True, tag="insert"):
    """Inserts a row; the transaction is refused if the key is present."""

    key: str
    value: bytes


class Update(Struct, frozen=True, tag="update"):
    """Replaces a row; refused unless the row has the expected revision."""

    key: str
    value: bytes
    expected: int


class Delete(Struct, frozen=True, tag="delete"):
    """Deletes a row; refused unless the row has the expected revision."""

    key: str
    expected: int


class Require(Struct, frozen=True, tag="require"):
    """Refuses the transaction unless the row has the expected revision; 0 for absent."""

    key: str
    expected: int


Operation = Insert | Update | Delete | Require


class Table(Protocol):
    """Rows by key, written by transactions."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if absent.

        Raises:
            PlatformError: If the table does not answer.
        """
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has the prefix and sorts after `after`, in key order.

        Raises:
            PlatformError: If the table does not answer.
        """
        ...

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none.

        Returns:
            UNKNOWN when the answer was lost: the write may have taken effect.

        Raises:
            PlatformError: If it is certain that nothing was written.
        """
        ...


class MemoryTable:
    """A table in memory with the semantics of the port."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, Row] = {}

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if absent."""
        return self.row_by_key.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by prefix in key order."""
        keys = sorted(k for k in self.row_by_key if k.startswith(prefix) and k > after)
        return [self.row_by_key[key] for key in keys[:limit]]

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none."""
        return self.commit_now(operations)

    def commit_now(self, operations: list[Operation]) -> WriteOutcome:
        """Apply all operations or none, without waiting."""
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
