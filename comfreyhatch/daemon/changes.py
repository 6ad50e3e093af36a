"""The change log in the platform's table, followed by polling."""

import asyncio
import logging
from time import time

from msgspec.json import decode, encode

from comfreyhatch.domain.change import Change, ChangeRecord, apply_change, change_config
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ComfreyhatchError, ConflictError
from comfreyhatch.ports.table import Insert, Operation, Require, Table, Update, WriteOutcome

POLL_INTERVAL_S = 0.5
HEAD_KEY = "head"

log = logging.getLogger("comfreyhatch.configuration")


def change_key(revision: int) -> str:
    """Return the table key of a change."""
    return f"change/{revision:012d}"


class ChangeLog:
    """Holds the configuration in force and commits changes."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self.config = FleetConfig()
        self.records: list[ChangeRecord] = []

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            try:
                await self.refresh()
            except ComfreyhatchError as error:
                log.warning("event=change_log_unavailable reason=%r", str(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Adopt all changes that follow the configuration in force."""
        rows = await self._table.scan("change/", after=change_key(self.config.revision))
        for row in rows:
            record = decode(row.value, type=ChangeRecord)
            self.config = apply_change(self.config, record)
            self.records.append(record)
            log.info("event=change_adopted revision=%d", record.revision)

    async def history(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return the changes that follow a revision, in order.

        Raises:
            PlatformError: If the table does not answer.
        """
        rows = await self._table.scan("change/", change_key(after), limit)
        return [decode(row.value, type=ChangeRecord) for row in rows]

    async def apply(self, change: Change, edit_id: str, author: str) -> int:
        """Commit a change and return its revision.

        Raises:
            ChangeError: If the change does not fit.
            ConflictError: If another change came first.
            PlatformError: If the table does not answer.
        """
        await self.refresh()
        change_config(self.config, change)
        revision = self.config.revision + 1
        record = ChangeRecord(revision, edit_id, author, time(), change)
        head = await self._table.read(HEAD_KEY)
        value = b"%d" % revision
        operations: list[Operation] = [
            Update(HEAD_KEY, value, head.revision) if head else Insert(HEAD_KEY, value),
            Require(change_key(revision + 1), 0),
            Insert(change_key(revision), encode(record)),
        ]
        outcome = await self._table.commit(operations)
        await self.refresh()
        if outcome is not WriteOutcome.DONE and not self._holds(revision, edit_id):
            raise ConflictError(f"revision {revision} was taken by another change")
        return revision

    def _holds(self, revision: int, edit_id: str) -> bool:
        return any(r.revision == revision and r.edit_id == edit_id for r in self.records)
