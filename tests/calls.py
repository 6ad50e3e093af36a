"""Helpers that send a caller's requests and read the replies."""

from msgspec.json import decode, encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.instance import Address
from comfreyhatch.standins.fleet import API_KEY

AUTHORIZATION = {"authorization": f"Bearer {API_KEY}"}


async def chat(
    client: HttpClient, callers: Address, headers: dict[str, str] | None = None, **body: object
) -> HttpReply:
    """Send a chat request and return the buffered reply.

    Args:
        client: HTTP client.
        callers: Address of a daemon's callers' listener.
        headers: Headers besides the API key.
        body: Fields of the JSON body that replace or extend the defaults.
    """
    fields = {"messages": [{"role": "user", "content": "a question"}], "max_tokens": 6, **body}
    return await client.request(
        callers,
        "POST",
        "/v1/chat/completions",
        encode(fields),
        {**AUTHORIZATION, **(headers or {})},
        timeout_s=40,
    )


async def book(client: HttpClient, callers: Address, key: str, body: bytes = b"{}") -> HttpReply:
    """Send a non-idempotent call with an idempotency key to the booking service."""
    headers = {**AUTHORIZATION, "idempotency-key": key}
    target = "/services/booking/deposits"
    return await client.request(callers, "POST", target, body, headers, timeout_s=40)


def content(reply: HttpReply) -> str:
    """Return the text of a buffered chat completion."""
    return str(decode(reply.body)["choices"][0]["message"]["content"])


def error_of(reply: HttpReply) -> dict[str, object]:
    """Return the error object of a reply."""
    return dict(decode(reply.body)["error"])
