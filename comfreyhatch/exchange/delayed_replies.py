"""Answers to reports of other daemons, given unless another daemon gives them first."""

import asyncio
from collections.abc import Callable, Hashable, Iterable
from random import Random
from typing import Generic, TypeVar

from comfreyhatch.decisions.reply_delay import reply_delay_s

Item = TypeVar("Item", bound=Hashable)


class DelayedReplies(Generic[Item]):
    """Items of which this daemon has something to tell, once their delay is over."""

    def __init__(
        self, reply: Callable[[list[Item], float], None], daemons: Callable[[], int], rng: Random
    ) -> None:
        """Create it without items.

        Args:
            reply: Tells other daemons of items, at a monotonic time.
            daemons: Returns the number of known daemons.
            rng: Seeded source of the delays.
        """
        self._reply = reply
        self._daemons = daemons
        self._rng = rng
        self._pending: set[Item] = set()

    def add(self, items: Iterable[Item]) -> None:
        """Tell of items after a delay."""
        added = [item for item in items if item not in self._pending]
        if not added:
            return
        self._pending.update(added)
        delay_s = reply_delay_s(self._daemons(), 1.0 - self._rng.random())
        asyncio.get_running_loop().call_later(delay_s, self._fire, added)

    def drop(self, items: Iterable[Item]) -> None:
        """Don't tell of items any more, as another daemon has."""
        self._pending.difference_update(items)

    def _fire(self, added: list[Item]) -> None:
        due = [item for item in added if item in self._pending]
        self._pending.difference_update(added)
        if due:
            self._reply(due, asyncio.get_running_loop().time())
