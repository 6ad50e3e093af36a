"""Table rows that account for a customer's daily budget, in total and per daemon."""

from msgspec import Struct
from msgspec.msgpack import decode, encode


class BudgetRow(Struct, frozen=True, array_like=True):
    """Part of one customer's daily budget that has been granted to daemons, in micros."""

    granted_micros: int


class SliceRow(Struct, frozen=True, array_like=True):
    """Part of one customer's daily budget that has been granted to one incarnation.

    Attributes:
        sequence: Number of the last change of this row. A daemon that got no answer to a change
            reads it to find out whether the change was committed.
        granted_micros: Amount granted, in micros.
    """

    sequence: int
    granted_micros: int


def budget_key(customer: str, day: str) -> str:
    """Return the table key of the row with the total granted on a day."""
    return f"budget/{day}/{customer}"


def slice_key(customer: str, day: str, incarnation: str) -> str:
    """Return the table key of the row with the amount granted to an incarnation."""
    return f"slice/{day}/{customer}/{incarnation}"


def encode_row(row: BudgetRow | SliceRow) -> bytes:
    """Encode a row with MessagePack."""
    return encode(row)


def decode_budget(value: bytes) -> BudgetRow:
    """Decode the row with the total granted."""
    return decode(value, type=BudgetRow)


def decode_slice(value: bytes) -> SliceRow:
    """Decode the row with the amount granted to an incarnation."""
    return decode(value, type=SliceRow)
