"""Tests of the slot pools of a zone, over an in-memory bus and a simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.daemon.dispatch.slot_pool import ENDPOINT_SAMPLE_SIZE, LeavingNotice, SlotPool
from comfreyhatch.daemon.limits.shares import refuses_connections
from comfreyhatch.decisions.concurrency_limit import REPORT_MAX_AGE_S, SlotOutcome
from comfreyhatch.decisions.shares import Peer
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import BackendError
from comfreyhatch.ports.engine import LoadReport
from comfreyhatch.ports.peers import Member, MembershipView, MemoryNetwork

ORPHAN_HOLD_S = 5.0
UNUSED_ADDRESS = Address("127.0.0.1", 1)
VERSION = "coach@1"
CONFIG = FleetConfig()


class FakeEngine:
    def __init__(self) -> None:
        self.limit = 8
        self.down = False
        self.polls = 0

    async def load(self, endpoint: Instance) -> LoadReport:
        self.polls += 1
        if self.down:
            raise BackendError("down")
        return LoadReport(endpoint.instance_id, 0, 0, self.limit, False, (VERSION,))


class FakeDirectory:
    def __init__(self) -> None:
        self.endpoint_by_id = {
            name: Instance(name, Role.ENGINE, "a", UNUSED_ADDRESS)
            for name in ("engine-1", "engine-2")
        }
        self.members: list[Member] = []
        self.daemon_ids: frozenset[str] | None = frozenset()
        self.leaving_zone_by_id: dict[str, str] = {}

    def remove(self, endpoint_id: str) -> None:
        """Replace the list by one without an endpoint."""
        rows = self.endpoint_by_id.items()
        self.endpoint_by_id = {name: row for name, row in rows if name != endpoint_id}


class Zone:
    """Daemons of one zone with a common clock, instance list, network and engine."""

    def __init__(self) -> None:
        self.now = 0.0
        self.network = MemoryNetwork()
        self.engine = FakeEngine()
        self.directory = FakeDirectory()
        self.refusing: set[Address] = set()
        self.pool_by_id: dict[str, SlotPool] = {}

    def start(self, name: str, incarnation: str = "1") -> SlotPool:
        control = Address("127.0.0.1", 1000 + len(self.directory.members))
        member = Member(name, incarnation, "a", control, UNUSED_ADDRESS)
        self.directory.members = [m for m in self.directory.members if m.instance_id != name]
        self.directory.members.append(member)
        self.directory.daemon_ids = frozenset(m.instance_id for m in self.directory.members)
        pool = SlotPool(
            self.directory,  # type: ignore[arg-type]
            self.view,
            Peer(name, incarnation),
            "a",
            self.engine,  # type: ignore[arg-type]
            self.engine,  # type: ignore[arg-type]
            self.network.join(name),
            ORPHAN_HOLD_S,
            lambda: self.now,
        )
        pool.shares._refuses_connections = self.refuses
        self.pool_by_id[name] = pool
        return pool

    def kill(self, name: str) -> None:
        del self.pool_by_id[name]
        del self.network.bus_by_id[name]

    def view(self) -> MembershipView:
        members = [m for m in self.directory.members if m.instance_id in self.network.bus_by_id]
        return MembershipView({m.instance_id: m for m in members})

    async def refuses(self, address: Address) -> bool:
        return address in self.refusing

    async def step(self, seconds: float = 1.0, count: int = 1) -> None:
        for _ in range(count):
            self.now += seconds
            for pool in list(self.pool_by_id.values()):
                await pool.shares.tick()
                await pool.refresh()

    def slots(self, endpoint_id: str = "engine-1") -> list[int]:
        loads = [pool.load_of(endpoint_id) for pool in self.pool_by_id.values()]
        return [load.slots if load else 0 for load in loads]


@pytest.fixture
async def zone() -> AsyncIterator[Zone]:
    zone = Zone()
    for name in ("x", "y"):
        zone.start(name)
    await zone.step(count=8)
    assert zone.slots() == [4, 4]
    yield zone


async def test_new_member_gets_its_share_when_running_requests_have_ended(zone: Zone) -> None:
    x = zone.pool_by_id["x"]
    held = [x.acquire("engine-1", zone.now) for _ in range(4)]
    assert None not in held and x.acquire("engine-1", zone.now) is None
    zone.start("z")
    await zone.step(count=2)
    assert sorted(zone.slots("engine-1"))[-1] == 3 and sum(zone.slots("engine-1")) < 8
    for slot in held:
        assert slot
        slot.outcome = SlotOutcome.OK
        x.release(slot, zone.now)
    await zone.step(count=2)
    assert sum(zone.slots()) == 8 and sorted(zone.slots()) == [2, 3, 3]


async def test_silent_member_keeps_its_share_until_its_end_is_confirmed(zone: Zone) -> None:
    address = zone.directory.members[1].control
    zone.kill("y")
    await zone.step(count=60)
    assert zone.slots() == [4]
    zone.refusing.add(address)
    await zone.step()
    assert zone.slots() == [4]
    await zone.step(ORPHAN_HOLD_S + 1)
    assert zone.slots() == [8]


async def test_member_removed_from_the_instance_list_loses_its_share(zone: Zone) -> None:
    zone.kill("y")
    zone.directory.daemon_ids = frozenset({"x"})
    await zone.step(count=7)
    assert zone.slots() == [8]


async def test_restarted_member_gets_a_share_as_a_new_incarnation(zone: Zone) -> None:
    zone.kill("y")
    zone.start("y", "2")
    await zone.step(count=10)
    assert zone.slots() == [4, 4]


async def test_leaving_member_releases_its_share_at_once(zone: Zone) -> None:
    await zone.pool_by_id["y"].leave()
    assert zone.slots() == [8, 0]


async def test_member_wrongly_recorded_as_ended_stops_dispatching_and_rejoins(zone: Zone) -> None:
    x, y = zone.pool_by_id.values()
    x.shares.group.handle_end(y.shares.group.me, zone.now)
    y.shares.group.handle_end(y.shares.group.me, zone.now)
    assert y.acquire("engine-1", zone.now) is None
    await zone.step(count=10)
    assert zone.slots() == [4, 4]


async def test_each_endpoint_is_polled_by_one_daemon_whose_digests_reach_the_rest(
    zone: Zone,
) -> None:
    before = zone.engine.polls
    await zone.step(0.25, count=280)
    assert zone.engine.polls - before == 2 * 280
    zone.engine.limit = 2
    await zone.step(0.25)
    await zone.step(0.25)
    assert zone.slots() == [1, 1]


async def test_endpoints_of_a_silent_poller_are_polled_by_its_peers(zone: Zone) -> None:
    zone.network.cut |= {("x", "y"), ("y", "x")}
    zone.engine.limit = 4
    await zone.step(count=6)
    assert zone.slots() == [2, 2]


@pytest.mark.parametrize("first", ["x", "y"])
@pytest.mark.parametrize("outcome", [SlotOutcome.COLD, SlotOutcome.REFUSED])
async def test_limit_decrease_applies_at_once_at_all_daemons(
    zone: Zone, outcome: SlotOutcome, first: str
) -> None:
    x, y = (zone.pool_by_id[name] for name in sorted(zone.pool_by_id, reverse=first == "y"))
    slot = x.acquire("engine-1", zone.now)
    assert slot
    slot.outcome = outcome
    x.release(slot, zone.now)
    limit = 1 if outcome is SlotOutcome.COLD else 4
    assert x.loads.limit("engine-1", zone.now) == limit
    assert x._limit_decrease_task
    await x._limit_decrease_task
    assert y.loads.limit("engine-1", zone.now) == limit
    await zone.step(0.25, count=4)
    assert sum(zone.slots()) == limit and sum(zone.slots("engine-2")) == 8
    await zone.step(1.0, count=int(REPORT_MAX_AGE_S) + 2)
    assert sum(zone.slots()) == 8


async def test_after_a_limit_decrease_slots_are_left_to_running_requests(zone: Zone) -> None:
    pools = sorted(zone.pool_by_id.values(), key=lambda p: p.shares.group.share("engine-1", 1))
    other, holder = pools
    held = [other.acquire("engine-1", zone.now) for _ in range(4)]
    slot = holder.acquire("engine-1", zone.now)
    assert None not in held and slot
    slot.outcome = SlotOutcome.COLD
    holder.release(slot, zone.now)
    assert holder._limit_decrease_task
    await holder._limit_decrease_task
    assert zone.slots() == [0, 0]
    for running in held:
        assert running
        other.release(running, zone.now)
    await zone.step(0.25, count=2)
    assert sorted(zone.slots()) == [0, 1]


async def test_load_report_in_an_answer_applies_before_the_next_poll(zone: Zone) -> None:
    x = zone.pool_by_id["x"]
    slot = x.acquire("engine-1", zone.now)
    assert slot
    report = LoadReport("engine-1", 3, 0, 2, True, (VERSION,))
    slot.record_chunk(report, zone.now)
    x.release(slot, zone.now)
    load = x.load_of("engine-1")
    assert load and (load.limit, load.slots, load.snapshot().cold) == (2, 1, True)


async def test_endpoints_out_of_service_or_removed_get_no_new_requests(zone: Zone) -> None:
    x = zone.pool_by_id["x"]

    def names(config: FleetConfig) -> list[str]:
        loads = x.candidates(VERSION, config, zone.now)
        return [load.endpoint.instance_id for load in loads]

    assert names(CONFIG) == ["engine-1", "engine-2"]
    assert names(FleetConfig(out_endpoints=frozenset({"engine-1"}))) == ["engine-2"]
    assert names(FleetConfig(out_zones=frozenset({"a"}))) == []
    zone.directory.remove("engine-2")
    assert names(CONFIG) == ["engine-1"] and x.acquire("engine-2", zone.now) is None


@given(
    out_zones=st.frozensets(st.sampled_from("ab")),
    out=st.frozensets(st.sampled_from(["engine-1", "engine-2", "engine-3"])),
    removed=st.frozensets(st.sampled_from(["engine-1", "engine-2"])),
    leaving=st.frozensets(st.sampled_from(["engine-1", "engine-2"])),
)
async def test_no_candidate_is_out_of_service_removed_or_leaving(
    out_zones: frozenset[str], out: frozenset[str], removed: frozenset[str], leaving: frozenset[str]
) -> None:
    zone = Zone()
    pool = zone.start("x")
    await zone.step(count=8)
    for endpoint_id in removed:
        zone.directory.remove(endpoint_id)
    await pool._handle_leaving_notice("y", LeavingNotice(tuple(leaving)))
    config = FleetConfig(out_zones=out_zones, out_endpoints=out)
    names = {load.endpoint.instance_id for load in pool.candidates(VERSION, config, zone.now)}
    expected = set() if "a" in out_zones else {"engine-1", "engine-2"} - out - removed - leaving
    assert names == expected
    assert pool.serves(VERSION, config) is bool(expected)


async def test_leaving_endpoint_known_to_one_daemon_gets_no_requests_from_any(
    zone: Zone,
) -> None:
    x, y = zone.pool_by_id["x"], zone.pool_by_id["y"]
    newer_list = FakeDirectory()
    newer_list.members, newer_list.daemon_ids = zone.directory.members, zone.directory.daemon_ids
    newer_list.remove("engine-1")
    newer_list.leaving_zone_by_id = {"engine-1": "a", "elsewhere": "b"}
    x._directory = newer_list  # type: ignore[assignment]
    await zone.step(0.25)
    for pool in (x, y):
        loads = pool.candidates(VERSION, CONFIG, zone.now)
        assert [load.endpoint.instance_id for load in loads] == ["engine-2"]
        assert pool.acquire("engine-1", zone.now) is None
    await zone.step(1.0, count=30)
    assert y.acquire("engine-1", zone.now) is None
    assert set(y._leaving_until_by_id) == {"engine-1"}
    x._directory = zone.directory  # type: ignore[assignment]
    await zone.step(1.0, count=20)
    assert y.acquire("engine-1", zone.now) and x.acquire("engine-1", zone.now)


async def test_unreachable_endpoint_is_no_candidate_at_any_daemon(zone: Zone) -> None:
    zone.engine.down = True
    await zone.step(0.25, count=2)
    for pool in zone.pool_by_id.values():
        assert pool.candidates(VERSION, CONFIG, zone.now) == []


async def test_sample_contains_the_affinity_endpoint_and_only_endpoints_that_serve(
    zone: Zone,
) -> None:
    x, directory = zone.pool_by_id["x"], zone.directory
    directory.endpoint_by_id = {
        f"e{n}": Instance(f"e{n}", Role.ENGINE, "ab"[n % 2], UNUSED_ADDRESS) for n in range(80)
    }
    await zone.step(3.0)
    config = FleetConfig(out_endpoints=frozenset({"e0"}))
    for seed in range(20):
        loads = x.sample(VERSION, config, zone.now, "e2", Random(seed))
        names = [load.endpoint.instance_id for load in loads]
        assert "e2" in names and len(set(names)) == len(names) in (
            ENDPOINT_SAMPLE_SIZE,
            ENDPOINT_SAMPLE_SIZE + 1,
        )
        assert all(
            load.endpoint.zone == "a" and load.endpoint.instance_id != "e0" for load in loads
        )
    assert x.serves(VERSION, config) and not x.serves("other@1", config)
    assert x.engine_slots(config, zone.now) == 39 * 4 and x.has_slots(VERSION, config, zone.now)


async def test_daemon_without_slots_finds_the_holder_of_a_slot(zone: Zone) -> None:
    zone.engine.limit = 1
    await zone.step(0.25, count=2)
    x, y = zone.pool_by_id.values()
    zone.directory.remove("engine-2")
    holder, other = (x, y) if zone.slots() == [1, 0] else (y, x)
    assert other.holders(VERSION, CONFIG, zone.now) == {holder.shares.group.me.instance_id}
    assert holder.holders(VERSION, CONFIG, zone.now) == set()


async def test_pool_continues_after_failed_runs(zone: Zone) -> None:
    x = zone.pool_by_id["x"]
    runs: list[str] = []

    async def fail_once() -> None:
        runs.append("run")
        if len(runs) < 3:
            raise ZeroDivisionError

    x.refresh = x.shares.tick = fail_once  # type: ignore[method-assign]
    task = asyncio.create_task(x.run())
    async with asyncio.timeout(20):
        while len(runs) < 6:
            await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_only_a_closed_port_refuses_connections() -> None:
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    assert not await refuses_connections(address)
    server.close()
    await server.wait_closed()
    assert await refuses_connections(address)
