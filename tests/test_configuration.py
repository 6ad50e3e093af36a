"""Tests of the configuration: adoption, freshness, relays, starts, pauses, cut-off zones."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.config import change_log
from comfreyhatch.daemon.config.config_sync import HeadNotice
from comfreyhatch.decisions.configuration import (
    DispatchIntent,
    Freshness,
    adopt,
    freshness,
    may_serve_while_cut_off,
    must_poll,
    newest,
    relay_order,
)
from comfreyhatch.decisions.membership import incarnation_digest_of
from comfreyhatch.domain.change import (
    ChangeRecord,
    DrainVersion,
    SetContract,
    SetVersion,
    WithdrawVersion,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ConflictError, RefusedError
from tests.config_fleet import TIMING, ConfigFleet, Node, contract, edit_configuration, version

SECONDS = st.floats(0, 1000)


def history(length: int) -> list[ChangeRecord]:
    return [
        ChangeRecord(n, f"e{n}", "ann", 0.0, SetContract(contract(f"c{n}")))
        for n in range(1, length + 1)
    ]


@given(st.lists(st.lists(st.integers(1, 12), max_size=6), max_size=8))
def test_adoption_never_goes_back_and_never_skips(deliveries: list[list[int]]) -> None:
    records, config = history(12), FleetConfig()
    for numbers in deliveries:
        adopted = adopt(config, [records[n - 1] for n in numbers])
        assert adopted.revision >= config.revision
        assert adopted == adopt(FleetConfig(), records[: adopted.revision])
        assert newest(adopted, config) is adopted and newest(config, adopted) == adopted
        config = adopted


@given(SECONDS, SECONDS, SECONDS)
def test_a_pause_always_asks_for_a_confirmation(
    confirmed_at: float, failed_at: float, pause_s: float
) -> None:
    now = max(confirmed_at, failed_at) + pause_s
    state = freshness(confirmed_at, failed_at, now, TIMING)
    assert (state is Freshness.FRESH) == (now - confirmed_at <= TIMING.lease_s)
    if pause_s > max(TIMING.lease_s, TIMING.cut_off_hold_s):
        assert state is Freshness.MUST_CONFIRM
    assert freshness(None, None, now, TIMING) is Freshness.MUST_CONFIRM


@pytest.mark.parametrize("pinned", [False, True])
@pytest.mark.parametrize(("repeatable", "claimed"), [(True, False), (False, True), (False, False)])
@pytest.mark.parametrize(
    ("version_id", "open_to_new_requests", "usable"),
    [
        ("coach@old", False, True),
        ("coach@new", False, True),
        ("solo@1", True, True),
        ("drained@1", False, True),
        ("gone@1", False, False),
        ("unknown@1", False, False),
    ],
)
def test_a_cut_off_daemon_serves_sessions_and_models_without_a_rollout_and_no_unclaimed_call(
    version_id: str,
    open_to_new_requests: bool,
    usable: bool,
    repeatable: bool,
    claimed: bool,
    pinned: bool,
) -> None:
    changes = [
        *(SetVersion(v) for v in (version("old", 90), version("new", 10))),
        *(SetVersion(version("1", model=model)) for model in ("solo", "drained", "gone")),
        DrainVersion("drained@1"),
        WithdrawVersion("gone@1"),
    ]
    records = [ChangeRecord(n, f"e{n}", "a", 0.0, c) for n, c in enumerate(changes, 1)]
    config = adopt(FleetConfig(), records)
    intent = DispatchIntent(version_id, pinned, repeatable, claimed)
    expected = (repeatable or claimed) and usable and (pinned or open_to_new_requests)
    assert may_serve_while_cut_off(config, intent) == expected


@given(st.integers(0, 29), SECONDS, SECONDS, SECONDS)
def test_relays_poll_and_other_daemons_only_without_notices(
    rank: int, confirmed_at: float, polled_at: float, now: float
) -> None:
    polls = must_poll(rank, confirmed_at, polled_at, now, TIMING)
    if rank == 0:
        assert polls == (now - polled_at >= TIMING.poll_interval_s)
    elif polls:
        assert now - confirmed_at > 0.9 * TIMING.relay_timeout_s
    elif now - confirmed_at > TIMING.relay_timeout_s:
        assert now - polled_at < TIMING.fallback_poll_interval_s


async def test_a_change_is_in_force_everywhere_and_few_daemons_read_the_platform() -> None:
    fleet = ConfigFleet(*(f"{zone}{n}" for zone in "ab" for n in range(6)))
    await fleet.run(8)
    reads: list[str] = []
    for name, node in fleet.node_by_id.items():
        original = node.table.read

        async def read(key: str, name: str = name, original=original):  # type: ignore[no-untyped-def]
            reads.append(name)
            return await original(key)

        node.table.read = read  # type: ignore[method-assign]
    await fleet.run(10)
    assert len(set(reads)) == 2, "only the first relay of each zone reads the head"
    assert len(reads) <= 2 * 10 / TIMING.poll_interval_s
    await edit_configuration(fleet.node_by_id["a3"], SetContract(contract("trackline")))
    await fleet.run(0.2)
    assert {r for name, r in fleet.revisions().items() if name[0] == "a"} == {1}
    await fleet.run(1.5)
    assert set(fleet.revisions().values()) == {1}
    assert all(
        node.config_sync.freshness(node.clock()) is Freshness.FRESH
        for node in fleet.node_by_id.values()
    )


async def test_when_the_first_relay_dies_the_second_takes_over() -> None:
    fleet = ConfigFleet(*(f"a{n}" for n in range(5)))
    await fleet.run(3)
    dead = relay_order(fleet.listed, "a")[0]
    fleet.cut(dead)
    for _ in range(20):
        await fleet.run(0.5, dead)
        states = {
            node.config_sync.freshness(node.clock())
            for name, node in fleet.node_by_id.items()
            if name != dead
        }
        assert states == {Freshness.FRESH}


async def test_a_daemon_that_starts_while_the_platform_is_down_asks_a_peer() -> None:
    fleet = ConfigFleet("a0", "a1", "b0")
    await edit_configuration(
        fleet.node_by_id["a0"], SetVersion(version("1")), SetContract(contract("c"))
    )
    await fleet.run(3)
    for node in fleet.node_by_id.values():
        node.table.down = True
    late_daemon = fleet.add("a2")
    late_daemon.table.down = True
    await fleet.run(3)
    assert (
        late_daemon.config_sync.ready
        and late_daemon.config_sync.config == fleet.node_by_id["a0"].config_sync.config
    )
    fleet.cut("a3")
    isolated_daemon = fleet.add("a3")
    isolated_daemon.table.down = True
    fleet.cut("a3")
    await fleet.run(3)
    assert not isolated_daemon.config_sync.ready
    isolated_daemon.table.down = False
    await fleet.run(2)
    assert isolated_daemon.config_sync.ready and isolated_daemon.config_sync.config.revision == 2


async def test_a_zone_cut_off_from_the_platform_gets_changes_from_another_zone() -> None:
    fleet = ConfigFleet("a0", "a1", "a2", "b0", "b1")
    await fleet.run(8)
    for name, node in fleet.node_by_id.items():
        node.table.down = name[0] == "a"
    await edit_configuration(fleet.node_by_id["b1"], SetVersion(version("1")))
    await fleet.run(4)
    assert set(fleet.revisions().values()) == {1}
    states = {n.config_sync.freshness(n.clock()) for n in fleet.node_by_id.values()}
    assert states == {Freshness.FRESH}


async def pause_while_version_is_withdrawn(fleet: ConfigFleet) -> Node:
    """Pause a node for 30 s, during which version coach@1 is withdrawn, and return the node."""
    node, other = fleet.node_by_id["a0"], fleet.node_by_id["b0"]
    await edit_configuration(other, SetVersion(version("1")), SetVersion(version("2", 10)))
    await fleet.run(8)
    assert node.config_sync.config.revision == 2
    await edit_configuration(other, WithdrawVersion("coach@1"))
    fleet.cut("a0")
    await fleet.run(30, "a0")
    return node


async def test_a_daemon_paused_for_30_s_confirms_before_it_dispatches() -> None:
    fleet = ConfigFleet("a0", "a1", "b0")
    node = await pause_while_version_is_withdrawn(fleet)
    with pytest.raises(RefusedError) as refusal:
        node.config_sync.require_fresh(node.clock())
    assert refusal.value.ran is Ran.NO
    config = await node.config_sync.authorize_dispatch(DispatchIntent("coach@1", pinned=True))
    assert config.revision == 3, "the head is read from the platform before the dispatch"


async def test_a_paused_daemon_without_platform_and_peers_serves_like_a_cut_off_one() -> None:
    fleet = ConfigFleet("a0", "a1", "b0")
    node = await pause_while_version_is_withdrawn(fleet)
    node.table.down = True
    assert (
        await node.config_sync.authorize_dispatch(DispatchIntent("coach@1", pinned=True))
    ).revision == 2
    for intent in (
        DispatchIntent("coach@2"),
        DispatchIntent("", repeatable=False),
        DispatchIntent("coach@9", pinned=True),
    ):
        with pytest.raises(RefusedError) as refusal:
            await node.config_sync.authorize_dispatch(intent)
        assert (refusal.value.code, refusal.value.ran) == (ResultCode.CUT_OFF, Ran.NO)


async def test_an_attempt_interrupted_by_a_pause_does_not_make_a_daemon_cut_off() -> None:
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]
    await edit_configuration(node, SetVersion(version("1")))
    await fleet.run(2)
    original = node.table.read

    async def read(key: str):  # type: ignore[no-untyped-def]
        node.table.read = original  # type: ignore[method-assign]
        fleet.now += 30
        raise TimeoutError

    node.table.read = read  # type: ignore[method-assign]
    await node.config_sync.confirm()
    assert node.config_sync.freshness(node.clock()) is Freshness.MUST_CONFIRM
    await node.config_sync.authorize_dispatch(DispatchIntent("coach@1"))
    assert node.config_sync.freshness(node.clock()) is Freshness.FRESH


async def test_a_daemon_that_never_ends_an_attempt_in_time_dispatches_nothing() -> None:
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]
    await edit_configuration(node, SetVersion(version("1")))

    async def read(key: str):  # type: ignore[no-untyped-def]
        fleet.now += 30
        raise TimeoutError

    node.table.read = read  # type: ignore[method-assign]
    fleet.now += 30
    with pytest.raises(RefusedError):
        await node.config_sync.authorize_dispatch(DispatchIntent("coach@1", pinned=True))


async def test_a_missed_change_is_fetched_from_the_relay_with_the_next_notice() -> None:
    fleet = ConfigFleet("a0", "a1", "a2")
    await fleet.run(5)
    last = relay_order(fleet.listed, "a")[2]
    fleet.node_by_id[last].table.down = True
    editor = fleet.node_by_id[relay_order(fleet.listed, "a")[0]]
    fleet.cut(last)
    await edit_configuration(editor, SetVersion(version("1")))
    fleet.cut()
    await edit_configuration(editor, SetVersion(version("2")))
    await fleet.run(0.1)
    assert fleet.revisions()[last] == 2


async def test_each_of_two_consecutive_changes_is_relayed_immediately() -> None:
    fleet = ConfigFleet("a0", "a1", "a2")
    await fleet.run(5)
    for relay in relay_order(fleet.listed, "a"):
        for _ in range(2):
            await edit_configuration(fleet.node_by_id[relay], SetContract(contract(relay)))
            assert len(set(fleet.revisions().values())) == 1, fleet.revisions()


async def test_a_notice_delayed_in_a_buffer_confirms_nothing() -> None:
    fleet = ConfigFleet("a0", "a1", "a2")
    await edit_configuration(fleet.node_by_id["a0"], SetVersion(version("1")))
    await fleet.run(5)
    relay = fleet.node_by_id[relay_order(fleet.listed, "a")[0]]
    reader = fleet.node_by_id[relay_order(fleet.listed, "a")[1]]
    notice = HeadNotice(
        relay.membership.own.instance_id,
        incarnation_digest_of(relay.membership.own),
        relay.clock(),
        revision=1,
    )
    fleet.now += 30
    bus = fleet.network.bus_by_id[reader.membership.own.instance_id]
    await bus.deliver(relay.membership.own.instance_id, notice)
    assert reader.config_sync.freshness(reader.clock()) is Freshness.MUST_CONFIRM


async def test_a_revision_never_goes_back_even_if_the_platform_does() -> None:
    fleet = ConfigFleet("a0", "a1")
    node = fleet.node_by_id["a0"]
    await edit_configuration(node, *(SetContract(contract(name)) for name in "xyz"))
    await fleet.run(3)
    fleet.table.row_by_key.clear()
    await fleet.run(5)
    assert set(fleet.revisions().values()) == {3}
    assert node.config_sync.freshness(node.clock()) is not Freshness.FRESH
    with pytest.raises(ConflictError):
        await node.editor.apply(SetContract(contract("w")), "edit-w", "ann")
    assert fleet.table.row_by_key == {}
    for each in fleet.node_by_id.values():
        assert each.revisions == sorted(each.revisions)


async def test_a_start_reads_the_snapshot_and_the_changes_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(change_log, "SNAPSHOT_INTERVAL_REVISIONS", 5)
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]
    for number in range(12):
        await edit_configuration(node, SetContract(contract(f"c{number}")))
        await fleet.run(0.6)
    assert sorted(fleet.objects.value_by_key) == ["config/000000000005", "config/000000000010"]
    for revision in range(1, 11):
        del fleet.table.row_by_key[change_log.change_key(revision)]
    late_daemon = fleet.add("b0")
    await fleet.run(0.5)
    assert (
        late_daemon.config_sync.config == node.config_sync.config
        and late_daemon.config_sync.config.revision == 12
    )


async def test_concurrent_confirmations_share_one_attempt() -> None:
    fleet = ConfigFleet("a0")
    node = fleet.node_by_id["a0"]
    await fleet.run(1)
    reads = 0
    original = node.table.read

    async def read(key: str):  # type: ignore[no-untyped-def]
        nonlocal reads
        reads += key == "head"
        return await original(key)

    node.table.read = read  # type: ignore[method-assign]
    fleet.now += 30
    await asyncio.gather(*(node.config_sync.confirm() for _ in range(50)))
    assert reads == 1
