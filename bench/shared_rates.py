"""Shared rates of endpoints: how much of a limit is used, what is exceeded, and what asking costs.

Usage: python -m bench.shared_rates DAEMONS BUSY ENDPOINTS LIMIT_PER_S SECONDS

All daemons run in this process and ask each other over their real sockets. The busy ones send as
many requests as the rates of all endpoints allow, three at a time each.
"""

import asyncio
import sys
from random import Random
from time import process_time

from msgspec.msgpack import encode
from prometheus_client import CollectorRegistry

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.shared_rate import NAMED_OVER, NAMED_SLACK, NAMED_WINDOW_S
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.limit_report import LimitReport
from comfreyhatch.domain.operations import SharedRecords
from comfreyhatch.domain.permit import PermitAnswer
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange.endpoint_limits import EndpointLimits
from comfreyhatch.exchange.endpoint_rates import ASSUMED_S, EndpointRates
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.peers import PeerListener, PeerPermitChannel, PeerQuery, PeerUpdate
from comfreyhatch.exchange.permits import PermitClient
from comfreyhatch.exchange.view import FleetView

FIRST_PORT = 24000
SENDERS_PER_DAEMON = 3
WITHIN_S = 1.0
DENIED_PAUSE_S = 0.2
NOWHERE = Address("127.0.0.1", 1)


class BenchDaemon:
    """One daemon: its view, its rates and its listener.

    Attributes:
        rates: Its part of the endpoints' rates.
        trackers: The endpoints.
        asks: Number of permits that others have asked of it.
        bytes_received: Size of these asks.
    """

    def __init__(
        self, name: str, address_by_name: dict[str, str], limits: dict[str, float]
    ) -> None:
        now = asyncio.get_running_loop().time()
        view = FleetView()
        view.apply_endpoints(EndpointList(1, {name: _record(name) for name in limits}), now)
        view.apply_records(SharedRecords(1, 0, {}, {}, address_by_name), now)
        registry = CollectorRegistry()
        known = EndpointLimits(PeerReports(now), registry)
        for endpoint, per_s in limits.items():
            known.learn(LimitReport(f"{endpoint}/1", per_s), now)
        deployment = Deployment(
            name, "a", ("a",), NOWHERE, NOWHERE, NOWHERE, (), NOWHERE, 1.0, 256.0, 1024, Bounds()
        )
        client = PermitClient(lambda daemon: PeerPermitChannel(address_by_name[daemon]))
        started_at = now - ASSUMED_S - 1.0
        self.rates = EndpointRates(
            deployment, view, known, client, registry, Random(name), started_at
        )
        self.trackers: list[EndpointTracker] = list(view.tracker_by_id.values())
        self.asks = 0
        self.bytes_received = 0
        self._listener = PeerListener(address_by_name[name], self._answer)
        self._listener.start()

    async def _answer(self, query: PeerQuery) -> PeerUpdate:
        now = asyncio.get_running_loop().time()
        self.asks += len(query.permits)
        self.bytes_received += len(encode(query))
        permits: tuple[PermitAnswer, ...] = tuple(
            self.rates.answer(ask, now) for ask in query.permits
        )
        return PeerUpdate(None, 0.0, None, 0.0, None, Position(), permits=permits)

    async def send(self, sent_at: dict[str, list[float]], until: float) -> None:
        """Send requests one after the other, as the rates allow."""
        loop = asyncio.get_running_loop()
        while (now := loop.time()) < until:
            free = [tracker for tracker in self.trackers if self.rates.may_send(tracker, now)]
            if free:
                self.rates.record(free[0], now)
                sent_at[free[0].record.endpoint_id].append(now)
                continue
            delay_s = None
            if self.rates.is_open(self.trackers, WITHIN_S, now):
                delay_s = await self.rates.obtain(self.trackers, WITHIN_S)
            await asyncio.sleep(DENIED_PAUSE_S if delay_s is None else delay_s + 0.001)

    async def stop(self) -> None:
        await self.rates.stop()
        await self._listener.stop()

    @property
    def bytes_sent(self) -> int:
        return self._listener.bytes_sent


def _record(name: str) -> EndpointRecord:
    return EndpointRecord(name, "s", NOWHERE, "a", "v1", 1_000_000, False, 0.0, 1, 1)


def _most_in_window(times: list[float]) -> int:
    return max(
        (sum(at <= other < at + NAMED_WINDOW_S for other in times) for at in times), default=0
    )


async def measure(daemons: int, busy: int, endpoints: int, per_s: float, seconds: float) -> None:
    """Let busy daemons send, and print what was used and what it cost."""
    names = [f"d{number}" for number in range(daemons)]
    address_by_name = {n: f"127.0.0.1:{FIRST_PORT + i}" for i, n in enumerate(names)}
    limits = {f"e{number}": per_s for number in range(endpoints)}
    fleet = [BenchDaemon(name, address_by_name, limits) for name in names]
    sent_at: dict[str, list[float]] = {endpoint: [] for endpoint in limits}
    began_at, began_cpu_s = asyncio.get_running_loop().time(), process_time()
    sending = [
        daemon.send(sent_at, began_at + seconds)
        for daemon in fleet[:busy]
        for _ in range(SENDERS_PER_DAEMON)
    ]
    await asyncio.gather(*sending)
    cpu_s = process_time() - began_cpu_s
    asks = sum(daemon.asks for daemon in fleet)
    sent = sum(map(len, sent_at.values()))
    transferred = sum(daemon.bytes_received + daemon.bytes_sent for daemon in fleet)
    allowed = NAMED_OVER * per_s * NAMED_WINDOW_S + NAMED_SLACK
    most = max(map(_most_in_window, sent_at.values()))
    print(
        f"{daemons} daemons, {busy} busy, {endpoints} endpoints at {per_s:g}/s:"
        f" used {sent / (endpoints * per_s * seconds):.2f}, most in {NAMED_WINDOW_S:g} s {most}"
        f" of {allowed:g}, {asks / max(1, sent):.1f} asks a request,"
        f" {asks / seconds / busy:.1f} asks/s a busy daemon,"
        f" {transferred / max(1, asks):.0f} bytes and {1e6 * cpu_s / max(1, asks):.0f} us an ask"
    )
    for daemon in fleet:
        await daemon.stop()


def main() -> None:
    daemons, busy, endpoints = (int(argument) for argument in sys.argv[1:4])
    per_s, seconds = (float(argument) for argument in sys.argv[4:6])
    asyncio.run(measure(daemons, busy, endpoints, per_s, seconds))


if __name__ == "__main__":
    main()
