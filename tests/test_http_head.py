"""Answers of other requests that come before an answer on a connection."""

import asyncio
from time import monotonic

import pytest

from comfreyhatch.adapters.answer_identity import AnswerOwner, RequestIdentity
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_head import SKIPPED_LIMIT, SKIPPED_LIMIT_BYTES
from comfreyhatch.errors import AnswerTooLargeError, ConnectionEndedError, ExchangeTimeoutError
from tests.raw_endpoint import RawEndpoint, listening

OWN = RequestIdentity(b"own", b"x-id")
EARLIER = RequestIdentity(b"earlier", b"x-id")


def answer(name: bytes, body: bytes, *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"x-id: " + name, b"content-length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])


def chunked(name: bytes, *pieces: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nx-id: " + name + b"\r\ntransfer-encoding: chunked\r\n\r\n"
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (*pieces, b"")]
    return head + b"".join(chunks)


UNNAMED = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"
SKIPPED = {
    "plain": answer(b"earlier", b"earlier"),
    "empty": answer(b"earlier", b""),
    "chunked": chunked(b"earlier", b"a", b"b"),
    "closing": answer(b"earlier", b"earlier", b"connection: close"),
    "many": answer(b"earlier", b"earlier") * SKIPPED_LIMIT,
    "unnamed": UNNAMED,
    "two_ids": answer(b"earlier", b"earlier", b"x-id: own"),
    "largest": answer(b"earlier", bytes(SKIPPED_LIMIT_BYTES)),
}


async def send(client: HttpClient, endpoint: RawEndpoint, timeout_s: float = 2.0) -> bytes:
    """Send an earlier request and then the own one; return the body of the answer to that."""
    for identity in (EARLIER, OWN):
        headers = [(b"x-id", identity.request_id)]
        reply = await client.request(
            endpoint.address, "GET", "/", headers=headers, timeout_s=timeout_s, identity=identity
        )
    return reply.body


def starting(before: bytes) -> list[bytes]:
    """Return the answers to the earlier and the own request, with bytes before the second one."""
    return [answer(b"earlier", b"first"), before + answer(b"own", b"own")]


@pytest.mark.parametrize("before", SKIPPED.values(), ids=SKIPPED)
async def test_answers_to_other_requests_are_skipped(before: bytes) -> None:
    client = HttpClient()
    answers = starting(before)
    async with listening(lambda head: answers.pop(0)) as endpoint:
        assert await send(client, endpoint) == b"own"
        assert endpoint.connections == 1
        # What else may come on this connection is not known.
        answers[:] = [answer(b"own", b"next")]
        await client.request(endpoint.address, "GET", "/", identity=OWN)
        assert endpoint.connections == 2
    owner = AnswerOwner.UNNAMED if before == UNNAMED else AnswerOwner.OTHER
    assert client.skipped_by_owner[owner] == before.count(b"HTTP/1.1")


@pytest.mark.parametrize(
    "before",
    [
        answer(b"earlier", b"earlier") * (SKIPPED_LIMIT + 1),
        answer(b"earlier", bytes(SKIPPED_LIMIT_BYTES + 1)),
        chunked(b"earlier", *[bytes(65536)] * (SKIPPED_LIMIT_BYTES // 65536 + 1)),
    ],
    ids=["number", "bytes", "chunks"],
)
async def test_answers_to_other_requests_are_skipped_up_to_a_limit(before: bytes) -> None:
    client = HttpClient()
    answers = starting(before)
    async with listening(lambda head: answers.pop(0)) as endpoint:
        with pytest.raises(AnswerTooLargeError):
            await send(client, endpoint)
        async with asyncio.timeout(1.0):
            while not endpoint.resets:
                await asyncio.sleep(0.01)


async def test_answer_to_another_request_that_breaks_off_is_no_answer() -> None:
    client = HttpClient()
    answers = [answer(b"earlier", b"first"), answer(b"earlier", b"cut")[:-1]]

    async with listening(lambda head: answers.pop(0)) as endpoint:
        endpoint.unit = b""
        with pytest.raises(ExchangeTimeoutError):
            await send(client, endpoint, timeout_s=0.2)


async def test_connection_that_ends_after_an_answer_to_another_request_gives_no_answer() -> None:
    client = HttpClient()

    def start(head: bytes) -> bytes:
        endpoint.closes = b"x-id: own" in head
        return answer(b"earlier", b"first")

    async with listening(start) as endpoint:
        began = monotonic()
        with pytest.raises(ConnectionEndedError):
            await send(client, endpoint)
        assert monotonic() - began < 1.0


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 200"], ids=["nothing", "cut_head"])
async def test_connection_that_ends_before_an_answer_tells_that_its_peer_has_ended_it(
    sent: bytes,
) -> None:
    async with listening(sent) as endpoint:
        endpoint.closes = True
        with pytest.raises(ConnectionEndedError):
            await HttpClient().request(endpoint.address, "GET", "/", identity=OWN)


async def test_first_answer_without_an_id_is_the_own_one_and_its_connection_is_not_kept() -> None:
    client = HttpClient()
    async with listening(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown") as endpoint:
        assert await send(client, endpoint) == b"own"
        assert endpoint.connections == 2


@pytest.mark.parametrize("methods", [("HEAD", "GET"), ("GET", "HEAD")], ids="_before_".join)
async def test_copy_of_an_answer_to_head_does_not_break_that_of_another_method(
    methods: tuple[str, str],
) -> None:
    # Only the method tells whether the copy has a body: an order that ran was answered 502.
    client = HttpClient()
    first_by_connection: dict[int, bytes] = {}

    def start(head: bytes) -> bytes:
        own = answer(head.partition(b"x-id: ")[2].partition(b"\r\n")[0], b"body")
        if head.startswith(b"HEAD"):
            own = own.removesuffix(b"body")
        copy = first_by_connection.pop(endpoint.serving, b"")
        first_by_connection[endpoint.serving] = own
        return copy + own

    async with listening(start) as endpoint:
        for method, identity in zip(methods, (EARLIER, OWN), strict=True):
            headers = [(b"x-id", identity.request_id)]
            reply = await client.request(
                endpoint.address, method, "/", headers=headers, timeout_s=1.0, identity=identity
            )
            assert (reply.status, reply.body) == (200, b"" if method == "HEAD" else b"body")
