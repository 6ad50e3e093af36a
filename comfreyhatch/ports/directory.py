"""Interface to the platform's directory, and an in-memory implementation for tests.

The directory holds operators' instructions, endpoint records and records shared by daemons. It may
come back from an older copy; a new generation of its revisions begins then.
"""

import asyncio
from copy import deepcopy
from dataclasses import dataclass, field
from typing import Protocol

from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.operations import (
    DaemonAddresses,
    Evidence,
    Operations,
    RolloutRecord,
    SharedRecords,
)
from comfreyhatch.domain.usage import UsageBatch
from comfreyhatch.errors import PlatformError


class Directory(Protocol):
    """Reads and watches the platform's directory, and publishes the records of this daemon.

    Each read is a long poll: it takes the caller's current state, waits up to `wait_s` seconds for
    a newer one and returns the state at that time. With None it reads the full state at once. The
    returned state is never older than the one passed in: it has the same generation and no lower
    revision, or a newer generation. The first state of a generation is a full one.

    Reads raise PlatformError if the directory does not answer.
    """

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the operators' instructions."""

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return the records that daemons have published."""

    async def put_addresses(self, daemon: str, addresses: DaemonAddresses) -> bool:
        """Publish where this daemon is reached; return whether it is stored."""

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Publish the answer counts of this daemon; return whether they are stored."""

    async def put_rollout(self, rollout: RolloutRecord) -> bool:
        """Publish the state of a roll-out if the stored one still has `rollout.revision`.

        That revision belongs to `rollout.generation`; nothing is sent if that is over.

        Returns:
            Whether it is stored; False also if the result of the write is unknown.
        """

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Store a batch of usage if absent; return whether it is stored."""


@dataclass(slots=True)
class MemoryDirectory:
    """A directory in memory; tests change its state, make it unavailable, or let it come back."""

    current_operations: Operations = field(
        default_factory=lambda: Operations(1, None, {}, frozenset())
    )
    current_endpoints: EndpointList = field(default_factory=lambda: EndpointList(1, {}))
    current_records: SharedRecords = field(default_factory=lambda: SharedRecords(1, 0, {}, {}, {}))
    available: bool = True
    batches: list[UsageBatch] = field(default_factory=list)

    def copy(self) -> "MemoryDirectory":
        """Return a copy, from which the directory may come back later."""
        return deepcopy(self)

    def restore(self, copy: "MemoryDirectory") -> None:
        """Come back from an older copy; a new generation of revisions begins."""
        generation = self.current_records.generation + 1
        older = copy.copy()
        self.current_operations = replace(older.current_operations, generation=generation)
        self.current_endpoints = replace(older.current_endpoints, generation=generation)
        self.current_records = replace(older.current_records, generation=generation)
        self.batches = older.batches

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the operators' instructions."""
        await self._check()
        return self.current_operations

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""
        await self._check()
        return self.current_endpoints

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return the records that daemons have published."""
        await self._check()
        return self.current_records

    async def put_addresses(self, daemon: str, addresses: DaemonAddresses) -> bool:
        """Store where a daemon is reached."""
        if not self.available:
            return False
        records = self.current_records
        records.control_by_daemon[daemon] = addresses.control
        records.region_by_daemon[daemon] = addresses.region
        records.link_by_daemon[daemon] = addresses.link_mbps
        if addresses.relay is not None:
            records.relay_by_daemon[daemon] = addresses.relay
        return True

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Store evidence."""
        if not self.available:
            return False
        self.current_records.evidence_by_key[f"{evidence.service}/{evidence.daemon}"] = evidence
        return True

    async def put_rollout(self, rollout: RolloutRecord) -> bool:
        """Store the state of a roll-out if the stored revision is the expected one."""
        held = self.current_records.trial_by_service.get(rollout.service)
        current = (held.generation, held.revision) if held else (rollout.generation, 0)
        if not self.available or current != (rollout.generation, rollout.revision):
            return False
        revision = self.current_records.revision + 1
        self.current_records.trial_by_service[rollout.service] = replace(
            rollout, revision=revision, generation=self.current_records.generation
        )
        self.current_records = replace(self.current_records, revision=revision)
        return True

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Store a batch of usage if absent."""
        if self.available and batch not in self.batches:
            self.batches.append(batch)
        return self.available

    async def _check(self) -> None:
        await asyncio.sleep(0)
        if not self.available:
            raise PlatformError("the in-memory directory is unavailable")
