"""An engine that only sends prepared tokens at a fixed pace, as a process of a measurement."""

import asyncio
import sys
from collections.abc import AsyncIterator

from msgspec.json import decode, encode

from comfreyhatch.adapters.http_message import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    json_response,
)
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.domain.request import Usage
from comfreyhatch.ports.engine import Chunk, GenerateRequest, LoadReport

TOKEN = "lane "


async def main(token_gap_s: float, versions: tuple[str, ...], bears: int) -> None:
    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path == "/load":
            return json_response(LoadReport("engine", 0, 0, bears, False, versions))
        if request.path != "/generate":
            return json_response(None)
        wanted = decode(request.body, type=GenerateRequest)
        return HttpResponse(200, content_type=EVENT_STREAM_TYPE, stream=tokens(wanted))

    async def tokens(wanted: GenerateRequest) -> AsyncIterator[bytes]:
        loop = asyncio.get_running_loop()
        due = loop.time()
        for offset in range(wanted.max_tokens):
            due += token_gap_s
            await asyncio.sleep(due - loop.time())
            last = offset == wanted.max_tokens - 1
            chunk = Chunk(
                wanted.request_id,
                offset,
                (TOKEN,),
                finish="length" if last else "",
                usage=Usage(10, wanted.max_tokens) if last else None,
            )
            yield b"data: " + encode(chunk) + b"\n\n"

    server = HttpServer(handle)
    address = await server.start("127.0.0.1", 0)
    print(f"engine={address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]), tuple(sys.argv[2].split(",")), int(sys.argv[3])))
