"""Finds lost and regained paths to endpoints, by connections that carry no request."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Sequence

from comfreyhatch.adapters.http_client import ConnectResult, HttpClient
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.path_probes import PathProbes
from comfreyhatch.exchange.endpoint_paths import EndpointPaths
from comfreyhatch.exchange.periodic import PeriodicTask
from comfreyhatch.exchange.view import FleetView

CHECK_INTERVAL_S = 0.25

log = logging.getLogger("comfreyhatch.paths")


class PathMonitor:
    """A task that probes silent services and lost endpoints."""

    def __init__(
        self,
        view: FleetView,
        client: HttpClient,
        paths: EndpointPaths,
        probes: PathProbes,
        note_refused: Callable[[EndpointTracker, float], None],
    ) -> None:
        """Create it; the task is not started.

        Args:
            view: Current state of the fleet.
            client: Opens the connections, and keeps those that can be opened.
            paths: Which endpoints are within reach; updated.
            probes: Selects the endpoints to probe.
            note_refused: Notes that an endpoint refuses connections, at a time.
        """
        self._note_refused = note_refused
        self._view = view
        self._client = client
        self._paths = paths
        self._probes = probes
        self._task = PeriodicTask("paths", CHECK_INTERVAL_S, self._check)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    async def stop(self) -> None:
        """Stop the task."""
        await self._task.stop()

    async def _check(self) -> None:
        """Probe what has to be; costs little for the endpoints that are idle and within reach."""
        now = asyncio.get_running_loop().time()
        await asyncio.gather(*self._silence_checks(now), *self._loss_checks(now))

    def _silence_checks(self, now: float) -> list[Coroutine[None, None, None]]:
        checks = []
        for service, trackers in self._view.trackers_by_service.items():
            if any(tracker.in_flight for tracker in trackers):
                listed = _listed(trackers)
                if self._probes.silent(service, listed, now):
                    checks.append(self._probe_silent(service, listed, now))
        return checks

    def _loss_checks(self, now: float) -> list[Coroutine[None, None, None]]:
        lost = [t for t in self._view.tracker_by_id.values() if t.lost_at is not None]
        self._probes.forget(tracker.start for tracker in lost)
        checks = []
        for service in {tracker.record.service for tracker in lost} | self._paths.lost_services:
            self._paths.update(service, now)
            listed = _listed(self._view.trackers_by_service.get(service, ()))
            due = self._probes.due(listed, self._paths.is_lost(service), now)
            checks += [self._probe(tracker) for tracker in due]
        return checks

    async def _probe_silent(
        self, service: str, listed: Sequence[EndpointTracker], now: float
    ) -> None:
        """Probe some endpoints of a silent service; if none is reached, all of them are lost.

        One of them that can be reached is only slow; the others are not probed then.
        """
        sample = self._probes.sample(service, listed, now)
        await self._probe(sample[0])
        if sample[0].lost_at is None:
            return
        log.info("event=service_silent service=%s probed=%d", service, len(sample))
        await asyncio.gather(*(self._probe(tracker) for tracker in sample[1:]))
        if all(tracker.lost_at is not None for tracker in sample):
            ended = asyncio.get_running_loop().time()
            for tracker in listed:
                self._paths.note_unreachable(tracker, ended)

    async def _probe(self, endpoint: EndpointTracker) -> None:
        result = await self._client.try_connect(endpoint.record.address)
        now = asyncio.get_running_loop().time()
        if result is ConnectResult.OPEN:
            self._paths.note_reached(endpoint, now)
            return
        if result is ConnectResult.REFUSED:
            self._note_refused(endpoint, now)
        if endpoint.lost_at is None:
            name = endpoint.record.endpoint_id
            log.info("event=probe_failed endpoint=%s result=%r", name, result.value)
        self._paths.note_unreachable(endpoint, now)


def _listed(trackers: Iterable[EndpointTracker]) -> list[EndpointTracker]:
    return [tracker for tracker in trackers if tracker.removed_at is None]
