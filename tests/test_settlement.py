"""Settlement of segment bills: each segment counts once, gaps in the numbers are reported."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.settlement import settle
from comfreyhatch.domain.journal import BillLine, Intent, SegmentBill

lines = st.builds(
    BillLine,
    customer=st.sampled_from(["trackline", "keepers"]),
    day=st.sampled_from(["2026-12-04", "2026-12-05"]),
    version_id=st.sampled_from(["m@1", "m@2"]),
    requests=st.integers(1, 50),
    unknown=st.just(0),
    cost_micros=st.integers(0, 1000),
)


@st.composite
def bills(draw: st.DrawFn) -> list[SegmentBill]:
    """Draw the bills of some journals without gaps."""
    found: list[SegmentBill] = []
    for journal in draw(st.lists(st.sampled_from("abc"), unique=True)):
        first = 1
        for sequence in range(1, draw(st.integers(1, 4))):
            last = first + draw(st.integers(0, 5))
            own_lines = tuple(draw(st.lists(lines, max_size=3)))
            numbers = ((first, last),)
            found.append(
                SegmentBill(journal, sequence, numbers, 0.0, 1.0, lines=own_lines, customers=())
            )
            first = last + 1
    return found


@given(given_bills=bills(), data=st.data())
def test_doubled_and_reordered_bills_change_nothing(
    given_bills: list[SegmentBill], data: st.DataObject
) -> None:
    duplicates = [b for b in given_bills if data.draw(st.booleans())]
    reordered = data.draw(st.permutations(given_bills + duplicates))
    once = settle(given_bills)
    assert settle(reordered) == once
    requests = sum(line.requests for bill in given_bills for line in bill.lines)
    assert sum(line.requests for line in once.lines) == requests
    assert once.missing == 0


def test_open_requests_come_from_the_last_segment_and_gaps_are_counted() -> None:
    early, late = Intent("r-1", "trackline", 0.0), Intent("r-2", "trackline", 0.0)
    rows = [
        SegmentBill("a", 1, ((1, 4),), 0.0, 1.0, customers=(), lines=(), open=(early, late)),
        SegmentBill("a", 2, ((6, 9),), 1.0, 2.0, customers=(), lines=(), open=(late,)),
    ]
    settlement = settle(rows)
    assert settlement.open == (late,)
    assert settlement.missing == 1
