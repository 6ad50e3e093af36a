"""Tests of the burn store: counts survive their daemon and are neither lost nor counted twice."""

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
def small_list_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("comfreyhatch.daemon.history.burn_store.LIST_PAGE_KEYS", 3)


class FailingStore(MemoryObjectStore):
    """An object store with injected faults.

    Attributes:
        states: Results of the next writes: "up", "down" (an error), "answer lost" (takes effect,
            outcome unknown) or "write lost" (no effect, outcome unknown). Later writes succeed.
    """

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


def burn_store(store: MemoryObjectStore, incarnation: str = "i-1") -> BurnStore:
    return BurnStore(store, incarnation, lambda: CONTRACTS, frozenset)


def record(at_unix_s: float = NOW, customer: str = "c") -> RequestRecord:
    return RequestRecord("r", customer, at_unix_s, "d", "i", 1, "service", code=ResultCode.OK)


async def counted(counts: BurnStore, since_unix_s: float = NOW - 1) -> int:
    """Return the requests counted since a time, in stored and pending segments."""
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
async def test_store_failures_neither_lose_nor_double_counts(
    steps: list[str], states: list[str]
) -> None:
    store = FailingStore(states)
    counts = burn_store(store)
    for number, step in enumerate(steps):
        if step == "request":
            counts.observe(record())
        else:
            await counts.flush(NOW + number)
        assert await counted(counts) == steps[: number + 1].count("request")


async def test_counts_survive_their_daemon() -> None:
    store = MemoryObjectStore()
    ended = burn_store(store)
    ended.observe(record())
    ended.observe(record(customer="unknown"))
    await ended.flush(NOW + 10)
    successor = burn_store(store, "i-2")
    successor.observe(record())
    assert await counted(successor) == 2
    assert await counted(successor, NOW + 11) == 1


async def test_pending_segments_are_bounded_and_malformed_segments_skipped() -> None:
    store = FailingStore(["down"] * (MAX_PENDING_SEGMENTS + 5))
    counts = burn_store(store)
    for number in range(MAX_PENDING_SEGMENTS + 5):
        counts.observe(record())
        await counts.flush(NOW + number)
    assert len(counts.pending()) == MAX_PENDING_SEGMENTS + 1
    store.value_by_key["burn/001800009999/x/000000"] = b"junk"
    await counts.flush(NOW)
    assert await counted(counts) == MAX_PENDING_SEGMENTS
