"""Rows of the platform's store, as they are read and written."""

from enum import Enum

from msgspec import Struct

from comfreyhatch.domain.position import Position


class Row(Struct, frozen=True):
    """A row of a table, or the record of its removal.

    Attributes:
        table: Name of the table.
        key: Key in the table's partition with the empty name, the only one that the daemons use.
        value: Value; empty if the row is removed or its value is not valid base64.
        revision: Revision of the store that last changed the row.
        removed: Whether the row is removed.
        generation: Generation of the store to which the revision belongs.
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False
    generation: int = 0


class Rows(Struct, frozen=True):
    """Rows at one position of the store.

    Attributes:
        rows: All rows of a table, or those that changed.
        revision: Revision of the store.
        store_ms: Time by the store's clock, in milliseconds.
        generation: Generation of the store to which the revision belongs.
    """

    rows: tuple[Row, ...]
    revision: int
    store_ms: int
    generation: int = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the rows were read."""
        return Position(self.generation, self.revision)


class Write(Struct, frozen=True):
    """A row to write.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        value: New value.
        expected: Revision that the row must have; 0 if it must not exist, None for any.
        generation: Generation of the store to which `expected` belongs, unless it is 0 or None.
    """

    table: str
    key: str
    value: bytes
    expected: int | None = None
    generation: int = 0

    @property
    def has_revision(self) -> bool:
        """Whether the write depends on a revision, and so on its generation."""
        return bool(self.expected)


class WriteResult(Enum):
    """Result of a write; see `StoreClient.write`."""

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
