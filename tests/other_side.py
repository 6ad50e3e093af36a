"""An endpoint and a caller as processes of their own, which log how their connections end."""

import asyncio
import os
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from threading import Thread

from comfreyhatch.domain.instance import Address

WAIT_TIMEOUT_S = 10.0
EOF = "eof"
RESET = "reset"
# What the endpoint does with a request, by the last part of its path; others get no answer.
WHOLE = "whole"
PART = "part"
LAST = "last"
STRAY = "stray"
PART_BYTES = 100


class OtherSide:
    """A process that logs what it read and how its connections ended.

    Attributes:
        targets: Targets of the requests that an endpoint has read, or one entry once a caller has
            sent its request.
        ends: How its connections ended, in order.
        read_bytes: Bytes that a caller has read.
        address: Where an endpoint listens.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.targets: list[str] = []
        self.ends: list[str] = []
        self.read_bytes = 0
        self.address = Address("", 0)
        self._process = process
        self._reading = asyncio.create_task(self._read())

    def pause(self) -> None:
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        await self._reading

    async def _read(self) -> None:
        assert self._process.stdout
        async for line in self._process.stdout:
            event, _, value = line.decode().strip().partition(" ")
            match event:
                case "listens":
                    self.address = Address("127.0.0.1", int(value))
                case "request":
                    self.targets.append(value)
                case "read":
                    self.read_bytes += int(value)
                case "end":
                    self.ends.append(value)


@asynccontextmanager
async def endpoint_process(backlog: int = 128) -> AsyncIterator[OtherSide]:
    """Yield an endpoint that listens."""
    async with _process("endpoint", str(backlog)) as endpoint:
        await endpoint.wait_until(lambda: endpoint.address.port)
        yield endpoint


@asynccontextmanager
async def caller_process(address: Address, request: bytes) -> AsyncIterator[OtherSide]:
    """Yield a caller that sends a request and reads until its connection ends."""
    async with _process("caller", address.host, str(address.port), request.hex()) as caller:
        yield caller


@asynccontextmanager
async def _process(*arguments: str) -> AsyncIterator[OtherSide]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.other_side", *arguments, stdout=asyncio.subprocess.PIPE
    )
    other_side = OtherSide(process)
    try:
        yield other_side
    finally:
        await other_side.stop()


def _log(event: str, value: object) -> None:
    # One write for a line, as threads log at the same time.
    os.write(sys.stdout.fileno(), f"{event} {value}\n".encode())


def _listen() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=int(sys.argv[2])) as listener:
        _log("listens", listener.getsockname()[1])
        while True:
            connection, _ = listener.accept()
            Thread(target=_serve, args=(connection,), daemon=True).start()


def _serve(connection: socket.socket) -> None:
    data = b""
    try:
        while more := connection.recv(65536):
            data += more
            while b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                data = data[_length(head) :]
                _answer(connection, head)
        _log("end", EOF)
    except ConnectionResetError:
        _log("end", RESET)


def _length(head: bytes) -> int:
    found = re.search(rb"\r\ncontent-length: *(\d+)", head, re.IGNORECASE)
    return int(found[1]) if found else 0


def _answer(connection: socket.socket, head: bytes) -> None:
    target = head.split(b" ")[1].decode()
    _log("request", target)
    action = target.rpartition("/")[2]
    if action not in (WHOLE, PART, LAST, STRAY):
        return
    request_id = re.search(rb"\r\nattempt-id: *([^\r]+)", head, re.IGNORECASE)
    length = PART_BYTES if action == PART else 2
    lines = [b"HTTP/1.1 200 OK", b"server-stamp: s", b"content-type: text/event-stream"]
    lines += [b"content-length: %d" % length]
    lines += [b"attempt-id: " + request_id[1]] if request_id else []
    lines += [b"connection: close"] if action == LAST else []
    connection.sendall(b"\r\n".join([*lines, b"", b"ok"]))
    if action == STRAY:
        connection.sendall(b"more")


def _call(host: str, port: str, request: str) -> None:
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(bytes.fromhex(request))
        _log("request", "sent")
        try:
            while more := connection.recv(65536):
                _log("read", len(more))
            _log("end", EOF)
        except ConnectionResetError:
            _log("end", RESET)


if __name__ == "__main__":
    if sys.argv[1] == "endpoint":
        _listen()
    else:
        _call(*sys.argv[2:])
