"""Sends requests to endpoints for daemons that have lost their own paths.

The daemon that asks has decided on the request, and counts it: endpoint, limits, attempts, bill.
This one sends it over its own connections, never by way of a third one, and tells what it knows
better.
"""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from math import inf
from time import monotonic

from msgspec import MsgspecError
from msgspec.msgpack import decode
from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import (
    HOP_BY_HOP_HEADERS,
    Headers,
    HttpRequest,
    HttpResponse,
    error_response,
)
from comfreyhatch.adapters.http_reply import StreamedReply
from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.relay import RELAY_PATH, EndpointRequest, RelayFailure
from comfreyhatch.errors import (
    AnswerBrokenError,
    ComfreyhatchError,
    ConnectError,
    HttpError,
    RequestError,
)
from comfreyhatch.exchange.endpoint_paths import EndpointPaths
from comfreyhatch.exchange.header_codec import HeaderCodec
from comfreyhatch.exchange.view import FleetView

# Answers that are relayed at once; each may take 128 KiB of memory.
MAX_RELAYED = 64
# Time after which a request that has come is not relayed any more, in seconds.
MAX_WAITED_S = 0.25
HTTP_SERVICE_UNAVAILABLE = 503
FAILURE_HEADER = b"x-relay-failure"
# Set for an answer of the endpoint; any other one is of a daemon that could not end its work.
ANSWER_HEADER = b"x-relay-answer"
# Set for an answer whose end only the end of the endpoint's connection tells.
UNDELIMITED_HEADER = b"x-relay-undelimited"
_OWN_HEADERS = frozenset({FAILURE_HEADER, ANSWER_HEADER, UNDELIMITED_HEADER})

NoteHead = Callable[[EndpointTracker, StreamedReply, float], None]

log = logging.getLogger("comfreyhatch.relay")


class RelayListener:
    """Handles the requests of other daemons.

    Attributes:
        stopping: Whether no more requests are taken.
    """

    def __init__(
        self,
        view: FleetView,
        client: HttpClient,
        codec: HeaderCodec,
        paths: EndpointPaths,
        note_head: NoteHead,
        may_use: Callable[[EndpointTracker, float], bool],
        registry: CollectorRegistry,
    ) -> None:
        """Create it.

        Args:
            view: Current state of the fleet.
            client: Holds the connections to endpoints.
            codec: Codec of endpoints' headers.
            paths: Which endpoints this daemon reaches.
            note_head: Learns from the head of an endpoint's answer to a request sent at a time.
            may_use: Returns whether any request may be sent to an endpoint at a time.
            registry: Registry of the metrics.
        """
        self._view = view
        self._client = client
        self._codec = codec
        self._paths = paths
        self._note_head = note_head
        self._may_use = may_use
        self._running = 0
        self.stopping = False
        self._relayed = Counter(
            "comfreyhatch_relayed_for_others",
            "Requests of other daemons, by outcome.",
            ["outcome"],
            registry=registry,
        )
        add_gauge(registry, "relays_running", "Answers being relayed.", lambda: self._running)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer of an endpoint, or a failure."""
        if request.path != RELAY_PATH:
            return error_response(RequestError("no such resource", ResultCode.NOT_FOUND))
        try:
            relayed = decode(request.body, type=EndpointRequest)
        except MsgspecError as error:
            return error_response(RequestError(str(error)))
        if request.waited_s > MAX_WAITED_S:
            # The time that its headers tell the endpoint was left as it came.
            return self._fail(RelayFailure.BUSY)
        endpoint = self._view.tracker_by_id.get(relayed.start.rpartition("/")[0])
        failure = self._reason_not_to_send(endpoint, relayed.start)
        if failure is not None or endpoint is None:
            return self._fail(failure or RelayFailure.UNREACHABLE)
        return await self._send(endpoint, relayed)

    def _reason_not_to_send(
        self, endpoint: EndpointTracker | None, start: str
    ) -> RelayFailure | None:
        if self.stopping or self._running >= MAX_RELAYED:
            return RelayFailure.BUSY
        if endpoint is None or endpoint.start != start:
            return RelayFailure.UNREACHABLE
        if not self._may_use(endpoint, monotonic()):
            return RelayFailure.WITHDRAWN
        return RelayFailure.UNREACHABLE if endpoint.lost_at is not None else None

    async def _send(self, endpoint: EndpointTracker, relayed: EndpointRequest) -> HttpResponse:
        stack = AsyncExitStack()
        stack.callback(self._end)
        self._running += 1
        sent_at = monotonic()
        try:
            reply = await stack.enter_async_context(
                self._client.stream(
                    endpoint.record.address,
                    relayed.method,
                    relayed.target,
                    relayed.body,
                    relayed.headers,
                    relayed.timeout_s,
                    identity=self._codec.identity(relayed.headers),
                )
            )
        except ConnectError:
            await stack.aclose()
            self._paths.note_unreachable(endpoint, monotonic())
            return self._fail(RelayFailure.UNREACHABLE)
        except HttpError as error:
            await stack.aclose()
            log.info("event=relay_broken endpoint=%s reason=%r", endpoint.start, str(error))
            return self._fail(RelayFailure.BROKEN)
        except BaseException:
            await stack.aclose()
            raise
        self._note_head(endpoint, reply, sent_at)
        self._relayed.labels("answered").inc()
        return HttpResponse(
            reply.status,
            headers=_answer_headers(reply),
            stream=_pieces(reply, stack, sent_at + relayed.timeout_s),
        )

    def _fail(self, failure: RelayFailure) -> HttpResponse:
        self._relayed.labels(failure.value).inc()
        return HttpResponse(
            HTTP_SERVICE_UNAVAILABLE, headers=[(FAILURE_HEADER, failure.value.encode())]
        )

    def _end(self) -> None:
        self._running -= 1


def busy_refusal(error: ComfreyhatchError) -> HttpResponse:
    """Return the answer to a request that is refused before it was read, which has not run."""
    failure = (FAILURE_HEADER, RelayFailure.BUSY.value.encode())
    return HttpResponse(HTTP_SERVICE_UNAVAILABLE, headers=[failure])


def _answer_headers(reply: StreamedReply) -> Headers:
    dropped = HOP_BY_HOP_HEADERS | _OWN_HEADERS
    headers = [(name, value) for name, value in reply.headers if name not in dropped]
    headers.append((ANSWER_HEADER, b"1"))
    if not reply.delimited:
        headers.append((UNDELIMITED_HEADER, b"1"))
    return headers


async def _pieces(
    reply: StreamedReply, stack: AsyncExitStack, until: float
) -> AsyncIterator[bytes]:
    """Yield the body as it comes, and close the connection to the endpoint at its end."""
    async with stack:
        try:
            async for piece in reply.pieces(inf, until):
                yield piece
        except HttpError as error:
            raise AnswerBrokenError(str(error)) from error
