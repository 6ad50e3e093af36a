"""Continuous batching: all running sequences gain tokens in the same step."""

import asyncio
from heapq import heappop, heappush

from msgspec import Struct

from comfreyhatch.ports.engine import GenerateRequest
from comfreyhatch.standins.text import token


class BatchTiming(Struct, frozen=True):
    """How long the steps of an engine take.

    Attributes:
        step_s: Time of a step with an empty batch, in seconds.
        sequence_s: Time that each running sequence adds to a step, in seconds.
        prefill_token_s: Time for a prompt token that is not cached, in seconds.
        tokens_per_step: Tokens that a sequence gains in a step.
    """

    step_s: float = 0.002
    sequence_s: float = 0.0001
    prefill_token_s: float = 0.00001
    tokens_per_step: int = 1


class Sequence:
    """One answer being generated."""

    __slots__ = (
        "broken",
        "credit",
        "end",
        "next",
        "prefill_tokens",
        "produced",
        "quality",
        "ready",
        "request",
        "slowdown",
    )

    def __init__(
        self,
        request: GenerateRequest,
        end: int,
        quality: float,
        prefill_tokens: int,
        slowdown: float = 1.0,
    ) -> None:
        self.request = request
        self.end = end
        self.quality = quality
        self.prefill_tokens = prefill_tokens
        self.slowdown = slowdown
        self.next = request.resume_offset
        self.credit = 0.0
        self.produced: list[str] = []
        self.ready = asyncio.Event()
        self.broken = False

    @property
    def complete(self) -> bool:
        """Whether all tokens are generated."""
        return self.next >= self.end

    def break_off(self) -> None:
        """End the sequence before its end."""
        self.broken = True
        self.ready.set()

    def advance(self, tokens: int) -> None:
        """Generate tokens, fewer if the version is slow."""
        self.credit += tokens / self.slowdown
        while self.credit >= 1 and not self.complete:
            self.credit -= 1
            self.produced.append(token(self.request.request_id, self.next, self.quality))
            self.next += 1
        if self.produced or self.complete:
            self.ready.set()


class Batch:
    """Running and waiting sequences; higher priorities run first."""

    def __init__(self, size: int, timing: BatchTiming) -> None:
        self.size = size
        self.running: list[Sequence] = []
        self._timing = timing
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._number = 0
        self._added = asyncio.Event()

    @property
    def queued(self) -> int:
        """Number of sequences that wait."""
        return len(self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self._number += 1
        heappush(self._waiting, (-sequence.request.priority, self._number, sequence))
        self._added.set()

    def remove(self, sequence: Sequence) -> None:
        """Forget a sequence, whatever its state."""
        if sequence in self.running:
            self.running.remove(sequence)
        self._waiting = sorted(entry for entry in self._waiting if entry[2] is not sequence)

    def all(self) -> list[Sequence]:
        """Return the running and the waiting sequences."""
        return self.running + [sequence for _, _, sequence in self._waiting]

    async def run(self) -> None:
        """Step while there is work."""
        while True:
            self._admit()
            if not self.running:
                self._added.clear()
                await self._added.wait()
                continue
            await asyncio.sleep(self._step_time())
            self._step()

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.size:
            self.running.append(heappop(self._waiting)[2])

    def _step_time(self) -> float:
        timing = self._timing
        prefill = sum(sequence.prefill_tokens for sequence in self.running)
        for sequence in self.running:
            sequence.prefill_tokens = 0
        batch_s = timing.sequence_s * len(self.running)
        return timing.step_s + batch_s + timing.prefill_token_s * prefill

    def _step(self) -> None:
        for sequence in list(self.running):
            sequence.advance(self._timing.tokens_per_step)
            if sequence.complete:
                self.running.remove(sequence)
