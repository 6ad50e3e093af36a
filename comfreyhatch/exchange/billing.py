"""Usage accounting: sums usage in memory and stores it in numbered batches."""

import logging

from comfreyhatch.domain.usage import UsageBatch, UsageKey, UsageLine, UsageTotals
from comfreyhatch.exchange.periodic import PeriodicTask
from comfreyhatch.ports.directory import Directory

FLUSH_INTERVAL_S = 15.0
MAX_UNSTORED_BATCHES = 64

log = logging.getLogger("comfreyhatch.billing")


class Billing:
    """Aggregates the usage of answered requests and stores it in batches.

    Each batch has a unique key and is inserted only if absent, so a retry after a lost reply does
    not bill twice. Usage that a daemon has not stored when it is killed is not billed.
    """

    def __init__(self, daemon: str, started_ms: int, directory: Directory) -> None:
        """Create it without any usage.

        Args:
            daemon: Name of this daemon.
            started_ms: Unix time of the daemon's start in milliseconds; part of the batch key.
            directory: Stores the batches.
        """
        self._daemon = daemon
        self._started_ms = started_ms
        self._directory = directory
        self._usage_by_key: dict[UsageKey, UsageTotals] = {}
        self._unstored: list[UsageBatch] = []
        self._sequence = 0
        self._task = PeriodicTask("billing", FLUSH_INTERVAL_S, self.flush)

    def add_usage(self, key: UsageKey, usage: UsageTotals) -> None:
        """Add the usage of an answered request to the open batch."""
        self._usage_by_key[key] = self._usage_by_key.get(key, UsageTotals()).plus(usage)

    def start(self) -> None:
        """Start to flush every `FLUSH_INTERVAL_S`."""
        self._task.start()

    async def stop(self) -> None:
        """Stop the periodic flush and flush once more."""
        await self._task.stop()
        await self.flush()

    async def flush(self) -> None:
        """Close the open batch and store all batches; those that fail are kept for a retry."""
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
            # Bounds the memory during a long store outage: usage accumulates in the open batch.
            return
        self._sequence += 1
        lines = tuple(UsageLine(key, usage) for key, usage in sorted(self._usage_by_key.items()))
        batch = UsageBatch(self._daemon, self._started_ms, self._sequence, lines)
        self._usage_by_key = {}
        self._unstored.append(batch)
