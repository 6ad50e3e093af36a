"""Edits of the configuration by operators, and the instances on which they are in force."""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.config.change_log import ChangeLog
from comfreyhatch.daemon.config.config_sync import ConfigSync
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.decisions.configuration import EditState, describe_changes, edit_state
from comfreyhatch.domain.change import Change, ChangeRecord, change_config
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ConflictError, PlatformError
from comfreyhatch.ports.operators import InForce
from comfreyhatch.ports.table import WriteOutcome

MAX_CONCURRENT_HEAD_QUERIES = 32
COMMIT_TIMEOUT_S = 10.0
COMMIT_RETRY_INTERVAL_S = 0.2

log = logging.getLogger("comfreyhatch.configuration")


class ConfigEditor:
    """Commits operators' changes to the change log."""

    def __init__(
        self,
        change_log: ChangeLog,
        config_sync: ConfigSync,
        membership: Membership,
        timeout_s: float = COMMIT_TIMEOUT_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the configuration editor of a daemon.

        Args:
            change_log: Change log of the platform.
            config_sync: Keeps the configuration in force and queries peers for theirs.
            membership: Provides the view of the live daemons.
            timeout_s: Time allowed to resolve the outcome of a commit, in seconds.
            clock: Monotonic seconds.
        """
        self._change_log = change_log
        self._config_sync = config_sync
        self._membership = membership
        self._timeout_s = timeout_s
        self._clock = clock

    @property
    def config(self) -> FleetConfig:
        """The configuration in force at this daemon."""
        return self._config_sync.config

    async def history(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return at most `limit` changes after a revision, in order of revision.

        Raises:
            PlatformError: If the table does not answer.
        """
        return await self._change_log.page(after, limit)

    async def apply(
        self, change: Change, edit_id: str, author: str, expected_revision: int = 0
    ) -> int:
        """Commit a change and return its revision.

        Idempotent by edit id: the id of a committed edit returns its revision and changes
        nothing.

        Args:
            change: The change.
            edit_id: Identifier of the edit, chosen by whoever makes it; a retry repeats it.
            author: Who makes the change.
            expected_revision: Revision that the change is based on; 0 takes the newest.

        Raises:
            ChangeError: If the change does not fit the configuration.
            ConflictError: If another change was committed first; nothing was changed.
            PlatformError: If the platform does not answer. With the code WRITE_UNKNOWN the change
                may have been committed; a repeat with the same edit id finds or commits it.
        """
        committed_revision = await self._change_log.find_edit(edit_id)
        if committed_revision:
            return committed_revision
        await self._config_sync.catch_up()
        base = self._config_sync.config
        if expected_revision not in (0, base.revision):
            raise self._conflict(expected_revision)
        change_config(base, change)
        revision = base.revision + 1
        await self._commit(change, edit_id, author, revision)
        log.info("event=change_accepted revision=%d author=%s edit=%s", revision, author, edit_id)
        await self._config_sync.publish_committed()
        return revision

    async def in_force(self, revision: int) -> InForce:
        """Return on which live instances a revision is in force.

        Instances whose last heartbeat shows an older revision are queried.
        """
        members = self._membership.view.member_by_id.values()
        revisions = {m.instance_id: m.revision for m in members if not m.leaving}
        revisions[self._membership.own.instance_id] = self._config_sync.config.revision
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_HEAD_QUERIES)

        async def query(instance_id: str) -> None:
            async with semaphore:
                reply = await self._config_sync.query_head(instance_id)
            if reply:
                revisions[instance_id] = reply.revision

        await asyncio.gather(*(query(i) for i, known in revisions.items() if known < revision))
        return InForce(
            revision,
            tuple(sorted(i for i, known in revisions.items() if known >= revision)),
            tuple(sorted(i for i, known in revisions.items() if known < revision)),
        )

    async def _commit(self, change: Change, edit_id: str, author: str, revision: int) -> None:
        """Commit an edit; retry the same transaction while the outcome of a write is unknown.

        The transaction inserts the edit id, so a retry can't apply the change twice.
        """
        deadline = self._clock() + self._timeout_s
        may_be_written = False
        while True:
            state = EditState.RETRY
            try:
                state = await self._try_commit(change, edit_id, author, revision)
                may_be_written = True
            except PlatformError:
                if not may_be_written:
                    raise
            if state is EditState.ACCEPTED:
                return
            if state is EditState.LOST:
                await self._config_sync.catch_up()
                raise self._conflict(revision - 1)
            if self._clock() >= deadline:
                raise PlatformError(
                    f"the answer to edit {edit_id} was lost; try again with the same edit id",
                    ResultCode.WRITE_UNKNOWN,
                )
            await asyncio.sleep(COMMIT_RETRY_INTERVAL_S)

    async def _try_commit(
        self, change: Change, edit_id: str, author: str, revision: int
    ) -> EditState:
        outcome = await self._change_log.commit(change, edit_id, author, revision)
        if outcome is WriteOutcome.DONE:
            return EditState.ACCEPTED
        try:
            recorded = bool(await self._change_log.find_edit(edit_id))
        except PlatformError:
            return EditState.RETRY
        return edit_state(outcome, recorded)

    def _conflict(self, base_revision: int) -> ConflictError:
        later_changes = self._config_sync.cached_records_after(base_revision)
        return ConflictError(
            f"revision {self._config_sync.config.revision} is in force, not {base_revision}; "
            f"nothing was changed:\n{describe_changes(later_changes)}"
        )
