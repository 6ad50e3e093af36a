"""An event loop that reads what came during a stop of its process before timers fire."""

import asyncio
from selectors import DefaultSelector, SelectorKey


class RepeatingSelector(DefaultSelector):
    """Looks once more for what has come when a wait has ended without anything.

    A wait in which the process is stopped ends with nothing once its time is over, whatever has
    come meanwhile: timers would fire as if nothing had.
    """

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready; arguments are those of `BaseSelector.select`."""
        found = super().select(timeout)
        if not found and timeout is not None and timeout > 0:
            found = super().select(0)
        return found


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(RepeatingSelector())
