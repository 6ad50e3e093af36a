"""A daemon that cannot start says why, in one line, and ends with an exit code of its own."""

import asyncio
import os
import socket
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.main import EXIT_LISTEN
from tests.platform_world import free_port

TIMEOUT_S = 20.0


@pytest.fixture
def taken_port() -> Iterator[int]:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        yield taken.getsockname()[1]


async def start(*command: str, **environment: str) -> tuple[int | None, str]:
    """Run a program to its end and return its exit code and all that it has written."""
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


async def test_port_in_use_ends_the_platforms_daemon(tmp_path: Path, taken_port: int) -> None:
    settings = tmp_path / "local.conf"
    settings.write_text(
        f"node_name=d1\nzone=a\nzones.a=r\nbind.front=127.0.0.1:{taken_port}\n"
        f"bind.ready=127.0.0.1:{free_port()}\nplatform.address=127.0.0.1:{free_port()}\n"
    )
    code, output = await start("comfreyhatch.platform.main", COMFREYHATCH_SETTINGS=str(settings))
    assert code == EXIT_LISTEN
    assert f"event=start_failed code={ResultCode.ADDRESS_UNAVAILABLE}" in output
    assert f"cannot listen on 127.0.0.1:{taken_port}" in output
    assert "Traceback" not in output


async def test_port_in_use_ends_the_own_daemon(tmp_path: Path, taken_port: int) -> None:
    settings = tmp_path / "d1.ini"
    settings.write_text(
        "[instance]\nid = d1\nzone = a\n[platform]\nhost = 127.0.0.1\nport = 1\n"
        f"[peers]\nhost = 127.0.0.1\nhttp_port = {taken_port}\n"
    )
    code, output = await start(
        "comfreyhatch.daemon.main",
        "--settings",
        str(settings),
        COMFREYHATCH_FLEET_KEY="00112233445566778899aabbccddeeff",
    )
    assert code == EXIT_LISTEN
    assert output.startswith(f"comfreyhatchd: {ResultCode.ADDRESS_UNAVAILABLE:d} ADDRESS")
    assert "Traceback" not in output
