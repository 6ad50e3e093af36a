"""The request journal of a daemon: entries, stored segments and the bills computed from them."""

import zlib
from datetime import UTC, datetime

from msgspec import Struct
from msgspec.msgpack import Decoder, encode

from comfreyhatch.codes import Ran
from comfreyhatch.domain.record import RequestRecord

SEGMENT_PREFIX = "decisions/"
BILL_PREFIX = "bill/"
SEGMENT_COMPRESSION_LEVEL = 1


class Intent(Struct, frozen=True, tag="intent", omit_defaults=True):
    """Journal entry written before a request is dispatched.

    Attributes:
        request_id: Identifier of the request.
        customer: Customer to be billed.
        at_unix_s: Time of acceptance, in seconds since the epoch.
        version_id: Version chosen, or the name of the plain service.
        cost_micros: Largest possible cost, in micros.
    """

    request_id: str
    customer: str
    at_unix_s: float
    version_id: str = ""
    cost_micros: int = 0


class Outcome(Struct, frozen=True, tag="outcome"):
    """Journal entry with the final record of a request."""

    record: RequestRecord


class Entry(Struct, frozen=True, array_like=True):
    """A journal entry with its encoded body; entries are numbered from 1 without gaps."""

    number: int
    body: bytes


class Segment(Struct, frozen=True, array_like=True):
    """A part of a journal that is stored as one object.

    Attributes:
        journal: Incarnation of the daemon whose journal it is.
        sequence: Number of the segment; segments are numbered from 1 without gaps.
        writer: Instance id of the daemon that stored it.
        closed_unix_s: Time at which it was closed, in seconds since the epoch.
        numbers: Numbers of the entries that it covers, as inclusive ranges.
        records: Records of the requests that ended.
        open: Requests, also of earlier segments, that were dispatched but had not ended when it was
            closed.
    """

    journal: str
    sequence: int
    writer: str
    closed_unix_s: float
    numbers: tuple[tuple[int, int], ...]
    records: tuple[RequestRecord, ...]
    open: tuple[Intent, ...]


class BillLine(Struct, frozen=True, array_like=True):
    """Cost of a customer's requests of one day on one version.

    Attributes:
        customer: Customer billed.
        day: Day on which the requests were accepted, in UTC.
        version_id: Version of the last attempt that ran or may have run, or the plain service.
        requests: Number of requests that ran or may have run.
        unknown: Number of those for which it is unknown whether they ran.
        cost_micros: Total cost, in micros.
    """

    customer: str
    day: str
    version_id: str
    requests: int
    unknown: int
    cost_micros: int


class SegmentBill(Struct, frozen=True, array_like=True):
    """The bills of one segment, computed from that segment only.

    Attributes:
        journal: Incarnation of the daemon whose journal it is.
        sequence: Number of the segment.
        numbers: Numbers of the entries that the segment covers, as inclusive ranges.
        first_unix_s: Earliest time of acceptance among its requests, in seconds since the epoch.
        last_unix_s: Latest time of acceptance among its requests, in seconds since the epoch.
        lines: Costs by customer, day and version, of the requests that ran or may have run.
        customers: Customers of all its requests, including requests that did not run.
        open: Requests that were dispatched but had not ended when the segment was closed.
    """

    journal: str
    sequence: int
    numbers: tuple[tuple[int, int], ...]
    first_unix_s: float
    last_unix_s: float
    lines: tuple[BillLine, ...]
    customers: tuple[str, ...]
    open: tuple[Intent, ...] = ()


Body = Intent | Outcome

_body_decoder = Decoder(Body)
_segment_decoder = Decoder(Segment)
_bill_decoder = Decoder(SegmentBill)


def day_of(unix_s: float) -> str:
    """Return the UTC day of a Unix time, such as "2026-01-31"."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d")


def hour_of(unix_s: float) -> str:
    """Return the UTC hour of a Unix time, such as "2026-01-31T14"."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%dT%H")


def segment_prefix(journal: str) -> str:
    """Return the prefix of the object keys of a journal's segments."""
    return f"{SEGMENT_PREFIX}{journal}/"


def segment_key(journal: str, sequence: int) -> str:
    """Return the object key of a segment."""
    return f"{segment_prefix(journal)}{sequence:08d}"


def bill_key(segment: Segment) -> str:
    """Return the table key of the bills of a segment."""
    return bill_prefix(hour_of(segment.closed_unix_s), segment.journal) + (
        f"{segment.sequence:08d}"
    )


def bill_prefix(hour: str, journal: str = "") -> str:
    """Return the table key prefix of the bills of segments closed in an hour.

    Args:
        hour: Hour, as returned by `hour_of`.
        journal: Journal of the segments; empty for all journals.
    """
    return f"{BILL_PREFIX}{hour}/{journal}/" if journal else f"{BILL_PREFIX}{hour}/"


def encode_body(body: Body) -> bytes:
    """Encode the body of an entry with MessagePack."""
    return encode(body)


def decode_body(value: bytes) -> Body:
    """Decode the body of an entry."""
    body: Body = _body_decoder.decode(value)
    return body


def encode_segment(segment: Segment) -> bytes:
    """Encode and compress a segment."""
    return zlib.compress(encode(segment), SEGMENT_COMPRESSION_LEVEL)


def decode_segment(value: bytes) -> Segment:
    """Decompress and decode a segment."""
    return _segment_decoder.decode(zlib.decompress(value))


def encode_bill(bill: SegmentBill) -> bytes:
    """Encode the bills of a segment with MessagePack."""
    return encode(bill)


def decode_bill(value: bytes) -> SegmentBill:
    """Decode the bills of a segment."""
    return _bill_decoder.decode(value)


def billed_version(record: RequestRecord) -> str:
    """Return the version of the last attempt that ran or may have run, or else the task."""
    ran = [a.version_id for a in record.attempts if a.ran is not Ran.NO and a.version_id]
    return ran[-1] if ran else record.task
