"""Authenticates and routes callers' requests, and proxies them to endpoints."""

import asyncio
import logging

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.request_identity import request_identity
from comfreyhatch.domain.catalog import Catalog, RequestKind, Route, Workspace
from comfreyhatch.domain.exchange import Exchange, Job
from comfreyhatch.errors import ComfreyhatchError, NotReadyError, RefusedError, RequestError
from comfreyhatch.exchange.header_codec import HeaderCodec
from comfreyhatch.exchange.request_counter import RequestCounter, service_of, sticky_key
from comfreyhatch.exchange.stream_proxy import StreamProxy
from comfreyhatch.exchange.telemetry import RequestTelemetry
from comfreyhatch.exchange.unary_proxy import UnaryProxy
from comfreyhatch.exchange.view import FleetView

NOT_READY_RETRY_AFTER_S = 1.0

log = logging.getLogger("comfreyhatch.router")


class ExchangeRouter:
    """Handles callers' requests.

    Attributes:
        stopping: Whether new requests are refused because the daemon shuts down.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        view: FleetView,
        unary: UnaryProxy,
        streaming: StreamProxy,
        counter: RequestCounter,
        telemetry: RequestTelemetry,
    ) -> None:
        """Create a router.

        Args:
            codec: Decodes callers' headers and encodes refusals.
            view: Current state of the fleet.
            unary: Proxies requests with one buffered answer.
            streaming: Proxies requests with a streamed answer.
            counter: Counts requests in the budgets of their services.
            telemetry: Counts and logs finished requests.
        """
        self._codec = codec
        self._view = view
        self._unary = unary
        self._streaming = streaming
        self._counter = counter
        self._telemetry = telemetry
        self.stopping = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a request; an error becomes a refusal."""
        exchange = self._codec.read_exchange(request)
        arrived = asyncio.get_running_loop().time()
        job: Job | None = None
        try:
            job = self._admit(exchange, arrived)
            response = await self._serve(job)
        except ComfreyhatchError as error:
            self._telemetry.record_error(exchange, job, error, arrived)
            return self._codec.refusal(error)
        except asyncio.CancelledError:
            self._telemetry.record_abandoned(exchange, job, arrived)
            raise
        if response.stream is not None:
            response.stream = self._telemetry.record_stream(exchange, job, response.stream, arrived)
        else:
            self._telemetry.record_answer(exchange, job, response.status, arrived)
        return response

    def _admit(self, exchange: Exchange, now: float) -> Job:
        """Return the request with its route, workspace, service and deadline.

        Raises:
            NotReadyError: If no configuration is loaded, or if the loaded one may be outdated and
                does not allow the request.
            RefusedError: If the daemon shuts down, or the request was read after its deadline.
            RequestError: If the configuration does not allow the request.
        """
        catalog = self._view.catalog
        if catalog is None or not self._view.ready():
            raise NotReadyError(
                "no configuration has been loaded yet", retry_after_s=NOT_READY_RETRY_AFTER_S
            )
        if self.stopping:
            raise RefusedError(
                "the instance is shutting down", ResultCode.SHUTTING_DOWN, retry_after_s=0.1
            )
        route = catalog.route(exchange.host, exchange.path)
        if route is None:
            self._require_fresh_config(now)
            raise RequestError("no route matches this host and path", ResultCode.NOT_FOUND)
        workspace = self._workspace(catalog, route, exchange, now)
        timeout_s = exchange.timeout_s if exchange.timeout_s is not None else route.timeout_s
        came_at = now - exchange.waited_s
        job = Job(
            exchange=exchange,
            route=route,
            workspace=workspace.name if workspace else "",
            service=service_of(route, sticky_key(exchange)),
            rank=_rank(route, workspace),
            arrived=now,
            deadline=came_at + min(timeout_s, route.timeout_s),
            identity=request_identity(exchange),
        )
        self._counter.record(job, came_at)
        if exchange.waited_s and job.deadline <= now:
            raise RefusedError(
                "the request was read after its deadline", ResultCode.DEADLINE_EXCEEDED
            )
        return job

    def _workspace(
        self, catalog: Catalog, route: Route, exchange: Exchange, now: float
    ) -> Workspace | None:
        if route.public:
            return None
        workspace = catalog.workspace_by_key.get(exchange.api_key)
        if workspace is None:
            self._require_fresh_config(now)
            raise RequestError("the API key is unknown", ResultCode.UNAUTHENTICATED)
        return workspace

    def _require_fresh_config(self, now: float) -> None:
        """Raise if the loaded configuration is too old to reject a request by it.

        Raises:
            NotReadyError: If a newer configuration may be in force.
        """
        if self._view.stale(now):
            raise NotReadyError(
                f"the configuration is {self._view.operations_age_s(now):.1f} s old",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )

    async def _serve(self, job: Job) -> HttpResponse:
        try:
            async with asyncio.timeout_at(job.deadline):
                if job.route.kind is RequestKind.STREAM:
                    return await self._streaming.run(job)
                return await self._unary.run(job)
        except TimeoutError:
            raise ComfreyhatchError(
                "the deadline passed without an answer",
                ResultCode.DEADLINE_EXCEEDED,
                ran=Ran.UNKNOWN,
            ) from None


def _rank(route: Route, workspace: Workspace | None) -> int:
    """Return the urgency of a request; the workspace's rank overrides the route's."""
    if workspace is not None and workspace.rank is not None:
        return workspace.rank
    return route.rank
