"""Rows of a customer's budget of a day: what is taken, in all and by each daemon."""

from msgspec import Struct
from msgspec.msgpack import decode, encode


class BudgetRow(Struct, frozen=True, array_like=True):
    """What all daemons have taken of a budget, in micros."""

    granted_micros: int


class SliceRow(Struct, frozen=True, array_like=True):
    """What one incarnation has taken of a budget, and the number of its last change."""

    sequence: int
    granted_micros: int


def budget_key(customer: str, day: str) -> str:
    """Return the key of a budget's row."""
    return f"budget/{day}/{customer}"


def slice_key(customer: str, day: str, incarnation: str) -> str:
    """Return the key of an incarnation's row."""
    return f"slice/{day}/{customer}/{incarnation}"


def encode_row(row: BudgetRow | SliceRow) -> bytes:
    """Return the bytes of a row."""
    return encode(row)


def decode_budget(value: bytes) -> BudgetRow:
    """Return the row of a budget."""
    return decode(value, type=BudgetRow)


def decode_slice(value: bytes) -> SliceRow:
    """Return the row of an incarnation."""
    return decode(value, type=SliceRow)
