"""Open-loop load of callers, and what they saw."""

import asyncio
from collections.abc import Callable
from itertools import accumulate
from random import Random
from time import monotonic

from msgspec import Struct, field
from msgspec.json import decode, encode

from bench.policy_fleet import WORKSPACES, Deployment, api_key
from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import ComfreyhatchError, ConnectError
from comfreyhatch.ports.engine import GenerateRequest
from comfreyhatch.standins.text import quality_of

DEADLINE_S = 8.0
OUTPUT_TOKENS = 32
ALONE_WAVES = 3
EVENT_PREFIX = b"data: "


class Seen(Struct):
    """What one caller saw of one request.

    Attributes:
        at_s: When it was sent, in seconds from the start of the load.
        kind: "chat" or "service".
        task: Task of a chat, or method of a call.
        critical: Whether it was critical.
        streamed: Whether it was streamed.
        status: HTTP status; 0 without an answer.
        code: Numbered result code of a refusal.
        first_token_s: Time to the first token, if streamed.
        gaps_s: Times between pieces, each with the tokens it brought.
        duration_s: Time to the end.
        version: Version that answered.
        quality: True quality of the answer.
        request_id: Identifier.
    """

    at_s: float
    kind: str
    task: str
    critical: bool
    streamed: bool
    status: int = 0
    code: int = 0
    first_token_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    duration_s: float = 0.0
    version: str = ""
    quality: float = 0.0
    request_id: str = ""

    @property
    def served(self) -> bool:
        """Whether it was answered whole and in its deadline."""
        return self.status == 200 and self.duration_s <= DEADLINE_S


class Load:
    """Sends requests at seeded times to daemons that the balancer believes alive."""

    def __init__(
        self, deployment: Deployment, seed: int, addresses: Callable[[], list[Address]]
    ) -> None:
        self.seen: list[Seen] = []
        self.started = 0.0
        self._deployment = deployment
        self._rng = Random(seed)
        self._addresses = addresses
        self._client = HttpClient()
        self._weights = list(accumulate(1 / (n + 1) for n in range(WORKSPACES)))

    async def run(self, duration_s: float, rate_factor: Callable[[float], float]) -> None:
        """Send requests for a time and wait for their ends."""
        self.started = monotonic()
        tasks = []
        due = 0.0
        while True:
            due += self._rng.expovariate(self._deployment.rate_hz * rate_factor(due))
            if due > duration_s:
                break
            await asyncio.sleep(max(0.0, self.started + due - monotonic()))
            tasks.append(asyncio.create_task(self._request(due)))
        await asyncio.gather(*tasks)
        self._client.close()

    async def _request(self, at_s: float) -> None:
        rng, deployment = self._rng, self._deployment
        workspace = rng.choices(range(WORKSPACES), cum_weights=self._weights)[0]
        headers = {"authorization": f"Bearer {api_key(workspace)}", "x-deadline-s": f"{DEADLINE_S}"}
        if rng.random() < deployment.service_share:
            seen = Seen(at_s, "service", "GET" if rng.random() < 0.7 else "POST", False, False)
            send = self._call(seen, headers, rng.getrandbits(64))
        else:
            tasks = deployment.share_by_task
            task = rng.choices(list(tasks), list(tasks.values()))[0]
            critical = rng.random() < deployment.critical_share
            streamed = rng.random() < deployment.stream_share
            seen = Seen(at_s, "chat", task, critical, streamed)
            headers["x-task"] = task
            if critical:
                headers["x-critical"] = "true"
            send = self._chat(seen, headers)
        self.seen.append(seen)
        started = monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S + 2):
                await send
        except (ComfreyhatchError, TimeoutError):
            seen.status = 0
        seen.duration_s = monotonic() - started

    async def _chat(self, seen: Seen, headers: dict[str, str]) -> None:
        body = encode(
            {
                "messages": [{"role": "user", "content": f"{seen.task} please " + "word " * 40}],
                "max_tokens": OUTPUT_TOKENS,
                "stream": seen.streamed,
            }
        )
        started = monotonic()
        for address in self._balanced():
            try:
                async with self._client.stream(
                    address, "POST", "/v1/chat/completions", body, headers, DEADLINE_S + 1
                ) as reply:
                    seen.version = reply.header_by_name.get("x-version", "")
                    seen.request_id = reply.header_by_name.get("x-request-id", "")
                    pieces = reply.pieces(DEADLINE_S + 1)
                    if seen.streamed and reply.status == 200:
                        text = await _read_stream(seen, pieces, started)
                    else:
                        text = _whole(seen, b"".join([p async for p in pieces]), reply.status)
                    seen.status = reply.status
                    seen.quality = quality_of(text)
                return
            except ConnectError:
                continue

    async def _call(self, seen: Seen, headers: dict[str, str], number: int) -> None:
        target = f"/services/{self._deployment.service}/slots"
        if seen.task == "POST":
            headers["idempotency-key"] = f"{number:x}"
        for address in self._balanced():
            try:
                reply = await self._client.request(
                    address, seen.task, target, b"{}", headers, DEADLINE_S + 1
                )
                seen.status = reply.status
                if reply.status != 200:
                    seen.code = decode(reply.body)["error"]["code"]
                return
            except ConnectError:
                continue

    def _balanced(self) -> list[Address]:
        addresses = self._addresses()
        self._rng.shuffle(addresses)
        return addresses[:3]


async def engine_alone(endpoint: Instance) -> tuple[list[float], list[float]]:
    """Return first-token times and token gaps of an engine that is asked directly."""
    first_tokens: list[float] = []
    gaps: list[float] = []
    engine = HttpEngine(HttpClient())

    async def ask(number: int) -> None:
        started = last = monotonic()
        request = GenerateRequest(
            f"alone-{number}", "large@1", (ChatMessage("user", "plan a day"),), OUTPUT_TOKENS, 5
        )
        first = True
        async for _ in engine.generate(endpoint, request):
            now = monotonic()
            (first_tokens if first else gaps).append(now - last if not first else now - started)
            first = False
            last = now

    for wave in range(ALONE_WAVES):
        await asyncio.gather(*(ask(8 * wave + n) for n in range(8)))
    return first_tokens, gaps


async def _read_stream(seen: Seen, pieces: object, started: float) -> str:
    text: list[str] = []
    last = 0.0
    rest = b""
    async for piece in pieces:  # type: ignore[attr-defined]
        now = monotonic()
        *events, rest = (rest + piece).split(b"\n\n")
        for event in events:
            data = event.removeprefix(EVENT_PREFIX)
            if data == b"[DONE]":
                continue
            content = decode(data)["choices"][0]["delta"].get("content", "")
            if not content:
                continue
            text.append(content)
            if seen.first_token_s is None:
                seen.first_token_s = now - started
            else:
                seen.gaps_s.append(now - last)
            last = now
    return "".join(text)


def _whole(seen: Seen, body: bytes, status: int) -> str:
    value = decode(body)
    if status != 200:
        seen.code = value["error"]["code"]
        return ""
    return str(value["choices"][0]["message"]["content"])
