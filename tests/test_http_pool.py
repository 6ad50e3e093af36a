"""Connections that are kept for later requests, and what they have carried."""

from collections.abc import AsyncIterator

import pytest

from comfreyhatch.adapters.answer_identity import CARRIED_LIMIT, RequestIdentity
from comfreyhatch.adapters.http_client import HttpClient
from tests.raw_endpoint import RawEndpoint, listening

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def identity(number: int) -> RequestIdentity:
    return RequestIdentity(b"call-%d" % number, b"x-id")


@pytest.fixture
async def endpoint() -> AsyncIterator[RawEndpoint]:
    async with listening(lambda head: b"HTTP/1.1 200 OK\r\n" + id_line(head) + ANSWER[17:]) as raw:
        yield raw


def id_line(head: bytes) -> bytes:
    """Return the line of a request's head that holds its id."""
    return next((line + b"\r\n" for line in head.split(b"\r\n") if line.startswith(b"x-id:")), b"")


async def send(client: HttpClient, endpoint: RawEndpoint, number: int) -> None:
    own = identity(number)
    headers = [(own.header, own.request_id)]
    await client.request(endpoint.address, "GET", "/", headers=headers, identity=own)


async def test_request_never_goes_twice_over_a_connection(endpoint: RawEndpoint) -> None:
    client = HttpClient()
    for number in (1, 2, 3, 1, 2, 1):
        await send(client, endpoint, number)
    # The second connection carries the repeats of 1 and 2, the third one the last one of 1.
    assert endpoint.connections == 3
    client.close()


async def test_connection_is_not_kept_beyond_the_requests_that_it_remembers(
    endpoint: RawEndpoint,
) -> None:
    client = HttpClient()
    for number in range(2 * CARRIED_LIMIT):
        await send(client, endpoint, number)
    assert endpoint.connections == 2
    client.close()
