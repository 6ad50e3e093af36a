"""Settlement of bills: sums the bills of journal segments, counting each segment once."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.journal import BillLine, Intent, SegmentBill


class Settlement(Struct, frozen=True):
    """Settled bills of a period.

    Attributes:
        lines: Bills by customer, day and version.
        open: Requests that were dispatched and whose end is in no segment. They are still running,
            or their daemon and both daemons with copies of its journal were lost. They are not
            charged.
        missing: Number of journal entries that no copy holds, as gaps in the entry numbers show.
    """

    lines: tuple[BillLine, ...]
    open: tuple[Intent, ...]
    missing: int


def settle(bills: Iterable[SegmentBill]) -> Settlement:
    """Return the settlement of segment bills; repeated bills of a segment count once."""
    bill_by_key = {(bill.journal, bill.sequence): bill for bill in bills}
    line_by_key: dict[tuple[str, str, str], BillLine] = {}
    last_by_journal: dict[str, SegmentBill] = {}
    for (journal, _), bill in sorted(bill_by_key.items()):
        last_by_journal[journal] = bill
        for line in bill.lines:
            key = line.customer, line.day, line.version_id
            line_by_key[key] = _sum(line_by_key.get(key), line)
    return Settlement(
        lines=tuple(line for _, line in sorted(line_by_key.items())),
        open=tuple(intent for bill in last_by_journal.values() for intent in bill.open),
        missing=_missing(bill_by_key.values()),
    )


def _sum(total: BillLine | None, line: BillLine) -> BillLine:
    if total is None:
        return line
    return replace(
        total,
        requests=total.requests + line.requests,
        unknown=total.unknown + line.unknown,
        cost_micros=total.cost_micros + line.cost_micros,
    )


def _missing(bills: Iterable[SegmentBill]) -> int:
    """Return how many entry numbers are missing between the first and last of each journal."""
    span_by_journal: dict[str, tuple[int, int, int]] = {}
    for bill in bills:
        low, high, covered = span_by_journal.get(bill.journal, (bill.numbers[0][0], 0, 0))
        low = min(low, bill.numbers[0][0])
        high = max(high, bill.numbers[-1][1])
        covered += sum(last - first + 1 for first, last in bill.numbers)
        span_by_journal[bill.journal] = low, high, covered
    return sum(high - low + 1 - covered for low, high, covered in span_by_journal.values())
