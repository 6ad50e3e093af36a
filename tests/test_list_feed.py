"""The instance list: deltas and digests, and its distribution in a zone by a relay."""

import asyncio
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.list_feed import MAX_ROWS_PER_NOTICE, ROWS_PER_PAGE, ListFeed
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.daemon.members.peer_messages import ListNotice
from comfreyhatch.decisions.configuration import relay_order
from comfreyhatch.decisions.listing import apply_delta, delta_between, list_digest
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import Member, MemoryNetwork

ADDRESS = Address("127.0.0.1", 1)
ENGINE = Instance("engine-1", Role.ENGINE, "a", ADDRESS)

states = st.dictionaries(st.sampled_from("pqrstu"), st.booleans())


def rows_of(state: dict[str, bool]) -> list[Instance]:
    return [replace(ENGINE, instance_id=i, leaving=leaving) for i, leaving in state.items()]


@given(st.lists(states, min_size=1, max_size=6))
def test_deltas_turn_one_state_into_the_next_and_digests_differ_with_the_states(
    history: list[dict[str, bool]],
) -> None:
    row_by_id: dict[str, Instance] = {}
    digest = 0
    for state in history:
        rows = rows_of(state)
        delta = delta_between(row_by_id, digest, rows)
        same = row_by_id == {row.instance_id: row for row in rows}
        assert (
            (delta.base_digest == delta.new_digest)
            == same
            == (not delta.rows and not delta.removed)
        )
        row_by_id = apply_delta(row_by_id, delta)
        digest = delta.new_digest
        assert row_by_id == {row.instance_id: row for row in rows}
        assert digest == list_digest(rows)


class FakeList:
    """The platform's list; `down` makes it unavailable to one daemon."""

    def __init__(self, rows: dict[str, Instance]) -> None:
        self.rows = rows
        self.reads = 0
        self.down = False

    async def instances(self) -> list[Instance]:
        self.reads += 1
        if self.down:
            raise PlatformError("the list is down")
        return list(self.rows.values())

    async def announce(self, instance: Instance) -> None:
        if self.down:
            raise PlatformError("the list is down")
        self.rows[instance.instance_id] = instance


class Zone:
    """Daemons of one zone with their feeds, on an in-memory network."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.network = MemoryNetwork()
        self.rows: dict[str, Instance] = {"engine-1": ENGINE}
        # Instance list, directory, membership and feed of each daemon, by its name.
        self.components_by_name: dict[
            str, tuple[FakeList, InstanceDirectory, Membership, ListFeed]
        ] = {}
        for number in range(size):
            self.add(f"a{number}")

    def add(self, name: str) -> InstanceDirectory:
        control = Address("127.0.0.1", 2 + len(self.components_by_name))
        source = FakeList(self.rows)
        own = Instance(name, Role.DAEMON, "a", control, control)
        directory = InstanceDirectory(source, own)
        bus = self.network.join(name)
        member = Member(name, name, "a", control, control)
        seeds = (Address("127.0.0.1", 2),)
        membership = Membership(
            bus, member, seeds, lambda: directory.members, clock=lambda: self.now
        )
        feed = ListFeed(directory, bus, membership, clock=lambda: self.now)
        self.components_by_name[name] = source, directory, membership, feed
        return directory

    async def run(self, seconds: float, *stopped: str) -> None:
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            for name, (_, _, membership, feed) in self.components_by_name.items():
                if name not in stopped:
                    await membership.tick()
                    await feed.tick()
            for _ in range(8):
                await asyncio.sleep(0)

    def relays(self) -> list[str]:
        return relay_order((p[2].own for p in self.components_by_name.values()), "a")

    def seen(self, instance_id: str) -> set[str]:
        return {n for n, p in self.components_by_name.items() if instance_id in p[1].endpoint_by_id}


async def test_only_the_first_relay_reads_the_list_and_changes_reach_the_zone_at_once() -> None:
    zone = Zone(6)
    await zone.run(6)
    assert zone.seen("engine-1") == set(zone.components_by_name)
    for source, *_ in zone.components_by_name.values():
        source.reads = 0
    await zone.run(10)
    reads = {name: part[0].reads for name, part in zone.components_by_name.items()}
    assert reads == {name: 10 if name == zone.relays()[0] else 0 for name in reads}
    zone.rows["engine-1"] = replace(ENGINE, leaving=True)
    zone.rows["engine-2"] = replace(ENGINE, instance_id="engine-2")
    await zone.run(1)
    assert zone.seen("engine-1") == set() and zone.seen("engine-2") == set(zone.components_by_name)
    for number in (3, 4):
        zone.rows[f"engine-{number}"] = replace(ENGINE, instance_id=f"engine-{number}")
        await zone.run(1)
        assert zone.seen(f"engine-{number}") == set(zone.components_by_name)


async def test_list_reaches_the_zone_after_a_lost_notice_and_without_its_first_relay() -> None:
    zone = Zone(5)
    await zone.run(6)
    relays = zone.relays()
    zone.network.cut = {(relays[0], relays[4])}
    zone.rows["engine-2"] = replace(ENGINE, instance_id="engine-2")
    await zone.run(1.5)
    assert zone.seen("engine-2") == set(zone.components_by_name) - {relays[4]}
    zone.network.cut = set()
    await zone.run(3)
    assert zone.seen("engine-2") == set(zone.components_by_name)
    dead = relays[0]
    zone.network.cut = {
        (a, b) for a in zone.components_by_name for b in zone.components_by_name if dead in (a, b)
    }
    zone.rows["engine-3"] = replace(ENGINE, instance_id="engine-3")
    await zone.run(8, dead)
    assert zone.seen("engine-3") == set(zone.components_by_name) - {dead}


async def test_daemon_that_cannot_read_the_list_fetches_it_from_the_relay_by_pages() -> None:
    zone = Zone(2)
    many = {f"engine-x{number}" for number in range(2 * ROWS_PER_PAGE + 7)}
    zone.rows.update({name: replace(ENGINE, instance_id=name) for name in many})
    await zone.run(6)
    new = zone.add("a9")
    zone.components_by_name["a9"][0].down = True
    zone.rows["a9"] = Instance(
        "a9", Role.DAEMON, "a", ADDRESS, zone.components_by_name["a9"][2].own.control
    )
    await zone.run(6)
    assert zone.relays()[0] != "a9", "the new daemon must not be the first relay"
    assert set(new.endpoint_by_id) == many | {"engine-1"}
    assert new.digest == zone.components_by_name["a0"][1].digest


async def test_notice_has_a_bounded_number_of_rows_and_larger_changes_are_fetched() -> None:
    zone = Zone(3)
    await zone.run(6)
    rows: list[int] = []
    for bus in zone.network.bus_by_id.values():

        async def deliver(sender: str, message: Any, deliver: Any = bus.deliver) -> Any:
            if isinstance(message, ListNotice):
                rows.append(len(message.delta.rows))
            return await deliver(sender, message)

        bus.deliver = deliver  # type: ignore[method-assign]
    many = {f"engine-x{number}" for number in range(MAX_ROWS_PER_NOTICE + 1)}
    zone.rows.update({name: replace(ENGINE, instance_id=name) for name in many})
    await zone.run(2)
    assert rows and max(rows) <= MAX_ROWS_PER_NOTICE
    assert all(many < set(part[1].endpoint_by_id) for part in zone.components_by_name.values())


async def test_list_is_kept_while_the_platform_is_down() -> None:
    zone = Zone(2)
    await zone.run(4)
    for source, *_ in zone.components_by_name.values():
        source.down = True
    await zone.run(20)
    assert zone.seen("engine-1") == set(zone.components_by_name)
