"""News between daemons while the store is out of reach of some of them."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations
from comfreyhatch.errors import PeerError
from comfreyhatch.exchange.news import News
from comfreyhatch.exchange.peers import PeerListener, PeerNews, ask_peer
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import MemoryDirectory
from tests.exchange_values import record
from tests.platform_world import free_port

CATALOG = Catalog(3, {}, {}, {})
NEWS = PeerNews(
    Operations(7, CATALOG, {}, frozenset({"b"})),
    0.5,
    EndpointList(9, {"e1": record("e1")}),
    0.5,
    None,
)


@pytest.fixture
async def peer() -> AsyncIterator[Address]:
    address = Address("127.0.0.1", free_port())
    listener = PeerListener(str(address), lambda: NEWS)
    listener.start()
    yield address
    await listener.stop()


def deployment(seeds: tuple[Address, ...]) -> Deployment:
    nowhere = Address("127.0.0.1", 1)
    return Deployment(
        "d1", "a", ("a",), nowhere, nowhere, None, seeds, nowhere, 1.0, 100, 100, Bounds()
    )


async def test_peer_tells_what_it_knows(peer: Address) -> None:
    assert await ask_peer(str(peer)) == NEWS


async def test_peer_that_is_not_there() -> None:
    with pytest.raises(PeerError):
        await ask_peer(f"127.0.0.1:{free_port()}")


async def test_daemon_cut_off_from_the_store_learns_from_a_peer(peer: Address) -> None:
    # Replays keys taken away while the store turns one daemon away for nine seconds.
    directory = MemoryDirectory(available=False)
    view = FleetView()
    changes: list[int] = []
    news = News(deployment((peer,)), directory, view, Random(1), lambda: changes.append(1))
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
    news = News(deployment(()), directory, view, Random(1), lambda: None)
    news.start()
    await asyncio.sleep(0.8)
    assert not news.cut_off(asyncio.get_running_loop().time())
    await news.stop()
    assert view.catalog == CATALOG and not view.zone_out("b")
