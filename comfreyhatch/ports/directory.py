"""Interface towards what operators, endpoints and daemons publish; an in-memory one for tests."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.operations import Evidence, Operations, RolloutRecord, SharedRecords
from comfreyhatch.domain.usage import UsageBatch
from comfreyhatch.errors import PlatformError


class Directory(Protocol):
    """Reads and follows published facts, and publishes those of this daemon.

    Each reading call takes what is held already, waits up to `wait_s` seconds for something
    newer, and returns the state then; without anything held it reads all. A returned state is
    never older than the one held. All raise PlatformError when the source does not answer.
    """

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the operators' standing orders."""

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return what the daemons have published."""

    async def put_control(self, daemon: str, address: str, region: str) -> bool:
        """Publish control address and region of this daemon; return whether they are stored."""

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Publish what this daemon has counted; return whether it is stored."""

    async def put_rollout(self, trial: RolloutRecord) -> bool:
        """Publish the state of a roll-out if the stored one still has `trial.revision`.

        Returns:
            Whether it is stored; False also when that is not known.
        """

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Store a batch of usage unless it is stored already; return whether it is stored."""


@dataclass(slots=True)
class MemoryDirectory:
    """Keeps the facts in memory; tests change them and switch the source off."""

    current_operations: Operations = field(
        default_factory=lambda: Operations(1, None, {}, frozenset())
    )
    current_endpoints: EndpointList = field(default_factory=lambda: EndpointList(1, {}))
    current_records: SharedRecords = field(default_factory=lambda: SharedRecords(1, 0, {}, {}, {}))
    available: bool = True
    batches: list[UsageBatch] = field(default_factory=list)

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the standing orders."""
        await self._check()
        return self.current_operations

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""
        await self._check()
        return self.current_endpoints

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return what the daemons have published."""
        await self._check()
        return self.current_records

    async def put_control(self, daemon: str, address: str, region: str) -> bool:
        """Keep a control address and a region."""
        if not self.available:
            return False
        self.current_records.control_by_daemon[daemon] = address
        self.current_records.region_by_daemon[daemon] = region
        return True

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Keep evidence."""
        if not self.available:
            return False
        self.current_records.evidence_by_key[f"{evidence.service}/{evidence.daemon}"] = evidence
        return True

    async def put_rollout(self, trial: RolloutRecord) -> bool:
        """Keep the state of a roll-out if nobody else changed it."""
        held = self.current_records.trial_by_service.get(trial.service)
        if not self.available or (held.revision if held else 0) != trial.revision:
            return False
        revision = self.current_records.revision + 1
        self.current_records.trial_by_service[trial.service] = replace(trial, revision=revision)
        self.current_records = replace(self.current_records, revision=revision)
        return True

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Keep a batch of usage."""
        if self.available and batch not in self.batches:
            self.batches.append(batch)
        return self.available

    async def _check(self) -> None:
        await asyncio.sleep(0)
        if not self.available:
            raise PlatformError("the directory is switched off")
