"""Hundreds of daemons' syncs in one process, in simulated time, with counted messages."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from msgspec.msgpack import encode

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.errors import PeerTimeoutError
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.peer_reports import PeerReports, Report
from comfreyhatch.exchange.peers import PeerClient, PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import MemoryDirectory
from tests.exchange_values import record

LINK_DELAY_S = 0.001
# Time in which a simulated fleet finds its readers.
SETTLE_S = 3.0


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is ready, and then at once."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._wait = self._selector.select
        self._selector.select = self._skip  # type: ignore[method-assign]

    def time(self) -> float:
        return self._now

    def _skip(self, timeout: float | None = None) -> list[object]:
        self._now += timeout or 0.0
        return self._wait(0.0)


def run_simulated(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(main())


class SlowDirectory(MemoryDirectory):
    """A directory whose long polls wait."""

    calls = 0

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        return await self._held_back(held, wait_s, super().operations)

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        return await self._held_back(held, wait_s, super().endpoints)

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        return await self._held_back(held, wait_s, super().records)

    async def _held_back(
        self, held: object, wait_s: float, read: Callable[..., Awaitable]
    ) -> object:
        self.calls += 1
        await asyncio.sleep(LINK_DELAY_S if held is None else max(LINK_DELAY_S, wait_s))
        return await read(held, 0.0)


class SimulatedFleet:
    """Daemons of one region that share a directory.

    Attributes:
        directory: The directory.
        reports_by_address: Reports that each daemon has, by its control address.
        bytes_sent: Bytes of queries and answers so far, by the address of their sender.
        published: Rounds of reports that each daemon has published so far.
    """

    def __init__(self, size: int) -> None:
        self.directory = SlowDirectory(
            current_operations=Operations(1, Catalog(1, {}, {}, {}), {}, frozenset()),
            current_endpoints=EndpointList(1, {f"e{n}": record(f"e{n}") for n in range(20)}),
        )
        self.reports_by_address: dict[str, PeerReports] = {}
        self.bytes_sent: Counter[str] = Counter()
        self.published: Counter[str] = Counter()
        self._sync_by_address: dict[str, DirectorySync] = {}
        for number in range(size):
            self._add(f"front-{number}", f"10.0.0.1:{number + 1}")

    async def start(self) -> None:
        """Start all daemons, and wait until the followers have found their readers."""
        for sync in self._sync_by_address.values():
            sync.start()
        await asyncio.sleep(SETTLE_S)
        self.reset()

    async def stop(self) -> None:
        for sync in self._sync_by_address.values():
            await sync.stop()

    def reset(self) -> None:
        """Begin to count anew."""
        self.bytes_sent.clear()
        self.published.clear()

    def addresses(self) -> set[str]:
        """Return the control addresses of all daemons."""
        return set(self._sync_by_address)

    def _add(self, name: str, address: str) -> None:
        host, _, port = address.partition(":")
        unused = Address("127.0.0.1", 1)
        settings = Deployment(
            name,
            "a",
            ("a",),
            unused,
            unused,
            Address(host, int(port)),
            (),
            unused,
            1.0,
            100,
            100,
            Bounds(),
            "r",
        )
        reports = PeerReports(0.0)
        self.reports_by_address[address] = reports
        self._sync_by_address[address] = DirectorySync(
            settings,
            self.directory,
            FleetView(),
            Random(name),
            lambda: None,
            reports,
            connect=lambda to: _SimulatedPeer(self, address, to),
        )
        self._count_published(reports, address)

    def _count_published(self, reports: PeerReports, address: str) -> None:
        send = reports.send

        def count_and_send(found: list[Report], now: float) -> None:
            self.published[address] += 1
            send(found, now)

        reports.send = count_and_send

    async def exchange(self, sender: str, to: str, query: PeerQuery) -> PeerUpdate:
        """Send a query to a daemon and return its answer."""
        await asyncio.sleep(LINK_DELAY_S)
        self.bytes_sent[sender] += len(encode(query))
        update = await self._sync_by_address[to].answer(query)
        self.bytes_sent[to] += len(encode(update))
        await asyncio.sleep(LINK_DELAY_S)
        return update


class _SimulatedPeer(PeerClient):
    """A connection between two daemons of a simulated fleet."""

    def __init__(self, fleet: SimulatedFleet, sender: str, address: str) -> None:
        super().__init__(address)
        self._fleet = fleet
        self._sender = sender

    async def query(self, query: PeerQuery) -> PeerUpdate:
        try:
            async with asyncio.timeout(query.wait_s + 0.4):
                return await self._fleet.exchange(self._sender, self.address, query)
        except TimeoutError:
            raise PeerTimeoutError(self.address) from None
