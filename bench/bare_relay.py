"""A bare relay: h11 on both sides, one upstream, nothing decided and nothing decoded."""

import asyncio
import sys

import h11

READ_SIZE_BYTES = 65536


async def relay(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, port: int
) -> None:
    server = h11.Connection(h11.SERVER)
    request, body = await read_request(server, reader)
    up_reader, up_writer = await asyncio.open_connection(host, port)
    client = h11.Connection(h11.CLIENT)
    headers = [(n, v) for n, v in request.headers if n not in (b"content-length",)]
    headers.append((b"content-length", str(len(body)).encode()))
    up_writer.write(client.send(h11.Request(method="POST", target="/generate", headers=headers)))
    up_writer.write(client.send(h11.Data(data=body)) + client.send(h11.EndOfMessage()))
    while True:
        event = client.next_event()
        if event is h11.NEED_DATA:
            client.receive_data(await up_reader.read(READ_SIZE_BYTES))
            continue
        if isinstance(event, h11.Response):
            response_headers = [
                ("content-type", "text/event-stream"),
                ("transfer-encoding", "chunked"),
            ]
            writer.write(server.send(h11.Response(status_code=200, headers=response_headers)))
        elif isinstance(event, h11.Data):
            writer.write(server.send(h11.Data(data=bytes(event.data))))
            await writer.drain()
        else:
            writer.write(server.send(h11.EndOfMessage()))
            break
    await writer.drain()
    up_writer.close()
    writer.close()


async def read_request(
    server: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request, bytes]:
    request = None
    body = b""
    while True:
        event = server.next_event()
        if event is h11.NEED_DATA:
            server.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            assert request is not None
            return request, body


async def main(host: str, port: int) -> None:
    server = await asyncio.start_server(lambda r, w: relay(r, w, host, port), "127.0.0.1", 0)
    bound_host, bound_port = server.sockets[0].getsockname()[:2]
    print(f"relay={bound_host}:{bound_port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
