"""Publishes the addresses under which other daemons reach this one, again after a loss."""

from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.operations import DaemonAddresses
from comfreyhatch.domain.relay import RelayAddress
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory


class AddressPublisher:
    """Writes this daemon's addresses to the directory.

    Attributes:
        published: Whether the last write was acknowledged.
    """

    def __init__(self, deployment: Deployment, directory: Directory, view: FleetView) -> None:
        """Create a publisher; nothing is written yet.

        Args:
            deployment: Settings of this daemon.
            directory: Where the addresses are written.
            view: Current state of the fleet.
        """
        self._deployment = deployment
        self._directory = directory
        self._view = view
        self.published = False

    async def publish(self) -> None:
        """Write the addresses; a daemon without a control address has none."""
        deployment = self._deployment
        if deployment.control is None:
            return
        addresses = DaemonAddresses(
            str(deployment.control), deployment.region, deployment.link_mbps, self._relay_address()
        )
        self.published = await self._directory.put_addresses(deployment.instance, addresses)

    async def publish_again(self) -> int | None:
        """Write the addresses again if the store has lost them.

        Returns:
            Number of rows written; None if the records of the store's generation are not known yet
            or the write was not acknowledged.
        """
        deployment, records = self._deployment, self._view.records
        if deployment.control is None:
            return 0
        if records is None or records.generation != self._view.generation:
            return None
        listed = records.control_by_daemon.get(deployment.instance)
        region = records.region_by_daemon.get(deployment.instance)
        if (listed, region) == (str(deployment.control), deployment.region):
            return 0
        await self.publish()
        return 1 if self.published else None

    def _relay_address(self) -> RelayAddress | None:
        relay = self._deployment.relay
        return RelayAddress(relay, self._deployment.zone) if relay else None
