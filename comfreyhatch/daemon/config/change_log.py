"""Change log of the configuration: rows in the platform's table, snapshots in its object store."""

import logging
from time import time

from msgspec.json import decode, encode

from comfreyhatch.decisions.configuration import adopt
from comfreyhatch.domain.change import Change, ChangeRecord
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.ports.objects import ObjectStore
from comfreyhatch.ports.table import Insert, Operation, Row, Table, Update, WriteOutcome

HEAD_KEY = "head"
SNAPSHOT_KEY = "snapshot"
CHANGE_PREFIX = "change/"
ROWS_PER_PAGE = 500
SNAPSHOT_INTERVAL_REVISIONS = 100

log = logging.getLogger("comfreyhatch.configuration")


def change_key(revision: int) -> str:
    """Return the table key of the change that made a revision."""
    return f"{CHANGE_PREFIX}{revision:012d}"


def edit_key(edit_id: str) -> str:
    """Return the table key of the row that holds the revision an edit made."""
    return f"edit/{edit_id}"


def snapshot_key(revision: int) -> str:
    """Return the object store key of the snapshot of a revision."""
    return f"config/{revision:012d}"


class ChangeLog:
    """Reads and appends to the change log; holds no state of its own."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> int:
        """Return the newest committed revision, or 0 if there is none.

        Raises:
            PlatformError: If the table does not answer.
        """
        return _revision_in(await self._table.read(HEAD_KEY))

    async def records_after(self, revision: int) -> list[ChangeRecord]:
        """Return all changes after a revision, in order of revision.

        Raises:
            PlatformError: If the table does not answer.
        """
        records: list[ChangeRecord] = []
        while True:
            page = await self.page(records[-1].revision if records else revision, ROWS_PER_PAGE)
            records += page
            if len(page) < ROWS_PER_PAGE:
                return records

    async def page(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return at most `limit` changes after a revision, in order of revision.

        Raises:
            PlatformError: If the table does not answer.
        """
        rows = await self._table.scan(CHANGE_PREFIX, after=change_key(after), limit=limit)
        return [decode(row.value, type=ChangeRecord) for row in rows]

    async def load(self) -> FleetConfig:
        """Return the newest configuration: the last snapshot and the changes after it.

        Raises:
            PlatformError: If the platform does not answer.
        """
        config = FleetConfig()
        revision = _revision_in(await self._table.read(SNAPSHOT_KEY))
        if revision:
            value = await self._objects.get(snapshot_key(revision))
            config = decode(value, type=FleetConfig) if value else config
        return adopt(config, await self.records_after(config.revision))

    async def find_edit(self, edit_id: str) -> int:
        """Return the revision that an edit made, or 0 if the edit is not in the log.

        Raises:
            PlatformError: If the table does not answer.
        """
        return _revision_in(await self._table.read(edit_key(edit_id)))

    async def commit(
        self, change: Change, edit_id: str, author: str, revision: int
    ) -> WriteOutcome:
        """Try to commit a change as a revision.

        One transaction updates the head and inserts the change and the edit id, so of
        concurrent commits of one revision only one succeeds.

        Args:
            change: The change.
            edit_id: Identifier of the edit.
            author: Who makes the change.
            revision: Revision that the change makes, one above the head.

        Returns:
            REFUSED if the head is not the preceding revision, else the outcome of the
            transaction; UNKNOWN if its answer was lost.

        Raises:
            PlatformError: If it is certain that nothing was written.
        """
        head = await self._table.read(HEAD_KEY)
        if _revision_in(head) != revision - 1:
            return WriteOutcome.REFUSED
        record = ChangeRecord(revision, edit_id, author, time(), change)
        number = b"%d" % revision
        operations: list[Operation] = [
            Update(HEAD_KEY, number, head.revision) if head else Insert(HEAD_KEY, number),
            Insert(change_key(revision), encode(record)),
            Insert(edit_key(edit_id), number),
        ]
        return await self._table.commit(operations)

    async def store_snapshot(self, config: FleetConfig) -> None:
        """Store a snapshot if SNAPSHOT_INTERVAL_REVISIONS have passed since the last one.

        Several daemons may do this at once: the object is only put if absent, and the row is
        only replaced if it has not changed since it was read.

        Raises:
            PlatformError: If the platform does not answer.
        """
        row = await self._table.read(SNAPSHOT_KEY)
        if config.revision < _revision_in(row) + SNAPSHOT_INTERVAL_REVISIONS:
            return
        if (
            await self._objects.put_if_absent(snapshot_key(config.revision), encode(config))
            is WriteOutcome.UNKNOWN
        ):
            return
        number = b"%d" % config.revision
        await self._table.commit(
            [Update(SNAPSHOT_KEY, number, row.revision) if row else Insert(SNAPSHOT_KEY, number)]
        )
        log.info("event=snapshot_stored revision=%d", config.revision)


def _revision_in(row: Row | None) -> int:
    return int(row.value) if row else 0
