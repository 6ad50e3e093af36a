"""Sends requests to endpoints; rejects incomplete, altered and mismatched answers."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import StreamedReply
from comfreyhatch.codes import Ran
from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.request_arrivals import AttemptArrival
from comfreyhatch.domain.exchange import AnswerHead, Dispatch, Job
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.domain.relay import EndpointRequest, RequestAt
from comfreyhatch.errors import (
    AnswerBrokenError,
    AnswerTooLargeError,
    BackendError,
    BackendRefusedError,
    ConnectError,
    ConnectionEndedError,
    EndpointUnreachableError,
    EndpointWithdrawnError,
    ExchangeTimeoutError,
    HttpError,
    NoRelayError,
    RelayError,
)
from comfreyhatch.exchange.answer_failures import failure_of
from comfreyhatch.exchange.answers import BufferedAnswer, StreamedAnswer
from comfreyhatch.exchange.endpoint_limits import EndpointLimits
from comfreyhatch.exchange.endpoint_notices import EndpointNotices
from comfreyhatch.exchange.endpoint_paths import EndpointPaths
from comfreyhatch.exchange.endpoint_reads import EndpointReads
from comfreyhatch.exchange.header_codec import HeaderCodec
from comfreyhatch.exchange.health import note_lost_answer
from comfreyhatch.exchange.relay_client import RelayClient
from comfreyhatch.exchange.telemetry import AttemptOutcome

# Limits on the rest of a refusal, which is read for its connection to be reused.
REFUSAL_READ_TIMEOUT_S = 0.5
REFUSAL_LIMIT_BYTES = 65536

log = logging.getLogger("comfreyhatch.sender")


class Sender:
    """Sends requests to endpoints, and updates the endpoints' health and load by the answers.

    Attributes:
        reads: Notes what endpoints have read, and which ones are silent.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: HeaderCodec,
        count: Callable[[AttemptOutcome], None],
        memory: AnswerMemory,
        limits: EndpointLimits,
        paths: EndpointPaths,
        relays: RelayClient,
        notices: EndpointNotices,
        reads: EndpointReads,
    ) -> None:
        """Create a sender.

        Args:
            client: HTTP client that holds the connections to endpoints.
            codec: Codec of callers' and endpoints' headers.
            count: Counts an attempt by its outcome.
            memory: Limits the answers that are read whole.
            limits: Learns the limits that endpoints name.
            paths: Notes which endpoints are within reach.
            relays: Sends requests by way of other daemons.
            notices: Learns what endpoints announce of themselves.
            reads: Notes what endpoints have read.
        """
        self.reads = reads
        self._paths = paths
        self._relays = relays
        self._notices = notices
        self._memory = memory
        self._limits = limits
        self._client = client
        self._codec = codec
        self._count = count

    async def open(
        self,
        job: Job,
        endpoint: EndpointTracker,
        dispatch: Dispatch,
        head_timeout_s: float,
        arrival: AttemptArrival,
    ) -> StreamedAnswer:
        """Send a request and read the head of its answer.

        Args:
            job: The request.
            endpoint: Endpoint to send to; its health and load are updated.
            dispatch: Values of the headers for the endpoint.
            head_timeout_s: Longest wait for the head, in seconds.
            arrival: Whether the attempt has arrived; updated.

        Raises:
            BackendRefusedError: If the endpoint did not run the request.
            BackendError: If the request may have run and there is no valid answer.
        """
        loop = asyncio.get_running_loop()
        stack = AsyncExitStack()
        sent_at = loop.time()
        self.reads.note_sent(job.service, sent_at)

        def request_at(now: float) -> EndpointRequest:
            waited_s = now - sent_at
            left = replace(dispatch, time_left_s=dispatch.time_left_s - waited_s)
            return EndpointRequest(
                endpoint.start,
                job.exchange.method,
                job.exchange.target,
                self._codec.dispatch_headers(job.exchange, left),
                job.exchange.body,
                max(0.0, head_timeout_s - waited_s),
            )

        try:
            reply = await stack.enter_async_context(self._exchange(endpoint, request_at, arrival))
            head = self._codec.read_head(reply.status, reply.headers)
            _require_own_answer(job, head)
            arrival.note_read(loop.time())
            self._note_head(endpoint, head, sent_at, loop.time())
            await self._check(endpoint, head, reply)
        except HttpError as error:
            if error.ran is Ran.NO:
                arrival.note_gone()
            elif isinstance(error, ConnectionEndedError) and not arrival.is_relayed:
                arrival.note_read(loop.time())
            else:
                # What came, if anything, may belong to no request, or to another one.
                self.reads.give_up(endpoint, arrival, loop.time())
            await stack.aclose()
            if isinstance(error, EndpointWithdrawnError):
                endpoint.record_withdrawn(loop.time())
            elif not isinstance(error, RelayError):
                note_lost_answer(endpoint, error, loop.time())
            unreachable = isinstance(error, ConnectError)
            self._count(AttemptOutcome.UNREACHABLE if unreachable else AttemptOutcome.LOST)
            raise _backend_error(error) from error
        except BackendError as error:
            self.reads.give_up(endpoint, arrival, loop.time())
            await stack.aclose()
            refused = isinstance(error, BackendRefusedError)
            self._count(AttemptOutcome.REFUSED if refused else AttemptOutcome.FAILED)
            raise
        except BaseException:
            self.reads.give_up(endpoint, arrival, loop.time())
            await stack.aclose()
            raise
        self._count(AttemptOutcome.ANSWERED if head.success else AttemptOutcome.FAILED)
        return StreamedAnswer(head, endpoint, reply, stack, self._memory)

    @asynccontextmanager
    async def _exchange(
        self, endpoint: EndpointTracker, request_at: RequestAt, arrival: AttemptArrival
    ) -> AsyncIterator[StreamedReply]:
        """Send a request over this daemon's path, or by way of another daemon if that is lost."""
        loop = asyncio.get_running_loop()
        async with AsyncExitStack() as stack:
            reply = None
            relayed = self._paths.is_relayed(endpoint, loop.time())
            if relayed:
                reply = await self._send_by_relay(stack, endpoint, request_at, arrival)
            try:
                if reply is None:
                    request = request_at(loop.time())
                    reply = await self._send_directly(stack, endpoint, request, arrival)
            except ConnectError:
                # The last path of the service may have been lost just now.
                if relayed or not self._paths.is_relayed(endpoint, loop.time()):
                    raise
                reply = await self._send_by_relay(stack, endpoint, request_at, arrival)
                if reply is None:
                    raise
            yield reply

    async def _send_by_relay(
        self,
        stack: AsyncExitStack,
        endpoint: EndpointTracker,
        request_at: RequestAt,
        arrival: AttemptArrival,
    ) -> StreamedReply | None:
        """Return the answer by way of another daemon; None if none could send the request."""
        arrival.note_relayed()
        try:
            reply = await stack.enter_async_context(self._relays.stream(endpoint, request_at))
        except NoRelayError as error:
            log.debug("event=not_relayed reason=%r", str(error))
            return None
        self._paths.note_relayed(endpoint, asyncio.get_running_loop().time())
        return reply

    async def _send_directly(
        self,
        stack: AsyncExitStack,
        endpoint: EndpointTracker,
        request: EndpointRequest,
        arrival: AttemptArrival,
    ) -> StreamedReply:
        """Return the answer over this daemon's own path."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            reply = await stack.enter_async_context(
                self._client.stream(
                    endpoint.record.address,
                    request.method,
                    request.target,
                    request.body,
                    request.headers,
                    request.timeout_s,
                    note_sent=arrival.note_sent,
                    identity=self._codec.identity(request.headers),
                )
            )
        except ConnectError as error:
            self._paths.note_unreachable(endpoint, loop.time())
            if error.refused:
                self.note_refused(endpoint, loop.time())
            raise
        self._paths.note_answer(endpoint, sent_at, loop.time())
        return reply

    def note_relayed_head(
        self, endpoint: EndpointTracker, reply: StreamedReply, sent_at: float
    ) -> None:
        """Learn from the head of an answer that this daemon relays for another one.

        Args:
            endpoint: The endpoint.
            reply: Its answer.
            sent_at: Monotonic time at which the request was sent, in seconds.
        """
        now = asyncio.get_running_loop().time()
        head = self._codec.read_head(reply.status, reply.headers)
        self._note_head(endpoint, head, sent_at, now)

    async def is_unreachable(self, endpoint: EndpointTracker) -> bool:
        """Return whether no connection to an endpoint can be opened in time; it may be running."""
        return not await self._client.can_connect(endpoint.record.address)

    async def is_down(self, endpoint: EndpointTracker) -> bool:
        """Return whether an endpoint's process has ended: nothing listens at its address."""
        refused = await self._client.is_refused(endpoint.record.address)
        if refused:
            self.note_refused(endpoint, asyncio.get_running_loop().time())
        return refused

    def note_refused(self, endpoint: EndpointTracker, now: float) -> None:
        """Note that a connection to an endpoint was refused: nothing listens at its address.

        While the paths to its whole service are lost, the refusal may come from the network.
        """
        if not self._paths.is_relayed(endpoint, now):
            self.reads.note_ended(endpoint, now)

    async def fetch(
        self,
        job: Job,
        endpoint: EndpointTracker,
        dispatch: Dispatch,
        timeout_s: float,
        arrival: AttemptArrival,
    ) -> BufferedAnswer:
        """Send a request and read its answer to the end.

        Args:
            job: The request.
            endpoint: Endpoint to send to; its health and load are updated.
            dispatch: Values of the headers for the endpoint.
            timeout_s: Time for the whole answer, in seconds.
            arrival: Whether the attempt has arrived; updated.

        Raises:
            BackendRefusedError: If the endpoint did not run the request.
            BackendError: If the request may have run and there is no complete answer.
        """
        until = asyncio.get_running_loop().time() + timeout_s
        answer = await self.open(job, endpoint, dispatch, timeout_s, arrival)
        try:
            body = await answer.whole(until)
        except AnswerBrokenError as error:
            note_lost_answer(endpoint, error, asyncio.get_running_loop().time())
            raise
        finally:
            await answer.close()
        endpoint.record_complete_answer()
        return BufferedAnswer(answer.head, body, endpoint)

    async def _check(
        self, endpoint: EndpointTracker, head: AnswerHead, reply: StreamedReply
    ) -> None:
        """Raise an error unless the answer may be forwarded to the caller."""
        if head.refused:
            endpoint.misdirected = endpoint.misdirected or head.misdirected
            await _read_out(reply, endpoint)
            raise BackendRefusedError(
                f"{endpoint.record.endpoint_id} refused with status {head.status}"
            )
        if head.implies_not_run:
            # Forwarded, this status would tell the caller that its request did not run.
            endpoint.record_complete_answer()
            raise BackendError(
                f"status {head.status} without confirmation that nothing ran",
                failure=Failure(FailureKind.STATUS, head.status),
            )
        if head.success and (not head.has_receipt or head.encoded):
            raise AnswerBrokenError(
                "the answer has no receipt or is encoded", failure=Failure(FailureKind.INVALID)
            )

    def _note_head(
        self, endpoint: EndpointTracker, head: AnswerHead, sent_at: float, now: float
    ) -> None:
        endpoint.last_received_at = now
        self.reads.note_answer(endpoint, sent_at, now)
        if not head.misdirected:
            self._limits.note_answer(endpoint, head, sent_at, now)
            self._notices.note_answer(endpoint, head, now)
        if head.load is not None:
            endpoint.record_load(head.load, now)
        if head.cold_s:
            endpoint.record_cold(head.cold_s, now)
        if head.success:
            endpoint.record_success()
        elif not head.refused:
            endpoint.record_failed_answer()


