"""Bills as text."""

from comfreyhatch.porcelain.table import table
from comfreyhatch.ports.operators import BillReport

HEADINGS = ("CUSTOMER", "DAY", "VERSION", "REQUESTS", "UNKNOWN", "MICROS")


def bill_lines(report: BillReport) -> list[str]:
    """Return the bills as a table, and what is not settled."""
    rows = [
        (b.customer, b.day, b.version_id, b.requests, b.unknown, b.cost_micros)
        for b in report.bills
    ]
    lines = table(HEADINGS, rows)
    if report.open:
        lines.append(f"{report.open} requests are running or ended unknown; not charged")
    if report.missing:
        lines.append(f"{report.missing} journal entries are lost; see the page on billing")
    return lines
