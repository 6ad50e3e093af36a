"""Usage accounting: sums usage in memory and stores it in numbered batches."""

import asyncio
import logging
from collections import deque

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.usage import UsageBatch, UsageKey, UsageLine, UsageTotals, model_usage
from comfreyhatch.exchange.periodic import PeriodicTask
from comfreyhatch.ports.directory import Directory

FLUSH_INTERVAL_S = 15.0
MAX_UNSTORED_BATCHES = 64
# Acknowledged batches of this time are kept, for the store may come back from a copy that is some
# seconds old. Time in which nothing could be stored does not count.
ACKNOWLEDGED_KEPT_S = 60.0
MAX_ACKNOWLEDGED_BATCHES = 2 * MAX_UNSTORED_BATCHES

log = logging.getLogger("comfreyhatch.billing")


class Billing:
    """Aggregates the usage of answered requests and stores it in batches.

    Each batch has a unique key and is inserted only if absent, so a retry after a lost reply does
    not bill twice. Usage that a daemon has not stored when it is killed is not billed. After the
    store has come back from an older copy, the batches acknowledged last are inserted again.
    """

    def __init__(self, daemon: str, run: int, directory: Directory) -> None:
        """Create it without any usage.

        Args:
            daemon: Name of this daemon.
            run: Number of this run of the process; part of the batch key.
            directory: Stores the batches.
        """
        self._daemon = daemon
        self._run = run
        self._directory = directory
        self._usage_by_key: dict[UsageKey, UsageTotals] = {}
        self._unstored: list[UsageBatch] = []
        self._acknowledged: deque[tuple[float, UsageBatch]] = deque(maxlen=MAX_ACKNOWLEDGED_BATCHES)
        self._storing = asyncio.Lock()
        self._sequence = 0
        self._task = PeriodicTask("billing", FLUSH_INTERVAL_S, self.flush)

    def add_usage(self, key: UsageKey, usage: UsageTotals) -> None:
        """Add the usage of an answered request to the open batch."""
        self._usage_by_key[key] = self._usage_by_key.get(key, UsageTotals()).plus(usage)

    def bill_request(self, job: Job) -> None:
        """Add a request that was answered by a plain service."""
        self.add_usage(UsageKey(job.workspace, job.service), UsageTotals(requests=1))

    def bill_stream(self, job: Job, model: str, events: int, catalog: Catalog | None) -> None:
        """Add a stream by its tokens.

        Args:
            job: The request.
            model: Model that has answered.
            events: Number of events of the answer.
            catalog: Configuration, which names the prices of the service; None if it is unknown.
        """
        service = catalog.service_by_name.get(job.service) if catalog else None
        engine = service.engine if service else None
        tokens = events * (engine.tokens_per_event if engine else 1)
        price = engine.price(model) if engine else 0.0
        usage = model_usage(job.exchange.prompt_tokens, tokens, price)
        self.add_usage(UsageKey(job.workspace, job.service, model), usage)

    def start(self) -> None:
        """Start to flush every `FLUSH_INTERVAL_S`."""
        self._task.start()

    async def stop(self) -> None:
        """Stop the periodic flush and flush once more."""
        await self._task.stop()
        await self.flush()

    async def flush(self) -> None:
        """Close the open batch and store all batches; those that fail are kept for a retry."""
        async with self._storing:
            self._close_batch()
            await self._store_batches()

    async def store_again(self) -> int:
        """Insert the batches acknowledged last again; return their number.

        Those that fail are kept for the next flush.
        """
        async with self._storing:
            again = [batch for _, batch in self._acknowledged]
            self._acknowledged.clear()
            self._unstored[:0] = again
            await self._store_batches()
        return len(again)

    async def _store_batches(self) -> None:
        while self._unstored:
            if not await self._directory.put_usage(self._unstored[0]):
                log.warning("event=usage_not_stored batches=%d", len(self._unstored))
                return
            self._note_acknowledged(self._unstored.pop(0))

    def _note_acknowledged(self, batch: UsageBatch) -> None:
        last_at = self._acknowledged[-1][0] if self._acknowledged else 0.0
        while self._acknowledged and self._acknowledged[0][0] < last_at - ACKNOWLEDGED_KEPT_S:
            self._acknowledged.popleft()
        self._acknowledged.append((asyncio.get_running_loop().time(), batch))

    def _close_batch(self) -> None:
        if not self._usage_by_key:
            return
        if len(self._unstored) >= MAX_UNSTORED_BATCHES:
            # Bounds the memory during a long store outage: usage accumulates in the open batch.
            return
        self._sequence += 1
        lines = tuple(UsageLine(key, usage) for key, usage in sorted(self._usage_by_key.items()))
        batch = UsageBatch(self._daemon, self._run, self._sequence, lines)
        self._usage_by_key = {}
        self._unstored.append(batch)
