"""Limits on the memory of answers that are read whole before they are passed on."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from comfreyhatch.decisions.memory_account import BYTES_PER_MB, MemoryAccount, MemoryPart

# Share of the daemon's memory for one answer: its bytes exist up to three times for a moment, when
# they are joined and written.
ANSWER_SHARE = 1 / 16
ALL_ANSWERS_SHARE = 1 / 8
# An answer may always be as large as the largest request that listeners accept by default.
MIN_ANSWER_LIMIT_BYTES = 4 * 1024 * 1024
# Bytes of each answer that are not counted, so that no large answer can displace the small ones.
SMALL_ANSWER_BYTES = 65536


class AnswerMemory:
    """Memory for whole answers, one by one and all together.

    Attributes:
        limit_bytes: Largest body of one answer.
        total_bytes: Largest sum of all bodies, less `SMALL_ANSWER_BYTES` of each.
        used_bytes: Present sum.
    """

    def __init__(
        self,
        memory_mb: float,
        account: MemoryAccount | None = None,
        clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Derive the limits from a daemon's memory.

        Args:
            memory_mb: The memory, in megabytes.
            account: Account that answers are counted in, too; none if None.
            clock: Monotonic time in seconds.
        """
        self._account = account
        self._clock = clock
        memory_bytes = int(memory_mb * BYTES_PER_MB)
        self.limit_bytes = max(MIN_ANSWER_LIMIT_BYTES, int(memory_bytes * ANSWER_SHARE))
        self.total_bytes = max(self.limit_bytes, int(memory_bytes * ALL_ANSWERS_SHARE))
        self.used_bytes = 0

    @contextmanager
    def hold(self) -> Iterator[Callable[[int], bool]]:
        """Yield a function that takes memory for one answer; it is given back at the end.

        The function takes a number of bytes and returns whether there is memory for them.
        """
        size_bytes = 0
        counted_bytes = 0
        account = self._account
        holding = account.open(MemoryPart.ANSWERS, self._clock()) if account else None

        def take(more_bytes: int) -> bool:
            nonlocal size_bytes, counted_bytes
            size_bytes += more_bytes
            wanted_bytes = max(0, size_bytes - SMALL_ANSWER_BYTES) - counted_bytes
            if self.used_bytes + wanted_bytes > self.total_bytes:
                return False
            if account and holding and not account.take(holding, more_bytes, self._clock()):
                return False
            self.used_bytes += wanted_bytes
            counted_bytes += wanted_bytes
            return True

        try:
            yield take
        finally:
            self.used_bytes -= counted_bytes
            if account and holding:
                account.close(holding)
