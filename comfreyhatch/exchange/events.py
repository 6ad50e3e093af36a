"""Splits an event stream into whole events and follows their ids."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Takes bytes of an event stream and gives whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete now, each with its end."""
        self._rest += data
        if EVENT_END not in self._rest:
            return []
        *events, self._rest = self._rest.split(EVENT_END)
        return [event + EVENT_END for event in events]

    @property
    def partial(self) -> bool:
        """Whether part of an event is held that has not ended."""
        return bool(self._rest.strip())


def event_id(event: bytes) -> int | None:
    """Return the number in the id field of an event; None when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
