"""Slices of customers' daily budgets, taken and returned by transactions on the table.

A request reserves its maximum cost from a slice before it is dispatched, and settles its actual
cost at the end, so that spending stays within the slices and these within the budget.
"""

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
# Linear back-off: multiplied by the number of the attempt.
CONFLICT_BACKOFF_S = 0.02
# After a failed access to the table, none is tried for this time.
TABLE_RETRY_INTERVAL_S = 1.0
# Another daemon may return a slice, so an exhausted budget is checked again.
EXHAUSTED_RECHECK_INTERVAL_S = 10.0
# Requests reserved before midnight settle on the account of the day before.
MAX_RETAINED_DAYS = 2

log = logging.getLogger("comfreyhatch.budgets")


class _Account:
    """A customer's ledger of one day, with the state of its rows in the table.

    Attributes:
        customer: The customer.
        day: Day of the budget.
        ledger: Slices taken, and what is reserved and spent of them.
        sequence: Sequence number of the last change of this incarnation's row that is recorded
            in the ledger.
        lock: Held while the rows are changed.
        table_retry_at: Monotonic time before which the table is not accessed again, in seconds.
        recheck_at: Monotonic time before which the budget counts as exhausted, in seconds.
        is_returned: Whether the unused rest was given back, so that nothing more is reserved.
    """

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
    """The budget accounts of this daemon's incarnation."""

    def __init__(
        self,
        table: Table,
        incarnation: str,
        members: Callable[[], int],
        registry: CollectorRegistry | None = None,
        clock: Callable[[], float] = monotonic,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        """Create it without accounts.

        Args:
            table: Table with the rows of budgets and slices.
            incarnation: Incarnation of this daemon, which names its rows.
            members: Returns the number of live daemons.
            registry: Registry of the metrics.
            clock: Returns monotonic time, in seconds.
            wall_clock: Returns Unix time, in seconds.
        """
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
        """Reserve the maximum cost of a request; take another slice if need be.

        Args:
            contract: Contract of the customer that pays.
            cost_micros: Maximum cost of the request.

        Raises:
            RefusedError: If the budget of the day does not suffice, if the table does not answer
                and the contract allows no more spending meanwhile, or if this daemon has returned
                its slices.
        """
        account = self._account(contract.customer)
        if account.is_returned:
            raise RefusedError(
                "the daemon is shutting down and has returned its budget", ResultCode.SHUTTING_DOWN
            )
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
        raise RefusedError("the budget of the day is exhausted", ResultCode.BUDGET_EXHAUSTED)

    def settle(self, reservation: Reservation, cost_micros: int) -> None:
        """Replace a reservation by the actual cost of the request."""
        account = self._account_by_key.get((reservation.customer, reservation.day))
        if account is None:
            return
        account.ledger.settle(reservation, cost_micros)
        if reservation.in_outage:
            self._outage_spent.labels(reservation.customer).inc(cost_micros)

    async def return_unused(self) -> None:
        """Give the unused rest of all slices back to the budgets and reserve nothing more.

        A slice that cannot be returned because the table does not answer is logged.
        """
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
        """Return what each customer spent at this daemon today, in micros."""
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
        """Take a slice, unless the rest of the budget is smaller than what is needed.

        Args:
            account: Account that the slice is for.
            budget_micros: Budget of the day.
            need_micros: Amount to be reserved.

        Raises:
            PlatformError: If the table does not answer, or is not accessed because it did not
                answer less than `TABLE_RETRY_INTERVAL_S` ago.
        """
        now = self._clock()
        if now < account.table_retry_at:
            raise PlatformError("the table did not answer; it is not accessed again yet")
        if now < account.recheck_at:
            return

        def change_for(granted_micros: int) -> int:
            missing = need_micros - account.ledger.available_micros
            if missing <= 0:
                return 0
            remaining = budget_micros - granted_micros
            return account.ledger.next_slice_micros(missing, remaining, self._members(), now)

        try:
            taken = await self._change_slice(account, change_for)
        except PlatformError:
            account.table_retry_at = self._clock() + TABLE_RETRY_INTERVAL_S
            raise
        if not taken and account.ledger.available_micros < need_micros:
            account.recheck_at = self._clock() + EXHAUSTED_RECHECK_INTERVAL_S

    async def _change_slice(self, account: _Account, change_for: Callable[[int], int]) -> int:
        """Change the amount that this incarnation has taken, by a transaction and in the ledger.

        The sequence number of the own row tells a transaction that was committed without an
        answer from one that was lost, so that no change is made twice.

        Args:
            account: Account to change.
            change_for: Returns the change in micros, given what all daemons have taken; 0 for
                none.

        Returns:
            The change made, in micros.

        Raises:
            PlatformError: If the table does not answer or all attempts conflict. The change may
                still be committed later; the next call detects that.
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
            taken = decode_budget(budget_row.value).granted_micros if budget_row else 0
            change = change_for(taken)
            if not change:
                return 0
            sent_sequence = account.sequence + 1
            own_taken = decode_slice(own_row.value).granted_micros if own_row else 0
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
        raise PlatformError("all attempts to write the budget's row conflicted or went unanswered")

    def _apply_unanswered_change(self, account: _Account, own_row: Row | None) -> None:
        """Record an earlier change that was committed without an answer."""
        row = decode_slice(own_row.value) if own_row else None
        if row and row.sequence > account.sequence:
            self._record_change(
                account, row.sequence, row.granted_micros - account.ledger.granted_micros
            )

    def _record_change(self, account: _Account, sequence: int, change_micros: int) -> None:
        account.sequence = sequence
        account.ledger.grant(change_micros, self._clock())
        self._slice_changes.labels("taken" if change_micros > 0 else "returned").inc()


def _constant(micros: int) -> Callable[[int], int]:
    return lambda _: micros


def _write_operation(key: str, value: bytes, row: Row | None) -> Operation:
    return Update(key, value, row.revision) if row else Insert(key, value)
