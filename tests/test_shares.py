"""Shares of an endpoint's limit: never above the limit, the whole limit after faults end."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from msgspec import Struct

from comfreyhatch.decisions.shares import (
    JoinAnswer,
    JoinRequest,
    LeaveNotice,
    Peer,
    ShareGroup,
    rank_key,
    slots_of_rank,
)

NAMES = ("a", "b", "c")
ENDPOINT = "engine-1"
HOLD_S = 5.0
PEERS = [Peer(f"daemon-{number}", "1") for number in range(7)]


@given(st.integers(0, 40), st.sets(st.sampled_from(PEERS), min_size=1), st.data())
def test_shares_of_different_supersets_never_exceed_the_limit(
    limit: int, active: set[Peer], data: st.DataObject
) -> None:
    extra = st.sets(st.sampled_from(PEERS))
    total = 0
    for me in active:
        counted = active | data.draw(extra)
        rank = sum(rank_key(ENDPOINT, p) < rank_key(ENDPOINT, me) for p in counted)
        total += slots_of_rank(limit, len(counted), rank)
    assert total <= limit
    total_slots = sum(slots_of_rank(limit, len(active), rank) for rank in range(len(active)))
    assert total_slots == limit


class Process:
    """A daemon that shares one endpoint; its state is lost when it ends."""

    def __init__(self, name: str, incarnation: int, limit: int, now: float) -> None:
        self.peer = Peer(name, str(incarnation))
        self.group = ShareGroup(self.peer, now, HOLD_S)
        self.group.discover([other for other in NAMES if other != name], complete=True)
        self.limit = limit
        self.paused = False
        self.peaks: list[int] = []

    def in_flight(self) -> dict[str, int]:
        return {ENDPOINT: len(self.peaks)}


class Message(Struct):
    recipient: str
    asked: Peer
    body: JoinRequest | JoinAnswer | LeaveNotice


class ShareMachine(RuleBasedStateMachine):
    """Starts, kills, pauses, leaves, and lost, duplicate and delayed messages in any order.

    Requests of a killed daemon keep running at the endpoint as orphans until the hold-down ends.
    For each request the largest limit known to any daemon since its dispatch is recorded (peak).
    """

    changing_limits = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limit = 4
        self.busy = True
        self.process_by_name: dict[str, Process] = {}
        self.started: Counter[str] = Counter()
        self.messages: list[Message] = []
        self.orphans: list[tuple[float, int]] = []

    def running(self) -> list[Process]:
        return [p for p in self.process_by_name.values() if not p.paused]

    @initialize(names=st.sets(st.sampled_from(NAMES)))
    def start_active(self, names: set[str]) -> None:
        """Start with daemons that are active already."""
        for name in sorted(names):
            self.start(name)
        self.heal()

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        if name not in self.process_by_name:
            self.started[name] += 1
            process = Process(name, self.started[name], self.limit, self.now)
            self.process_by_name[name] = process

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        process = self.process_by_name.pop(name, None)
        if process:
            self.orphans += [(self.now + HOLD_S, peak) for peak in process.peaks]

    @rule(name=st.sampled_from(NAMES), paused=st.booleans())
    def pause(self, name: str, paused: bool) -> None:
        if name in self.process_by_name:
            self.process_by_name[name].paused = paused

    @precondition(lambda self: self.process_by_name)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        process = data.draw(st.sampled_from(list(self.process_by_name.values())))
        if not process.paused and not process.peaks:
            notice = process.group.leave()
            del self.process_by_name[process.peer.instance_id]
            for peer in process.group.state_by_peer:
                self.messages.append(Message(peer.instance_id, peer, notice))

    @rule()
    def ask(self) -> None:
        for process in self.running():
            for peer in process.group.peers_to_ask():
                body = JoinRequest(process.peer)
                self.messages.append(Message(peer.instance_id, peer, body))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), fate=st.sampled_from(["deliver", "deliver", "duplicate", "lose"]))
    def message(self, data: st.DataObject, fate: str) -> None:
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index]
        recipient = self.process_by_name.get(message.recipient)
        if recipient and recipient.paused and fate != "lose":
            return
        if fate != "duplicate":
            del self.messages[index]
        if recipient and fate != "lose":
            self.deliver(recipient, message)

    def deliver(self, recipient: Process, message: Message) -> None:
        match message.body:
            case JoinRequest() as request:
                limits = {ENDPOINT: recipient.limit}
                answer = recipient.group.handle_join(request, limits, recipient.in_flight())
                self.messages.append(Message(request.sender.instance_id, message.asked, answer))
            case JoinAnswer() as answer:
                recipient.group.handle_answer(answer, message.asked, self.now)
            case LeaveNotice() as notice:
                recipient.group.handle_leave(notice, self.now)

    @rule(name=st.sampled_from(NAMES))
    def probe(self, name: str) -> None:
        """A refused connection confirms that no process of the instance runs."""
        process = self.process_by_name.get(name)
        if process and not process.paused:
            for peer in list(process.group.state_by_peer):
                if peer.instance_id not in self.process_by_name:
                    process.group.handle_end(peer, self.now)

    @rule(reached=st.sets(st.sampled_from(NAMES), min_size=2), reverse=st.booleans())
    def exchange(self, reached: set[str], reverse: bool) -> None:
        """Some daemons exchange requests and answers; older messages remain undelivered."""
        delayed, self.messages = self.messages, []
        self.ask()
        while self.messages:
            message = self.messages.pop(-1 if reverse else 0)
            recipient = self.process_by_name.get(message.recipient)
            if recipient and message.recipient in reached and not recipient.paused:
                self.deliver(recipient, message)
        self.messages = delayed

    @rule(busy=st.booleans())
    def set_busy(self, busy: bool) -> None:
        self.busy = busy

    def fill(self) -> None:
        """Use each free slot at once, as busy callers do."""
        for process in self.running():
            slots = process.group.slots(ENDPOINT, process.limit)
            for _ in range(slots - len(process.peaks)):
                process.peaks.append(max(p.limit for p in self.process_by_name.values()))

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 4))
    def finish(self, name: str, count: int) -> None:
        if name in self.process_by_name:
            del self.process_by_name[name].peaks[:count]

    @rule(step=st.sampled_from([1.0, HOLD_S]))
    def tick(self, step: float) -> None:
        self.now += step
        self.orphans = [orphan for orphan in self.orphans if orphan[0] > self.now]
        for process in self.running():
            process.group.expire(self.now)

    @precondition(lambda self: self.changing_limits and self.process_by_name)
    @rule(limit=st.integers(0, 9), informed=st.sets(st.sampled_from(NAMES), min_size=1))
    def change_limit(self, limit: int, informed: set[str]) -> None:
        self.limit = limit
        for process in self.running():
            if process.peer.instance_id in informed:
                process.limit = limit
        known = max(p.limit for p in self.process_by_name.values())
        for process in self.process_by_name.values():
            process.peaks = [max(peak, known) for peak in process.peaks]
        self.orphans = [(until, max(peak, known)) for until, peak in self.orphans]

    @invariant()
    def never_above_the_limit(self) -> None:
        if self.busy:
            self.fill()
        peaks = [peak for process in self.process_by_name.values() for peak in process.peaks]
        peaks += [peak for _, peak in self.orphans]
        if peaks:
            assert len(peaks) <= max(peaks)

    def heal(self) -> None:
        for _ in range(4):
            for name in self.process_by_name:
                self.probe(name)
            self.exchange(set(NAMES), reverse=False)
            self.tick(HOLD_S)

    def teardown(self) -> None:
        """After the faults end all daemons become active and use the whole limit."""
        for process in self.process_by_name.values():
            process.paused = False
            process.limit = self.limit
            process.peaks.clear()
        self.heal()
        groups = [process.group for process in self.process_by_name.values()]
        assert [group.active for group in groups] == [True] * len(groups)
        if groups:
            assert sum(group.slots(ENDPOINT, self.limit) for group in groups) == self.limit


class ChangingLimitMachine(ShareMachine):
    changing_limits = True


TestConstantLimit = ShareMachine.TestCase
TestConstantLimit.settings = settings(max_examples=250, stateful_step_count=30)
TestChangingLimit = ChangingLimitMachine.TestCase
TestChangingLimit.settings = settings(max_examples=150, stateful_step_count=30)


def test_newcomer_gets_no_slots_until_excess_requests_of_members_end() -> None:
    old, new = Process("a", 1, 4, 0.0), Process("b", 1, 4, 0.0)
    for name in NAMES[1:]:
        old.group.handle_end(Peer(name), 0.0)
    old.group.expire(HOLD_S)
    assert old.group.slots(ENDPOINT, 4) == 4
    answer = old.group.handle_join(JoinRequest(new.peer), {ENDPOINT: 4}, {ENDPOINT: 4})
    new.group.handle_end(Peer("c"), 0.0)
    new.group.handle_answer(answer, Peer("a"), 0.0)
    assert new.group.active
    assert (old.group.slots(ENDPOINT, 4), new.group.slots(ENDPOINT, 4)) == (2, 0)
    drained = old.group.handle_join(JoinRequest(new.peer), {ENDPOINT: 4}, {ENDPOINT: 2})
    new.group.handle_answer(drained, Peer("a"), 0.0)
    new.group.handle_answer(answer, Peer("a"), 0.0)
    assert new.group.slots(ENDPOINT, 4) == 2


def test_shares_of_partitioned_members_do_not_grow() -> None:
    left, right = Process("a", 1, 4, 0.0), Process("b", 1, 4, 0.0)
    for process, other in ((left, right), (right, left)):
        process.group.discover([other.peer.instance_id], complete=True)
        process.group.handle_end(Peer("c"), 0.0)
    for process, other in ((left, right), (right, left)):
        answer = other.group.handle_join(JoinRequest(process.peer), {}, {})
        process.group.handle_answer(answer, Peer(other.peer.instance_id), 0.0)
    for process in (left, right):
        process.group.expire(1000.0)
    assert [p.group.slots(ENDPOINT, 4) for p in (left, right)] == [2, 2]


@pytest.mark.parametrize("source", ["refused answer", "end notice"])
def test_member_declared_ended_stops_and_requires_a_new_incarnation(source: str) -> None:
    process = Process("a", 1, 4, 0.0)
    for name in NAMES[1:]:
        process.group.handle_end(Peer(name), 0.0)
    process.group.expire(HOLD_S)
    assert process.group.active
    if source == "end notice":
        process.group.handle_end(process.peer, HOLD_S)
    else:
        refusal = JoinAnswer(Peer("b", "1"), process.peer, 1, True, (), refused=True)
        process.group.handle_answer(refusal, Peer("b", "1"), HOLD_S)
    assert process.group.slots(ENDPOINT, 4) == 0 and process.group.must_restart


def only_member(name: str) -> Process:
    process = Process(name, 1, 4, 0.0)
    for other in NAMES:
        process.group.handle_end(Peer(other), 0.0)
    process.group.expire(HOLD_S)
    return process


def test_answer_to_an_earlier_incarnation_is_ignored() -> None:
    old, new = only_member("a"), Process("b", 2, 4, 0.0)
    late = old.group.handle_join(JoinRequest(Peer("b", "1")), {}, {})
    new.group.handle_end(Peer("c"), 0.0)
    new.group.handle_answer(late, Peer("a"), 0.0)
    assert not new.group.active and Peer("a") in new.group.peers_to_ask()


def test_newcomer_learns_of_an_earlier_newcomer_from_a_common_member() -> None:
    old, late = only_member("a"), Process("c", 1, 4, 0.0)
    late.group.handle_end(Peer("b"), 0.0)
    old.group.handle_join(JoinRequest(Peer("b", "1")), {}, {})
    answer = old.group.handle_join(JoinRequest(late.peer), {}, {})
    late.group.handle_answer(answer, Peer("a"), 0.0)
    assert not late.group.active and late.group.peers_to_ask() == [Peer("b", "1")]
