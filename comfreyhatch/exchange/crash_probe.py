"""Finds out whether an endpoint has crashed, or only cannot be reached."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.exchange.view import FleetView

# Other endpoints of the zone that are tried.
MAX_ZONE_PROBES = 3

Probe = Callable[[EndpointTracker], Awaitable[bool]]

log = logging.getLogger("comfreyhatch.crashes")


class CrashProbe:
    """Probes endpoints by new connections.

    A network may refuse the connections to a zone that is cut off, like endpoints whose processes
    have ended. While no endpoint of a zone can be reached, none of them counts as crashed: a
    request that is tried at several of them would be blamed for all.
    """

    def __init__(self, view: FleetView, is_down: Probe, is_unreachable: Probe, rng: Random) -> None:
        """Create a probe.

        Args:
            view: Current state of the fleet.
            is_down: Returns whether nothing listens at an endpoint's address.
            is_unreachable: Returns whether no connection to an endpoint can be opened.
            rng: Seeded source of the choice of other endpoints.
        """
        self._view = view
        self._is_down = is_down
        self._is_unreachable = is_unreachable
        self._rng = rng

    async def has_crashed(self, endpoint: EndpointTracker) -> bool:
        """Return whether an endpoint's process has ended."""
        if not await self._is_down(endpoint):
            return False
        others = self._others(endpoint)
        if not others:
            return True
        refused = await asyncio.gather(*map(self._is_unreachable, others))
        if all(refused):
            log.info("event=zone_unreachable zone=%s", endpoint.record.zone)
        return not all(refused)

    def _others(self, endpoint: EndpointTracker) -> list[EndpointTracker]:
        """Return some other endpoints of an endpoint's zone, or of any zone if there are none.

        This daemon may have lost its paths to all of them.
        """
        listed = [
            tracker
            for tracker in self._view.tracker_by_id.values()
            if tracker is not endpoint and tracker.removed_at is None
        ]
        of_zone = [tracker for tracker in listed if tracker.record.zone == endpoint.record.zone]
        others = of_zone or listed
        return self._rng.sample(others, min(MAX_ZONE_PROBES, len(others)))
