"""Membership: rules of the roster, and daemons that join, leave, pause and get cut off."""

import asyncio
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.daemon.members.peer_messages import Bye, Heartbeat
from comfreyhatch.decisions.membership import (
    MembershipTiming,
    Roster,
    ZoneReport,
    delegates,
    heartbeat_interval_s,
    incarnation_digest_of,
    members_digest,
)
from comfreyhatch.decisions.rendezvous import rendezvous_order, tree_children
from comfreyhatch.domain.instance import Address
from comfreyhatch.ports.peers import Member, MemoryNetwork

TIMING = MembershipTiming()
ZONE_SIZES = st.integers(1, 40)


class Clock:
    """Monotonic clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


NOW_MS = 1_000_000_000
JUMP_MS = 60_000


def member(number: int, zone: str = "a", incarnation: str = "1") -> Member:
    address = Address("127.0.0.1", 5000 + number)
    return Member(f"{zone}{number}", incarnation, zone, address, address)


operations = st.lists(
    st.one_of(
        st.tuples(st.just("hello"), st.integers(1, 5), st.sampled_from("12")),
        st.tuples(st.just("heartbeat"), st.integers(1, 5), st.sampled_from("12")),
        st.tuples(st.just("bye"), st.integers(1, 5), st.just("")),
        st.tuples(st.just("wait"), st.integers(1, 70), st.just("")),
    ),
    max_size=60,
)


@given(operations)
def test_view_has_exactly_the_peers_seen_within_the_timeout(
    steps: list[tuple[str, int, str]],
) -> None:
    roster, now = Roster(member(0), TIMING), 0.0
    seen_by_id: dict[str, tuple[float, str]] = {}
    for kind, number, incarnation in steps:
        peer = member(number, incarnation=incarnation)
        name = peer.instance_id
        if kind == "wait":
            now += number / 10
        elif kind == "hello":
            roster.add(peer, now)
            seen_by_id[name] = now, incarnation
        elif kind == "bye":
            assert roster.remove(name) == (seen_by_id.pop(name, None) is not None)
        else:
            known = roster.handle_heartbeat(name, incarnation_digest_of(peer), 1, 7, now)
            assert known == (seen_by_id.get(name, (0, ""))[1] == incarnation)
            if known:
                seen_by_id[name] = now, incarnation
        roster.expire(now)
        seen_by_id = {
            i: (at, inc) for i, (at, inc) in seen_by_id.items() if now - at <= TIMING.timeout_s
        }
        seen = {m.instance_id: m.incarnation for m in roster.view(()).in_zone("a")}
        assert seen == {"a0": "1", **{i: inc for i, (_, inc) in seen_by_id.items()}}
        assert roster.acknowledged(7) <= set(seen_by_id)


@given(ZONE_SIZES)
def test_heartbeat_rate_is_bounded_and_two_heartbeats_fit_in_the_timeout(peers: int) -> None:
    interval_s = heartbeat_interval_s(peers, TIMING)
    assert 2 * interval_s < TIMING.timeout_s
    # In larger zones the rate is exceeded, so that the heartbeats keep within the timeout.
    if peers <= 29:
        assert peers / interval_s <= TIMING.heartbeats_per_s + 0.01


@given(st.sets(st.integers(0, 40), min_size=3), st.data())
def test_delegates_change_only_when_one_of_them_leaves(
    numbers: set[int], data: st.DataObject
) -> None:
    members = [member(number) for number in numbers]
    chosen = delegates(members, "a")
    assert len(chosen) == 2
    gone = data.draw(st.sampled_from(members))
    left = delegates([m for m in members if m is not gone], "a")
    assert gone.instance_id not in left
    assert (left == chosen) == (gone.instance_id not in chosen)
    leaving = [replace(m, leaving=m is gone) for m in members]
    assert delegates(leaving, "a") == left


@given(st.lists(st.text(max_size=4), min_size=1, max_size=40, unique=True), st.integers(1, 5))
def test_notice_tree_reaches_every_daemon_once(names: list[str], fan: int) -> None:
    order = rendezvous_order("key", names)
    assert sorted(order) == sorted(names) and order == rendezvous_order("key", reversed(names))
    reached = [order[0]]
    for name in reached:
        children = tree_children(order, name, fan)
        assert len(children) <= fan
        reached += children
    assert reached == order


def test_older_report_replaces_a_newer_one_only_after_the_zone_timed_out() -> None:
    roster = Roster(member(0), TIMING)
    new, old = ZoneReport("b", 20, (member(1, "b"),)), ZoneReport("b", 10, (member(2, "b"),))
    assert roster.merge_report(new, 0.0)
    assert not roster.merge_report(old, 1.0)
    assert [m.instance_id for m in roster.view(()).in_zone("b")] == ["b1"]
    assert roster.refresh_zone("b", members_digest(new.members), 5.0)
    assert roster.expire(5.0 + TIMING.zone_timeout_s) == []
    assert roster.expire(5.1 + TIMING.zone_timeout_s) == ["b"]
    assert roster.view([member(3, "b")]).in_zone("b") == []
    assert roster.merge_report(old, 20.0)


class Zones:
    """Memberships of all daemons of some zones on one in-memory network; all are listed."""

    def __init__(self, sizes: dict[str, int]) -> None:
        self.clock = Clock()
        self.network = MemoryNetwork()
        self.node_by_id: dict[str, Membership] = {}
        self.listed: list[Member] = []
        members = [member(n, zone) for zone, size in sizes.items() for n in range(size)]
        self.listed = members
        for own in members:
            self.add(own)

    def add(self, own: Member) -> Membership:
        bus = self.network.join(own.instance_id)
        node = Membership(bus, own, (), lambda: self.listed, TIMING, self.clock)
        self.node_by_id[own.instance_id] = node
        return node

    async def run(self, seconds: float, without: str = "") -> None:
        for _ in range(round(seconds / TIMING.tick_s)):
            self.clock.now += TIMING.tick_s
            for name, node in self.node_by_id.items():
                if name != without:
                    await node.tick()
            for _ in range(8):
                await asyncio.sleep(0)

    def cut(self, separated: Callable[[str, str], bool]) -> None:
        names = self.node_by_id
        self.network.cut = {(a, b) for a in names for b in names if separated(a, b)}

    def seen_by(self, name: str) -> set[str]:
        return set(self.node_by_id[name].view.member_by_id)


async def test_all_daemons_see_each_other_and_agree_on_the_digest() -> None:
    zones = Zones({"a": 4, "b": 3})
    await zones.run(8)
    everyone = set(zones.node_by_id)
    assert all(zones.seen_by(name) == everyone for name in everyone)
    digests = {node.view_digest for name, node in zones.node_by_id.items() if name[0] == "a"}
    assert len(digests) == 1
    assert zones.node_by_id["a0"].acknowledged(digests.pop()) == {"a1", "a2", "a3"}


async def test_silent_daemon_is_removed_after_the_timeout_and_a_departed_one_at_once() -> None:
    zones = Zones({"a": 4})
    await zones.run(3)
    zones.listed = [m for m in zones.listed if m.instance_id not in ("a3", "a2")]
    await zones.node_by_id.pop("a2").depart()
    assert zones.seen_by("a0") == {"a0", "a1", "a3"}
    await zones.run(TIMING.timeout_s - 1, without="a3")
    assert "a3" in zones.seen_by("a0")
    await zones.run(2, without="a3")
    assert zones.seen_by("a0") == {"a0", "a1"}


async def test_leaving_flag_reaches_other_zones() -> None:
    """A leaving daemon tells its own zone; the zone's delegates report it to other zones."""
    zones = Zones({"a": 3, "b": 3})
    await zones.run(8)
    await zones.node_by_id["a1"].leave()
    await zones.run(3.5)
    for name in zones.node_by_id:
        assert zones.node_by_id[name].view.member_by_id["a1"].leaving, name


