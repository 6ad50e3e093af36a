"""Sends one request to one endpoint and checks that the answer is the endpoint's, and whole."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

from msgspec import Struct

from comfreyhatch.adapters.http_client import HttpClient, StreamedReply
from comfreyhatch.codes import Ran
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import AnswerHead, Dispatch, Job
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    BackendRefusedError,
    ConnectError,
    EndpointUnreachableError,
    ExchangeTimeoutError,
    HttpError,
)
from comfreyhatch.exchange.header_codec import HeaderCodec
from comfreyhatch.exchange.health import note_lost_answer
from comfreyhatch.exchange.telemetry import AttemptOutcome

REFUSAL_READ_S = 0.5

log = logging.getLogger("comfreyhatch.sender")


class BufferedAnswer(Struct, frozen=True):
    """An answer that was read to its end."""

    head: AnswerHead
    body: bytes
    endpoint: EndpointTracker


class StreamedAnswer:
    """An answer whose head is read and whose body is still to come; close it in any case."""

    def __init__(
        self,
        head: AnswerHead,
        endpoint: EndpointTracker,
        reply: StreamedReply,
        stack: AsyncExitStack,
    ) -> None:
        self.head = head
        self.endpoint = endpoint
        self._reply = reply
        self._stack = stack

    async def pieces(self, timeout_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises:
            BackendError: If it breaks off or stays silent for `timeout_s`.
        """
        loop = asyncio.get_running_loop()
        try:
            async for piece in self._reply.pieces(timeout_s):
                self.endpoint.last_received_at = loop.time()
                yield piece
        except HttpError as error:
            raise AnswerBrokenError(str(error)) from error

    def abort(self) -> None:
        """Reset the connection; whoever reads the body sees it break."""
        self._reply.abort()

    async def close(self) -> None:
        """Give the connection back if the answer was read to its end, else reset it."""
        await self._stack.aclose()


class Sender:
    """Sends requests to endpoints; owns the connections to them."""

    def __init__(
        self, client: HttpClient, codec: HeaderCodec, count: Callable[[AttemptOutcome], None]
    ) -> None:
        """Create a sender.

        Args:
            client: Connections to endpoints.
            codec: Codec of headers.
            count: Counts attempts.
        """
        self._client = client
        self._codec = codec
        self._count = count

    async def open(
        self, job: Job, endpoint: EndpointTracker, dispatch: Dispatch, head_timeout_s: float
    ) -> StreamedAnswer:
        """Send a request and read the head of its answer.

        Args:
            job: The request.
            endpoint: Where to; its health is noted.
            dispatch: How it is sent.
            head_timeout_s: Longest wait for the head, in seconds.

        Raises:
            BackendRefusedError: If the endpoint has not run the request.
            BackendError: If the request may have run and there is no answer to pass on.
        """
        loop = asyncio.get_running_loop()
        stack = AsyncExitStack()
        try:
            reply = await stack.enter_async_context(
                self._client.stream(
                    endpoint.record.address,
                    job.exchange.method,
                    job.exchange.target,
                    job.exchange.body,
                    self._codec.dispatch_headers(job.exchange, dispatch),
                    head_timeout_s,
                )
            )
            head = self._codec.read_head(reply.status, reply.headers)
            self._note_head(endpoint, head, loop.time())
            await self._check(job, endpoint, head, reply)
        except HttpError as error:
            await stack.aclose()
            note_lost_answer(endpoint, error, loop.time())
            unreachable = isinstance(error, ConnectError)
            self._count(AttemptOutcome.UNREACHABLE if unreachable else AttemptOutcome.LOST)
            raise _backend_error(error) from error
        except BackendError as error:
            await stack.aclose()
            refused = isinstance(error, BackendRefusedError)
            self._count(AttemptOutcome.REFUSED if refused else AttemptOutcome.FAILED)
            raise
        except BaseException:
            await stack.aclose()
            raise
        self._count(AttemptOutcome.ANSWERED if head.success else AttemptOutcome.FAILED)
        return StreamedAnswer(head, endpoint, reply, stack)

    async def refuses_connections(self, endpoint: EndpointTracker) -> bool:
        """Return whether an endpoint takes no connections any more."""
        return not await self._client.can_connect(endpoint.record.address)

    async def fetch(
        self, job: Job, endpoint: EndpointTracker, dispatch: Dispatch, timeout_s: float
    ) -> BufferedAnswer:
        """Send a request and read the whole answer.

        Raises:
            BackendRefusedError: If the endpoint has not run the request.
            BackendError: If the request may have run and there is no whole answer.
        """
        answer = await self.open(job, endpoint, dispatch, timeout_s)
        try:
            body = b"".join([piece async for piece in answer.pieces(timeout_s)])
        except AnswerBrokenError as error:
            note_lost_answer(endpoint, error, asyncio.get_running_loop().time())
            raise
        finally:
            await answer.close()
        return BufferedAnswer(answer.head, body, endpoint)

    async def _check(
        self, job: Job, endpoint: EndpointTracker, head: AnswerHead, reply: StreamedReply
    ) -> None:
        """Raise unless the answer may be passed on."""
        if head.refused:
            endpoint.misdirected = endpoint.misdirected or head.misdirected
            await _read_out(reply)
            raise BackendRefusedError(
                f"{endpoint.record.endpoint_id} refused with status {head.status}"
            )
        if head.promises:
            raise BackendError(f"status {head.status} without saying that nothing ran")
        if head.request_id and head.request_id != job.exchange.request_id:
            raise AnswerBrokenError(f"the answer belongs to request {head.request_id}")
        if head.success and (not head.receipt or head.encoded):
            raise AnswerBrokenError("the answer bears no receipt or is not the endpoint's own")

    def _note_head(self, endpoint: EndpointTracker, head: AnswerHead, now: float) -> None:
        endpoint.last_received_at = now
        if head.load is not None:
            endpoint.record_load(head.load, now)
        if head.cold_s:
            endpoint.record_cold(head.cold_s, now)
        if head.success:
            endpoint.record_success()
        elif not head.refused:
            endpoint.record_failed_answer()


async def _read_out(reply: StreamedReply) -> None:
    """Read the rest of a refusal, so that its connection can be used again."""
    try:
        async for _ in reply.pieces(REFUSAL_READ_S):
            pass
    except HttpError as error:
        log.debug("event=refusal_cut reason=%r", str(error))


def _backend_error(error: HttpError) -> BackendError:
    if isinstance(error, ConnectError):
        return EndpointUnreachableError(str(error))
    if error.ran is Ran.NO:
        return BackendRefusedError(str(error))
    if isinstance(error, ExchangeTimeoutError):
        return BackendError(str(error))
    return AnswerBrokenError(str(error))
