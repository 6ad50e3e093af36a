"""News between daemons while the store is out of reach of some of them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.readers import reader_for
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.errors import PeerError
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.endpoint_changes import EndpointChanges
from comfreyhatch.exchange.peers import PeerClient, PeerListener, PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import MemoryDirectory
from tests.exchange_values import record
from tests.platform_harness import free_port

CATALOG = Catalog(3, {}, {}, {})
NEWS = PeerUpdate(
    Operations(7, CATALOG, {}, frozenset({"b"})),
    0.5,
    EndpointChanges(9, {"e1": record("e1")}, whole=True),
    0.5,
    None,
)


@pytest.fixture
async def peer() -> AsyncIterator[Address]:
    address = Address("127.0.0.1", free_port())

    async def answer(question: PeerQuery) -> PeerUpdate:
        return NEWS

    listener = PeerListener(str(address), answer)
    listener.start()
    yield address
    await listener.stop()


def deployment(seeds: tuple[Address, ...]) -> Deployment:
    nowhere = Address("127.0.0.1", 1)
    return Deployment(
        "d1", "a", ("a",), nowhere, nowhere, None, seeds, nowhere, 1.0, 100, 100, Bounds()
    )


async def test_peer_tells_what_it_knows(peer: Address) -> None:
    client = PeerClient(str(peer))
    assert await client.ask(PeerQuery()) == NEWS
    assert await client.ask(PeerQuery(7, 9, 0, 0.1)) == NEWS
    client.close()


async def test_peer_that_is_not_there() -> None:
    with pytest.raises(PeerError):
        await PeerClient(f"127.0.0.1:{free_port()}").ask(PeerQuery())


async def test_daemon_cut_off_from_the_store_learns_from_a_peer(peer: Address) -> None:
    # Replays keys taken away while the store turns one daemon away for nine seconds.
    directory = MemoryDirectory(available=False)
    view = FleetView()
    changes: list[int] = []
    news = DirectorySync(deployment((peer,)), directory, view, Random(1), lambda: changes.append(1))
    news.start()
    async with asyncio.timeout(5):
        while not view.ready():
            await asyncio.sleep(0.05)
    await news.stop()
    assert view.catalog == CATALOG
    assert view.zone_out("b")
    assert changes


async def test_daemon_with_the_store_does_not_ask_peers() -> None:
    directory = MemoryDirectory()
    directory.current_operations = replace(NEWS.operations, zones_out=frozenset())
    view = FleetView()
    news = DirectorySync(deployment(()), directory, view, Random(1), lambda: None)
    news.start()
    await asyncio.sleep(0.8)
    assert not news.cut_off(asyncio.get_running_loop().time())
    await news.stop()
    assert view.catalog == CATALOG and not view.zone_out("b")


class _CountingDirectory(MemoryDirectory):
    """Counts readings; waits a little as a store does that has nothing new."""

    def __init__(self) -> None:
        super().__init__()
        self.readings = 0

    async def _check(self) -> None:
        self.readings += 1
        await asyncio.sleep(0.05)
        await super()._check()


class _Daemon:
    """The news of one daemon with a listener for peers, on a directory of its own."""

    def __init__(self, name: str, records: SharedRecords, address: Address) -> None:
        nowhere = Address("127.0.0.1", 1)
        self.directory = _CountingDirectory()
        self.directory.current_operations = replace(NEWS.operations)
        self.directory.current_endpoints = EndpointList(9, {"e1": record("e1")})
        self.directory.current_records = records
        self.view = FleetView()
        settings = Deployment(
            name, "a", ("a",), nowhere, nowhere, address, (), nowhere, 1.0, 100, 100, Bounds(), "r"
        )
        self.news = DirectorySync(settings, self.directory, self.view, Random(1), lambda: None)
        self.listener = PeerListener(str(address), self.news.answer)

    async def stop(self) -> None:
        await self.news.stop()
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
        daemon.news.start()
    reading, following = sorted(names, key=lambda name: reader_for(name, names, ()) is not None)
    yield daemon_by_name[reading], daemon_by_name[following]
    for daemon in daemon_by_name.values():
        await daemon.stop()


async def _until(condition: Callable[[], bool], most_s: float) -> None:
    async with asyncio.timeout(most_s):
        while not condition():
            await asyncio.sleep(0.02)


async def _stopped_reading(daemon: _Daemon) -> bool:
    before = daemon.directory.readings
    await asyncio.sleep(0.5)
    return daemon.directory.readings == before


async def test_follower_learns_from_its_reader_without_reading(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await _until(follower.view.ready, 5)
    await asyncio.sleep(1.5)
    assert await _stopped_reading(follower)
    reader.directory.current_operations = replace(
        NEWS.operations, revision=8, zones_out=frozenset({"c"})
    )
    reader.directory.current_endpoints = EndpointList(10, {"e2": record("e2", revision=10)})
    await _until(lambda: follower.view.zone_out("c"), 0.5)
    await _until(lambda: set(follower.view.endpoint_list.record_by_id) == {"e2"}, 0.5)
    assert follower.view.operations_age_s(asyncio.get_running_loop().time()) < 1.0


async def test_follower_reads_itself_once_its_reader_is_silent(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await asyncio.sleep(1.5)
    assert await _stopped_reading(follower)
    await reader.stop()
    follower.directory.current_operations = replace(
        NEWS.operations, revision=8, zones_out=frozenset({"c"})
    )
    await _until(lambda: follower.view.zone_out("c"), 1.5)


async def test_follower_reads_itself_once_its_reader_has_lost_the_directory(
    reader_and_follower: tuple[_Daemon, _Daemon],
) -> None:
    reader, follower = reader_and_follower
    await asyncio.sleep(1.5)
    assert await _stopped_reading(follower)
    reader.directory.available = False
    follower.directory.current_operations = replace(
        NEWS.operations, revision=8, zones_out=frozenset({"c"})
    )
    await _until(lambda: follower.view.zone_out("c"), 2.0)
