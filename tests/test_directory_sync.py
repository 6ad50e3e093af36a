"""Sync of a daemon's view from the directory, from a reader, and from peers in an outage."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random

import pynng
import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.readers import reader_for
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.domain.part_report import ReportKind
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.request_report import RequestReport
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.errors import PeerError, PeerTimeoutError
from comfreyhatch.exchange.catalog_changes import CatalogChanges
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.endpoint_changes import EndpointChanges
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.peer_updates import update_since
from comfreyhatch.exchange.peers import (
    MAX_MESSAGE_BYTES,
    PeerClient,
    PeerListener,
    PeerQuery,
    PeerUpdate,
)
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import MemoryDirectory
from tests.exchange_values import deployment, record
from tests.platform_harness import free_port

CATALOG = Catalog(3, {}, {}, {})
UPDATE = PeerUpdate(
    Operations(7, CATALOG, {}, frozenset({"b"})),
    0.5,
    EndpointChanges(9, {"e1": record("e1")}, whole=True),
    0.5,
    None,
    Position(0, 7),
)


@pytest.fixture
async def peer() -> AsyncIterator[Address]:
    address = Address("127.0.0.1", free_port())

    async def answer(query: PeerQuery) -> PeerUpdate:
        return UPDATE

    listener = PeerListener(str(address), answer)
    listener.start()
    yield address
    await listener.stop()


async def test_answer_of_a_peer_beyond_the_limit_is_not_taken() -> None:
    address = f"127.0.0.1:{free_port()}"
    with pynng.Rep0(listen=f"tcp://{address}") as peer:
        client = PeerClient(address)
        querying = asyncio.create_task(client.query(PeerQuery(wait_s=2.0)))
        await peer.arecv()
        await peer.asend(bytes(MAX_MESSAGE_BYTES + 1))
        with pytest.raises(PeerTimeoutError):
            await querying


async def test_peer_answers_queries(peer: Address) -> None:
    client = PeerClient(str(peer))
    assert await client.query(PeerQuery()) == UPDATE
    assert await client.query(PeerQuery(Position(0, 7), Position(0, 9), wait_s=0.1)) == UPDATE
    client.close()


async def test_query_to_an_unreachable_peer_fails() -> None:
    with pytest.raises(PeerError):
        await PeerClient(f"127.0.0.1:{free_port()}").query(PeerQuery())


async def test_daemon_without_the_store_syncs_from_a_peer(peer: Address) -> None:
    # Keys were revoked while the store refused one daemon for nine seconds; that daemon has to get
    # the change from a peer.
    directory = MemoryDirectory(available=False)
    view = FleetView()
    changes: list[int] = []
    sync = DirectorySync(
        deployment(Bounds(), (peer,)), directory, view, Random(1), lambda: changes.append(1)
    )
    sync.start()
    async with asyncio.timeout(5):
        while not view.ready():
            await asyncio.sleep(0.05)
    await sync.stop()
    assert view.catalog == CATALOG
    assert view.zone_out("b")
    assert changes


async def test_daemon_with_the_store_does_not_query_peers() -> None:
    directory = MemoryDirectory()
    directory.current_operations = replace(UPDATE.operations, zones_out=frozenset())
    view = FleetView()
    sync = DirectorySync(deployment(Bounds(), ()), directory, view, Random(1), lambda: None)
    sync.start()
    await asyncio.sleep(0.8)
    assert not sync.cut_off(asyncio.get_running_loop().time())
    await sync.stop()
    assert view.catalog == CATALOG and not view.zone_out("b")


class _CountingDirectory(MemoryDirectory):
    """Counts reading calls; each waits briefly, like a long poll without anything newer."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def _check(self) -> None:
        self.reads += 1
        await asyncio.sleep(0.05)
        await super()._check()


