"""Tests of budgets: bounds on spending over daemons, lost answers, late writes and outages."""

import asyncio
from collections.abc import AsyncIterator
from typing import Literal

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.limits import budgets as budgets_module
from comfreyhatch.daemon.limits.budgets import Budgets
from comfreyhatch.decisions.budgets import (
    CHEAPEST_BUDGET_DIVISOR,
    BudgetLedger,
    Reservation,
    all_but_cheapest,
    max_cost_micros,
    outage_allowance_micros,
)
from comfreyhatch.domain.budget import budget_key, decode_budget
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.request import ChatMessage, ChatRequest
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import PlatformError, RefusedError
from comfreyhatch.ports.table import MemoryTable, Operation, Row, WriteOutcome
from comfreyhatch.standins.fleet import CONTRACT, FleetPlan, LocalFleet
from tests.calls import chat, error_of

DAEMON_COUNT = 3
BUDGET_MICROS = 2000
NOON_S = 43200.0
OnUnknown = Literal["refuse", "cheapest", "cap"]


class FaultyTable(MemoryTable):
    """A table whose commits are applied at once, late or never, and may lose their answers.

    Attributes:
        down: Whether each access fails.
        fates: What happens to the next commits: "ok", "lost" (answer lost), "late" or "vanished".
        late: Commits that a test applies later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.fates: list[str] = []
        self.late: list[list[Operation]] = []
        self.writes = 0
        self.reads = 0

    async def read(self, key: str) -> Row | None:
        if self.down:
            raise PlatformError("down")
        self.reads += 1
        return await super().read(key)

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        if self.down:
            raise PlatformError("down")
        fate = self.fates.pop(0) if self.fates else "ok"
        if fate in ("late", "vanished"):
            self.late += [operations] if fate == "late" else []
            return WriteOutcome.UNKNOWN
        self.writes += 1
        outcome = self.commit_now(operations)
        return WriteOutcome.UNKNOWN if fate == "lost" else outcome


def make_contract(on_unknown: OnUnknown, budget: int = BUDGET_MICROS) -> Contract:
    return Contract(
        "trackline", budget_micros=budget, on_budget_unknown=on_unknown, outage_cap_micros=70
    )


def make_budgets(table: FaultyTable, name: str, now: list[float]) -> Budgets:
    return Budgets(
        table, name, lambda: DAEMON_COUNT, clock=lambda: now[0], wall_clock=lambda: NOON_S
    )


ACTIONS = ["spend"] * 12 + ["settle"] * 8 + ["late", "outage", "restart", "return", "wait"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, DAEMON_COUNT - 1),
        st.integers(1, 60),
        st.lists(st.sampled_from(["ok", "ok", "lost", "late", "vanished"]), max_size=4),
    ),
    max_size=120,
)


@settings(max_examples=200)
@given(STEPS, st.sampled_from(["refuse", "cheapest", "cap"]))
def test_spending_never_exceeds_the_budget_and_the_outage_allowances(
    steps: list[tuple[str, int, int, list[str]]], on_unknown: OnUnknown
) -> None:
    asyncio.run(run_steps(steps, on_unknown))


async def run_steps(steps: list[tuple[str, int, int, list[str]]], on_unknown: OnUnknown) -> None:
    table, now, contract = FaultyTable(), [0.0], make_contract(on_unknown)
    daemons = [make_budgets(table, f"d{i}", now) for i in range(DAEMON_COUNT)]
    held: list[tuple[int, Reservation]] = []
    spent = 0
    starts = DAEMON_COUNT
    for action, index, cost, fates in steps:
        table.fates = list(fates)
        match action:
            case "spend":
                try:
                    held.append((index, await daemons[index].reserve(contract, cost)))
                except RefusedError as error:
                    assert error.ran is Ran.NO
            case "settle" if held:
                owner, reservation = held.pop(0)
                actual = min(cost, reservation.cost_micros)
                daemons[owner].settle(reservation, actual)
                spent += actual
            case "late" if table.late:
                table.commit_now(table.late.pop(0))
            case "outage":
                table.down = not table.down
            case "return" | "restart":
                if action == "return":
                    await daemons[index].return_unused()
                # Requests that still run then count at their maximum cost.
                spent += sum(r.cost_micros for owner, r in held if owner == index)
                held = [(owner, r) for owner, r in held if owner != index]
                daemons[index] = make_budgets(table, f"d{index}-{starts}", now)
                starts += 1
            case "wait":
                now[0] += 30.0
    reserved = sum(reservation.cost_micros for _, reservation in held)
    allowance = outage_allowance_micros(contract, DAEMON_COUNT)
    assert spent + reserved <= BUDGET_MICROS + starts * allowance
    row = table.row_by_key.get(budget_key("trackline", "1970-01-01"))
    assert row is None or 0 <= decode_budget(row.value).granted_micros <= BUDGET_MICROS


@pytest.fixture(autouse=True, scope="module")
def no_backoff() -> object:
    saved, budgets_module.CONFLICT_BACKOFF_S = budgets_module.CONFLICT_BACKOFF_S, 0.0
    yield
    budgets_module.CONFLICT_BACKOFF_S = saved


async def refusal_code(budgets: Budgets, contract: Contract, cost: int) -> ResultCode:
    with pytest.raises(RefusedError) as caught:
        await budgets.reserve(contract, cost)
    return caught.value.code


async def test_in_an_outage_the_slice_is_spent_first_and_then_the_contract_decides() -> None:
    for on_unknown in ("refuse", "cheapest", "cap"):
        table, now = FaultyTable(), [0.0]
        budgets = make_budgets(table, "d0", now)
        contract = make_contract(on_unknown)
        budgets.settle(await budgets.reserve(contract, 10), 10)
        granted = decode_budget(table.row_by_key[budget_key("trackline", "1970-01-01")].value)
        table.down = True
        for _ in range(granted.granted_micros // 10 - 1):
            budgets.settle(await budgets.reserve(contract, 10), 10)
        spent_in_outage = 0
        try:
            while reservation := await budgets.reserve(contract, 10):
                assert reservation.cheapest_only == (on_unknown == "cheapest")
                budgets.settle(reservation, 10)
                spent_in_outage += 10
        except RefusedError as error:
            assert error.code is ResultCode.BUDGET_UNKNOWN
        cheapest = BUDGET_MICROS // (CHEAPEST_BUDGET_DIVISOR * DAEMON_COUNT) // 10 * 10
        assert spent_in_outage == {"refuse": 0, "cheapest": cheapest, "cap": 70}[on_unknown]
        table.down, now[0] = False, 60.0
        with pytest.raises(RefusedError):
            while reservation := await budgets.reserve(contract, 10):
                budgets.settle(reservation, 10)
        # The spending of the outage is charged to the budget afterwards.
        assert BUDGET_MICROS - 10 <= budgets.spent_by_customer()["trackline"] <= BUDGET_MICROS


async def test_the_whole_budget_can_be_spent_and_unused_slices_are_returned() -> None:
    table, now = FaultyTable(), [0.0]
    one, two = make_budgets(table, "d0", now), make_budgets(table, "d1", now)
    contract = make_contract("refuse")
    await one.reserve(contract, 10)
    table.fates = ["lost"]
    await one.return_unused()
    assert await refusal_code(one, contract, 1) is ResultCode.SHUTTING_DOWN
    for _ in range((BUDGET_MICROS - 10) // 10):
        two.settle(await two.reserve(contract, 10), 10)
    assert await refusal_code(two, contract, 10) is ResultCode.BUDGET_EXHAUSTED
    reads = table.reads
    assert await refusal_code(two, contract, 10) is ResultCode.BUDGET_EXHAUSTED
    assert table.reads == reads


async def test_slices_grow_with_the_rate_of_spending_to_limit_the_writes() -> None:
    table, now = FaultyTable(), [0.0]
    budgets = make_budgets(table, "d0", now)
    contract = make_contract("refuse", budget=300_000)
    for _ in range(20_000):
        budgets.settle(await budgets.reserve(contract, 20), 10)
        now[0] += 0.03
    assert table.writes <= 20


@given(st.text(max_size=40), st.integers(1, 400), st.integers(0, 10_000))
def test_max_cost_counts_at_least_one_token_per_byte(
    text: str, max_tokens: int, price: int
) -> None:
    version = Version("m", "1", input_price=price, output_price=price)
    cost = max_cost_micros(version, [ChatMessage("user", text)], max_tokens)
    assert cost * 1000 >= price * (len(text.encode()) + max_tokens)


@given(st.lists(st.integers(1, 9), min_size=1, max_size=5, unique=True), st.integers(0, 4))
def test_only_the_cheapest_of_the_requested_versions_remains(prices: list[int], at: int) -> None:
    versions = [
        Version(f"m{price % 2}", str(price), price * 1000, price * 1000) for price in prices
    ]
    model = versions[at].model if at < len(versions) else ""
    call = ChatRequest("r", "trackline", (ChatMessage("user", "q"),), model=model)
    wanted = [v for v in versions if model in ("", v.model)]
    left = {v.version_id for v in versions} - all_but_cheapest(versions, call)
    assert left == {min(wanted, key=lambda v: v.output_price).version_id}


def test_a_slice_leaves_a_part_of_the_budget_to_other_daemons() -> None:
    ledger = BudgetLedger()
    assert ledger.next_slice_micros(10, 10_000, 1, 0.0) == 625
    assert ledger.next_slice_micros(10, 1000, 1, 0.0) == 80
    assert ledger.next_slice_micros(10, 400, 10, 0.0) == 10
    assert ledger.next_slice_micros(10, 9, 1, 0.0) == 0


@pytest.fixture
async def fleet() -> AsyncIterator[LocalFleet]:
    contract = replace(CONTRACT, budget_micros=100, on_budget_unknown="refuse")
    plan = FleetPlan(zones=("a",), engine_zones=("a",), service_zones=(), contracts=(contract,))
    async with LocalFleet(plan) as running:
        yield running


async def test_requests_over_the_budget_are_refused_without_running(fleet: LocalFleet) -> None:
    client = HttpClient()
    replies = [await chat(client, fleet.callers("entry-a0"), max_tokens=6) for _ in range(12)]
    client.close()
    answered = [reply for reply in replies if reply.status == 200]
    last = error_of(replies[-1])
    assert (last["code"], last["ran"]) == (ResultCode.BUDGET_EXHAUSTED, "no")
    ids = fleet.engine_by_id["engine-a0"].witness.run_count_by_id
    refused_ids = {r.header_by_name["x-request-id"] for r in replies if r.status != 200}
    assert refused_ids and not refused_ids & ids.keys()
    spent = fleet.daemon_by_id["entry-a0"].budgets.spent_by_customer()["trackline"]
    assert answered and 0 < spent <= 100
