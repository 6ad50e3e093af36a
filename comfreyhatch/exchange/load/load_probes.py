"""Asks endpoints for their load by way of their health paths."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from time import monotonic

from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.load_sampling import ProbeBudget
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.errors import HttpError
from comfreyhatch.exchange.header_codec import HeaderCodec

# Longest wait for the loads that a placement compares; an answer within a region takes some
# milliseconds.
PLACEMENT_TIMEOUT_S = 0.1
# Longest wait for the answer that tells a busy endpoint from a silent one.
SILENCE_TIMEOUT_S = 0.5

log = logging.getLogger("comfreyhatch.load")


class LoadProbes:
    """Sends load probes, within a budget, and records the reports that answer them."""

    def __init__(
        self,
        client: HttpClient,
        codec: HeaderCodec,
        catalog: Callable[[], Catalog | None],
        registry: CollectorRegistry,
    ) -> None:
        """Create it.

        Args:
            client: Sends the probes.
            codec: Decodes the reports.
            catalog: Returns the configuration, which names the health paths.
            registry: Registry of the metrics.
        """
        self._client = client
        self._codec = codec
        self._catalog = catalog
        self._budget = ProbeBudget(monotonic())
        self._verifying: dict[str, asyncio.Task[bool]] = {}
        self._sent = Counter(
            "comfreyhatch_load_probes",
            "Probes of endpoints' load, by purpose and outcome.",
            ["purpose", "outcome"],
            registry=registry,
        )

    async def ask(self, trackers: Iterable[EndpointTracker]) -> None:
        """Ask endpoints for their load, as many as the budget allows, and wait for the answers."""
        asked = [tracker for tracker in trackers if self._health_path(tracker.record.service)]
        asked = asked[: self._budget.take(len(asked), asyncio.get_running_loop().time())]
        if asked:
            await asyncio.gather(*(self._probe(t, PLACEMENT_TIMEOUT_S, "placement") for t in asked))

    def verify(self, tracker: EndpointTracker) -> None:
        """Find out whether an endpoint that has sent nothing for a while answers."""
        key = tracker.start
        now = asyncio.get_running_loop().time()
        if key in self._verifying or tracker.is_cold(now) or not self._budget.take(1, now):
            return
        task = asyncio.create_task(self._probe(tracker, SILENCE_TIMEOUT_S, "silence"))
        self._verifying[key] = task
        task.add_done_callback(lambda _: self._verifying.pop(key, None))

    async def stop(self) -> None:
        """Cancel the probes that nobody waits for."""
        tasks = list(self._verifying.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _probe(self, tracker: EndpointTracker, timeout_s: float, purpose: str) -> bool:
        """Record an endpoint's report; return whether it answered."""
        path = self._health_path(tracker.record.service)
        if not path:
            return False
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._client.request(
                    tracker.record.address, "GET", path, timeout_s=timeout_s
                )
        except (HttpError, TimeoutError) as error:
            tracker.probe_missed_at = loop.time()
            self._sent.labels(purpose, "missed").inc()
            log.info(
                "event=load_probe_missed endpoint=%s purpose=%s reason=%r",
                tracker.record.endpoint_id,
                purpose,
                str(error),
            )
            return False
        head = self._codec.read_head(reply.status, reply.headers)
        now = loop.time()
        if head.endpoint_id not in ("", tracker.record.endpoint_id):
            # The address belongs to another endpoint by now.
            tracker.probe_missed_at = now
            self._sent.labels(purpose, "misdirected").inc()
            return False
        tracker.probe_missed_at = float("-inf")
        tracker.last_received_at = now
        if head.load is not None:
            tracker.record_load(head.load, now, asked=True)
        if head.cold_s:
            tracker.record_cold(head.cold_s, now)
        self._sent.labels(purpose, "answered").inc()
        return True

    def _health_path(self, service: str) -> str:
        """Return the path that a service's endpoints answer; empty if none is known."""
        catalog = self._catalog()
        return catalog.health_path(service) if catalog else ""
