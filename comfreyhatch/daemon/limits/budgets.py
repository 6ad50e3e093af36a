"""Holds slices of customers' budgets; takes and returns them by transactions."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from time import monotonic, time

from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.budgets import BudgetLedger, Reservation, outage_allowance_micros
from comfreyhatch.domain.budget import (
    BudgetRow,
    SliceRow,
    budget_key,
    decode_budget,
    decode_slice,
    encode_row,
    slice_key,
)
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.journal import day_of
from comfreyhatch.errors import PlatformError, RefusedError
from comfreyhatch.ports.table import Insert, Operation, Row, Table, Update, WriteOutcome

MAX_COMMIT_ATTEMPTS = 6
CONFLICT_BACKOFF_S = 0.02
TABLE_RETRY_INTERVAL_S = 1.0
EXHAUSTED_RECHECK_INTERVAL_S = 10.0
MAX_RETAINED_DAYS = 2

log = logging.getLogger("comfreyhatch.budgets")


class _Account:
    """A ledger with the state of its rows; changes of the rows go one at a time."""

    def __init__(self, customer: str, day: str) -> None:
        self.customer = customer
        self.day = day
        self.ledger = BudgetLedger()
        self.sequence = 0
        self.lock = asyncio.Lock()
        self.table_retry_at = 0.0
        self.recheck_at = 0.0
        self.is_returned = False


class Budgets:
    """The accounts of one incarnation."""

    def __init__(
        self,
        table: Table,
        incarnation: str,
        members: Callable[[], int],
        registry: CollectorRegistry | None = None,
        clock: Callable[[], float] = monotonic,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self._table = table
        self._incarnation = incarnation
        self._members = members
        self._clock = clock
        self._wall_clock = wall_clock
        self._account_by_key: dict[tuple[str, str], _Account] = {}
        registry = registry or CollectorRegistry()
        self._slice_changes = Counter(
            "comfreyhatch_budget_slices", "Slices taken and returned.", ["kind"], registry=registry
        )
        self._outage_spent = Counter(
            "comfreyhatch_budget_outage_micros",
            "Spent outside of slices while budgets could not be read.",
            ["customer"],
            registry=registry,
        )

    async def reserve(self, contract: Contract, cost_micros: int) -> Reservation:
        """Hold the most that a request may cost.

        Raises:
            RefusedError: If the budget does not suffice or cannot be read.
        """
        account = self._account(contract.customer)
        if account.is_returned:
            raise RefusedError("the slice is returned", ResultCode.SHUTTING_DOWN)
        reservation = Reservation(contract.customer, account.day, cost_micros)
        if account.ledger.reserve(cost_micros):
            return reservation
        async with account.lock:
            if account.ledger.reserve(cost_micros):
                return reservation
            try:
                await self._take_slice(account, contract.budget_micros, cost_micros)
            except PlatformError:
                return self._reserve_in_outage(account, contract, cost_micros)
            if account.ledger.reserve(cost_micros):
                return reservation
        raise RefusedError("the budget of the day is spent", ResultCode.BUDGET_EXHAUSTED)

    def settle(self, reservation: Reservation, cost_micros: int) -> None:
        """Replace the amount held by what the request cost."""
        account = self._account_by_key.get((reservation.customer, reservation.day))
        if account is None:
            return
        account.ledger.settle(reservation, cost_micros)
        if reservation.in_outage:
            self._outage_spent.labels(reservation.customer).inc(cost_micros)

    async def return_unused(self) -> None:
        """Return what is left of all slices, as far as the table answers."""
        for account in self._account_by_key.values():
            account.is_returned = True
            unused = account.ledger.available_micros
            if unused <= 0:
                continue
            async with account.lock:
                try:
                    await self._change_slice(account, _constant(-unused))
                except PlatformError as error:
                    log.info(
                        "event=slice_not_returned customer=%s micros=%d reason=%r",
                        account.customer,
                        unused,
                        str(error),
                    )

    def spent_by_customer(self) -> dict[str, int]:
        """Return what this daemon spent today, by customer, in micros."""
        today = day_of(self._wall_clock())
        spent: defaultdict[str, int] = defaultdict(int)
        for (customer, day), account in self._account_by_key.items():
            if day == today:
                spent[customer] += account.ledger.spent_micros + account.ledger.outage_spent_micros
        return dict(spent)

    def _account(self, customer: str) -> _Account:
        day = day_of(self._wall_clock())
        account = self._account_by_key.get((customer, day))
        if account is None:
            account = _Account(customer, day)
            self._account_by_key[customer, day] = account
            self._drop_old_days()
        return account

    def _drop_old_days(self) -> None:
        kept = set(sorted({day for _, day in self._account_by_key})[-MAX_RETAINED_DAYS:])
        self._account_by_key = {k: a for k, a in self._account_by_key.items() if k[1] in kept}

    def _reserve_in_outage(
        self, account: _Account, contract: Contract, cost_micros: int
    ) -> Reservation:
        allowance = outage_allowance_micros(contract, self._members())
        if not account.ledger.reserve_in_outage(cost_micros, allowance):
            raise RefusedError(
                "the budget cannot be read and no slice is left",
                ResultCode.BUDGET_UNKNOWN,
                retry_after_s=TABLE_RETRY_INTERVAL_S,
            )
        cheapest = contract.on_budget_unknown == "cheapest"
        return Reservation(contract.customer, account.day, cost_micros, True, cheapest)

    async def _take_slice(self, account: _Account, budget_micros: int, need_micros: int) -> None:
        """Take a slice, if the budget has one left that is of use.

        Raises:
            PlatformError: If the table does not answer.
        """
        now = self._clock()
        if now < account.table_retry_at:
            raise PlatformError("the table did not answer a short while ago")
        if now < account.recheck_at:
            return

        def change_for(taken_micros: int) -> int:
            missing = need_micros - account.ledger.available_micros
            if missing <= 0:
                return 0
            remaining = budget_micros - taken_micros
            return account.ledger.next_slice_micros(missing, remaining, self._members(), now)

        try:
            taken = await self._change_slice(account, change_for)
        except PlatformError:
            account.table_retry_at = self._clock() + TABLE_RETRY_INTERVAL_S
            raise
        if not taken and account.ledger.available_micros < need_micros:
            account.recheck_at = self._clock() + EXHAUSTED_RECHECK_INTERVAL_S

    async def _change_slice(self, account: _Account, change_for: Callable[[int], int]) -> int:
        """Change what this incarnation has taken, and the ledger, by one transaction.

        Args:
            account: Account to change.
            change_for: Returns the change, given what all daemons have taken.

        Returns:
            The change.

        Raises:
            PlatformError: If the table does not answer. The change may take effect later; the
                next call finds that out.
        """
        budget = budget_key(account.customer, account.day)
        own = slice_key(account.customer, account.day, self._incarnation)
        sent_sequence, change = 0, 0
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            own_row = await self._table.read(own)
            self._apply_unanswered_change(account, own_row)
            if sent_sequence and account.sequence >= sent_sequence:
                return change
            budget_row = await self._table.read(budget)
            taken = decode_budget(budget_row.value).taken_micros if budget_row else 0
            change = change_for(taken)
            if not change:
                return 0
            sent_sequence = account.sequence + 1
            own_taken = decode_slice(own_row.value).taken_micros if own_row else 0
            operations = [
                _write_operation(budget, encode_row(BudgetRow(taken + change)), budget_row),
                _write_operation(
                    own, encode_row(SliceRow(sent_sequence, own_taken + change)), own_row
                ),
            ]
            if await self._table.commit(operations) is WriteOutcome.DONE:
                self._record_change(account, sent_sequence, change)
                return change
            await asyncio.sleep(CONFLICT_BACKOFF_S * attempt)
        raise PlatformError("the budget's row is contended or its writes are not answered")

    def _apply_unanswered_change(self, account: _Account, own_row: Row | None) -> None:
        """Take note of a change whose answer was lost."""
        row = decode_slice(own_row.value) if own_row else None
        if row and row.sequence > account.sequence:
            self._record_change(
                account, row.sequence, row.taken_micros - account.ledger.granted_micros
            )

    def _record_change(self, account: _Account, sequence: int, change_micros: int) -> None:
        account.sequence = sequence
        account.ledger.grant(change_micros, self._clock())
        self._slice_changes.labels("taken" if change_micros > 0 else "returned").inc()


def _constant(micros: int) -> Callable[[int], int]:
    return lambda _: micros


def _write_operation(key: str, value: bytes, row: Row | None) -> Operation:
    return Update(key, value, row.revision) if row else Insert(key, value)
