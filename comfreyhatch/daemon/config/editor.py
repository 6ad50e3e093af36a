"""Edits of the configuration, and where they are in force."""

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

QUERIES_AT_ONCE = 32
EDIT_TIMEOUT_S = 10.0
EDIT_RETRY_S = 0.2

log = logging.getLogger("comfreyhatch.configuration")


class ConfigEditor:
    """Makes changes for operators."""

    def __init__(
        self,
        changes: ChangeLog,
        config_sync: ConfigSync,
        membership: Membership,
        timeout_s: float = EDIT_TIMEOUT_S,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the editor of a daemon.

        Args:
            changes: The change log of the platform.
            config_sync: Holds the configuration in force.
            membership: MembershipView of the live daemons.
            timeout_s: Time to find out what became of an edit.
            clock: Monotonic seconds.
        """
        self._changes = changes
        self._config_sync = config_sync
        self._membership = membership
        self._timeout_s = timeout_s
        self._clock = clock

    @property
    def config(self) -> FleetConfig:
        """The configuration in force at this daemon."""
        return self._config_sync.config

    async def history(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return the changes that follow a revision, in order.

        Raises:
            PlatformError: If the table does not answer.
        """
        return await self._changes.page(after, limit)

    async def apply(
        self, change: Change, edit_id: str, author: str, expected_revision: int = 0
    ) -> int:
        """Make a change and return the revision that it made.

        An edit id that was accepted before returns its revision and changes nothing.

        Args:
            change: The change.
            edit_id: Identifier chosen by the editor.
            author: Who makes the change.
            expected_revision: Revision that the editor saw; 0 takes the newest.

        Raises:
            ChangeError: If the change does not fit the configuration.
            ConflictError: If another change came first; nothing was changed.
            PlatformError: If the platform does not answer; the code WRITE_UNKNOWN says that the
                change may have been made: the same edit id finds it or makes it.
        """
        done = await self._changes.find_edit(edit_id)
        if done:
            return done
        await self._config_sync.catch_up()
        base = self._config_sync.config
        if expected_revision not in (0, base.revision):
            raise self._conflict(expected_revision)
        change_config(base, change)
        revision = base.revision + 1
        await self._commit(change, edit_id, author, revision)
        log.info("event=change_accepted revision=%d author=%s edit=%s", revision, author, edit_id)
        await self._config_sync.announce()
        return revision

    async def in_force(self, revision: int) -> InForce:
        """Return which live instances have a revision in force, asking those that may not."""
        members = self._membership.view.member_by_id.values()
        revisions = {m.instance_id: m.revision for m in members if not m.leaving}
        revisions[self._membership.own.instance_id] = self._config_sync.config.revision
        limit = asyncio.Semaphore(QUERIES_AT_ONCE)

        async def ask(instance_id: str) -> None:
            async with limit:
                reply = await self._config_sync.ask_head(instance_id)
            if reply:
                revisions[instance_id] = reply.revision

        await asyncio.gather(*(ask(i) for i, known in revisions.items() if known < revision))
        return InForce(
            revision,
            tuple(sorted(i for i, known in revisions.items() if known >= revision)),
            tuple(sorted(i for i, known in revisions.items() if known < revision)),
        )

    async def _commit(self, change: Change, edit_id: str, author: str, revision: int) -> None:
        """Commit an edit; a lost answer is resolved by trying the same transaction again."""
        give_up_at = self._clock() + self._timeout_s
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
            if self._clock() >= give_up_at:
                raise PlatformError(
                    f"the answer to edit {edit_id} was lost; try again with the same edit id",
                    ResultCode.WRITE_UNKNOWN,
                )
            await asyncio.sleep(EDIT_RETRY_S)

    async def _try_commit(
        self, change: Change, edit_id: str, author: str, revision: int
    ) -> EditState:
        outcome = await self._changes.commit(change, edit_id, author, revision)
        if outcome is WriteOutcome.DONE:
            return EditState.ACCEPTED
        try:
            recorded = bool(await self._changes.find_edit(edit_id))
        except PlatformError:
            return EditState.RETRY
        return edit_state(outcome, recorded)

    def _conflict(self, seen: int) -> ConflictError:
        later = self._config_sync.records_after(seen)
        return ConflictError(
            f"revision {self._config_sync.config.revision} is in force, not {seen}; "
            f"nothing was changed:\n{describe_changes(later)}"
        )