async def test_zones_cut_off_from_each_other_are_removed_and_return() -> None:
    zones = Zones({"a": 3, "b": 3})
    await zones.run(8)
    zones.cut(lambda a, b: a[0] != b[0])
    await zones.run(1.5 * TIMING.zone_timeout_s + 4)
    assert zones.seen_by("a0") == {"a0", "a1", "a2"}
    assert zones.seen_by("b0") == {"b0", "b1", "b2"}
    zones.cut(lambda a, b: False)
    await zones.run(8)
    assert zones.seen_by("a2") == set(zones.node_by_id)


async def test_paused_daemon_returns_as_a_new_incarnation() -> None:
    zones = Zones({"a": 3})
    await zones.run(3)
    paused = zones.node_by_id["a2"]
    pauses: list[str] = []
    paused.on_pause(lambda: pauses.append(paused.own.incarnation))
    zones.cut(lambda a, b: b == "a2")
    await zones.run(3, without="a2")
    zones.cut(lambda a, b: False)
    # A heartbeat of a peer reaches the paused daemon before the next tick of its own loop.
    await zones.run(0.5, without="a2")
    assert pauses == ["1.1"]
    await zones.run(1)
    assert zones.node_by_id["a0"].view.member_by_id["a2"].incarnation == "1.1"
    assert len(pauses) == 1 and zones.seen_by("a2") == {"a0", "a1", "a2"}


async def test_attachments_are_sent_with_heartbeats_unless_too_large() -> None:
    zones = Zones({"a": 2})
    received: list[tuple[str, bytes]] = []
    size = 3
    for node in zones.node_by_id.values():
        node.attach("load", lambda: b"x" * size, lambda peer, data: received.append((peer, data)))
    await zones.run(2)
    assert ("a0", b"xxx") in received and ("a1", b"xxx") in received
    received.clear()
    size = 10_000
    await zones.run(2)
    assert received == []


async def test_messages_of_unknown_daemons_change_nothing() -> None:
    zones = Zones({"a": 2})
    await zones.run(2)
    node, view = zones.node_by_id["a0"], zones.node_by_id["a0"].view
    unknown = zones.network.join("x9")
    await unknown.send("a0", Heartbeat(1, 99, 5))
    await unknown.send("a0", Bye())
    await zones.run(1)
    assert node.view == view and node.acknowledged(5) == frozenset()


def test_zone_report_is_taken_after_the_time_of_day_of_its_maker_was_set_back() -> None:
    roster = Roster(member(0), TIMING)
    ahead_ms, true_ms = NOW_MS + JUMP_MS, NOW_MS + 1000
    assert roster.merge_report(ZoneReport("b", ahead_ms, (member(1, "b"), member(2, "b"))), 0.0)
    assert roster.merge_report(ZoneReport("b", true_ms, (member(1, "b"),)), 1.0)
