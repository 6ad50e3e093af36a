"""Tests of the journal: no entry is lost or billed twice.

They cover killed and paused writers, unresponsive buddies, and writes to the stores whose outcome
is unknown.
"""

import asyncio
from collections import Counter
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.history import journal as journal_module
from comfreyhatch.daemon.history.journal import Journal, JournalLimits
from comfreyhatch.daemon.history.journal_copies import JournalCopies
from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.decisions.journal import JournalTail, choose_buddies
from comfreyhatch.decisions.settlement import Settlement, settle
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.journal import (
    BILL_PREFIX,
    SEGMENT_PREFIX,
    Entry,
    Intent,
    Outcome,
    Segment,
    decode_bill,
    decode_segment,
    encode_body,
)
from comfreyhatch.domain.record import Attempt, RequestRecord
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.peers import Member, MembershipView, MemoryNetwork
from comfreyhatch.ports.table import MemoryTable, Operation, WriteOutcome

DAY_S = 86400.0


def intent(number: int, journal: str = "d0~1") -> Intent:
    return Intent(f"{journal}.0.{number:x}", "trackline", DAY_S, "coach@1", 50)


def outcome(number: int, ran: Ran = Ran.YES, journal: str = "d0~1") -> Outcome:
    attempt = Attempt("e1", "coach@1", "d0", "a", ResultCode.OK, ran, DAY_S, 0.1, cost_micros=7)
    record = RequestRecord(
        request_id=f"{journal}.0.{number:x}",
        customer="trackline",
        at_unix_s=DAY_S,
        daemon="d0",
        incarnation=journal,
        revision=1,
        kind="chat",
        attempts=(attempt,),
        ran=ran,
        cost_micros=7 if ran is Ran.YES else 0,
        grounds="cheapest",
    )
    return Outcome(record)


class Stores:
    """The object store and the table, with injected faults.

    Attributes:
        fates: Results of the next operations: "ok", "down" (an error without effect), "lost" (takes
            effect, outcome unknown) or "vanished" (no effect, outcome unknown). Later operations
            succeed.
        down: Whether all operations fail.
    """

    def __init__(self) -> None:
        self.objects = MemoryObjectStore()
        self.table = MemoryTable()
        self.fates: list[str] = []
        self.down = False

    def fate(self) -> str:
        return "down" if self.down else self.fates.pop(0) if self.fates else "ok"

    async def get(self, key: str) -> bytes | None:
        if self.fate() == "down":
            raise PlatformError("down")
        return self.objects.value_by_key.get(key)

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        return await self.objects.list_keys(prefix, after, limit)

    async def put_if_absent(self, key: str, value: bytes) -> WriteOutcome:
        fate = self.fate()
        if fate == "down":
            raise PlatformError("down")
        if fate == "vanished":
            return WriteOutcome.UNKNOWN
        outcome = await self.objects.put_if_absent(key, value)
        return WriteOutcome.UNKNOWN if fate == "lost" else outcome

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        fate = self.fate()
        if fate == "down":
            raise PlatformError("down")
        if fate == "vanished":
            return WriteOutcome.UNKNOWN
        outcome = self.table.commit_now(operations)
        return WriteOutcome.UNKNOWN if fate == "lost" else outcome

    async def read(self, key: str) -> None:
        raise NotImplementedError

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[object]:
        raise NotImplementedError

    def segment_store(self) -> SegmentStore:
        return SegmentStore(self, self)  # type: ignore[arg-type]

    def segments(self) -> list[Segment]:
        items = sorted(self.objects.value_by_key.items())
        return [decode_segment(value) for key, value in items if key.startswith(SEGMENT_PREFIX)]

    def settlement(self) -> Settlement:
        rows = sorted(self.table.row_by_key.items())
        return settle(decode_bill(row.value) for key, row in rows if key.startswith(BILL_PREFIX))


# "w" is the writer; "0" and "1" are its buddies.
EVENTS = ["add"] * 4 + ["copy-0", "copy-1", "trim", "store-w", "store-w", "store-0", "store-1"]

FATES = st.sampled_from(["ok", "ok", "ok", "down", "lost", "vanished"])


@settings(max_examples=300)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.lists(FATES, min_size=3, max_size=3))))
def test_each_entry_that_any_holder_stores_is_billed_once(
    steps: list[tuple[str, list[str]]],
) -> None:
    asyncio.run(store_from_three(steps))


