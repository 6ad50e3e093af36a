"""Log lines in both formats."""

import logging
from collections.abc import Iterator
from io import StringIO

import pytest
from msgspec.json import decode

from comfreyhatch.adapters.logs import ROOT_LOGGER, LogFormat, set_up_logs


@pytest.fixture(autouse=True)
def restored_logger() -> Iterator[None]:
    logger = logging.getLogger(ROOT_LOGGER)
    before = logger.handlers[:], logger.level, logger.propagate
    yield
    logger.handlers[:], logger.level, logger.propagate = before


def logged(form: LogFormat, message: str, *values: object) -> list[str]:
    stream = StringIO()
    set_up_logs(form, "info", stream)
    log = logging.getLogger("comfreyhatch.test")
    log.debug("event=hidden")
    log.info(message, *values)
    return stream.getvalue().splitlines()


def test_event_is_one_line_of_pairs() -> None:
    (line,) = logged("keyvalue", "event=refused reason=%r", "two\nlines\r")
    assert line.startswith("at=20") and "level=INFO logger=comfreyhatch.test event=refused" in line


def test_line_breaks_in_values_cannot_forge_an_event() -> None:
    (line,) = logged("keyvalue", "event=refused host=%s", "x\nevent=forged")
    assert "\\nevent=forged" in line


def test_json_holds_the_same_pairs() -> None:
    (line,) = logged("json", "event=refused code=%d reason=%r at_host=%s", 7, "a b=c", "h")
    data = decode(line)
    assert data.pop("at").startswith("20")
    assert data == {
        "level": "INFO",
        "logger": "comfreyhatch.test",
        "event": "refused",
        "code": "7",
        "reason": "a b=c",
        "at_host": "h",
    }


def test_exception_stays_on_the_line() -> None:
    stream = StringIO()
    set_up_logs("keyvalue", "info", stream)
    try:
        raise ValueError("a bug")
    except ValueError:
        logging.getLogger("comfreyhatch.test").exception("event=failed")
    assert len(stream.getvalue().splitlines()) == 1 and "ValueError: a bug" in stream.getvalue()
