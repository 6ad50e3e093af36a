"""Start of the daemons: early listener and failures to start.

A daemon that cannot start gives the reason without a traceback and exits with a code of its own.
"""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.main import EXIT_LISTEN_FAILED
from comfreyhatch.platform.start import open_caller_listener
from tests.platform_harness import free_port, running_harness

TIMEOUT_S = 20.0


@pytest.fixture
def taken_port() -> Iterator[int]:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        yield taken.getsockname()[1]


async def run_module(*command: str, **environment: str) -> tuple[int | None, str]:
    """Run a Python module to its end and return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, **environment},
    )
    async with asyncio.timeout(TIMEOUT_S):
        output, _ = await process.communicate()
    return process.returncode, output.decode()


async def test_platform_daemon_exits_if_port_is_in_use(tmp_path: Path, taken_port: int) -> None:
    settings = tmp_path / "local.conf"
    settings.write_text(
        f"node_name=d1\nzone=a\nzones.a=r\nbind.front=127.0.0.1:{taken_port}\n"
        f"bind.ready=127.0.0.1:{free_port()}\nplatform.address=127.0.0.1:{free_port()}\n"
    )
    code, output = await run_module(
        "comfreyhatch.platform.start", COMFREYHATCH_SETTINGS=str(settings)
    )
    assert code == EXIT_LISTEN_FAILED
    assert f"event=start_failed code={ResultCode.ADDRESS_UNAVAILABLE}" in output
    assert f"cannot listen on 127.0.0.1:{taken_port}" in output
    assert "Traceback" not in output


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP], ids=["SIGTERM", "SIGHUP"])
async def test_request_that_waits_for_a_new_process_is_answered_though_a_signal_comes_first(
    tmp_path: Path, number: signal.Signals
) -> None:
    # The process ended at once, and reset the connections that waited in its backlog.
    port = free_port()
    settings = tmp_path / "local.conf"
    settings.write_text(
        f"node_name=d1\nip=127.0.0.1\nzone=a\nzones.a=r\nbind.front=127.0.0.1:{port}\n"
        f"bind.ready=127.0.0.1:{free_port()}\nplatform.address=127.0.0.1:{free_port()}\n"
        "bounds.grace_s=4\n"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "comfreyhatch.platform.start",
        env={**os.environ, "COMFREYHATCH_SETTINGS": str(settings)},
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await connected(port)
            writer.write(b"GET /read/x HTTP/1.1\r\nhost: caller.example\r\n\r\n")
            process.send_signal(number)
            assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
            writer.close()
            if number is signal.SIGHUP:
                process.terminate()
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()


async def connected(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a connection to a local port as soon as something listens there."""
    while True:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.001)


def write_settings(folder: Path, port: object) -> str:
    path = folder / "local.conf"
    path.write_text(f"node_name=d1\nbind.front=127.0.0.1:{port}\n", encoding="utf-8-sig")
    return str(path)


def test_callers_can_connect_before_the_daemon_is_imported(tmp_path: Path) -> None:
    port = free_port()
    listener = open_caller_listener(write_settings(tmp_path, port))
    assert listener
    with listener, socket.create_connection(("127.0.0.1", port), timeout=1.0):
        pass


@pytest.mark.parametrize("port", ["", "x", "99999"])
def test_invalid_address_opens_no_listener(tmp_path: Path, port: str) -> None:
    assert open_caller_listener(write_settings(tmp_path, port)) is None


def test_missing_file_or_port_in_use_opens_no_listener(tmp_path: Path, taken_port: int) -> None:
    assert open_caller_listener(str(tmp_path / "none")) is None
    assert open_caller_listener(write_settings(tmp_path, taken_port)) is None


async def test_connections_in_the_backlog_are_served_after_start() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b"late but served")

    server = HttpServer(answer)
    await server.start_on(listener)
    async with asyncio.timeout(TIMEOUT_S):
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()
    await server.stop(0.0)


async def test_started_daemon_has_read_the_directory() -> None:
    async with running_harness(daemon=False) as harness:
        started = await harness.start_daemon(harness.store.address)
        assert started.view.ready()


async def test_daemon_exits_if_port_is_in_use(tmp_path: Path, taken_port: int) -> None:
    settings = tmp_path / "d1.ini"
    settings.write_text(
        "[instance]\nid = d1\nzone = a\n[platform]\nhost = 127.0.0.1\nport = 1\n"
        f"[peers]\nhost = 127.0.0.1\nhttp_port = {taken_port}\n"
    )
    code, output = await run_module(
        "comfreyhatch.daemon.main",
        "--settings",
        str(settings),
        COMFREYHATCH_FLEET_KEY="00112233445566778899aabbccddeeff",
    )
    assert code == EXIT_LISTEN_FAILED
    assert output.startswith(f"comfreyhatchd: {ResultCode.ADDRESS_UNAVAILABLE:d} ADDRESS")
    assert "Traceback" not in output
