"""Explanations of requests as text."""

from collections import Counter
from datetime import UTC, datetime

from msgspec import Struct

from comfreyhatch.codes import ENTRY_BY_CODE
from comfreyhatch.domain.record import Attempt, Candidate, RequestRecord
from comfreyhatch.porcelain.table import table

NONE = "-"
SAMPLES = 3


class RequestGroup(Struct, frozen=True):
    """Requests that ended alike.

    Attributes:
        code: Result code.
        version: Version of the last attempt.
        zone: Zone of the last attempt.
        endpoint: Endpoint of the last attempt.
        requests: Number of requests.
        cost_micros: What they cost.
        slowest_s: Longest duration.
        samples: Ids of some of them, the latest first.
    """

    code: int
    version: str
    zone: str
    endpoint: str
    requests: int
    cost_micros: int
    slowest_s: float
    samples: tuple[str, ...]


def explain_lines(record: RequestRecord) -> list[str]:
    """Return the explanation of one request."""
    entry = ENTRY_BY_CODE[record.code]
    lines = [
        f"request    {record.request_id}",
        f"accepted   {_time(record.at_unix_s)} by {record.daemon} ({record.incarnation})",
        f"customer   {record.customer}, revision {record.revision} in force",
        f"kind       {record.kind}, task {record.task or NONE}"
        + (", critical" if record.critical else ""),
        f"clause     {record.clause or NONE}",
        f"session    {record.session or NONE}, version found by {record.pin or 'none'}",
        f"plan       {record.plan or NONE}",
        f"grounds    {record.grounds or NONE}",
    ]
    lines += _candidates("version", record.versions)
    lines += _candidates("endpoint", record.endpoints)
    lines += _attempts(record.attempts)
    rating = NONE if record.rating is None else f"{record.rating:.3f}"
    if record.rating is not None and record.delivered_rating is None:
        rating += ", of an answer that was not delivered"
    first = NONE if record.first_token_s is None else f"{record.first_token_s:.3f} s"
    lines += [
        f"rating     {rating}",
        f"bill       {record.cost_micros} micros",
        f"time       {record.duration_s:.3f} s of {record.deadline_s:g} s, first token {first}",
        f"result     {int(record.code)} {record.code.name}: {entry.meaning}"
        f" ran: {record.ran.value}",
    ]
    return lines


def group_records(records: list[RequestRecord]) -> list[RequestGroup]:
    """Return the requests grouped by how they ended, failures first, largest first."""
    found: dict[tuple[int, str, str, str], list[RequestRecord]] = {}
    for record in records:
        last = record.attempts[-1] if record.attempts else None
        where = (last.version_id, last.zone, last.endpoint_id) if last else ("", "", "")
        found.setdefault((int(record.code), *where), []).append(record)
    groups = [_group(key, members) for key, members in found.items()]
    return sorted(groups, key=lambda group: (group.code == 0, -group.requests, group.code))


def group_lines(groups: list[RequestGroup]) -> list[str]:
    """Return the groups as a table."""
    total = Counter[str]()
    for group in groups:
        total["failed" if group.code else "answered"] += group.requests
    rows = [
        (
            group.code,
            group.version,
            group.zone,
            group.endpoint,
            group.requests,
            group.cost_micros,
            group.slowest_s,
            " ".join(group.samples),
        )
        for group in groups
    ]
    headings = ("CODE", "VERSION", "ZONE", "ENDPOINT", "REQUESTS", "MICROS", "SLOWEST S", "SAMPLES")
    summary = f"{total['answered']} answered, {total['failed']} not answered"
    return [summary, *table(headings, rows)]


def _group(key: tuple[int, str, str, str], members: list[RequestRecord]) -> RequestGroup:
    code, version, zone, endpoint = key
    members.sort(key=lambda record: -record.at_unix_s)
    return RequestGroup(
        code=code,
        version=version,
        zone=zone,
        endpoint=endpoint,
        requests=len(members),
        cost_micros=sum(record.cost_micros for record in members),
        slowest_s=max(record.duration_s for record in members),
        samples=tuple(record.request_id for record in members[:SAMPLES]),
    )


def _candidates(kind: str, candidates: tuple[Candidate, ...]) -> list[str]:
    lines = []
    for candidate in candidates:
        known = [f"passed over: {candidate.passed_over}" if candidate.passed_over else "chosen"]
        if candidate.estimate is not None:
            known.append(f"estimate {candidate.estimate:.3f}")
        if candidate.cost_micros is not None:
            known.append(f"{candidate.cost_micros} micros")
        lines.append(f"{kind:<10} {candidate.name}: {', '.join(known)}")
    return lines


def _attempts(attempts: tuple[Attempt, ...]) -> list[str]:
    lines = []
    for number, attempt in enumerate(attempts, 1):
        version = f" {attempt.version_id}" if attempt.version_id else ""
        slot = f" slot {attempt.slot}" if attempt.slot else ""
        lines.append(
            f"attempt {number}  {attempt.endpoint_id} in zone {attempt.zone}{version}{slot}"
            f" by {attempt.dispatcher}: {int(attempt.code)} {attempt.code.name},"
            f" ran: {attempt.ran.value}, {attempt.duration_s:.3f} s, {attempt.cost_micros} micros"
        )
    return lines or ["attempt    none"]


def _time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")
