"""Whole events out of pieces."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.exchange.events import EventSplitter, event_id

EVENTS = [b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 9)]


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=12))
def test_any_cut_gives_the_same_events(cuts: list[int]) -> None:
    data = b"".join(EVENTS)
    splitter = EventSplitter()
    places = [0, *sorted(cuts), len(data)]
    pairs = zip(places, places[1:], strict=False)
    assert [e for start, end in pairs for e in splitter.feed(data[start:end])] == EVENTS
    assert not splitter.partial


def test_part_of_an_event_is_kept_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b"id: 2\nda") == EVENTS[:1]
    assert splitter.partial


def test_ids() -> None:
    assert event_id(EVENTS[4]) == 5
    assert event_id(b"weight-versions: 2\nid: 7\ndata: x\n\n") == 7
    assert event_id(b"data: x\n\n") is None
    assert event_id(b"id: seven\n\n") is None
