"""The platform's instance list over HTTP, with odd entries of other writers."""

import pytest
from msgspec.json import encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.platform_http import HttpInstanceList, list_entries
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import ConnectError, PlatformError

DEEP = 100_000
GOOD = Instance("i-1", Role.ENGINE, "a", Address("10.0.0.1", 80))
ODD_ENTRIES = [
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"[" * DEEP + b"]" * DEEP,
    encode(GOOD).replace(b"80", b"9" * 400),
    encode(GOOD).replace(b"80", b"70000"),
    encode(GOOD).replace(b"80", b"0"),
    encode(GOOD).replace(b"80", b"-80"),
    encode(GOOD).replace(b'"engine"', b'"oven"'),
    b'{"text":"],[ \\" }{"}',
    b"null",
    b"17",
]


async def instances(body: bytes) -> list[Instance]:
    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, body)

    server, client = HttpServer(answer), HttpClient()
    address = await server.start("127.0.0.1", 0)
    try:
        return await HttpInstanceList(client, address).instances()
    finally:
        client.close()
        await server.stop(0.0)


@pytest.mark.parametrize("odd", ODD_ENTRIES, ids=range(len(ODD_ENTRIES)))
async def test_odd_entry_of_the_instance_list_hides_no_other(odd: bytes) -> None:
    other = Instance("i-2", Role.SERVICE, "b", Address("10.0.0.2", 81), service="desk")
    body = b"[" + b",".join([encode(GOOD), odd, encode(other)]) + b"]"
    assert await instances(body) == [GOOD, other]


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b"[1", b"[] []", b"]", b"x[]"])
async def test_answer_that_is_no_list_is_an_error(body: bytes) -> None:
    with pytest.raises(PlatformError):
        await instances(body)


async def test_empty_list_is_one() -> None:
    assert await instances(b"[]") == []
    assert list_entries(b"[1, [2, 3]]") == [b"1", b" [2, 3]"]


@pytest.mark.parametrize("address", [Address("127.0.0.1", 70000), Address("\0", 80)])
async def test_address_that_is_none_cannot_be_connected_to(address: Address) -> None:
    with pytest.raises(ConnectError):
        await HttpClient().request(address, "GET", "/")
