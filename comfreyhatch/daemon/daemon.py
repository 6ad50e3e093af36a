"""Composition of the daemon: builds its parts, starts them and stops them."""

import asyncio
import logging
from collections.abc import Coroutine
from random import Random
from time import time
from typing import Any

from msgspec import Struct
from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.engine_http import HttpEngine, HttpPlainService
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_server import HttpLimits, HttpServer
from comfreyhatch.adapters.metrics import RequestMetrics, add_process_metrics
from comfreyhatch.adapters.platform_http import HttpInstanceList
from comfreyhatch.adapters.settings import Settings
from comfreyhatch.adapters.table_http import HttpTable
from comfreyhatch.daemon.callers import CallerHandler
from comfreyhatch.daemon.changes import ChangeLog
from comfreyhatch.daemon.directory import Directory
from comfreyhatch.daemon.dispatcher import Dispatcher
from comfreyhatch.daemon.fleet_state import FleetReporter
from comfreyhatch.daemon.forwarding import ForwardedWork, Forwarder
from comfreyhatch.daemon.operators import OperatorHandler
from comfreyhatch.daemon.pool import EndpointPool
from comfreyhatch.daemon.records import RecordBook
from comfreyhatch.daemon.router import Router
from comfreyhatch.daemon.services import ServiceRouter
from comfreyhatch.domain.instance import Address, Instance, Role

STOP_GRACE_S = 30.0

log = logging.getLogger("comfreyhatch.daemon")


class Addresses(Struct, frozen=True):
    """Where a running daemon listens."""

    callers: Address
    operators: Address
    peers_http: Address


class Daemon:
    """One entry instance of the system."""

    def __init__(self, settings: Settings, key: bytes, seed: int | None = None) -> None:
        own = settings.instance
        rng = Random(seed)
        client = HttpClient()
        engine = HttpEngine(client)
        service = HttpPlainService(client)
        platform = settings.platform.address
        self._settings = settings
        self.zone = own.zone
        self._client = client
        self._tasks: list[asyncio.Task[None]] = []
        self.incarnation = f"{own.id}-{int(time() * 1000):x}"
        self.registry = CollectorRegistry()
        self.metrics = RequestMetrics(self.registry)
        add_process_metrics(self.registry)
        self.changes = ChangeLog(HttpTable(client, platform, settings.platform.timeout_s))
        instances = HttpInstanceList(client, platform)
        self._own = Instance(own.id, Role.DAEMON, own.zone, Address("", 0))
        self.directory = Directory(instances, self._own)
        self.pool = EndpointPool(self.directory, own.zone, engine, service)
        self.records = RecordBook()
        dispatcher = Dispatcher(
            own.id, self.pool, engine, service, lambda: self.changes.config, rng
        )
        forwarder = Forwarder(own.id, own.zone, key, lambda: self.directory.view, rng)
        router = Router(dispatcher, forwarder, self.records, lambda: self.changes.config)
        services = ServiceRouter(dispatcher, forwarder, self.records, lambda: self.changes.config)
        callers = CallerHandler(
            own.id, self.incarnation, router, services, lambda: self.changes.config, self.ready
        )
        self.reporter = FleetReporter(
            own.id, own.zone, self.changes, self.directory, self.pool, self.ready
        )
        operators = OperatorHandler(
            self.changes, self.records, self.reporter, self.registry, self.ready
        )
        self._caller_server = HttpServer(callers.handle, settings.limits)
        self._operator_server = HttpServer(operators.handle, HttpLimits())
        self._peer_server = HttpServer(ForwardedWork(dispatcher, key).handle, HttpLimits())

    def ready(self) -> bool:
        """Return whether the daemon may take requests."""
        return self.changes.config.revision > 0

    async def start(self) -> Addresses:
        """Start the listeners and the tasks; returns when they run."""
        settings = self._settings
        peers_http = await self._peer_server.start(settings.peers.host, settings.peers.http_port)
        self.directory.announce_as(peers_http, Address(settings.peers.host, 0))
        for task in (self.directory.run(), self.changes.run(), self.pool.run()):
            self._start_task(task)
        operators = await self._operator_server.start(
            settings.operators.host, settings.operators.port
        )
        callers = await self._caller_server.start(settings.callers.host, settings.callers.port)
        addresses = Addresses(callers, operators, peers_http)
        log.info(
            "event=daemon_started instance=%s zone=%s callers=%s operators=%s peers=%s",
            settings.instance.id,
            settings.instance.zone,
            callers,
            operators,
            peers_http,
        )
        return addresses

    async def stop(self) -> None:
        """Finish running requests, then stop everything."""
        await self._caller_server.stop(STOP_GRACE_S)
        await self._peer_server.stop(STOP_GRACE_S)
        await self._operator_server.stop(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()
        log.info("event=daemon_stopped instance=%s", self._settings.instance.id)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        log.critical("event=task_failed", exc_info=task.exception())
