"""Model engines over HTTP; all assumptions on their wire format are here."""

import asyncio
from collections.abc import AsyncGenerator
from typing import NoReturn

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder
from msgspec.json import encode as encode_json
from msgspec.structs import replace

from comfreyhatch.adapters.answer_identity import fleet_identity
from comfreyhatch.adapters.endpoint_answers import (
    named_report,
    raise_for_status,
    read_load,
    unreachable_error,
)
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_link import AnswerPart
from comfreyhatch.adapters.http_message import JSON_TYPE, REQUEST_ID_HEADER
from comfreyhatch.adapters.http_reply import HttpReply, StreamedReply
from comfreyhatch.domain.instance import Instance
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    ConnectError,
    HttpError,
    StaleFenceError,
)
from comfreyhatch.ports.engine import (
    Chunk,
    GenerateRequest,
    LoadReport,
    Order,
)

CANCEL_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 120.0
MAX_EVENT_BYTES = 1_048_576
MAX_FAILURE_BYTES = 65536
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
STALE_FENCE_STATUS = 409


class CancelRequest(Struct, frozen=True):
    """Body of a request to cancel an answer."""

    request_id: str


_chunk_decoder = Decoder(Chunk)


class HttpEngine:
    """Client of model engines over HTTP and server-sent events."""

    def __init__(self, client: HttpClient, work_client: HttpClient | None = None) -> None:
        """Create a client of endpoints.

        Args:
            client: For load reports, orders and cancellation.
            work_client: For requests that the endpoint runs; the same client if None.
        """
        self._client = client
        self._work_client = work_client or client

    async def generate(
        self, endpoint: Instance, request: GenerateRequest
    ) -> AsyncGenerator[Chunk, None]:
        """Stream an answer and check that it is whole and belongs to the request.

        The connection is closed unless the answer was read to its end, so a caller that stops
        early has to close the iterator.

        Raises:
            BackendRefusedError: If the engine did not run it.
            AnswerBrokenError: If the answer was cut or belongs to another request.
            BackendError: If the engine failed otherwise.
        """
        body = encode_json(request)
        try:
            async with self._work_client.stream(
                endpoint.address,
                "POST",
                "/generate",
                body,
                {"content-type": JSON_TYPE, REQUEST_ID_HEADER: request.request_id},
                request.deadline_s,
                identity=fleet_identity(request.request_id),
            ) as reply:
                if reply.status != 200:
                    await _raise_for_stream(endpoint, reply, request.deadline_s)
                async for chunk in _checked_chunks(reply, request):
                    if chunk.load is not None and chunk.served is None:
                        chunk = replace(chunk, load=named_report(chunk.load, endpoint))
                    yield chunk
        except ConnectError as error:
            raise unreachable_error(endpoint, error) from error
        except HttpError as error:
            raise AnswerBrokenError(f"endpoint {endpoint.instance_id}: {error}") from error

    async def cancel(self, endpoint: Instance, request_id: str) -> None:
        """Cancel a running request; a failure is ignored, for the engine may have ended it."""
        body = encode_json(CancelRequest(request_id))
        try:
            await self._client.request(
                endpoint.address,
                "POST",
                "/cancel",
                body,
                timeout_s=CANCEL_TIMEOUT_S,
                limit_bytes=MAX_FAILURE_BYTES,
            )
        except HttpError:
            return

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        return await read_load(self._client, endpoint)

    async def order(self, endpoint: Instance, order: Order) -> None:
        """Give an order and wait until it is carried out.

        Raises:
            StaleFenceError: If the engine saw a newer fencing number.
            BackendError: If the outcome is unknown.
        """
        try:
            reply = await self._client.request(
                endpoint.address,
                "POST",
                "/order",
                encode_json(order),
                timeout_s=ORDER_TIMEOUT_S,
                # Answers to orders, cancellations and load reports name no request.
                fresh_connection=True,
                limit_bytes=MAX_FAILURE_BYTES,
            )
        except ConnectError as error:
            raise unreachable_error(endpoint, error) from error
        except HttpError as error:
            raise BackendError(f"endpoint {endpoint.instance_id}: {error}") from error
        if reply.status == STALE_FENCE_STATUS:
            raise StaleFenceError(f"endpoint {endpoint.instance_id} saw a newer fencing number")
        if reply.status >= 300:
            raise_for_status(endpoint, reply)


