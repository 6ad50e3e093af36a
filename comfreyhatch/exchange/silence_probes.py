"""Finds out whether endpoints that were left as silent read again, by a request of their own.

Without it a caller's request has to find out, and each one that does waits there unread.
"""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.errors import ConnectError, ExchangeTimeoutError, HttpError

# Time for one answer: a probe that is lost on its way is sent once more after it.
ANSWER_TIMEOUT_S = 8.0
# Pause after a connection that could not be opened.
RETRY_PAUSE_S = 0.5
# Time after which callers' requests find out, in case the endpoint answers no probes.
GIVE_UP_S = 30.0

log = logging.getLogger("comfreyhatch.probes")


class SilenceProbes:
    """Sends one probe at a time to each endpoint that was left as silent."""

    def __init__(self, client: HttpClient, catalog: Callable[[], Catalog | None]) -> None:
        """Create it.

        Args:
            client: Sends the probes.
            catalog: Returns the configuration, which names the paths that endpoints answer.
        """
        self._client = client
        self._catalog = catalog
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, endpoint: EndpointTracker) -> None:
        """Probe an endpoint until it has answered, unless it is being probed or has no path."""
        path = self._health_path(endpoint.record.service)
        if not path or endpoint.awaits_probe:
            return
        endpoint.awaits_probe = True
        task = asyncio.create_task(self._probe(endpoint, path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _health_path(self, service: str) -> str:
        """Return the path that a service's endpoints answer; empty if none is known."""
        catalog = self._catalog()
        return catalog.health_path(service) if catalog else ""

    async def _probe(self, endpoint: EndpointTracker, path: str) -> None:
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(GIVE_UP_S):
                how = await self._answer(endpoint, path)
        except TimeoutError:
            how = "no answer"
        finally:
            endpoint.awaits_probe = False
        log.info(
            "event=silent_endpoint_probed endpoint=%s result=%r took_s=%.2f",
            endpoint.record.endpoint_id,
            how,
            asyncio.get_running_loop().time() - started,
        )

    async def _answer(self, endpoint: EndpointTracker, path: str) -> str:
        """Return what showed that the endpoint reads, or that it has ended."""
        while True:
            try:
                reply = await self._client.request(
                    endpoint.record.address,
                    "GET",
                    path,
                    timeout_s=ANSWER_TIMEOUT_S,
                    fresh_connection=True,
                )
                return str(reply.status)
            except ExchangeTimeoutError as error:
                log.debug("event=probe_unanswered reason=%r", str(error))
            except ConnectError as error:
                if error.refused:
                    return str(error)
                await asyncio.sleep(RETRY_PAUSE_S)
            except HttpError as error:
                return str(error)