class _Daemon:
    """The sync and the peer listener of one daemon, with a directory of its own."""

    def __init__(self, name: str, records: SharedRecords, address: Address) -> None:
        unused = Address("127.0.0.1", 1)
        self.directory = _CountingDirectory()
        self.directory.current_operations = replace(UPDATE.operations)
        self.directory.current_endpoints = EndpointList(9, {"e1": record("e1")})
        self.directory.current_records = records
        self.view = FleetView()
        settings = Deployment(
            name, "a", ("a",), unused, unused, address, (), unused, 1.0, 100, 100, Bounds(), "r"
        )
        self.sync = DirectorySync(settings, self.directory, self.view, Random(1), lambda: None)
        self.listener = PeerListener(str(address), self.sync.answer)

    async def stop(self) -> None:
        await self.sync.stop()
        await self.listener.stop()


@pytest.fixture
async def reader_and_follower() -> AsyncIterator[tuple[_Daemon, _Daemon]]:
    names = ("d1", "d2")
    address_by_name = {name: Address("127.0.0.1", free_port()) for name in names}
    controls = {name: str(address) for name, address in address_by_name.items()}
    records = SharedRecords(1, 0, {}, {}, controls, dict.fromkeys(names, "r"))
    daemon_by_name = {name: _Daemon(name, records, address_by_name[name]) for name in names}
    for daemon in daemon_by_name.values():
        daemon.listener.start()
        daemon.sync.start()
    reading, following = sorted(names, key=lambda name: reader_for(name, names, ()) is not None)
    yield daemon_by_name[reading], daemon_by_name[following]
    for daemon in daemon_by_name.values():
        await daemon.stop()


