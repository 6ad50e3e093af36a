"""Measures how late the event loop runs: by a blocked loop or by a machine that stood still."""

import asyncio
import logging

INTERVAL_S = 0.25
# Lag from which a line is logged.
LOGGED_LAG_S = 0.3
# Lag from which the process counts as one that was stopped.
STOPPED_LAG_S = 0.5
# Time for which the longest lag is reported, so that a metric read every few seconds shows it.
REPORT_S = 15.0

log = logging.getLogger("comfreyhatch.daemon")


class LoopLagMonitor:
    """Schedules a timer at a fixed interval and records how late it fires.

    Attributes:
        went_on_at: Monotonic time in seconds at which the loop last went on after a stop.
    """

    def __init__(self) -> None:
        self.went_on_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._longest_s = 0.0
        self._longest_at = float("-inf")

    def start(self) -> None:
        """Start to measure."""
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def longest_s(self, now: float) -> float:
        """Return the longest lag of the last `REPORT_S`, in seconds."""
        return self._longest_s if now - self._longest_at < REPORT_S else 0.0

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + INTERVAL_S
        self._timer = loop.call_at(due_at, self._record, due_at)

    def _record(self, due_at: float) -> None:
        now = asyncio.get_running_loop().time()
        lag_s = now - due_at
        if lag_s >= self.longest_s(now):
            self._longest_s = lag_s
            self._longest_at = now
        if lag_s >= STOPPED_LAG_S:
            self.went_on_at = now
        if lag_s >= LOGGED_LAG_S:
            log.warning("event=loop_lagged lag_s=%.2f", lag_s)
        self._schedule()
