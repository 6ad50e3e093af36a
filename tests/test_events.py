"""Splitting of event streams, and ids of events."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.exchange.events import EventSplitter, event_id, has_content

EVENTS = [b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 9)]


@given(st.lists(st.integers(0, len(b"".join(EVENTS))), max_size=12))
def test_events_do_not_depend_on_how_the_bytes_are_split(splits: list[int]) -> None:
    data = b"".join(EVENTS)
    splitter = EventSplitter()
    offsets = [0, *sorted(splits), len(data)]
    pairs = zip(offsets, offsets[1:], strict=False)
    assert [e for start, end in pairs for e in splitter.feed(data[start:end])] == EVENTS
    assert not splitter.partial


@given(
    st.lists(st.sampled_from([b"\n", b"\n\n", b"a", b"id: 1", b": x\n", b"\r\n"]), max_size=30),
    st.lists(st.integers(0, 90), max_size=12),
)
def test_split_of_any_bytes_is_that_of_the_whole(parts: list[bytes], splits: list[int]) -> None:
    data = b"".join(parts)
    *whole, rest = data.split(b"\n\n")
    splitter = EventSplitter()
    offsets = [0, *sorted(min(split, len(data)) for split in splits), len(data)]
    pairs = zip(offsets, offsets[1:], strict=False)
    events = [e for start, end in pairs for e in splitter.feed(data[start:end])]
    assert events == [event + b"\n\n" for event in whole]
    assert splitter.pending_bytes == len(rest)


def test_event_in_very_many_parts_is_whole() -> None:
    splitter = EventSplitter()
    for _ in range(200_000):
        assert splitter.feed(b"x") == []
    assert splitter.feed(b"\n\n") == [b"x" * 200_000 + b"\n\n"]


def test_incomplete_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b"id: 2\nda") == EVENTS[:1]
    assert splitter.partial


def test_event_ids() -> None:
    assert event_id(EVENTS[4]) == 5
    assert event_id(b"weight-versions: 2\nid: 7\ndata: x\n\n") == 7
    assert event_id(b"data: x\n\n") is None
    assert event_id(b"id: seven\n\n") is None


def test_comments_and_blank_events_have_no_content() -> None:
    assert has_content(EVENTS[0])
    assert has_content(b"event: x\ndata: y\n\n")
    assert has_content(b": comment\nid: 4\n\n")
    assert not has_content(b": data\n\n")
    assert not has_content(b"\n\n")
    assert not has_content(b"event: ping\n\n")
