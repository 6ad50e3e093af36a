"""Bills what requests used: batches in the store, each stored once."""

import logging

from comfreyhatch.domain.usage import Usage, UsageBatch, UsageKey, UsageLine
from comfreyhatch.exchange.periodic import PeriodicTask
from comfreyhatch.ports.directory import Directory

INTERVAL_S = 15.0
MAX_UNSTORED_BATCHES = 64

log = logging.getLogger("comfreyhatch.billing")


class Billing:
    """Usage that is counted, and batches that are not stored yet.

    A batch has a key of its own and is inserted only if absent, so that storing it again after a
    lost answer changes nothing. What a killed daemon had not stored is not billed.
    """

    def __init__(self, daemon: str, started_ms: int, directory: Directory) -> None:
        self._daemon = daemon
        self._started_ms = started_ms
        self._directory = directory
        self._usage_by_key: dict[UsageKey, Usage] = {}
        self._unstored: list[UsageBatch] = []
        self._sequence = 0
        self._task = PeriodicTask("billing", INTERVAL_S, self.flush)

    def add_usage(self, key: UsageKey, usage: Usage) -> None:
        """Count the usage of an answered request."""
        self._usage_by_key[key] = self._usage_by_key.get(key, Usage()).plus(usage)

    def start(self) -> None:
        """Store batches from time to time."""
        self._task.start()

    async def stop(self) -> None:
        """Store what is left, once, and stop."""
        await self._task.stop()
        await self.flush()

    async def flush(self) -> None:
        """Store all that has been counted; what cannot be stored now is kept for the next time."""
        self._close_batch()
        while self._unstored:
            if not await self._directory.put_usage(self._unstored[0]):
                log.warning("event=usage_not_stored batches=%d", len(self._unstored))
                return
            self._unstored.pop(0)

    def _close_batch(self) -> None:
        if not self._usage_by_key:
            return
        if len(self._unstored) >= MAX_UNSTORED_BATCHES:
            # The store has been away for long: usage goes on into the batch that is open.
            return
        self._sequence += 1
        lines = tuple(UsageLine(key, usage) for key, usage in sorted(self._usage_by_key.items()))
        batch = UsageBatch(self._daemon, self._started_ms, self._sequence, lines)
        self._usage_by_key = {}
        self._unstored.append(batch)
