"""Whole answers of the platform's workers as bytes, made from the heads of requests."""

from collections.abc import Callable

from tests.platform_raw_worker import answer_head, refusal_head, stream_head, success_head

NO_BODY = b"content-length: 0"
EVENT = b"id: 1\ndata: one\n\n"
# Statuses from which callers conclude that their request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
Answer = Callable[[bytes], bytes]


def refusal(head: bytes) -> bytes:
    return refusal_head(head, NO_BODY)


def refusal_with_body(head: bytes) -> bytes:
    return refusal_head(head, b"content-length: 4") + b"busy"


def refusal_without_id(head: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 503 Busy", b"not-executed: 1", NO_BODY, b"", b""])


def misdirected(head: bytes) -> bytes:
    return answer_head(head, b"421 Misdirected", NO_BODY)


def success(head: bytes) -> bytes:
    return success_head(head, b"content-length: 2") + b"ok"


def success_without_id(head: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 200 OK", b"server-stamp: s", NO_BODY, b"", b""])


def stream(head: bytes) -> bytes:
    return stream_head(head, b"content-length: %d" % len(EVENT)) + EVENT


def answer_to(head: bytes) -> bytes:
    """Return the answer of a run, which for a prompt is a stream."""
    return stream(head) if b"\r\nmodel:" in head.lower() else success(head)


COPIES: dict[str, Answer] = {
    "refusal": refusal,
    "refusal_with_body": refusal_with_body,
    "refusal_without_id": refusal_without_id,
    "misdirected": misdirected,
    "success": success,
    "success_without_id": success_without_id,
    "stream": stream,
}
