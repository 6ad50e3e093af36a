"""Log output that neither blocks nor grows."""

import logging
import os

import pytest

from comfreyhatch.adapters.log_output import NonBlockingOutput, VolumeLimit


def test_lines_are_written() -> None:
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    output.write("one\n")
    output.flush()
    assert os.read(reader, 100) == b"one\n"


def test_reader_that_stands_still_costs_lines_and_not_time() -> None:
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, buffer_bytes=10_000)
    for _ in range(5000):
        output.write("x" * 99 + "\n")
        output.flush()
    assert output.dropped > 0
    received = b""
    while True:
        output.flush()
        os.set_blocking(reader, False)
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            break
    assert set(received.splitlines()) == {b"x" * 99}
    assert received.endswith(b"\n")


def test_log_without_a_reader_does_not_stop_the_daemon() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    output = NonBlockingOutput(writer)
    output.write("x\n")
    output.flush()
    output.flush()


@pytest.fixture
def limit() -> tuple[VolumeLimit, list[float]]:
    now = [0.0]
    return VolumeLimit(lambda: now[0], frozenset({"refused"}), lines_per_s=3), now


def record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("comfreyhatch.x", level, "", 0, message, None, None)


def test_routine_lines_are_bounded_and_failures_are_not(
    limit: tuple[VolumeLimit, list[float]], caplog: pytest.LogCaptureFixture
) -> None:
    volume, now = limit
    passed = [volume.filter(record("event=answered id=%s")) for _ in range(10)]
    assert passed.count(True) == 3
    assert all(volume.filter(record("event=refused id=%s")) for _ in range(10))
    assert volume.filter(record("event=answered", logging.WARNING))
    now[0] = 1.5
    assert volume.filter(record("event=answered id=%s"))
    assert "event=lines_left_out kind=answered count=7" in caplog.text
