"""Text tables."""

from collections.abc import Sequence


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [list(headings), *([_text(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def _text(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
