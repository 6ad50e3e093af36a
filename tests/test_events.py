"""Splitting of event streams, and ids of events."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.exchange.events import EventSplitter, event_id

EVENTS = [b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 9)]


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=12))
def test_events_do_not_depend_on_how_the_bytes_are_split(splits: list[int]) -> None:
    data = b"".join(EVENTS)
    splitter = EventSplitter()
    offsets = [0, *sorted(splits), len(data)]
    pairs = zip(offsets, offsets[1:], strict=False)
    assert [e for start, end in pairs for e in splitter.feed(data[start:end])] == EVENTS
    assert not splitter.partial


def test_incomplete_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b"id: 2\nda") == EVENTS[:1]
    assert splitter.partial


def test_event_ids() -> None:
    assert event_id(EVENTS[4]) == 5
    assert event_id(b"weight-versions: 2\nid: 7\ndata: x\n\n") == 7
    assert event_id(b"data: x\n\n") is None
    assert event_id(b"id: seven\n\n") is None
