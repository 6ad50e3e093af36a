"""Log output that never blocks and whose volume is bounded."""

import logging
import os
from collections import Counter, deque
from collections.abc import Callable

BUFFER_BYTES = 262_144
LINES_PER_S = 150
WINDOW_S = 1.0
EVENT_MARK = "event="


class NonBlockingOutput:
    """A stream that writes to a descriptor without waiting, and drops what does not fit.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int, buffer_bytes: int = BUFFER_BYTES) -> None:
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line; drop it when too much waits already."""
        data = text.encode("utf-8", "backslashreplace")
        if self._waiting_bytes + len(data) > self._buffer_bytes:
            self.dropped += 1
        else:
            self._waiting.append(data)
            self._waiting_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            data = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the log any more; the daemon goes on without it.
                written = len(data)
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return


class VolumeLimit(logging.Filter):
    """Lets a bounded number of routine lines of each event pass a second.

    Warnings and lines of the events in `always` pass in any case. What was left out is told with
    the first line of a later second.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        always: frozenset[str],
        lines_per_s: int = LINES_PER_S,
    ) -> None:
        """Create a limit.

        Args:
            clock: Monotonic time in seconds.
            always: Events whose lines are never left out.
            lines_per_s: Lines of one event that pass in a second.
        """
        super().__init__()
        self._clock = clock
        self._always = always
        self._lines_per_s = lines_per_s
        self._count_by_event: Counter[str] = Counter()
        self._window_ends = 0.0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes."""
        if record.levelno >= logging.WARNING:
            return True
        event = _event(str(record.msg))
        if event in self._always:
            return True
        now = self._clock()
        if now >= self._window_ends:
            self._window_ends = now + WINDOW_S
            self._tell_left_out()
        self._count_by_event[event] += 1
        return self._count_by_event[event] <= self._lines_per_s

    def _tell_left_out(self) -> None:
        counts, self._count_by_event = self._count_by_event, Counter()
        for event, count in counts.items():
            if count > self._lines_per_s:
                logging.getLogger("comfreyhatch.logs").warning(
                    "event=lines_left_out kind=%s count=%d", event, count - self._lines_per_s
                )


def _event(message: str) -> str:
    """Return the name of the event of a line; empty when it names none."""
    start = message.find(EVENT_MARK)
    return message[start + len(EVENT_MARK) :].partition(" ")[0] if start >= 0 else ""
