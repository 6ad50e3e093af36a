"""A background task that runs a coroutine function again and again with a fixed pause."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger("comfreyhatch.tasks")


class PeriodicTask:
    """Runs a coroutine function periodically; a run that raises is logged and does not end it."""

    def __init__(self, name: str, interval_s: float, run: Callable[[], Awaitable[None]]) -> None:
        """Create a task that is not started yet.

        Args:
            name: Name in the log.
            interval_s: Pause before each run, in seconds.
            run: Called once per interval.
        """
        self._name = name
        self._interval_s = interval_s
        self._run = run
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the background task."""
        self._task = asyncio.create_task(self._loop())

    async def stop(self) -> None:
        """Cancel the background task, including a run in progress, and wait for its end."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _loop(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            try:
                await self._run()
            except Exception:
                log.exception("event=turn_failed task=%s", self._name)
