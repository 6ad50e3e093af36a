"""Log lines: key=value pairs, or JSON as an option."""

import logging
import re
import sys
from time import gmtime
from typing import Literal, Protocol

from pythonjsonlogger.json import JsonFormatter

LogFormat = Literal["keyvalue", "json"]

ROOT_LOGGER = "comfreyhatch"
PAIR = re.compile(r"""([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|\S*)""")
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"


class KeyValueFormatter(logging.Formatter):
    """Writes one line of key=value pairs for each event."""

    def __init__(self) -> None:
        super().__init__(
            "at=%(asctime)s.%(msecs)03dZ level=%(levelname)s logger=%(name)s %(message)s",
            TIME_FORMAT,
        )
        self.converter = gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, with line breaks escaped."""
        return super().format(record).replace("\r", "\\r").replace("\n", "\\n")


class PairsJsonFormatter(JsonFormatter):
    """Writes the same pairs as one JSON object for each event."""

    def __init__(self) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            TIME_FORMAT,
            rename_fields={"asctime": "at", "levelname": "level", "name": "logger"},
        )
        self.converter = gmtime

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Split the message into its pairs; text outside of pairs stays the message."""
        message = str(log_data.pop("message", ""))
        for key, value in PAIR.findall(message):
            log_data.setdefault(key, _unquoted(value))
        rest = PAIR.sub("", message).strip()
        if rest:
            log_data["message"] = rest
        return log_data


class LogStream(Protocol):
    """Where log lines are written."""

    def write(self, text: str, /) -> int:
        """Take text."""

    def flush(self) -> None:
        """Pass on what was taken."""


def set_up_logs(form: LogFormat, level: str, stream: LogStream | None = None) -> None:
    """Send the package's log to a stream, standard error by default."""
    formatter = PairsJsonFormatter() if form == "json" else KeyValueFormatter()
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def _unquoted(value: str) -> str:
    quoted = len(value) > 1 and value[0] == value[-1] and value[0] in "\"'"
    return value[1:-1] if quoted else value
