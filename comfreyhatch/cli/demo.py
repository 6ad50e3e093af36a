"""The demonstration: the whole path on embedded stand-ins, in one process."""

from msgspec import Struct
from msgspec.json import decode, encode

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.instance import Address
from comfreyhatch.standins.fleet import API_KEY, CONTRACT, LocalFleet

HEADERS = {"authorization": f"Bearer {API_KEY}", "content-type": "application/json"}


class DemoMessage(Struct):
    """One message of the demonstration's chat."""

    content: str
    role: str = "user"


class DemoChat(Struct):
    """Body of the demonstration's chat request."""

    messages: list[DemoMessage]
    stream: bool = False
    max_tokens: int = 12


class DemoOrder(Struct):
    """Body of the demonstration's call to the plain service."""

    lane: int
    deposit: int


async def run_demo() -> None:
    """Start a fleet, send requests through it, and print what happened."""
    async with LocalFleet() as fleet:
        entry = next(iter(fleet.daemon_by_id))
        callers = fleet.callers(entry)
        operators = fleet.addresses_by_id[entry].operators
        client = HttpClient()
        print(f"fleet: {len(fleet.daemon_by_id)} daemons, {len(fleet.engine_by_id)} engines")
        print(f"contract of {CONTRACT.customer}: {', '.join(CONTRACT.allowed)}")
        request_id = await _chat(client, callers, stream=False)
        await _chat(client, callers, stream=True)
        await _order(client, callers)
        await _refused(client, callers)
        await _show(client, operators, f"/explain/{request_id}")
        await _show(client, operators, "/bills")
        client.close()


async def _chat(client: HttpClient, callers: Address, stream: bool) -> str:
    body = encode(DemoChat([DemoMessage("Plan a week of track sessions")], stream))
    reply = await client.request(callers, "POST", "/v1/chat/completions", body, HEADERS)
    request_id = reply.header_by_name["x-request-id"]
    print(f"\nchat (stream={stream}): {reply.status} version={_version(reply)} id={request_id}")
    print(f"  {_short(reply.body)}")
    return request_id


async def _order(client: HttpClient, callers: Address) -> None:
    headers = {**HEADERS, "idempotency-key": "deposit-1"}
    body = encode(DemoOrder(lane=4, deposit=200))
    reply = await client.request(callers, "POST", "/services/booking/deposits", body, headers)
    print(f"\ndeposit: {reply.status} {_short(reply.body)}")


async def _refused(client: HttpClient, callers: Address) -> None:
    headers = {"authorization": "Bearer unknown"}
    reply = await client.request(callers, "GET", "/v1/models", headers=headers)
    print(f"\nunknown key: {reply.status} {_short(reply.body)}")


async def _show(client: HttpClient, operators: Address, target: str) -> None:
    reply = await client.request(operators, "GET", target)
    print(f"\n{target}: {reply.status}")
    found: object = decode(reply.body)
    rows = found.items() if isinstance(found, dict) else [("", row) for row in _rows(found)]
    for name, value in rows:
        print(f"  {name}: {value}" if name else f"  {value}")


def _rows(found: object) -> list[object]:
    return found if isinstance(found, list) else [found]


def _version(reply: HttpReply) -> str:
    return reply.header_by_name.get("x-version", "")


def _short(body: bytes, length: int = 160) -> str:
    text = body.decode().replace("\n", " ")
    return text if len(text) <= length else text[:length] + "..."
