"""The journal of a daemon: its entries, stored segments and the bills made from them."""

import zlib
from datetime import UTC, datetime

from msgspec import Struct
from msgspec.msgpack import Decoder, encode

from comfreyhatch.codes import Ran
from comfreyhatch.domain.record import RequestRecord

SEGMENT_PREFIX = "decisions/"
BILL_PREFIX = "bill/"
COMPRESSION_LEVEL = 1


class Intent(Struct, frozen=True, tag="intent", omit_defaults=True):
    """Says that a request is being dispatched.

    Attributes:
        request_id: Identifier of the request.
        customer: Customer to be billed.
        at_unix_s: When it was accepted, in seconds since the epoch.
        version_id: Version chosen, or the name of the plain service.
        cost_micros: Largest cost that it may have.
    """

    request_id: str
    customer: str
    at_unix_s: float
    version_id: str = ""
    cost_micros: int = 0


class Outcome(Struct, frozen=True, tag="outcome"):
    """Says what came of a request."""

    record: RequestRecord


class Entry(Struct, frozen=True, array_like=True):
    """An entry of a journal, its body encoded; numbers follow without gaps, from 1."""

    number: int
    body: bytes


class Segment(Struct, frozen=True, array_like=True):
    """A stored piece of a journal.

    Attributes:
        journal: Incarnation of the daemon whose journal it is.
        sequence: Number of the segment, without gaps from 1.
        writer: Instance id of the daemon that stored it.
        closed_unix_s: When it was made, in seconds since the epoch.
        numbers: Numbers of the entries that it covers, as ranges with both ends included.
        records: Requests that ended.
        open: Requests dispatched and not ended by its close, those of earlier segments included.
    """

    journal: str
    sequence: int
    writer: str
    closed_unix_s: float
    numbers: tuple[tuple[int, int], ...]
    records: tuple[RequestRecord, ...]
    open: tuple[Intent, ...]


class BillLine(Struct, frozen=True, array_like=True):
    """What a customer's requests of one day on one version cost.

    Attributes:
        customer: Customer billed.
        day: Day on which the requests were accepted, in UTC.
        version_id: Version of the last attempt that ran, or the plain service.
        requests: Requests that ran.
        unknown: Those of them that may have run.
        cost_micros: Their cost.
    """

    customer: str
    day: str
    version_id: str
    requests: int
    unknown: int
    cost_micros: int


class SegmentBill(Struct, frozen=True, array_like=True):
    """The bills of one segment; follows from the segment alone.

    Attributes:
        journal: Incarnation of the daemon whose journal it is.
        sequence: Number of the segment.
        numbers: Numbers of the entries that the segment covers.
        first_unix_s: When the earliest of its requests was accepted.
        last_unix_s: When the latest of its requests was accepted.
        lines: Bills of the requests that ran.
        customers: Customers of all its requests, those that did not run included.
        open: Requests dispatched and not ended by its close.
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
    """Return the day of a time in UTC, such as "2026-01-31"."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d")


def hour_of(unix_s: float) -> str:
    """Return the hour of a time in UTC, such as "2026-01-31T14"."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%dT%H")


def segment_prefix(journal: str) -> str:
    """Return the prefix of the object keys of a journal's segments."""
    return f"{SEGMENT_PREFIX}{journal}/"


def segment_key(journal: str, sequence: int) -> str:
    """Return the object key of a segment."""
    return f"{segment_prefix(journal)}{sequence:08d}"


def bill_key(segment: Segment) -> str:
    """Return the table key of a segment's bills."""
    return bill_prefix(hour_of(segment.closed_unix_s), segment.journal) + (
        f"{segment.sequence:08d}"
    )


def bill_prefix(hour: str, journal: str = "") -> str:
    """Return the prefix of the keys of bills by the hour of their close, and by journal."""
    return f"{BILL_PREFIX}{hour}/{journal}/" if journal else f"{BILL_PREFIX}{hour}/"


def encode_body(body: Body) -> bytes:
    """Return the bytes of an entry's body."""
    return encode(body)


def decode_body(value: bytes) -> Body:
    """Return the body of an entry."""
    body: Body = _body_decoder.decode(value)
    return body


def encode_segment(segment: Segment) -> bytes:
    """Return the bytes of a segment's object."""
    return zlib.compress(encode(segment), COMPRESSION_LEVEL)


def decode_segment(value: bytes) -> Segment:
    """Return the segment of an object."""
    return _segment_decoder.decode(zlib.decompress(value))


def encode_bill(bill: SegmentBill) -> bytes:
    """Return the bytes of a bill's row."""
    return encode(bill)


def decode_bill(value: bytes) -> SegmentBill:
    """Return the bill of a row."""
    return _bill_decoder.decode(value)


def billed_version(record: RequestRecord) -> str:
    """Return the version, or the plain service, that a request is billed for."""
    ran = [a.version_id for a in record.attempts if a.ran is not Ran.NO and a.version_id]
    return ran[-1] if ran else record.task
