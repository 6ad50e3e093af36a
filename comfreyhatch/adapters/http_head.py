"""Reads the heads of answers."""

import h11

from comfreyhatch.adapters.http_link import AnswerPart, HttpLink
from comfreyhatch.errors import HttpError

# Informational answers (status 1xx) that may precede an answer.
INFORMATIONAL_LIMIT = 16


async def final_head(link: HttpLink, until: float) -> h11.Response:
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
            raise HttpError("the connection was closed before an answer")
    raise link.too_large(AnswerPart.INFORMATIONAL, f"{INFORMATIONAL_LIMIT} answers")