async def _until(condition: Callable[[], bool], timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def _stopped_polling(daemon: _Daemon) -> bool:
    before = daemon.directory.reads
    await asyncio.sleep(0.5)
    return daemon.directory.reads == before


async def test_follower_syncs_from_its_reader_without_polling_the_directory(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await _until(follower.view.ready, 5)
    await asyncio.sleep(1.5)
    assert await _stopped_polling(follower)
    reader.directory.current_operations = replace(
        UPDATE.operations, revision=8, zones_out=frozenset({"c"})
    )
    reader.directory.current_endpoints = EndpointList(10, {"e2": record("e2", revision=10)})
    await _until(lambda: follower.view.zone_out("c"), 0.5)
    await _until(lambda: set(follower.view.endpoint_list.record_by_id) == {"e2"}, 0.5)
    assert follower.view.operations_age_s(asyncio.get_running_loop().time()) < 1.0


def take_zone_out(daemon: _Daemon) -> None:
    """Let the directory of a daemon tell that zone c is out."""
    daemon.directory.current_operations = replace(
        UPDATE.operations, revision=8, zones_out=frozenset({"c"})
    )


async def test_follower_polls_the_directory_once_its_reader_is_silent(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await asyncio.sleep(1.5)
    assert await _stopped_polling(follower)
    await reader.stop()
    take_zone_out(follower)
    await _until(lambda: follower.view.zone_out("c"), 1.5)


async def test_follower_polls_the_directory_once_its_reader_has_lost_it(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await asyncio.sleep(1.5)
    assert await _stopped_polling(follower)
    reader.directory.available = False
    take_zone_out(follower)
    await _until(lambda: follower.view.zone_out("c"), 2.0)


async def test_follower_takes_a_newer_generation_from_its_reader(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await _until(follower.view.ready, 5)
    await asyncio.sleep(1.5)
    assert await _stopped_polling(follower)
    reader.directory.current_operations = replace(
        UPDATE.operations, revision=2, zones_out=frozenset({"c"}), generation=1
    )
    reader.directory.current_endpoints = EndpointList(3, {"e2": record("e2", generation=1)}, 1)
    reader.directory.current_records = replace(reader.directory.current_records, generation=1)
    await _until(lambda: follower.view.zone_out("c"), 1.0)
    await _until(lambda: set(follower.view.endpoint_list.record_by_id) == {"e2"}, 1.0)
    await _until(lambda: follower.view.records.generation == 1, 2.0)


async def test_peer_of_an_older_generation_changes_nothing() -> None:
    # Its answers kept the follower's orders young, though they confirmed nothing.
    address = Address("127.0.0.1", free_port())
    queries: list[PeerQuery] = []

    async def answer(query: PeerQuery) -> PeerUpdate:
        queries.append(query)
        orders = replace(UPDATE.operations, zones_out=frozenset({"old"}))
        return replace(UPDATE, operations=orders, operations_age_s=0.0, endpoints_age_s=0.0)

    listener = PeerListener(str(address), answer)
    listener.start()
    view = FleetView()
    now = asyncio.get_running_loop().time()
    view.apply_operations(Operations(2, CATALOG, {}, frozenset(), 1), now - 9, 1.0)
    view.apply_endpoints(EndpointList(2, {}, 1), now - 9)
    directory = MemoryDirectory(available=False)
    sync = DirectorySync(deployment(Bounds(), (address,)), directory, view, Random(1), lambda: None)
    sync.start()
    await _until(lambda: len(queries) >= 2, 5)
    await sync.stop()
    await listener.stop()
    assert queries[0].operations == view.listed_operations.position
    assert not view.zone_out("old") and not view.tracker_by_id
    now = asyncio.get_running_loop().time()
    assert view.operations_age_s(now) >= 9 and view.endpoints_age_s(now) >= 9


async def test_changes_of_another_configuration_confirm_nothing() -> None:
    # The follower read the directory while the reader answered: a position that it confirms would
    # stand for orders that were not taken.
    view = FleetView()
    sync = DirectorySync(deployment(Bounds(), ()), MemoryDirectory(), view, Random(1), lambda: None)
    now = asyncio.get_running_loop().time()
    view.apply_operations(Operations(5, Catalog(4, {}, {}, {}), {}, frozenset()), now - 1, 1.0)
    changes = CatalogChanges(3, 6, {}, {}, {}, None)
    orders = Operations(9, None, {}, frozenset({"b"}))
    update = PeerUpdate(orders, 0.0, None, 0.0, None, Position(0, 9), changes)
    sync.apply_update(update, "peer")
    assert view.listed_operations is not None and view.listed_operations.revision == 5
    assert view.catalog is not None and view.catalog.version == 4


async def test_query_of_a_daemon_that_cannot_take_changes_gets_the_whole_configuration() -> None:
    view = FleetView()
    sync = DirectorySync(deployment(Bounds(), ()), MemoryDirectory(), view, Random(1), lambda: None)
    for version in (1, 2):
        operations = Operations(version, Catalog(version, {}, {}, {}), {}, frozenset())
        view.apply_operations(operations, 0.0, 1.0)
    update = await sync.answer(PeerQuery(operations=Position(0, 1)))
    assert update.operations is not None and update.operations.catalog == Catalog(2, {}, {}, {})
    assert update.catalog_changes is None


async def test_reader_that_has_started_anew_gets_the_reports_that_it_has_lost() -> None:
    # A follower that starts after it would otherwise not hear of a blocked request.
    started: list[PeerReports] = [PeerReports(1.0)]
    address = Address("127.0.0.1", free_port())

    async def answer(query: PeerQuery) -> PeerUpdate:
        now = asyncio.get_running_loop().time()
        started[-1].receive(query.reports, now)
        return update_since(FleetView(), started[-1], query, now)

    listener = PeerListener(str(address), answer)
    listener.start()
    reports = PeerReports(1.0)
    follower = DirectorySync(
        deployment(Bounds(), (address,)),
        MemoryDirectory(),
        FleetView(),
        Random(1),
        lambda: None,
        reports,
    )
    client = PeerClient(str(address))
    blocked = RequestReport(ReportKind.BLOCKED, frozenset({b"bad"}))

    async def poll() -> None:
        follower.apply_update(await client.query(follower.query(0.0, str(address))), str(address))

    await poll()
    reports.receive([blocked, SessionReport("s", "v2", "one")], asyncio.get_running_loop().time())
    started.append(PeerReports(2.0))
    await poll()
    await _until(lambda: bool(started[-1].since(0, 0.0)), 2.0)
    assert [report.subject for report in started[-1].since(0, 0.0)] == [blocked.subject]
    client.close()
    await follower.stop()
    await listener.stop()
