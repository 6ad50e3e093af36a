"""The admission queue: length limit, order, reserved slots and early refusals."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from comfreyhatch.decisions.admission import (
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    AdmissionQueue,
    Ticket,
)


class AdmissionMachine(RuleBasedStateMachine):
    """Drives the queue with arbitrary orders of arrivals, starts, ends and slot changes."""

    @initialize(slots=st.integers(1, 6), reserved=st.integers(0, 3), bound=st.integers(1, 6))
    def start(self, slots: int, reserved: int, bound: int) -> None:
        self.queue = AdmissionQueue(slots, reserved, bound)
        self.now = 0.0
        self.number = 0
        self.waiting: dict[int, Ticket] = {}
        self.running: list[Ticket] = []

    @rule(critical=st.booleans(), priority=st.integers(0, 9), left=st.floats(-1, 20))
    def arrive(self, critical: bool, priority: int, left: float) -> None:
        self.number += 1
        ticket = Ticket(self.number, critical, priority, self.now + left, 0.1)
        waiting_noncritical = [t for t in self.waiting.values() if not t.critical]
        offer = self.queue.offer(ticket, self.now)
        if critical and not offer.admitted:
            assert left < 0.11 or (
                not waiting_noncritical and len(self.waiting) == self.queue.max_waiting
            )
        if offer.displaced:
            assert offer.displaced.rank() > ticket.rank()
            assert critical or not offer.displaced.critical
            del self.waiting[offer.displaced.number]
        if offer.admitted:
            self.waiting[ticket.number] = ticket

    @rule()
    def dispatch(self) -> None:
        critical_waits = any(t.critical for t in self.waiting.values())
        has_slot = self.queue.running < self.queue.slots
        ticket = self.queue.start_next()
        if critical_waits:
            assert bool(ticket) == has_slot
        if not ticket:
            return
        assert ticket.critical or not critical_waits
        assert ticket.rank() == min(t.rank() for t in self.waiting.values())
        del self.waiting[ticket.number]
        self.running.append(ticket)
        if not ticket.critical:
            other = sum(not t.critical for t in self.running)
            assert other <= self.queue.slots - self.queue.reserved

    @rule(took=st.floats(0, 5))
    def finish(self, took: float) -> None:
        if self.running:
            self.queue.finish(self.running.pop(0).critical, took)

    @rule(seconds=st.floats(0, 5))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for ticket in self.queue.expire(self.now):
            assert self.now + ticket.service_s > ticket.deadline
            del self.waiting[ticket.number]
        assert all(self.now + t.service_s <= t.deadline for t in self.waiting.values())

    @rule(slots=st.integers(0, 6))
    def change_slots(self, slots: int) -> None:
        self.queue.slots = slots

    @invariant()
    def counts_and_limit_hold(self) -> None:
        assert self.queue.waiting == len(self.waiting) <= self.queue.max_waiting
        assert self.queue.running == len(self.running)


AdmissionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
test_admission_machine = AdmissionMachine.TestCase


def test_request_that_cannot_meet_its_deadline_is_refused_with_a_jittered_retry_delay() -> None:
    queue = AdmissionQueue(slots=1, reserved=0, max_waiting=10)
    assert queue.offer(Ticket(1, False, 5, 100.0), 0.0).admitted
    assert queue.start_next()
    for number in range(2, 6):
        assert queue.offer(Ticket(number, False, 5, 100.0), 0.0).admitted
    assert queue.offer(Ticket(6, False, 5, 2.0), 0.0).admitted
    assert queue.offer(Ticket(7, False, 1, 3.0), 0.0).reason == "the deadline cannot be met"
    assert queue.offer(Ticket(8, True, 1, 3.0), 0.0).admitted
    waits = {queue.retry_after_s(Random(seed)) for seed in range(50)}
    assert len(waits) > 40
    assert all(RETRY_AFTER_MIN_S <= wait <= 1.5 * RETRY_AFTER_MAX_S for wait in waits)


def test_withdrawn_ticket_leaves_the_queue() -> None:
    queue = AdmissionQueue(slots=0, reserved=0, max_waiting=1)
    assert queue.offer(Ticket(1, True, 5, 9.0), 0.0).admitted
    assert queue.withdraw(1) and not queue.withdraw(1)
    assert queue.waiting == 0
