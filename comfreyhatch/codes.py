"""Numbered result codes, their HTTP statuses and meanings."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Ran(Enum):
    """What is known about the execution of a request; refusals say no or unknown."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Outcome of a request, a command or a peer message."""

    OK = 0
    BAD_REQUEST = 1001
    UNAUTHENTICATED = 1002
    NOT_ALLOWED = 1003
    NOT_FOUND = 1004
    BODY_TOO_LARGE = 1005
    HEADERS_TOO_LARGE = 1006
    REQUEST_TIMEOUT = 1007
    METHOD_NOT_ALLOWED = 1008
    KEY_REUSED = 1009
    ABANDONED = 1010
    BUDGET_EXHAUSTED = 2001
    BUDGET_UNKNOWN = 2002
    OVERLOADED = 2003
    DEADLINE_EXCEEDED = 2004
    RETRY_BUDGET_EXHAUSTED = 2005
    NO_HEALTHY_VERSION = 3001
    VERSION_WITHDRAWN = 3002
    NO_ENDPOINT = 3003
    ENDPOINT_REFUSED = 3004
    ENDPOINT_FAILED = 3005
    ANSWER_BROKEN = 3006
    OUTCOME_UNKNOWN = 3007
    ALREADY_RUNNING = 3008
    CLAIM_UNAVAILABLE = 3009
    CUT_OFF = 3010
    ANSWER_NOT_KEPT = 3011
    PROMPT_BLOCKED = 3012
    REQUEST_BLOCKED = 3013
    PLATFORM_UNAVAILABLE = 4001
    WRITE_UNKNOWN = 4002
    CONFLICT = 4003
    STALE_FENCE = 4004
    NOT_IN_FORCE = 4005
    SETTINGS_INVALID = 5001
    CONTRACT_INVALID = 5002
    CHANGE_INVALID = 5003
    PEER_REFUSED = 5004
    PEER_TIMEOUT = 5005
    NOT_READY = 5006
    SHUTTING_DOWN = 5007
    ADDRESS_UNAVAILABLE = 5008
    INTERNAL = 9001


class CodeEntry(NamedTuple):
    """One row of the table of result codes."""

    http_status: int
    meaning: str


ENTRY_BY_CODE: dict[ResultCode, CodeEntry] = {
    ResultCode.OK: CodeEntry(200, "Done."),
    ResultCode.BAD_REQUEST: CodeEntry(400, "The request is malformed."),
    ResultCode.UNAUTHENTICATED: CodeEntry(401, "The API key is missing or unknown."),
    ResultCode.NOT_ALLOWED: CodeEntry(403, "The customer's contract does not allow this."),
    ResultCode.NOT_FOUND: CodeEntry(404, "No such resource."),
    ResultCode.BODY_TOO_LARGE: CodeEntry(413, "The body exceeds the limit."),
    ResultCode.HEADERS_TOO_LARGE: CodeEntry(431, "The header section exceeds the limit."),
    ResultCode.REQUEST_TIMEOUT: CodeEntry(408, "The caller sent its request too slowly."),
    ResultCode.METHOD_NOT_ALLOWED: CodeEntry(405, "The resource does not take this method."),
    ResultCode.KEY_REUSED: CodeEntry(
        422, "The idempotency key belongs to another request; this one has not run."
    ),
    ResultCode.ABANDONED: CodeEntry(499, "The caller went away before the end of its answer."),
    ResultCode.BUDGET_EXHAUSTED: CodeEntry(402, "The customer's budget is spent."),
    ResultCode.BUDGET_UNKNOWN: CodeEntry(503, "The budget cannot be read and no slice is left."),
    ResultCode.OVERLOADED: CodeEntry(503, "No capacity is free in time; retry later."),
    ResultCode.DEADLINE_EXCEEDED: CodeEntry(504, "The request's deadline has passed."),
    ResultCode.RETRY_BUDGET_EXHAUSTED: CodeEntry(503, "An attempt failed; retries are used up."),
    ResultCode.NO_HEALTHY_VERSION: CodeEntry(503, "No allowed version is healthy."),
    ResultCode.VERSION_WITHDRAWN: CodeEntry(410, "The session's version is withdrawn."),
    ResultCode.NO_ENDPOINT: CodeEntry(503, "No endpoint serves the version now."),
    ResultCode.ENDPOINT_REFUSED: CodeEntry(503, "The endpoint refused the work before running it."),
    ResultCode.ENDPOINT_FAILED: CodeEntry(502, "The endpoint failed; the request may have run."),
    ResultCode.ANSWER_BROKEN: CodeEntry(502, "The answer was cut off and could not be resumed."),
    ResultCode.OUTCOME_UNKNOWN: CodeEntry(409, "The earlier execution's outcome is unknown."),
    ResultCode.ALREADY_RUNNING: CodeEntry(409, "The same idempotency key is being executed."),
    ResultCode.CLAIM_UNAVAILABLE: CodeEntry(
        503, "The claim could not be recorded; not dispatched."
    ),
    ResultCode.CUT_OFF: CodeEntry(503, "This zone is cut off and may not serve the request."),
    ResultCode.ANSWER_NOT_KEPT: CodeEntry(
        409, "The call ran once before; its answer was too large to keep."
    ),
    ResultCode.PROMPT_BLOCKED: CodeEntry(
        503, "Endpoints crash on a part of the prompt; requests with it are not sent."
    ),
    ResultCode.REQUEST_BLOCKED: CodeEntry(
        503, "Endpoints crash on this request; it is not sent to any more of them."
    ),
    ResultCode.PLATFORM_UNAVAILABLE: CodeEntry(503, "The platform's store does not answer."),
    ResultCode.WRITE_UNKNOWN: CodeEntry(503, "The write's answer was lost; it may have happened."),
    ResultCode.CONFLICT: CodeEntry(409, "Another change came first; nothing was changed."),
    ResultCode.STALE_FENCE: CodeEntry(409, "The fencing number is older than the current one."),
    ResultCode.NOT_IN_FORCE: CodeEntry(504, "Accepted, but not confirmed by every instance."),
    ResultCode.SETTINGS_INVALID: CodeEntry(500, "The settings file has errors."),
    ResultCode.CONTRACT_INVALID: CodeEntry(400, "The contract has errors."),
    ResultCode.CHANGE_INVALID: CodeEntry(400, "The change does not fit the configuration."),
    ResultCode.PEER_REFUSED: CodeEntry(403, "The peer message failed its checks."),
    ResultCode.PEER_TIMEOUT: CodeEntry(504, "The peer did not answer in time."),
    ResultCode.NOT_READY: CodeEntry(503, "The instance has no configuration yet."),
    ResultCode.SHUTTING_DOWN: CodeEntry(503, "The instance is shutting down; use another."),
    ResultCode.ADDRESS_UNAVAILABLE: CodeEntry(
        503, "A daemon cannot listen on an address of its settings; it ends with exit code 3."
    ),
    ResultCode.INTERNAL: CodeEntry(500, "An internal error; see the log."),
}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status that carries a result code."""
    return ENTRY_BY_CODE[code].http_status


def codes_table() -> str:
    """Return the table of docs/RESULT-CODES.md as Markdown."""
    lines = ["| code | name | HTTP status | meaning |", "| --- | --- | --- | --- |"]
    for code in ResultCode:
        entry = ENTRY_BY_CODE[code]
        lines.append(f"| {code.value} | `{code.name}` | {entry.http_status} | {entry.meaning} |")
    return "\n".join(lines) + "\n"
