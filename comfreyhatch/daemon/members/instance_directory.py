"""Cached copy of the platform's instance list: the daemons and the endpoints."""

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
    """Cached copy of the instance list; outages of the platform leave it unchanged.

    Attributes:
        row_by_id: All rows by instance id.
        digest: Digest of the rows.
        members: Listed daemons that have a control address and are not leaving.
        daemon_ids: Ids of all listed daemons, including leaving ones; None before the first read.
        endpoint_by_id: Endpoints that are not leaving, by instance id.
        leaving_zone_by_id: Zones of the leaving endpoints, by instance id.
    """

    def __init__(self, instances: InstanceList, own: Instance) -> None:
        self._instances = instances
        self._own = own
        self._last_read_rows: list[Instance] | None = None
        self.row_by_id: dict[str, Instance] = {}
        self.digest = 0
        self.members: list[Member] = []
        self.daemon_ids: frozenset[str] | None = None
        self.endpoint_by_id: dict[str, Instance] = {}
        self.leaving_zone_by_id: dict[str, str] = {}

    def set_addresses(self, address: Address, control: Address) -> None:
        """Set the addresses to announce for this daemon.

        Args:
            address: Address for forwarded requests.
            control: Address for peer messages.
        """
        self._own = replace(self._own, address=address, control=control)

    async def announce_leaving(self) -> None:
        """Announce that this daemon is leaving; a failure is logged and ignored."""
        self._own = replace(self._own, leaving=True)
        await self.announce()

    async def announce(self) -> bool:
        """Write this daemon's row to the platform's list; return whether it was accepted."""
        try:
            await self._instances.announce(self._own)
        except ComfreyhatchError as error:
            log.warning("event=announcement_failed reason=%r", str(error))
            return False
        return True

    async def read(self) -> ListDelta | None:
        """Read the list from the platform and update the copy.

        Returns:
            The changes; None if the platform is unavailable; the copy is then unchanged.
        """
        try:
            rows = await self._instances.instances()
        except ComfreyhatchError as error:
            log.warning("event=instance_list_unavailable reason=%r", str(error))
            return None
        # The client returns the same object if the platform reports no modification.
        if rows is self._last_read_rows:
            return ListDelta(self.digest, self.digest)
        delta = self.set_rows(rows)
        self._last_read_rows = rows
        return delta

    def set_rows(self, rows: Iterable[Instance]) -> ListDelta:
        """Replace the copy by a complete list of rows; return the changes."""
        delta = delta_between(self.row_by_id, self.digest, rows)
        self.update(delta)
        return delta

    def update(self, delta: ListDelta) -> bool:
        """Apply changes to the copy.

        Returns:
            Whether the copy is now at the state after the delta; if not, the delta starts from
            another state and the whole list has to be fetched.
        """
        if delta.base_digest != self.digest:
            return delta.new_digest == self.digest
        if delta.rows or delta.removed or self.daemon_ids is None:
            self._last_read_rows = None
            self._replace(apply_delta(self.row_by_id, delta), delta.new_digest)
        return True

    def _replace(self, row_by_id: dict[str, Instance], digest: int) -> None:
        """Set the rows, their digest and the attributes derived from them."""
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
    """Return whether a row is a daemon that takes peer messages and is not leaving."""
    return row.role is Role.DAEMON and row.control is not None and not row.leaving


def _member(row: Instance) -> Member:
    """Return the member record of a daemon; its incarnation is empty, as the list has none."""
    assert row.control is not None
    return Member(row.instance_id, "", row.zone, row.control, row.address)
