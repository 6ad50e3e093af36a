"""What the platform's instance list says: the daemons and the endpoints."""

import logging
from collections.abc import Iterable

from msgspec.structs import replace

from comfreyhatch.decisions.listing import ListDelta, apply_delta, delta_between
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.peers import Member
from comfreyhatch.ports.platform import InstanceList

log = logging.getLogger("comfreyhatch.directory")


class InstanceDirectory:
    """Keeps the last state of the instance list through outages.

    Attributes:
        row_by_id: All rows.
        digest: Digest of the rows.
        members: Daemons that the list has as live.
        daemon_ids: All daemons of the list, leaving ones included; None before it was read.
        endpoint_by_id: Endpoints that are not about to go.
        leaving_zone_by_id: Zones of the endpoints that are about to go.
    """

    def __init__(self, instances: InstanceList, own: Instance) -> None:
        self._instances = instances
        self._own = own
        self._last_read: list[Instance] | None = None
        self.row_by_id: dict[str, Instance] = {}
        self.digest = 0
        self.members: list[Member] = []
        self.daemon_ids: frozenset[str] | None = None
        self.endpoint_by_id: dict[str, Instance] = {}
        self.leaving_zone_by_id: dict[str, str] = {}

    def set_addresses(self, address: Address, control: Address) -> None:
        """Set the addresses that this daemon is announced with."""
        self._own = replace(self._own, address=address, control=control)

    async def announce_leaving(self) -> None:
        """Announce that this daemon is about to go; the list may be unreachable."""
        self._own = replace(self._own, leaving=True)
        await self.announce()

    async def announce(self) -> bool:
        """Announce this daemon; return whether the platform has taken it."""
        try:
            await self._instances.announce(self._own)
        except ComfreyhatchError as error:
            log.warning("event=announcement_failed reason=%r", str(error))
            return False
        return True

    async def read(self) -> ListDelta | None:
        """Read the list and take it in.

        Returns:
            What changed; None if the platform does not answer, the old state is then kept.
        """
        try:
            rows = await self._instances.instances()
        except ComfreyhatchError as error:
            log.warning("event=instance_list_unavailable reason=%r", str(error))
            return None
        if rows is self._last_read:
            return ListDelta(self.digest, self.digest)
        delta = self.take_rows(rows)
        self._last_read = rows
        return delta

    def take_rows(self, rows: Iterable[Instance]) -> ListDelta:
        """Take in a whole state of the list and return what changed."""
        delta = delta_between(self.row_by_id, self.digest, rows)
        self.take_delta(delta)
        return delta

    def take_delta(self, delta: ListDelta) -> bool:
        """Take in a change of the list; return whether it fits the state at hand."""
        if delta.base_digest != self.digest:
            return delta.new_digest == self.digest
        if delta.rows or delta.removed or self.daemon_ids is None:
            self._last_read = None
            self._replace(apply_delta(self.row_by_id, delta), delta.new_digest)
        return True

    def _replace(self, row_by_id: dict[str, Instance], digest: int) -> None:
        self.row_by_id = row_by_id
        self.digest = digest
        rows = row_by_id.values()
        self.endpoint_by_id = {
            row.instance_id: row for row in rows if row.role is not Role.DAEMON and not row.leaving
        }
        self.leaving_zone_by_id = {
            row.instance_id: row.zone for row in rows if row.role is not Role.DAEMON and row.leaving
        }
        self.daemon_ids = frozenset(r.instance_id for r in rows if r.role is Role.DAEMON)
        self.members = [_member(row) for row in rows if _is_live_daemon(row)]


def _is_live_daemon(row: Instance) -> bool:
    return row.role is Role.DAEMON and row.control is not None and not row.leaving


def _member(row: Instance) -> Member:
    assert row.control is not None
    return Member(row.instance_id, "", row.zone, row.control, row.address)
