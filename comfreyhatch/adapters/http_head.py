"""Reads the heads of answers, past those that belong to other requests."""

import asyncio
from collections.abc import Callable
from math import inf

import h11

from comfreyhatch.adapters.answer_identity import AnswerOwner, RequestIdentity, answer_owner
from comfreyhatch.adapters.http_link import AnswerPart, HttpLink
from comfreyhatch.adapters.http_reply import StreamedReply, declared_bytes
from comfreyhatch.errors import ConnectionEndedError, ExchangeTimeoutError, UnnamedAnswerError

# The answers to it have no bodies, whatever their heads say.
HEAD_METHOD = "HEAD"
# Informational answers (status 1xx) that may precede an answer.
INFORMATIONAL_LIMIT = 16
# Statuses of answers that have no body, whatever their heads say.
EMPTY_STATUSES = (204, 304)
# Answers to other requests that may precede an answer, and the largest body of one of them, which
# is not held.
SKIPPED_LIMIT = 4
SKIPPED_LIMIT_BYTES = 1024 * 1024

# Notes an answer that is skipped: whose it is, and its head.
NoteSkipped = Callable[[AnswerOwner, h11.Response], None]


async def own_head(
    link: HttpLink,
    method: str,
    identity: RequestIdentity | None,
    until: float,
    note_skipped: NoteSkipped,
) -> h11.Response:
    """Return the head of the answer to a request, and skip answers to other ones before it.

    A connection on which an answer was skipped, or could not be told from others, is not kept.

    Args:
        link: The connection; the request was sent over it.
        method: HTTP method of the request.
        identity: What the answer says of the request; None if it names no id.
        until: Monotonic time in seconds by which the head has to be complete.
        note_skipped: Notes an answer that is skipped.

    Raises:
        ExchangeTimeoutError: If it is not complete in time.
        UnnamedAnswerError: If none comes in time after one without an id.
        AnswerTooLargeError: If too many answers, or too many bytes of one, precede it.
        HttpError: If there is none.
    """
    unnamed = False
    for _ in range(SKIPPED_LIMIT + 1):
        try:
            head = await _final_head(link, until)
            link.ends_answer = _ends_with_connection(method, head)
        except ExchangeTimeoutError as error:
            if unnamed:
                raise UnnamedAnswerError("only an answer without an id came in time") from error
            raise
        owner = answer_owner(list(head.headers), identity, link.carried)
        if owner is AnswerOwner.OWN:
            return head
        link.may_be_kept = False
        if owner is AnswerOwner.FIRST:
            return head
        note_skipped(owner, head)
        await _skip_body(link, method, head, until)
        link.expect_next_answer(method)
        if identity is not None and owner is AnswerOwner.UNNAMED:
            unnamed = True
            until = min(until, asyncio.get_running_loop().time() + identity.unnamed_wait_s)
    raise link.too_large(AnswerPart.SKIPPED, f"{SKIPPED_LIMIT} answers")


async def _skip_body(link: HttpLink, method: str, head: h11.Response, until: float) -> None:
    """Read the body of an answer that belongs to another request, and drop it."""
    declared = answer_bytes(method, head)
    reply = StreamedReply(head.status_code, list(head.headers), link, declared)
    size_bytes = 0
    async for piece in reply.pieces(inf, until):
        size_bytes += len(piece)
        if size_bytes > SKIPPED_LIMIT_BYTES:
            raise link.too_large(AnswerPart.SKIPPED, f"{SKIPPED_LIMIT_BYTES} bytes")


def answer_bytes(method: str, head: h11.Response) -> int | None:
    """Return the length of an answer's body as its head says; None if it doesn't."""
    return None if method == HEAD_METHOD else declared_bytes(head.headers)


def _ends_with_connection(method: str, head: h11.Response) -> bool:
    """Return whether only the end of the connection tells where an answer ends."""
    if method == HEAD_METHOD or head.status_code in EMPTY_STATUSES:
        return False
    names = {name for name, _ in head.headers}
    return names.isdisjoint((b"content-length", b"transfer-encoding"))


async def _final_head(link: HttpLink, until: float) -> h11.Response:
    """Return the head of an answer; informational ones before it are left out.

    Raises:
        ExchangeTimeoutError: If it is not complete in time.
        HttpError: If there is none.
    """
    for _ in range(INFORMATIONAL_LIMIT + 1):
        head = await link.next_event(until)
        if isinstance(head, h11.Response):
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise ConnectionEndedError("the connection was closed before an answer")
    raise link.too_large(AnswerPart.INFORMATIONAL, f"{INFORMATIONAL_LIMIT} answers")
