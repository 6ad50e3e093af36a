"""Writes again what this daemon owned in the store, once that came back from an older copy."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random

from msgspec import Struct
from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.adapters.metrics import add_gauge

# Writes of a fleet are spread over this time, so that they stay below the store's rates. What other
# daemons need is back within 2 s; usage is not urgent.
SHARED_SPREAD_S = 1.0
USAGE_SPREAD_S = 5.0
RETRY_S = 0.3
# Time after which the attempts end; the log says what is left.
RECOVERY_LIMIT_S = 30.0

log = logging.getLogger("comfreyhatch.recovery")


class LostRows(Struct, frozen=True):
    """A kind of rows that this daemon owns.

    Attributes:
        kind: Name in the log and the metrics.
        spread_s: Longest random delay before they are written again, in seconds.
        write_again: Writes what is lost and returns its number; None if it has to be tried again.
    """

    kind: str
    spread_s: float
    write_again: Callable[[], Awaitable[int | None]]


class StoreRecovery:
    """Task that runs once for each return of the store from an older copy."""

    def __init__(self, rng: Random, registry: CollectorRegistry, kinds: tuple[LostRows, ...]):
        """Create it; nothing runs before `begin`.

        Args:
            rng: Seeded source of jitter.
            registry: Registry of the metrics.
            kinds: What this daemon owns.
        """
        self._rng = rng
        self._kinds = kinds
        self._task: asyncio.Task[None] | None = None
        self._former = 0
        self._generation: int | None = None
        self._returns = Counter(
            "comfreyhatch_store_returns",
            "Returns of the store from an older copy.",
            registry=registry,
        )
        self._rows = Counter(
            "comfreyhatch_store_rows_written_again",
            "Rows written again after a return of the store from an older copy.",
            ("kind",),
            registry=registry,
        )
        add_gauge(
            registry,
            "store_generation",
            "Generation of the store; 0 if it names none.",
            lambda: self._generation or 0,
        )

    def note_generation(self, generation: int) -> None:
        """Note the generation from which something was read; a newer one begins the recovery."""
        if generation == self._generation:
            return
        former, self._generation = self._generation, generation
        if former is not None:
            self._begin(former, generation)

    async def stop(self) -> None:
        """Cancel a recovery under way."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _begin(self, former: int, generation: int) -> None:
        self._returns.inc()
        if self._task and not self._task.done():
            self._task.cancel()  # its log line is replaced by one that names its former generation
        else:
            self._former = former
        self._task = asyncio.create_task(self._recover(self._former, generation))

    async def _recover(self, former: int, generation: int) -> None:
        counts = await asyncio.gather(*(self._write_again(kind) for kind in self._kinds))
        written = " ".join(
            f"{kind.kind}={'unfinished' if count is None else count}"
            for kind, count in zip(self._kinds, counts, strict=True)
        )
        log.warning(
            "event=store_returned former_generation=%d generation=%d %s",
            former,
            generation,
            written,
        )

    async def _write_again(self, kind: LostRows) -> int | None:
        """Write one kind of rows again; return their number, None if it did not succeed."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + RECOVERY_LIMIT_S
        await asyncio.sleep(kind.spread_s * self._rng.random())
        while loop.time() < ends_at:
            count = await kind.write_again()
            if count is not None:
                self._rows.labels(kind.kind).inc(count)
                return count
            await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))
        return None
