"""A turn of work that is repeated in a task of its own."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger("comfreyhatch.tasks")


class PeriodicTask:
    """Repeats a turn; one that fails is logged, and the next one comes all the same."""

    def __init__(self, name: str, interval_s: float, turn: Callable[[], Awaitable[None]]) -> None:
        """Create a task that does not run yet.

        Args:
            name: Name in the log.
            interval_s: Pause before each turn, in seconds.
            turn: The work.
        """
        self._name = name
        self._interval_s = interval_s
        self._turn = turn
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to repeat."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the turn under way and repeat no more."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            try:
                await self._turn()
            except Exception:
                log.exception("event=turn_failed task=%s", self._name)
