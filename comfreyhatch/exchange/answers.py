"""Answers of endpoints: read to their end, or to be read piece by piece."""

import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from math import inf

from msgspec import Struct

from comfreyhatch.adapters.http_link import AnswerPart
from comfreyhatch.adapters.http_reply import StreamedReply
from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import AnswerHead
from comfreyhatch.errors import (
    AnswerBrokenError,
    AnswerMemoryError,
    BackendError,
    HttpError,
)
from comfreyhatch.exchange.answer_failures import failure_of

log = logging.getLogger("comfreyhatch.answers")


class BufferedAnswer(Struct, frozen=True):
    """An answer that was read to its end.

    Attributes:
        head: Decoded status and headers.
        body: The body.
        endpoint: Endpoint that answered.
    """

    head: AnswerHead
    body: bytes
    endpoint: EndpointTracker


class StreamedAnswer:
    """An answer whose head was read and whose body is still to be read; has to be closed.

    Attributes:
        head: Decoded status and headers.
        endpoint: Endpoint that answers.
    """

    def __init__(
        self,
        head: AnswerHead,
        endpoint: EndpointTracker,
        reply: StreamedReply,
        stack: AsyncExitStack,
        memory: AnswerMemory,
    ) -> None:
        self.head = head
        self.endpoint = endpoint
        self._reply = reply
        self._stack = stack
        self._memory = memory

    @property
    def delimited(self) -> bool:
        """Whether the head tells how the body ends; otherwise it ends with the connection."""
        return self._reply.delimited

    async def whole(self, until: float) -> bytes:
        """Return the whole body.

        Args:
            until: Monotonic time in seconds by which the body has to be complete.

        Raises:
            AnswerBrokenError: If the body breaks off, does not end in time or is too large.
            BackendError: If this daemon has no memory for it; the endpoint is not to blame.
        """
        try:
            with self._memory.hold() as take:
                return await self._reply.whole(inf, self._memory.limit_bytes, until, take)
        except AnswerMemoryError as error:
            log.warning("event=answer_memory_full endpoint=%s", self.endpoint.record.endpoint_id)
            raise BackendError(str(error)) from error
        except HttpError as error:
            raise _broken(error) from error

    async def pieces(self, until: float) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Args:
            until: Monotonic time in seconds by which the body has to be complete.

        Raises:
            AnswerBrokenError: If the body breaks off, or does not end in time.
        """
        try:
            async for piece in self._reply.pieces(inf, until):
                yield piece
        except HttpError as error:
            raise _broken(error) from error

    def too_large(self, part: AnswerPart, limit: str) -> AnswerBrokenError:
        """Reset the connection, count and log the answer, and return the error to raise."""
        return _broken(self._reply.too_large(part, limit))

    def abort(self) -> None:
        """Reset the connection; a reader of the body gets an error."""
        self._reply.abort()

    async def close(self) -> None:
        """Return the connection to the client if the answer was read to its end, else reset it."""
        await self._stack.aclose()


def _broken(error: HttpError) -> AnswerBrokenError:
    return AnswerBrokenError(str(error), failure=failure_of(error, begun=True))
