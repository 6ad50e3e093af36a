"""Journals: the next segment to store, its bill, and the daemons that keep copies."""

from msgspec.structs import replace
from xxhash import xxh64_intdigest

from comfreyhatch.codes import Ran
from comfreyhatch.domain.journal import (
    BillLine,
    Body,
    Entry,
    Intent,
    Outcome,
    Segment,
    SegmentBill,
    billed_version,
    day_of,
    decode_body,
)
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.ports.peers import Member, MembershipView

MAX_SEGMENT_ENTRIES = 4000
BUDDIES_PER_JOURNAL = 2


class JournalTail:
    """Entries of one journal that are not known to be stored.

    The writer of the journal has a tail, and so has each of its buddies, the daemons that keep
    copies of the entries. All of them store segments under consecutive sequence numbers, by writes
    that fail if the number is taken. A daemon that finds the number taken reads the segment stored
    under it, drops the entries that it covers, and stores the remaining ones under the next number.
    So no entry is in two segments.

    Attributes:
        journal: The journal, named by the incarnation of its writer.
        next_sequence: Sequence number of the next segment, as far as known.
        entry_by_number: The entries.
        size_bytes: Total size of their encoded bodies.
    """

    def __init__(self, journal: str, holder: str) -> None:
        """Create an empty tail.

        Args:
            journal: The journal, named by the incarnation of its writer.
            holder: Instance id of this daemon, the writer or a buddy.
        """
        self.journal = journal
        self.next_sequence = 1
        self.entry_by_number: dict[int, Entry] = {}
        self._holder = holder
        self.size_bytes = 0
        self._open_by_id: dict[str, Intent] = {}
        # Ids of requests whose outcome is in a segment that another daemon stored.
        self._ended_elsewhere: set[str] = set()
        self._previous_sequence = 0
        self._stored_through = 0
        self._stored_beyond: set[int] = set()

    @property
    def stored_through(self) -> int:
        """Number up to which all entries are stored."""
        return self._stored_through

    @property
    def needs_previous_segment(self) -> bool:
        """Whether the previous segment has to be read, since its open requests are not known."""
        return self.next_sequence > 1 and self._previous_sequence != self.next_sequence - 1

    def add(self, entry: Entry) -> bool:
        """Add an entry; return False if it is a duplicate or stored already."""
        if entry.number <= self._stored_through or entry.number in self._stored_beyond:
            return False
        if entry.number in self.entry_by_number:
            return False
        self.entry_by_number[entry.number] = entry
        self.size_bytes += len(entry.body)
        return True

    def next_segment(self, now_unix_s: float) -> Segment | None:
        """Return the segment to store next; None if there are no entries.

        Args:
            now_unix_s: Present time, in seconds since the epoch.
        """
        numbers = sorted(self.entry_by_number)[:MAX_SEGMENT_ENTRIES]
        if not numbers:
            return None
        bodies = [decode_body(self.entry_by_number[number].body) for number in numbers]
        records = tuple(body.record for body in bodies if isinstance(body, Outcome))
        return Segment(
            journal=self.journal,
            sequence=self.next_sequence,
            writer=self._holder,
            closed_unix_s=now_unix_s,
            numbers=to_ranges(numbers),
            records=records,
            open=open_requests_after(self._open_by_id, bodies, self._ended_elsewhere),
        )

    def record_stored(self, segment: Segment) -> None:
        """Record a segment that any daemon stored, and drop the entries that it covers.

        A segment older than the last one known is ignored.
        """
        if segment.sequence < self.next_sequence - 1:
            return
        self.next_sequence = segment.sequence + 1
        self._previous_sequence = segment.sequence
        self._open_by_id = {intent.request_id: intent for intent in segment.open}
        if segment.writer != self._holder:
            self._ended_elsewhere.update(record.request_id for record in segment.records)
        for first, last in segment.numbers:
            self._mark_stored(range(first, last + 1))

    def trim(self, next_sequence: int, stored_through: int) -> None:
        """Drop the entries that the journal's writer reports as stored.

        Args:
            next_sequence: Sequence number of the writer's next segment.
            stored_through: Number up to which all entries are stored.
        """
        self.next_sequence = max(self.next_sequence, next_sequence)
        if stored_through <= self._stored_through:
            return
        for number in [n for n in self.entry_by_number if n <= stored_through]:
            self._drop(number)
        self._stored_beyond = {n for n in self._stored_beyond if n > stored_through}
        self._stored_through = stored_through

    def _mark_stored(self, numbers: range) -> None:
        for number in numbers:
            self._drop(number)
            if number > self._stored_through:
                self._stored_beyond.add(number)
        while self._stored_through + 1 in self._stored_beyond:
            self._stored_through += 1
            self._stored_beyond.remove(self._stored_through)

    def _drop(self, number: int) -> None:
        entry = self.entry_by_number.pop(number, None)
        if entry is not None:
            self.size_bytes -= len(entry.body)


