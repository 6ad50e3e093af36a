"""Memory that a connection holds for its client, in the account of the daemon."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.memory_account import (
    SMALL_HOLDING_BYTES,
    Holding,
    MemoryAccount,
    MemoryPart,
)
from comfreyhatch.errors import RefusedError

# Interval at which a client that waits for memory looks for clients that are stalled.
RECHECK_S = 0.25
# Told to a client that is refused for want of memory, in seconds.
RETRY_AFTER_S = 1.0
# Upper bound on what a stream holds outside its client's buffer: unread bytes on its endpoint's
# connection, events of one read, and copies of both. It holds them also while its client reads.
STREAM_BEHIND_BYTES = 262_144
# The same bound while a stream has carried little, as a multiple of that: many streams may begin at
# once, and are counted before they hold much.
STREAM_BEHIND_FACTOR = 4
# Less than this is not counted for a client that does not read.
UNCOUNTED_BYTES = 16_384

log = logging.getLogger("comfreyhatch.http")


def stream_behind_bytes(carried_bytes: int) -> int:
    """Return the bytes that a stream may hold beside what is buffered, by what it has carried."""
    return min(STREAM_BEHIND_BYTES, STREAM_BEHIND_FACTOR * carried_bytes)


class BodyMemory:
    """Memory for the body of a request: while it is read, and while the request is under way.

    Attributes:
        paused_s: Time for which it has waited for memory, in seconds.
    """

    __slots__ = ("_account", "_holding", "_source", "_stop_reading", "paused_s", "refusal")

    def __init__(
        self, account: MemoryAccount, source: str, stop_reading: Callable[[], None]
    ) -> None:
        """Begin to hold memory.

        Args:
            account: Account of the daemon.
            source: Address of the client, for the log.
            stop_reading: Called when the client is turned away; `refusal` is set then.
        """
        self._account = account
        self._source = source
        self._stop_reading = stop_reading
        self._holding = account.open(MemoryPart.READING, _now(), self._turn_away)
        self.paused_s = 0.0
        self.refusal: RefusedError | None = None

    async def reserve(self, size_bytes: int, longest_wait_s: float) -> None:
        """Take memory for a body of a size, for which the client may have to wait.

        Raises:
            RefusedError: If there is none in time, or the client is turned away.
        """
        more_bytes = size_bytes - self._holding.held_bytes
        if more_bytes <= 0 or self._account.take(self._holding, more_bytes, _now()):
            return
        began_at = _now()
        granted = asyncio.Event()
        self._account.wait(self._holding, more_bytes, began_at, granted.set)
        try:
            until = began_at + longest_wait_s
            while not granted.is_set() and self.refusal is None and _now() < until:
                self._account.serve_waiting(_now())
                with suppress(TimeoutError):
                    async with asyncio.timeout(min(RECHECK_S, until - _now())):
                        await granted.wait()
        finally:
            self._account.stop_waiting(self._holding, _now())
            self.paused_s += _now() - began_at
        if self.refusal is not None:
            raise self.refusal
        if not granted.is_set():
            self._account.note_turned_away(MemoryPart.READING)
            self._log(self._holding, _now(), "no_memory")
            raise _refusal()

    async def reserve_chunked(
        self, size_bytes: int, largest_bytes: int, longest_wait_s: float
    ) -> None:
        """Take memory for a body whose end is unknown and which has a size by now.

        One that is no longer small gets memory for the largest body: several that got theirs bit by
        bit could wait for each other for ever.

        Raises:
            RefusedError: If there is none in time, or the client is turned away.
        """
        if size_bytes > self._holding.held_bytes:
            is_small = size_bytes <= SMALL_HOLDING_BYTES
            wanted_bytes = SMALL_HOLDING_BYTES if is_small else largest_bytes
            await self.reserve(min(wanted_bytes, largest_bytes), longest_wait_s)

    def note_read(self, read_bytes: int) -> None:
        """Note that the client has sent bytes of the body."""
        self._holding.note_moved(read_bytes, _now())

    def begin_request(self, size_bytes: int) -> None:
        """Keep memory for a body that has been read until the request has ended.

        Raises:
            RefusedError: If the client was turned away meanwhile.
        """
        if self.refusal is not None:
            raise self.refusal
        self._account.trim(self._holding, size_bytes)
        self._account.begin_request(self._holding)

    def close(self) -> None:
        """Give the memory back."""
        self._account.close(self._holding)

    def _turn_away(self, holding: Holding, now: float) -> None:
        self._log(holding, now, "stalled")
        self.refusal = _refusal()
        self._stop_reading()

    def _log(self, holding: Holding, now: float, reason: str) -> None:
        _log_turned_away(holding, now, self._source, reason)


class UnreadMemory:
    """Memory of what a client has not read of its answers yet."""

    __slots__ = ("_account", "_behind_bytes", "_holding", "_last_bytes", "_source", "_transport")

    def __init__(
        self, account: MemoryAccount, source: str, transport: asyncio.WriteTransport
    ) -> None:
        """Take the account over for a connection; nothing is counted yet.

        Args:
            account: Account of the daemon.
            source: Address of the client, for the log.
            transport: Connection to the client, which is reset when the client is turned away.
        """
        self._account = account
        self._source = source
        self._transport = transport
        self._holding: Holding | None = None
        self._last_bytes = 0
        self._behind_bytes = 0

    def note_written(self, buffered_bytes: int, written_bytes: int, behind_bytes: int) -> None:
        """Count what is buffered for the client.

        Args:
            buffered_bytes: Bytes buffered now.
            written_bytes: Bytes written since this was called last.
            behind_bytes: Bytes that may wait elsewhere for the client.
        """
        if buffered_bytes + behind_bytes <= UNCOUNTED_BYTES:
            self.close()
            return
        now = _now()
        if self._holding is None:
            self._holding = self._account.open(
                MemoryPart.UNREAD, now, self._turn_away, self._measure
            )
        else:
            self._holding.note_moved(self._last_bytes + written_bytes - buffered_bytes, now)
        if not buffered_bytes:
            self._holding.note_caught_up(now)
        self._last_bytes = buffered_bytes
        self._behind_bytes = behind_bytes
        self._account.set_size(self._holding, buffered_bytes + behind_bytes, now)

    def close(self) -> None:
        """Count nothing more until something is written."""
        if self._holding is not None:
            self._account.close(self._holding)
            self._holding = None
        self._last_bytes = 0

    def _measure(self, now: float) -> None:
        """Count what the client has read meanwhile."""
        if self._holding is None:
            return
        buffered_bytes = self._transport.get_write_buffer_size()
        if buffered_bytes < self._last_bytes:
            self._holding.note_moved(self._last_bytes - buffered_bytes, now)
            if not buffered_bytes:
                self._holding.note_caught_up(now)
            self._last_bytes = buffered_bytes
            self._account.trim(self._holding, buffered_bytes + self._behind_bytes)

    def _turn_away(self, holding: Holding, now: float) -> None:
        _log_turned_away(holding, now, self._source, "unread")
        self._transport.abort()


def _refusal() -> RefusedError:
    return RefusedError(
        "no memory is free for the body of the request",
        ResultCode.OVERLOADED,
        retry_after_s=RETRY_AFTER_S,
    )


def _log_turned_away(holding: Holding, now: float, source: str, reason: str) -> None:
    log.info(
        "event=client_turned_away reason=%s part=%s source=%s held_bytes=%d held_s=%.1f"
        " behind_s=%.1f",
        reason,
        holding.part.value,
        source,
        holding.held_bytes,
        now - holding.began_at,
        holding.behind_s(now),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