async def store_from_three(steps: list[tuple[str, list[str]]]) -> None:
    """Add, copy, trim and store in any order on a writer and two buddies, then let all store.

    Entries with odd numbers are intents, those with even numbers are the outcomes of the requests.
    """
    stores = Stores()
    store = stores.segment_store()
    tails = {name: JournalTail("d0~1", name) for name in ("w", "0", "1")}
    entries: list[Entry] = []
    for what, fates in steps:
        match what.split("-"):
            case ["add"]:
                number = len(entries) + 1
                body = intent(number // 2) if number % 2 else outcome(number // 2 - 1)
                entries.append(Entry(number, encode_body(body)))
                tails["w"].add(entries[-1])
            case ["copy", buddy]:
                if fates[0] == "ok":
                    for entry in entries[-2:]:
                        tails[buddy].add(entry)
            case ["trim"]:
                for buddy in ("0", "1"):
                    if fates[0] == "ok":
                        tails[buddy].trim(tails["w"].next_sequence, tails["w"].stored_through)
            case ["store", name]:
                stores.fates = list(fates)
                try:
                    await store.store_next(tails[name], DAY_S)
                except PlatformError:
                    pass
    stores.fates = []
    for tail in tails.values():
        while await store.store_next(tail, DAY_S):
            pass
    covered = Counter(
        number
        for segment in stores.segments()
        for first, last in segment.numbers
        for number in range(first, last + 1)
    )
    assert covered == Counter(range(1, len(entries) + 1))
    ended = {f"d0~1.0.{n // 2 - 1:x}" for n in range(2, len(entries) + 1, 2)}
    begun = {f"d0~1.0.{n // 2:x}" for n in range(1, len(entries) + 1, 2)}
    settlement = stores.settlement()
    assert sum(line.requests for line in settlement.lines) == len(ended)
    assert {i.request_id for i in settlement.open} == begun - ended
    assert settlement.missing == 0


class Fleet:
    """Journals and journal copies of several daemons on an in-memory network.

    `zones` has one letter for each daemon, the name of its availability zone.
    """

    def __init__(self, zones: str, limits: JournalLimits) -> None:
        self.network = MemoryNetwork()
        self.stores = Stores()
        self.view = MembershipView({})
        self.journals: list[Journal] = []
        self.copies: list[JournalCopies] = []
        for index, zone in enumerate(zones):
            name = f"d{index}"
            bus = self.network.join(name)
            address = Address("127.0.0.1", 1)
            self.view.member_by_id[name] = Member(name, f"{name}~1", zone, address, address)
            store = self.stores.segment_store()
            self.journals.append(
                Journal(bus, lambda: self.view, store, name, zone, f"{name}~1", limits=limits)
            )
            self.copies.append(JournalCopies(bus, lambda: self.view, store, name, grace_s=0.0))

    def cut(self, index: int) -> None:
        """Cut all links of a daemon."""
        names = [f"d{i}" for i in range(len(self.journals))]
        self.network.cut |= {(f"d{index}", n) for n in names} | {(n, f"d{index}") for n in names}

    def leave(self, index: int) -> None:
        """Remove a daemon from the live members."""
        del self.view.member_by_id[f"d{index}"]

    def holders_of(self, number: int) -> list[int]:
        """Return the indexes of the daemons that have a copy of a record of the first daemon."""
        request_id = f"d0~1.0.{number:x}"
        return [i for i, b in enumerate(self.copies) if b.find(request_id)]

    async def settle_all(self) -> Settlement:
        """Store the copies of ended writers and return the settlement of all bills."""
        for copies in self.copies:
            await copies.store_orphans()
        return self.stores.settlement()


LIMITS = JournalLimits(batch_window_s=0.001)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    monkeypatch.setattr(journal_module, "DIRECT_STORE_INTERVAL_S", 0.001)
    return Fleet("aaabb", LIMITS)


def counted(journal: Journal, copies: str) -> float:
    return float(journal._copied.labels(copies)._value.get())


async def test_commit_returns_when_two_buddies_keep_the_entry(fleet: Fleet) -> None:
    assert await fleet.journals[0].commit(outcome(1))
    first, second = fleet.holders_of(1)
    zones = {fleet.view.member_by_id[f"d{i}"].zone for i in (first, second)}
    assert zones == {"a", "b"}
    assert counted(fleet.journals[0], "two") == 1


async def test_an_unresponsive_buddy_is_replaced_and_the_new_one_gets_all_unstored_entries(
    fleet: Fleet,
) -> None:
    await fleet.journals[0].commit(outcome(1))
    unresponsive = fleet.holders_of(1)[0]
    fleet.cut(unresponsive)
    assert await fleet.journals[0].commit(outcome(2))
    assert await fleet.journals[0].commit(outcome(3))
    assert len([i for i in fleet.holders_of(1) if i != unresponsive]) == 2
    assert len(fleet.holders_of(3)) == 2


async def test_without_buddies_the_entry_is_stored_or_counted_as_not_copied(
    fleet: Fleet,
) -> None:
    journal = fleet.journals[0]
    fleet.cut(0)
    assert await journal.commit(outcome(1))
    assert counted(journal, "store") == 1
    fleet.stores.down = True
    assert not await journal.commit(outcome(2))
    assert counted(journal, "none") == 1
    fleet.stores.down = False
    assert await journal.store()
    settlement = fleet.stores.settlement()
    assert [line.requests for line in settlement.lines] == [2]


@pytest.mark.parametrize("resumes", [False, True])
async def test_requests_of_a_killed_or_paused_writer_are_billed_once(
    fleet: Fleet, resumes: bool
) -> None:
    journal = fleet.journals[0]
    await journal.commit(outcome(1))
    await journal.commit(intent(6))
    await journal.store()
    await journal.commit(intent(2))
    await journal.commit(intent(3))
    await journal.commit(outcome(3, Ran.NO))
    await journal.commit(outcome(4, Ran.UNKNOWN))
    unsent = journal.append(outcome(5)) if resumes else None
    fleet.leave(0)
    fleet.stores.fates = ["ok", "lost", "down", "lost"]
    await fleet.settle_all()
    settlement = await fleet.settle_all()
    if unsent is not None:
        await unsent
        assert await journal.store()
        settlement = await fleet.settle_all()
    line = settlement.lines[0]
    ran = 3 if resumes else 2
    assert (line.requests, line.unknown, line.cost_micros) == (ran, 1, 7 * (ran - 1))
    assert [i.request_id for i in settlement.open] == ["d0~1.0.6", "d0~1.0.2"]
    assert settlement.missing == 0


async def test_a_long_outage_shortens_records_and_then_counts_dropped_entries() -> None:
    fleet = Fleet("ab", JournalLimits(0.0, shorten_bytes=2000, max_bytes=4000))
    journal = fleet.journals[0]
    fleet.stores.down = True
    for number in count(1):
        if not await journal.commit(outcome(number)):
            break
    kept = journal.lag
    assert journal.tail.size_bytes < 4000 + 400
    assert journal._dropped._value.get() == 1
    assert 0 < journal._shortened._value.get() < kept
    fleet.stores.down = False
    assert await journal.store() and journal.lag == 0
    settlement = fleet.stores.settlement()
    assert settlement.lines[0].requests == kept
    assert fleet.copies[1].size_bytes == 0


async def test_a_full_buddy_refuses_and_another_one_is_chosen(fleet: Fleet) -> None:
    await fleet.journals[0].commit(outcome(1))
    full = fleet.holders_of(1)[0]
    fleet.copies[full]._max_bytes = 0
    assert await fleet.journals[0].commit(outcome(2))
    assert full not in fleet.holders_of(2)
    assert await fleet.journals[0].commit(outcome(3))
    assert len(fleet.holders_of(3)) == 2


async def test_close_stores_the_last_segment_after_an_error(fleet: Fleet) -> None:
    journal = fleet.journals[0]
    running = asyncio.create_task(journal.run())
    pending = journal.append(outcome(1))
    fleet.stores.fates = ["down"]
    assert await journal.close(20) == 0
    running.cancel()
    pending.cancel()
    assert fleet.stores.settlement().lines[0].requests == 1


@given(st.lists(st.sampled_from("abc"), min_size=1, max_size=8), st.integers(0, 7))
def test_buddies_are_other_daemons_and_the_first_is_in_another_zone(
    zones: list[str], own: int
) -> None:
    own %= len(zones)
    address = Address("127.0.0.1", 1)
    members = {f"d{i}": Member(f"d{i}", "1", z, address, address) for i, z in enumerate(zones)}
    chosen = choose_buddies("j", f"d{own}", zones[own], MembershipView(members))
    names = [member.instance_id for member in chosen]
    assert len(set(names)) == len(names) == min(2, len(zones) - 1)
    assert f"d{own}" not in names
    elsewhere = set(zones) - {zones[own]}
    assert not elsewhere or chosen[0].zone != zones[own]
    assert len({m.zone for m in chosen}) == min(
        len(chosen), len(set(zones) - {zones[own]}) + 1
    ) or (len(elsewhere) == 1)