def _require_own_answer(job: Job, head: AnswerHead) -> None:
    """Raise an error if an answer may belong to another request.

    Daemons of the version before relay answers to other requests, too. A refusal that names no
    request doesn't tell that the one under way has not run.
    """
    own = job.exchange.request_id
    if head.request_id != own and (head.request_id or head.refused):
        raise AnswerBrokenError(
            f"the answer belongs to another request: {head.request_id!r}",
            failure=Failure(FailureKind.INVALID),
        )


async def _read_out(reply: StreamedReply, endpoint: EndpointTracker) -> None:
    """Read the rest of a refusal, so that its connection can be reused.

    The head has told that the request did not run. A rest that is too large counts against the
    endpoint; one that is too late doesn't, as the endpoint may be overloaded.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + REFUSAL_READ_TIMEOUT_S
    try:
        await reply.whole(REFUSAL_READ_TIMEOUT_S, REFUSAL_LIMIT_BYTES, until)
    except AnswerTooLargeError as error:
        note_lost_answer(endpoint, error, loop.time())
    except HttpError as error:
        log.debug("event=refusal_cut reason=%r", str(error))


def _backend_error(error: HttpError) -> BackendError:
    if isinstance(error, ConnectError):
        return EndpointUnreachableError(str(error))
    if error.ran is Ran.NO:
        return BackendRefusedError(str(error))
    failure = failure_of(error, begun=False)
    if isinstance(error, ExchangeTimeoutError | RelayError):
        return BackendError(str(error), failure=failure)
    return AnswerBrokenError(str(error), failure=failure)
