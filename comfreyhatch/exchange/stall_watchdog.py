"""Looks after streamed answers that may stall, with one timer for all of them."""

import asyncio
from collections.abc import Callable

from comfreyhatch.decisions.stall import StallLimits
from comfreyhatch.exchange.stream_state import StreamState

INTERVAL_S = 0.1


class StallWatchdog:
    """Interrupts answers that have stalled and can be had elsewhere."""

    def __init__(self, may_move: Callable[[StreamState, float], bool]) -> None:
        """Create a watch.

        Args:
            may_move: Tells whether another endpoint may get a stalled request now.
        """
        self._may_move = may_move
        self._runs: set[StreamState] = set()
        self._timer: asyncio.TimerHandle | None = None

    def begin(
        self, run: StreamState, limits: StallLimits, interrupt: Callable[[], object], now: float
    ) -> None:
        """Watch an answer from now on.

        Args:
            run: The request.
            limits: Longest waits for what comes next.
            interrupt: Ends the wait.
            now: Monotonic time in seconds.
        """
        run.limits = limits
        run.interrupt = interrupt
        run.waiting_since = now
        self._runs.add(run)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(INTERVAL_S, self._look)

    def end(self, run: StreamState) -> None:
        """Watch an answer no longer."""
        self._runs.discard(run)

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for run in list(self._runs):
            if run.stalled(now) and self._may_move(run, now):
                self._runs.discard(run)
                run.interrupt()
        self._timer = loop.call_later(INTERVAL_S, self._look) if self._runs else None
