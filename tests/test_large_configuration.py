"""A configuration that has grown by many routes comes into force in time over narrow links."""

import asyncio
from random import Random

from msgspec.json import encode as encode_json
from msgspec.msgpack import encode

from comfreyhatch.decisions.readers import reader_for
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.peers import PeerListener, PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.documents import decode_catalog
from comfreyhatch.platform.store import StoreClient
from tests.platform_harness import config, free_port
from tests.platform_store import StandInStore
from tests.thin_link import ThinLink

ADDED_ROUTES = 1400
# A link of 5 Mbit/s, and one of which requests take half.
THIN_BYTES_PER_S = 625_000.0
SHARED_BYTES_PER_S = THIN_BYTES_PER_S / 2
FOLLOWERS = 16
# Control may take 2 KB a second for each daemon, with 4,200 changes a day (docs/CAPACITY.md).
BYTES_PER_CHANGE = 2_000 * 86_400 // 4_200
CONFIG_S = 3.0


def large_config(version: int, routes: int = ADDED_ROUTES) -> dict[str, object]:
    """Return a configuration with many routes, of which each version changes one."""
    found = config(version)
    plain = found["routes"][1]  # type: ignore[index]
    added = [
        {**plain, "name": f"r-{n:06x}", "host": f"host{n % 7}.example", "prefix": f"/p{n:06x}/"}
        for n in range(routes)
    ]
    added[version % routes]["timeout_ms"] = 500 + version
    return {**found, "routes": [*found["routes"], *added]}  # type: ignore[misc]


async def test_configuration_that_a_link_needs_seconds_for_is_read(store: StandInStore) -> None:
    # Every read ended after 0.8 s and was repeated, so that the configuration never came.
    store.put("op", "config", large_config(1, 3 * ADDED_ROUTES))
    link = ThinLink(THIN_BYTES_PER_S)
    client = StoreClient(await link.open(store.address))
    operations = await StoreDirectory(client).operations(None, 0.0)
    client.close()
    await link.close()
    assert operations.catalog is not None and operations.catalog.version == 1


async def test_store_that_answers_late_is_read(store: StandInStore) -> None:
    # Each call ended after 0.8 s and was repeated for as long as the store took longer.
    store.put("op", "config", config(1))
    store.delay_s = 1.2
    client = StoreClient(store.address)
    view = FleetView()
    sync = _sync("d1", client, view, None)
    sync.start()
    async with asyncio.timeout(6):
        while view.catalog is None:
            await asyncio.sleep(0.02)
    await sync.stop()
    client.close()


async def test_change_of_one_route_is_small_for_followers() -> None:
    # Readers sent all routes to each follower for each change, which took seconds of their links.
    view = FleetView()
    reader = _sync("r", StoreClient(Address("127.0.0.1", 1)), view, None)
    follower_view = FleetView()
    follower = _sync("f", StoreClient(Address("127.0.0.1", 1)), follower_view, None)
    for version in range(1, 5):
        catalog = decode_catalog(encode_json(large_config(version)))
        view.apply_operations(Operations(version, catalog, {}, frozenset()), 0.0, 1.0)
        update = await reader.answer(follower.query(0.0))
        if version > 1:
            assert len(encode(update)) <= BYTES_PER_CHANGE
        follower.apply_update(update, "reader")
        assert follower_view.catalog == catalog


class _Daemon:
    """The sync and the peer listener of a daemon, on a link of its own."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.view = FleetView()
        self._link = ThinLink(SHARED_BYTES_PER_S)
        self._outgoing = ThinLink(SHARED_BYTES_PER_S)
        self._port = free_port()
        self.control = Address("127.0.0.1", 1)

    async def start(self, store: Address) -> None:
        self.control = await self._outgoing.open(Address("127.0.0.1", self._port))
        self._client = StoreClient(await self._link.open(store))
        self._sync = _sync(self.name, self._client, self.view, self.control)
        self._listener = PeerListener(f"127.0.0.1:{self._port}", self._answer)
        self._listener.start()
        self._sync.start()

    async def _answer(self, query: PeerQuery) -> PeerUpdate:
        return await self._sync.answer(query)

    async def stop(self) -> None:
        await self._sync.stop()
        await self._listener.stop()
        self._client.close()
        await self._link.close()
        await self._outgoing.close()

    def has(self, version: int) -> bool:
        return self.view.catalog is not None and self.view.catalog.version >= version


async def test_change_of_a_large_configuration_reaches_all_daemons_in_time(
    store: StandInStore,
) -> None:
    # Changes were in force up to seconds late on daemons of a grown deployment, whose readers have
    # a narrow link: reads timed out half-way, and so did followers' queries.
    daemons = [_Daemon(f"d{n:02}") for n in range(FOLLOWERS + 1)]
    store.put("op", "config", config(1))
    for daemon in daemons:
        await daemon.start(store.address)
    await _until_all_have(daemons, 1, 10)
    await asyncio.sleep(3)  # followers have found their reader
    names = [daemon.name for daemon in daemons]
    assert sum(reader_for(name, names, ()) is None for name in names) == 1
    late: list[int] = []
    store.put("op", "config", large_config(2))
    await _until_all_have(daemons, 2, 20)
    for version in (3, 4, 5):
        store.put("op", "config", large_config(version))
        await asyncio.sleep(CONFIG_S)
        late.append(sum(not daemon.has(version) for daemon in daemons))
        await asyncio.sleep(0.5)
    for daemon in daemons:
        await daemon.stop()
    assert late == [0, 0, 0]


def _sync(
    name: str, client: StoreClient, view: FleetView, control: Address | None
) -> DirectorySync:
    unused = Address("127.0.0.1", 1)
    settings = Deployment(
        instance=name,
        zone="a",
        zones=("a",),
        callers=unused,
        readiness=unused,
        control=control,
        seeds=(),
        store=unused,
        heartbeat_s=1.0,
        memory_mb=100,
        max_fds=100,
        bounds=Bounds(config_s=CONFIG_S),
        region="r",
    )
    return DirectorySync(settings, StoreDirectory(client), view, Random(name), lambda: None)


async def _until_all_have(daemons: list[_Daemon], version: int, timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        while not all(daemon.has(version) for daemon in daemons):
            await asyncio.sleep(0.02)