async def _checked_chunks(
    reply: StreamedReply, request: GenerateRequest
) -> AsyncGenerator[Chunk, None]:
    """Yield checked chunks; the tokens of one read are merged into one chunk."""
    order = _ChunkOrder(request)
    loop = asyncio.get_running_loop()
    rest = bytearray()
    last_chunk_at = loop.time()
    async for piece in reply.pieces(request.deadline_s):
        searched = max(0, len(rest) - len(EVENT_END) + 1)
        rest += piece
        events: list[bytes] = []
        if rest.find(EVENT_END, searched) >= 0:
            *events, tail = bytes(rest).split(EVENT_END)
            rest = bytearray(tail)
        chunks, broken = _accepted(events, order)
        if any(chunk.tokens for chunk in chunks):
            last_chunk_at = loop.time()
        if chunks:
            yield _merged(chunks)
        if broken is not None:
            raise broken
        if len(rest) > MAX_EVENT_BYTES:
            raise reply.too_large(AnswerPart.EVENT, f"{MAX_EVENT_BYTES} bytes")
        if loop.time() - last_chunk_at >= request.deadline_s:
            raise AnswerBrokenError("the answer makes no progress")
    if rest:
        raise AnswerBrokenError("the answer ended within an event")
    if order.last is None:
        raise AnswerBrokenError("the answer ended before its end")
    yield order.last


def _accepted(
    events: list[bytes], order: "_ChunkOrder"
) -> tuple[list[Chunk], AnswerBrokenError | None]:
    """Return the good chunks of one read, and the error that ended them."""
    chunks: list[Chunk] = []
    for event in events:
        try:
            chunk = order.accept(_decode_chunk(event))
        except AnswerBrokenError as error:
            return chunks, error
        if chunk is not None:
            chunks.append(chunk)
    return chunks, None


class _ChunkOrder:
    """Checks that chunks follow each other and belong to the request."""

    def __init__(self, request: GenerateRequest) -> None:
        self._request_id = request.request_id
        self._offset = request.resume_offset
        self._max_tokens = request.max_tokens
        self.last: Chunk | None = None

    def accept(self, chunk: Chunk) -> Chunk | None:
        """Return the chunk to be given on; None for the last.

        The last is held back until the body has ended, which frees the connection.
        """
        if self.last is not None:
            raise AnswerBrokenError("the answer goes on after its end")
        if chunk.request_id != self._request_id:
            raise AnswerBrokenError(
                f"the answer belongs to request {chunk.request_id!r}, not to {self._request_id!r}"
            )
        if chunk.offset != self._offset:
            raise AnswerBrokenError(
                f"the answer has offset {chunk.offset} instead of {self._offset}"
            )
        self._offset += len(chunk.tokens)
        if self._offset > self._max_tokens:
            raise AnswerBrokenError(f"the answer has more than {self._max_tokens} tokens")
        if not chunk.finish:
            return chunk
        self.last = chunk
        return None


def _merged(chunks: list[Chunk]) -> Chunk:
    first = chunks[0]
    if len(chunks) == 1:
        return first
    tokens = tuple(token for chunk in chunks for token in chunk.tokens)
    return Chunk(first.request_id, first.offset, tokens)


def _decode_chunk(event: bytes) -> Chunk:
    try:
        return _chunk_decoder.decode(event[len(EVENT_PREFIX) :])
    except (DecodeError, ValidationError) as error:
        raise AnswerBrokenError(f"the answer holds a malformed event: {error}") from error


async def _raise_for_stream(endpoint: Instance, reply: StreamedReply, timeout_s: float) -> NoReturn:
    until = asyncio.get_running_loop().time() + timeout_s
    body = await reply.whole(timeout_s, MAX_FAILURE_BYTES, until)
    raise_for_status(endpoint, HttpReply(reply.status, reply.header_by_name, body))
