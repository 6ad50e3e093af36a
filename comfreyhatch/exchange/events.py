"""Splits a server-sent event stream into events and reads their ids."""

import re

EVENT_TERMINATOR = b"\n\n"
ID_FIELD = b"id:"
_find_content = re.compile(rb"(?:\A|\n)(?:data|id:)").search


class EventSplitter:
    """Incremental splitter: bytes of an event stream in, complete events out."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the events that they complete, each with its terminator."""
        searched = max(0, len(self._buffer) - len(EVENT_TERMINATOR) + 1)
        self._buffer += data
        if self._buffer.find(EVENT_TERMINATOR, searched) < 0:
            return []
        *events, rest = bytes(self._buffer).split(EVENT_TERMINATOR)
        self._buffer = bytearray(rest)
        return [event + EVENT_TERMINATOR for event in events]

    @property
    def pending_bytes(self) -> int:
        """Length of the event that is not complete yet."""
        return len(self._buffer)

    @property
    def partial(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())


def has_content(event: bytes) -> bool:
    """Return whether an event has data or an id; comments and blank events have neither."""
    return _find_content(event) is not None


def event_id(event: bytes) -> int | None:
    """Return the decimal number in the id field of an event; None if there is none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
