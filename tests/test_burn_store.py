"""Counts of burn outlive their daemon, and no failure of the store doubles them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.history.burn_store import MAX_PENDING_SEGMENTS, BurnStore
from comfreyhatch.decisions.burn import Objective, add_stored, merge_burn
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.table import WriteOutcome

NOW = 1_800_000_000.0
CONTRACTS = {"c": Contract("c")}


@pytest.fixture(autouse=True)
def small_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("comfreyhatch.daemon.history.burn_store.LIST_PAGE_KEYS", 3)


class FailingStore(MemoryObjectStore):
    """A store that is up, down, or loses answers or whole writes, as a list of words tells."""

    def __init__(self, states: list[str]) -> None:
        super().__init__()
        self.states = states

    async def put_if_absent(self, key: str, value: bytes) -> WriteOutcome:
        state = self.states.pop(0) if self.states else "up"
        if state == "down":
            raise PlatformError("down")
        if state == "write lost":
            return WriteOutcome.UNKNOWN
        outcome = await super().put_if_absent(key, value)
        return WriteOutcome.UNKNOWN if state == "answer lost" else outcome


def book(store: MemoryObjectStore, incarnation: str = "i-1") -> BurnStore:
    return BurnStore(store, incarnation, lambda: CONTRACTS, frozenset)


def record(at_unix_s: float = NOW, customer: str = "c") -> RequestRecord:
    return RequestRecord("r", customer, at_unix_s, "d", "i", 1, "service", code=ResultCode.OK)


async def counted(counts: BurnStore, since_unix_s: float = NOW - 1) -> int:
    pending = counts.pending()
    middle = since_unix_s + 5
    early = await counts.stored(since_unix_s, middle)
    late = await counts.stored(middle, NOW + 10_000)
    merged = merge_burn(add_stored(early, late), pending)
    return sum(c.total for c in merged if c.key.objective is Objective.AVAILABILITY)


@given(
    steps=st.lists(st.sampled_from(["request", "flush"]), max_size=25),
    states=st.lists(st.sampled_from(["up", "down", "answer lost", "write lost"]), max_size=12),
)
async def test_no_failure_of_the_store_loses_or_doubles_a_count(
    steps: list[str], states: list[str]
) -> None:
    store = FailingStore(states)
    counts = book(store)
    for number, step in enumerate(steps):
        if step == "request":
            counts.observe(record())
        else:
            await counts.flush(NOW + number)
        assert await counted(counts) == steps[: number + 1].count("request")


async def test_counts_outlive_their_daemon() -> None:
    store = MemoryObjectStore()
    gone = book(store)
    gone.observe(record())
    gone.observe(record(customer="unknown"))
    await gone.flush(NOW + 10)
    successor = book(store, "i-2")
    successor.observe(record())
    assert await counted(successor) == 2
    assert await counted(successor, NOW + 11) == 1


async def test_waiting_segments_are_bounded_and_malformed_ones_passed_over() -> None:
    store = FailingStore(["down"] * (MAX_PENDING_SEGMENTS + 5))
    counts = book(store)
    for number in range(MAX_PENDING_SEGMENTS + 5):
        counts.observe(record())
        await counts.flush(NOW + number)
    assert len(counts.pending()) == MAX_PENDING_SEGMENTS + 1
    store.value_by_key["burn/001800009999/x/000000"] = b"junk"
    await counts.flush(NOW)
    assert await counted(counts) == MAX_PENDING_SEGMENTS
