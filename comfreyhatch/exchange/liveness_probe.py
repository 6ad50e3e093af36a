"""Finds out whether an endpoint that has lost an answer is alive."""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.errors import HttpError

# Longest wait for an answer of the health path.
ANSWER_TIMEOUT_S = 0.5

log = logging.getLogger("comfreyhatch.probes")


class LivenessProbe:
    """Asks endpoints by new connections, and by the health paths of their services."""

    def __init__(self, client: HttpClient, catalog: Callable[[], Catalog | None]) -> None:
        """Create it.

        Args:
            client: Opens the connections.
            catalog: Returns the configuration, which names the health paths.
        """
        self._client = client
        self._catalog = catalog

    async def accepts_connections(self, endpoint: EndpointTracker) -> bool:
        """Return whether a new connection can be opened; the process of a hanging one does so."""
        return await self._client.can_connect(endpoint.record.address)

    async def answers(self, endpoint: EndpointTracker) -> bool | None:
        """Return whether an endpoint answers its health path in time, with whatever status.

        Returns:
            None if its service has no health path, or it is cold: a probe might count as one of the
            few requests that it bears.
        """
        catalog = self._catalog()
        path = catalog.health_path(endpoint.record.service) if catalog else ""
        if not path or endpoint.is_cold(asyncio.get_running_loop().time()):
            return None
        try:
            await self._client.request(
                endpoint.record.address,
                "GET",
                path,
                timeout_s=ANSWER_TIMEOUT_S,
                fresh_connection=True,
            )
        except HttpError as error:
            log.debug("event=liveness_probe_missed reason=%r", str(error))
            return False
        return True
