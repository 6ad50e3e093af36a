"""Sends requests to endpoints by way of other daemons, while this one has lost its own paths."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager

from msgspec.msgpack import encode
from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import StreamedReply
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.relay_choice import RelayChoice
from comfreyhatch.domain.relay import (
    RELAY_PATH,
    EndpointRequest,
    RelayAddress,
    RelayFailure,
    RequestAt,
)
from comfreyhatch.errors import (
    ConnectError,
    EndpointWithdrawnError,
    ExchangeTimeoutError,
    HttpError,
    NoRelayError,
    RelayError,
)
from comfreyhatch.exchange.relay_listener import (
    ANSWER_HEADER,
    FAILURE_HEADER,
    UNDELIMITED_HEADER,
)

FRAMING_HEADERS = (b"transfer-encoding", b"content-length")

log = logging.getLogger("comfreyhatch.relay")


class RelayClient:
    """Asks other daemons to send requests to endpoints."""

    def __init__(
        self,
        instance: str,
        client: HttpClient,
        relay_by_daemon: Callable[[], Mapping[str, RelayAddress]],
        choice: RelayChoice,
        registry: CollectorRegistry,
    ) -> None:
        """Create it.

        Args:
            instance: Name of this daemon.
            client: Holds the connections to other daemons.
            relay_by_daemon: Returns the listeners of the daemons that may be asked.
            choice: Chooses the daemons that are asked.
            registry: Registry of the metrics.
        """
        self._instance = instance
        self._client = client
        self._relay_by_daemon = relay_by_daemon
        self._choice = choice
        self._relayed = Counter(
            "comfreyhatch_relayed",
            "Requests sent by way of other daemons, by outcome.",
            ["outcome"],
            registry=registry,
        )

    @asynccontextmanager
    async def stream(
        self, endpoint: EndpointTracker, request_at: RequestAt
    ) -> AsyncIterator[StreamedReply]:
        """Send a request by way of another daemon and give the endpoint's answer piece by piece.

        Args:
            endpoint: The endpoint.
            request_at: Returns the request for each daemon that is asked.

        Raises:
            NoRelayError: If no daemon that was asked could send it.
            EndpointWithdrawnError: If another daemon knows that the endpoint gets no more requests.
            RelayError: If the other daemon broke off; the request may have run.
            HttpError: If the endpoint broke off or did not answer in time; the same.
        """
        async with AsyncExitStack() as stack:
            yield await self._open(stack, endpoint, request_at)

    def close(self) -> None:
        """Close the connections to other daemons."""
        self._client.close()

    async def _open(
        self, stack: AsyncExitStack, endpoint: EndpointTracker, request_at: RequestAt
    ) -> StreamedReply:
        """Return the answer by the first daemon that sends the request."""
        loop = asyncio.get_running_loop()
        service, zone = endpoint.record.service, endpoint.record.zone
        relays = {d: r for d, r in self._relay_by_daemon().items() if d != self._instance}
        for daemon in self._choice.candidates(relays, service, zone, loop.time()):
            attempt = await stack.enter_async_context(AsyncExitStack())
            reply = await self._ask(attempt, daemon, relays[daemon], request_at(loop.time()))
            failure = _failure_of(reply) if reply is not None else None
            if reply is not None and _is_answer(reply):
                self._choice.note_reached(daemon, service)
                self._relayed.labels("answered").inc()
                return _endpoint_reply(reply)
            await attempt.aclose()
            if failure is not None:
                self._note_failure(daemon, service, failure, loop.time())
            elif reply is not None:
                raise RelayError(f"daemon {daemon} has not ended its work: {reply.status}")
        raise NoRelayError(f"no other daemon reaches {endpoint.record.endpoint_id}")

    async def _ask(
        self,
        attempt: AsyncExitStack,
        daemon: str,
        relay: RelayAddress,
        request: EndpointRequest,
    ) -> StreamedReply | None:
        """Return what a daemon answers; None if it could not be asked."""
        body = encode(request)
        try:
            return await attempt.enter_async_context(
                self._client.stream(relay.address, "POST", RELAY_PATH, body, [], request.timeout_s)
            )
        except ConnectError as error:
            self._note_lost(daemon, error)
            return None
        except ExchangeTimeoutError:
            # The endpoint is slow, or the daemon silent: then no new connection can be opened.
            self._client.drop_idle(relay.address)
            raise
        except HttpError as error:
            self._note_lost(daemon, error)
            raise RelayError(f"daemon {daemon} broke off: {error}") from error

    def _note_failure(self, daemon: str, service: str, failure: RelayFailure, now: float) -> None:
        """Note why a daemon has no answer.

        Raises:
            EndpointWithdrawnError: If the endpoint gets no more requests.
            HttpError: If the request may have run.
        """
        self._relayed.labels(failure.value).inc()
        if failure is RelayFailure.WITHDRAWN:
            raise EndpointWithdrawnError(f"daemon {daemon} knows that the endpoint is withdrawn")
        if failure is RelayFailure.BROKEN:
            raise HttpError(f"the endpoint broke off at daemon {daemon}")
        if failure is RelayFailure.BUSY:
            self._choice.note_busy(daemon, now)
        else:
            self._choice.note_unreachable(daemon, service, now)

    def _note_lost(self, daemon: str, error: HttpError) -> None:
        self._choice.note_lost(daemon, asyncio.get_running_loop().time())
        self._relayed.labels("lost").inc()
        log.info("event=relay_lost peer=%s reason=%r", daemon, str(error))


def _failure_of(reply: StreamedReply) -> RelayFailure | None:
    """Return why there is no answer; one that this daemon doesn't know may have run."""
    value = dict(reply.headers).get(FAILURE_HEADER)
    if value is None:
        return None
    try:
        return RelayFailure(value.decode("latin-1"))
    except ValueError:
        return RelayFailure.BROKEN


def _is_answer(reply: StreamedReply) -> bool:
    return any(name == ANSWER_HEADER for name, _ in reply.headers)


def _endpoint_reply(reply: StreamedReply) -> StreamedReply:
    """Return an answer as the endpoint framed it."""
    undelimited = any(name == UNDELIMITED_HEADER for name, _ in reply.headers)
    own = [ANSWER_HEADER, UNDELIMITED_HEADER]
    return reply.without([*own, *(FRAMING_HEADERS if undelimited else ())])
