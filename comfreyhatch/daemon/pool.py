"""Endpoints of the own zone, their load, and the slots in use."""

import asyncio
import logging
from collections.abc import Callable

from msgspec import Struct

from comfreyhatch.daemon.directory import Directory
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import Engine, LoadReport, PlainService
from comfreyhatch.ports.peers import View

POLL_INTERVAL_S = 0.25

log = logging.getLogger("comfreyhatch.endpoints")


class EndpointLoad(Struct, frozen=True):
    """An endpoint that may take work, with what is known of its load.

    Attributes:
        endpoint: The endpoint.
        own_in_flight: Requests that this daemon has running on it.
        share: Requests that this daemon may have running on it.
        report: Last load report.
    """

    endpoint: Instance
    own_in_flight: int
    share: int
    report: LoadReport


class Slot(Struct):
    """A slot of an endpoint's limit, held for one request."""

    endpoint: Instance
    number: int
    limit: int

    @property
    def label(self) -> str:
        """Slot and limit for the record of the request."""
        return f"{self.number}/{self.limit}"


class EndpointPool:
    """Polls the load of the zone's endpoints and hands out slots."""

    def __init__(
        self,
        directory: Directory,
        view: Callable[[], View],
        zone: str,
        engine: Engine,
        service: PlainService,
    ) -> None:
        self._directory = directory
        self._view = view
        self._zone = zone
        self._engine = engine
        self._service = service
        self._report_by_id: dict[str, LoadReport] = {}
        self._in_flight_by_id: dict[str, int] = {}

    async def run(self) -> None:
        """Poll loads until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Poll each endpoint of the zone once."""
        endpoints = [e for e in self._directory.endpoint_by_id.values() if e.zone == self._zone]
        await asyncio.gather(*(self._poll(endpoint) for endpoint in endpoints))

    def polled(self) -> bool:
        """Return whether each endpoint of the zone has reported its load."""
        endpoints = self._directory.endpoint_by_id.values()
        own = {e.instance_id for e in endpoints if e.zone == self._zone}
        return own <= self._report_by_id.keys()

    def versions_loaded(self) -> set[str]:
        """Return the version ids that some endpoint of the zone has loaded."""
        return {v for report in self._report_by_id.values() for v in report.versions}

    def load_of(self, endpoint_id: str) -> EndpointLoad | None:
        """Return what is known of an endpoint's load; None if it is not polled."""
        endpoint = self._directory.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint_id not in self._report_by_id:
            return None
        return self._load(endpoint)

    def candidates(self, wanted: str, config: FleetConfig, now: float) -> list[EndpointLoad]:
        """Return the zone's endpoints that serve a version or a plain service.

        Args:
            wanted: Version id, or name of a plain service.
            config: Configuration in force.
            now: Monotonic time, in seconds.
        """
        if self._zone in config.out_zones:
            return []
        return [
            self._load(endpoint)
            for endpoint in self._directory.endpoint_by_id.values()
            if endpoint.zone == self._zone
            and endpoint.instance_id not in config.out_endpoints
            and self._serves(endpoint, wanted)
        ]

    def acquire(self, endpoint_id: str, now: float) -> Slot | None:
        """Take a slot of an endpoint; None when the share is used up."""
        load = self.load_of(endpoint_id)
        if load is None or load.own_in_flight >= load.share:
            return None
        self._in_flight_by_id[endpoint_id] = load.own_in_flight + 1
        return Slot(load.endpoint, load.own_in_flight + 1, load.report.bears)

    def release(self, slot: Slot, now: float) -> None:
        """Give a slot back."""
        self._in_flight_by_id[slot.endpoint.instance_id] -= 1

    def _load(self, endpoint: Instance) -> EndpointLoad:
        report = self._report_by_id[endpoint.instance_id]
        peers = max(1, len(self._view().in_zone(self._zone)))
        in_flight = self._in_flight_by_id.get(endpoint.instance_id, 0)
        return EndpointLoad(endpoint, in_flight, report.bears // peers, report)

    def _serves(self, endpoint: Instance, wanted: str) -> bool:
        report = self._report_by_id.get(endpoint.instance_id)
        if report is None:
            return False
        if endpoint.role is Role.SERVICE:
            return endpoint.service == wanted
        return wanted in report.versions

    async def _poll(self, endpoint: Instance) -> None:
        port = self._engine if endpoint.role is Role.ENGINE else self._service
        try:
            self._report_by_id[endpoint.instance_id] = await port.load(endpoint)
        except ComfreyhatchError as error:
            self._report_by_id.pop(endpoint.instance_id, None)
            log.info(
                "event=endpoint_unreachable endpoint=%s reason=%r", endpoint.instance_id, str(error)
            )
