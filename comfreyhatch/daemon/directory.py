"""What the platform's instance list says: the daemons and the endpoints."""

import asyncio
import logging

from msgspec.structs import replace

from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.peers import Member
from comfreyhatch.ports.platform import InstanceList

POLL_INTERVAL_S = 0.5

log = logging.getLogger("comfreyhatch.directory")


class Directory:
    """Polls the instance list and keeps the last answer through outages.

    Attributes:
        members: Daemons that the list has as live.
        daemon_ids: All daemons of the list, leaving ones included; None before it was read.
        endpoint_by_id: Endpoints that are not about to go.
    """

    def __init__(self, instances: InstanceList, own: Instance) -> None:
        self._instances = instances
        self._own = own
        self.members: list[Member] = []
        self.daemon_ids: frozenset[str] | None = None
        self.endpoint_by_id: dict[str, Instance] = {}

    def announce_as(self, address: Address, control: Address) -> None:
        """Set the addresses that this daemon is announced with."""
        self._own = replace(self._own, address=address, control=control)

    async def announce_leaving(self) -> None:
        """Announce that this daemon is about to go; the list may be unreachable."""
        self._own = replace(self._own, leaving=True)
        await self.refresh()

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once; keeps the old one when the platform does not answer."""
        try:
            await self._instances.announce(self._own)
            rows = await self._instances.instances()
        except ComfreyhatchError as error:
            log.warning("event=instance_list_unavailable reason=%r", str(error))
            return
        self.endpoint_by_id = {
            row.instance_id: row for row in rows if row.role is not Role.DAEMON and not row.leaving
        }
        self.daemon_ids = frozenset(r.instance_id for r in rows if r.role is Role.DAEMON)
        self.members = [_member(row) for row in rows if _is_live_daemon(row)]


def _is_live_daemon(row: Instance) -> bool:
    return row.role is Role.DAEMON and row.control is not None and not row.leaving


def _member(row: Instance) -> Member:
    assert row.control is not None
    return Member(row.instance_id, "", row.zone, row.control, row.address)
