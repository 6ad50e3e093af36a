"""The memory that a daemon holds for its clients, and which of them is turned away when it is full.

A client that moves `PACE_BYTES_PER_S` is on pace, however long it holds memory. One that stops, or
moves next to nothing, falls behind by the time for which it does so.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

BYTES_PER_MB = 1_000_000
# Memory of a daemon without clients, with room for a large configuration; the process has 40 MB.
OWN_MEMORY_MB = 64.0
# Share of the rest that is counted. The other part is for connections, and for the moments in which
# bytes exist twice: as a body is written to an endpoint, or an answer is joined.
ACCOUNT_SHARE = 1 / 2
# One request of the default largest size, 4 MiB, is served with whatever memory.
MIN_TOTAL_BYTES = 16 * 1024 * 1024
# Part of the account that only clients with little have the use of.
SMALL_CLIENTS_SHARE = 1 / 8
# Part of the account that large bodies may have: what remains is for answers, so that callers who
# read theirs are not turned away for bodies of requests under way, which stay.
BODIES_SHARE = 5 / 8
SMALL_HOLDING_BYTES = 65536
# A client that sends the largest body within the header timeout moves 400 KiB a second or more.
PACE_BYTES_PER_S = 65536
# Time behind its pace after which a client that sends is turned away for others.
STALLED_S = 1.0


class MemoryPart(Enum):
    """What memory is held for."""

    READING = "reading"
    UNDER_WAY = "under_way"
    ANSWERS = "answers"
    UNREAD = "unread"


BODY_PARTS = (MemoryPart.READING, MemoryPart.UNDER_WAY)


class Holding:
    """Memory held for one client.

    Attributes:
        part: What it is held for.
        held_bytes: How much.
        began_at: Monotonic time in seconds since which it is held.
        is_open: Whether it is counted; no longer once closed or turned away.
    """

    __slots__ = (
        "_on_pace_at",
        "_paused_at",
        "began_at",
        "held_bytes",
        "is_open",
        "measure",
        "part",
        "turn_away",
    )

    def __init__(
        self,
        part: MemoryPart,
        now: float,
        turn_away: Callable[["Holding", float], None] | None,
        measure: Callable[[float], None] | None,
    ) -> None:
        self.part = part
        self.held_bytes = 0
        self.began_at = now
        self.is_open = True
        self.turn_away = turn_away
        self.measure = measure
        self._on_pace_at = now
        self._paused_at: float | None = None

    def note_moved(self, moved_bytes: int, now: float) -> None:
        """Note that the client has sent or read bytes."""
        self._on_pace_at = min(now, self._on_pace_at + moved_bytes / PACE_BYTES_PER_S)

    def note_caught_up(self, now: float) -> None:
        """Note that there is nothing that the client could have moved and has not."""
        self._on_pace_at = now

    def pause(self, now: float) -> None:
        """Note that from now on the daemon itself keeps the client from moving."""
        self._paused_at = now

    def resume(self, now: float) -> None:
        """Note that the client may move again."""
        if self._paused_at is not None:
            self._on_pace_at += now - self._paused_at
            self._paused_at = None

    def behind_s(self, now: float) -> float:
        """Return the time by which the client is behind its pace, in seconds."""
        until = now if self._paused_at is None else self._paused_at
        return max(0.0, until - self._on_pace_at)


class _Waiter(NamedTuple):
    holding: Holding
    more_bytes: int
    grant: Callable[[], None]


class MemoryAccount:
    """The memory held for all clients of a daemon.

    Attributes:
        total_bytes: Most that is held.
        used_bytes: Present sum.
        used_by_part: The same, by what it is held for.
        turned_away_by_part: Number of clients turned away so far.
    """

    def __init__(self, memory_mb: float) -> None:
        """Derive the total from a daemon's memory, in megabytes."""
        spare_bytes = int((memory_mb - OWN_MEMORY_MB) * BYTES_PER_MB * ACCOUNT_SHARE)
        self.total_bytes = max(MIN_TOTAL_BYTES, spare_bytes)
        self.used_bytes = 0
        self.used_by_part = dict.fromkeys(MemoryPart, 0)
        self.turned_away_by_part = dict.fromkeys(MemoryPart, 0)
        self._holdings: set[Holding] = set()
        self._waiting: deque[_Waiter] = deque()

    def open(
        self,
        part: MemoryPart,
        now: float,
        turn_away: Callable[[Holding, float], None] | None = None,
        measure: Callable[[float], None] | None = None,
    ) -> Holding:
        """Return a holding without memory.

        Args:
            part: What it is for.
            now: Monotonic time in seconds.
            turn_away: Called when its client is turned away, with the holding and the time; it is
                no longer counted then. None for one that cannot be.
            measure: Called before clients are compared, to update the holding to the time.
        """
        holding = Holding(part, now, turn_away, measure)
        self._holdings.add(holding)
        return holding

    def take(self, holding: Holding, more_bytes: int, now: float) -> bool:
        """Return whether a client gets more memory; it may cost clients that are stalled theirs.

        Large bodies get none while others wait for it.
        """
        is_body = holding.part is MemoryPart.READING
        if (
            is_body
            and self._is_large(holding, more_bytes)
            and any(self._is_large(w.holding, w.more_bytes) for w in self._waiting)
        ):
            return False
        return self._take(holding, more_bytes, now)

    def _take(self, holding: Holding, more_bytes: int, now: float) -> bool:
        if self._excess_bytes(holding, more_bytes) > 0:
            self._measure_all(holding, now)
        excess_bytes = self._excess_bytes(holding, more_bytes)
        if excess_bytes > 0:
            stalled = [
                each for each in self._eviction_candidates(now, STALLED_S) if each is not holding
            ]
            if self._bodies_excess_bytes(holding, more_bytes) > 0:
                stalled = [each for each in stalled if each.part is MemoryPart.READING]
            if sum(each.held_bytes for each in stalled) < excess_bytes:
                return False
            for each in stalled:
                if self._excess_bytes(holding, more_bytes) > 0:
                    self._turn_away(each, now)
        self._add(holding, more_bytes)
        return True

    def set_size(self, holding: Holding, size_bytes: int, now: float) -> None:
        """Set what a client holds already; when it is too much, clients are turned away for it.

        The one that is turned away may be this one.
        """
        if not holding.is_open:
            return
        more_bytes = size_bytes - holding.held_bytes
        if more_bytes <= 0:
            self._release(holding, -more_bytes)
            return
        fits = self._excess_bytes(holding, more_bytes) <= 0
        self._add(holding, more_bytes)
        if fits:
            return
        self._measure_all(holding, now)
        for each in [*self._eviction_candidates(now, 0.0), holding]:
            if self._excess_bytes(holding, 0) <= 0 or not holding.is_open:
                return
            self._turn_away(each, now)

    def trim(self, holding: Holding, size_bytes: int) -> None:
        """Give back what a client has beyond a size."""
        if holding.is_open and holding.held_bytes > size_bytes:
            self._release(holding, holding.held_bytes - size_bytes)

    def begin_request(self, holding: Holding) -> None:
        """Count a body that has been read as one of a request under way.

        Its client is not turned away any more: the request may run.
        """
        self.used_by_part[holding.part] -= holding.held_bytes
        holding.part = MemoryPart.UNDER_WAY
        holding.turn_away = None
        self.used_by_part[holding.part] += holding.held_bytes

    def close(self, holding: Holding) -> None:
        """Give all memory of a client back."""
        if holding.is_open:
            self._holdings.discard(holding)
            self._release(holding, holding.held_bytes)
            holding.is_open = False

    def note_turned_away(self, part: MemoryPart) -> None:
        """Count a client that was turned away for another reason than by this account."""
        self.turned_away_by_part[part] += 1

    def wait(
        self, holding: Holding, more_bytes: int, now: float, grant: Callable[[], None]
    ) -> None:
        """Let a client wait for memory; those with little pass the others.

        Args:
            holding: Its holding.
            more_bytes: What it waits for.
            now: Monotonic time in seconds.
            grant: Called once it has got it.
        """
        holding.pause(now)
        self._waiting.append(_Waiter(holding, more_bytes, grant))

    def stop_waiting(self, holding: Holding, now: float) -> None:
        """Let a client wait no longer."""
        holding.resume(now)
        self._waiting = deque(w for w in self._waiting if w.holding is not holding)
        self._grant()

    def serve_waiting(self, now: float) -> None:
        """Give memory to clients that wait, also that of stalled clients."""
        self._serve_waiting(lambda waiter: self._take(waiter.holding, waiter.more_bytes, now))

    def _grant(self) -> None:
        """Give free memory to clients that wait."""
        self._serve_waiting(self._take_free)

    def _take_free(self, waiter: _Waiter) -> bool:
        if self._excess_bytes(waiter.holding, waiter.more_bytes) > 0:
            return False
        self._add(waiter.holding, waiter.more_bytes)
        return True

    def _serve_waiting(self, take: Callable[[_Waiter], bool]) -> None:
        """Serve clients with little, and large ones in their order."""
        large_waits = False
        for waiter in list(self._waiting):
            is_large = self._is_large(waiter.holding, waiter.more_bytes)
            if (is_large and large_waits) or waiter not in self._waiting:
                continue
            if take(waiter):
                self._waiting.remove(waiter)
                waiter.grant()
            elif is_large:
                large_waits = True

    def _is_large(self, holding: Holding, more_bytes: int) -> bool:
        return holding.held_bytes + more_bytes > SMALL_HOLDING_BYTES

    def _excess_bytes(self, holding: Holding, more_bytes: int) -> int:
        """Return the bytes by which the account would be exceeded."""
        share = 1 - SMALL_CLIENTS_SHARE if self._is_large(holding, more_bytes) else 1
        excess_bytes = self.used_bytes + more_bytes - int(self.total_bytes * share)
        return max(excess_bytes, self._bodies_excess_bytes(holding, more_bytes))

    def _bodies_excess_bytes(self, holding: Holding, more_bytes: int) -> int:
        """Return the bytes by which the part for large bodies would be exceeded."""
        if holding.part is not MemoryPart.READING or not self._is_large(holding, more_bytes):
            return 0
        bodies_bytes = sum(self.used_by_part[part] for part in BODY_PARTS)
        return bodies_bytes + more_bytes - int(self.total_bytes * BODIES_SHARE)

    def _measure_all(self, holding: Holding, now: float) -> None:
        """Update the holdings of all other clients."""
        for each in list(self._holdings):
            if each.measure is not None and each is not holding:
                each.measure(now)

    def _eviction_candidates(self, now: float, behind_s: float) -> list[Holding]:
        """Return clients that may be turned away, first the one that has held most for longest.

        Args:
            now: Monotonic time in seconds.
            behind_s: Time by which one that does not read is behind its pace, in seconds.
        """
        found = [
            each
            for each in self._holdings
            if each.turn_away is not None
            and each.held_bytes
            and each.behind_s(now) > (behind_s if each.part is MemoryPart.UNREAD else STALLED_S)
        ]
        found.sort(key=lambda each: each.held_bytes * each.behind_s(now), reverse=True)
        return found

    def _turn_away(self, holding: Holding, now: float) -> None:
        if holding.turn_away is None or not holding.is_open:
            return
        self.turned_away_by_part[holding.part] += 1
        self._waiting = deque(w for w in self._waiting if w.holding is not holding)
        self._holdings.discard(holding)
        holding.is_open = False
        self.used_bytes -= holding.held_bytes
        self.used_by_part[holding.part] -= holding.held_bytes
        holding.turn_away(holding, now)

    def _add(self, holding: Holding, more_bytes: int) -> None:
        holding.held_bytes += more_bytes
        self.used_bytes += more_bytes
        self.used_by_part[holding.part] += more_bytes

    def _release(self, holding: Holding, less_bytes: int) -> None:
        holding.held_bytes -= less_bytes
        self.used_bytes -= less_bytes
        self.used_by_part[holding.part] -= less_bytes
        if less_bytes and self._waiting:
            self._grant()