def open_requests_after(
    open_by_id: dict[str, Intent], bodies: list[Body], ended_before: set[str]
) -> tuple[Intent, ...]:
    """Return the requests that are dispatched but not ended after some entries.

    Args:
        open_by_id: Requests open before the entries, by request id.
        bodies: Bodies of the entries.
        ended_before: Ids of requests whose outcome is stored already.
    """
    ended = {body.record.request_id for body in bodies if isinstance(body, Outcome)}
    ended |= ended_before
    found = dict(open_by_id)
    found.update((body.request_id, body) for body in bodies if isinstance(body, Intent))
    return tuple(intent for request_id, intent in found.items() if request_id not in ended)


def to_ranges(numbers: list[int]) -> tuple[tuple[int, int], ...]:
    """Return ascending numbers as ranges (first, last), both ends included."""
    found: list[tuple[int, int]] = []
    for number in numbers:
        if found and found[-1][1] == number - 1:
            found[-1] = (found[-1][0], number)
        else:
            found.append((number, number))
    return tuple(found)


def bill_segment(segment: Segment) -> SegmentBill:
    """Return the bill of a segment.

    A request is billed if it has run or may have run.
    """
    line_by_key: dict[tuple[str, str, str], BillLine] = {}
    for record in segment.records:
        if record.ran is Ran.NO:
            continue
        key = record.customer, day_of(record.at_unix_s), billed_version(record)
        line = line_by_key.get(key) or BillLine(*key, 0, 0, 0)
        line_by_key[key] = replace(
            line,
            requests=line.requests + 1,
            unknown=line.unknown + (record.ran is Ran.UNKNOWN),
            cost_micros=line.cost_micros + record.cost_micros,
        )
    times = [record.at_unix_s for record in segment.records]
    return SegmentBill(
        journal=segment.journal,
        sequence=segment.sequence,
        numbers=segment.numbers,
        first_unix_s=min(times, default=segment.closed_unix_s),
        last_unix_s=max(times, default=segment.closed_unix_s),
        lines=tuple(line_by_key.values()),
        customers=tuple(sorted({record.customer for record in segment.records})),
        open=segment.open,
    )


def shorten_record(record: RequestRecord) -> RequestRecord:
    """Return a record without the reasons for its decisions; its bill is not affected."""
    return replace(record, clause="", grounds="", versions=(), endpoints=())


def choose_buddies(
    journal: str,
    own: str,
    zone: str,
    view: MembershipView,
    unresponsive: frozenset[str] = frozenset(),
) -> list[Member]:
    """Return the buddies of a journal: the daemons that keep copies of it.

    If possible the first is in another zone than the writer, and the second in another zone than
    the first.

    Args:
        journal: The journal, named by the incarnation of its writer.
        own: Instance id of the writer.
        zone: Availability zone of the writer.
        view: Live daemons.
        unresponsive: Ids of daemons that recently did not answer; they are left out.
    """
    members = [
        member
        for member in view.member_by_id.values()
        if member.instance_id != own
        and not member.leaving
        and member.instance_id not in unresponsive
    ]
    members.sort(key=lambda m: xxh64_intdigest(f"{journal}/{m.instance_id}".encode()))
    members.sort(key=lambda member: member.zone == zone)
    first = members[:1]
    others = [member for member in members[1:] if member.zone != first[0].zone] if first else []
    return (first + others + members[1:])[:BUDDIES_PER_JOURNAL]
