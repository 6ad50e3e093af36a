"""Composition of the daemon: builds its parts, starts them and stops them."""

import asyncio
import logging
from collections.abc import Coroutine
from random import Random
from time import monotonic, time
from typing import Any

from msgspec import Struct
from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.engine_http import HttpEngine, HttpPlainService
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_server import HttpLimits, HttpServer
from comfreyhatch.adapters.metrics import PeerMetrics, RequestMetrics, add_process_metrics
from comfreyhatch.adapters.objects_http import HttpObjectStore
from comfreyhatch.adapters.peer_bus import NngBus
from comfreyhatch.adapters.platform_http import HttpInstanceList, HttpRatingService, HttpWeightStore
from comfreyhatch.adapters.settings import Settings
from comfreyhatch.adapters.table_http import HttpTable
from comfreyhatch.daemon.buddies import Buddies
from comfreyhatch.daemon.budgets import Budgets
from comfreyhatch.daemon.burn_book import BurnBook
from comfreyhatch.daemon.callers import CallerHandler
from comfreyhatch.daemon.changes import ChangeLog
from comfreyhatch.daemon.claims import Claims
from comfreyhatch.daemon.configuration import ConfigurationKeeper
from comfreyhatch.daemon.directory import Directory
from comfreyhatch.daemon.dispatcher import Dispatcher
from comfreyhatch.daemon.editor import Editor
from comfreyhatch.daemon.endpoints import EndpointPool
from comfreyhatch.daemon.explanations import Explanations
from comfreyhatch.daemon.fleet_state import FleetReporter
from comfreyhatch.daemon.forwarding import MAX_HOPS, ForwardedWork, Forwarder
from comfreyhatch.daemon.journal import Journal
from comfreyhatch.daemon.learning import Learner
from comfreyhatch.daemon.list_feed import ListFeed
from comfreyhatch.daemon.membership import Membership
from comfreyhatch.daemon.minted import MintedKeys
from comfreyhatch.daemon.once import OnceRouter
from comfreyhatch.daemon.operators import OperatorHandler
from comfreyhatch.daemon.planner import Planner
from comfreyhatch.daemon.quarantine import Quarantine
from comfreyhatch.daemon.ratings import Ratings
from comfreyhatch.daemon.records import RecordBook
from comfreyhatch.daemon.rollout import ROLLOUT_PREFIX, RolloutBook, RolloutDriver
from comfreyhatch.daemon.router import Router
from comfreyhatch.daemon.segments import SegmentStore
from comfreyhatch.daemon.services import ServiceRouter
from comfreyhatch.daemon.sessions import Sessions
from comfreyhatch.daemon.shutdown import Shutdown
from comfreyhatch.decisions.configuration import Freshness
from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.decisions.shares import Peer
from comfreyhatch.domain.change import Change, WithdrawVersion
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.ports.peers import Member

FLUSH_S = 3.0

ROLLOUT_DRIVERS = 2

log = logging.getLogger("comfreyhatch.daemon")


class Addresses(Struct, frozen=True):
    """Where a running daemon listens."""

    callers: Address
    operators: Address
    peers_http: Address


class Daemon:
    """One entry instance of the system."""

    def __init__(
        self,
        settings: Settings,
        key: bytes,
        seed: int | None = None,
        accepted_keys: tuple[bytes, ...] = (),
    ) -> None:
        """Build a daemon.

        Args:
            settings: Its settings.
            key: Fleet key, which signs.
            seed: Seed of its random choices; None takes the settings'.
            accepted_keys: Other fleet keys that are accepted.
        """
        keys = (key, *accepted_keys)
        own = settings.instance
        rng = Random(seed if seed is not None else settings.policy.seed or None)
        client = HttpClient()
        work_client = HttpClient(self._require_fresh)
        engine = HttpEngine(client, work_client)
        service = HttpPlainService(client, work_client)
        platform = settings.platform.address
        self._settings = settings
        self.zone = own.zone
        self._clients = (client, work_client)
        self._tasks: list[asyncio.Task[None]] = []
        self.incarnation = f"{own.id}-{int(time() * 1000):x}"
        self.registry = CollectorRegistry()
        self.metrics = RequestMetrics(self.registry)
        add_process_metrics(self.registry)
        instances = HttpInstanceList(client, platform)
        self._own = Instance(own.id, Role.DAEMON, own.zone, Address("", 0))
        self.directory = Directory(instances, self._own)
        self.bus = NngBus(own.id, keys)
        PeerMetrics(self.registry, self.bus.count_by_event)
        table = HttpTable(client, platform, settings.platform.timeout_s)
        objects = HttpObjectStore(client, platform)
        changes = ChangeLog(table, objects)
        nowhere = Address("", 0)
        member = Member(own.id, self.incarnation, own.zone, nowhere, nowhere)
        seeds = tuple(settings.peers.seed_addresses)
        self.membership = Membership(self.bus, member, seeds, lambda: self.directory.members)
        self.list_feed = ListFeed(self.directory, self.bus, self.membership)
        self.keeper = ConfigurationKeeper(changes, self.bus, self.membership, rng=rng)
        self.changes = Editor(changes, self.keeper, self.membership)
        self.pool = EndpointPool(
            self.directory,
            lambda: self.membership.view,
            Peer(own.id, self.incarnation),
            own.zone,
            engine,
            service,
            self.bus,
            settings.endpoints.orphan_hold_s,
        )
        segments = SegmentStore(objects, table)
        self.journal = Journal(
            self.bus,
            lambda: self.membership.view,
            segments,
            own.id,
            own.zone,
            self.incarnation,
            self.registry,
        )
        self.buddies = Buddies(
            self.bus, lambda: self.membership.view, segments, own.id, self.registry
        )
        self.budgets = Budgets(
            table,
            self.incarnation,
            lambda: len(self.membership.view.member_by_id),
            self.registry,
        )
        self.claims = Claims(table, self.bus, own.id, self.incarnation, self.registry)
        self.minted = MintedKeys(table, keys, own.id, self.incarnation, self.registry)
        self.quarantine = Quarantine(
            self.incarnation,
            own.id,
            lambda: self.changes.config,
            lambda: self.membership.view,
            self.bus,
            enabled=settings.policy.quarantine,
            withdraw=self._withdraw,
        )
        self.burn = BurnBook(
            HttpObjectStore(client, platform),
            self.incarnation,
            lambda: self.changes.config.contract_by_customer,
            self.quarantine.quarantined,
        )
        self.records = RecordBook(self.burn.observe, self.journal)
        self.ratings = Ratings(
            HttpRatingService(client, platform),
            self.incarnation,
            settings.policy.ratings_per_s,
            rng,
            own.id,
            lambda: self.membership.view,
            self.bus,
        )
        self.dispatcher = dispatcher = Dispatcher(
            own.id,
            self.pool,
            engine,
            service,
            self.keeper.admit,
            rng,
            lambda: self.changes.config,
            settings.policy,
            self.quarantine.quarantined,
        )
        planner = Planner(
            lambda: self.changes.config, self.ratings, self.quarantine, rng, settings.policy.plans
        )
        learner = Learner(planner, self.ratings, self.quarantine, rng, self.burn.observe_rating)
        forwarder = Forwarder(
            own.id, own.zone, key, lambda: self.membership.view, rng, self._require_fresh
        )
        self.sessions = Sessions(
            own.id,
            keys,
            self.bus,
            lambda: self.membership.view,
            quarantined=self.quarantine.quarantined,
        )
        self.membership.on_change(self.sessions.view_changed)
        onward = Forwarder(
            own.id,
            own.zone,
            key,
            lambda: self.membership.view,
            rng,
            self._require_fresh,
            hop=MAX_HOPS,
        )
        self.router = Router(
            dispatcher,
            forwarder,
            self.records,
            lambda: self.changes.config,
            planner,
            learner,
            rng,
            self.sessions,
            self.budgets,
        )
        once = OnceRouter(self.claims, self.minted, forwarder, lambda: self.membership.view)
        services = ServiceRouter(
            dispatcher, forwarder, self.records, lambda: self.changes.config, rng, once
        )
        callers = CallerHandler(
            own.id,
            self.incarnation,
            self.router,
            services,
            lambda: self.keeper.config,
            self.keeper.latest,
            lambda: self.keeper.ready,
            self.minted.mint,
        )
        self.reporter = FleetReporter(
            own.id, own.zone, self.changes, self.membership, self.directory, self.pool, self.ready
        )
        self.reporter.quarantined = self.quarantine.quarantined
        self.reporter.spent_by_customer = self.budgets.spent_by_customer
        self.reporter.journal_lag = lambda: self.journal.lag
        self.reporter.cut_off = lambda: (self.keeper.freshness(monotonic()) is Freshness.CUT_OFF)
        explanations = Explanations(
            self.bus,
            lambda: self.membership.view,
            own.id,
            self.records,
            self.journal,
            self.buddies,
            segments,
        )
        self.reporter.journal_lag = lambda: self.journal.lag
        operators = OperatorHandler(
            self.changes,
            explanations,
            self.burn,
            self.reporter,
            self.registry,
            self.ready,
            RolloutBook(table),
        )
        self.rollouts = RolloutDriver(
            self.incarnation,
            table,
            HttpWeightStore(client, platform),
            engine,
            lambda: self.directory.endpoint_by_id,
            self._edit_for_rollout,
            may_grow=lambda version_id: version_id not in self.quarantine.quarantined(),
            is_candidate=self._drives_rollouts,
        )
        self._caller_server = HttpServer(callers.handle, settings.limits)
        self._operator_server = HttpServer(operators.handle, HttpLimits())
        forwarded = ForwardedWork(dispatcher, keys, onward)
        forwarded.run_minted = services.run_minted
        self._forwarded = forwarded
        self._peer_server = HttpServer(forwarded.handle, HttpLimits())
        self.shutdown = Shutdown(
            settings.shutdown,
            self.membership,
            self.directory,
            (self._caller_server, self._peer_server),
        )
        self.shutdown.on_flush(self.pool.leave)
        self.shutdown.on_flush(lambda: self.sessions.hand_over(leaving=True))
        self.shutdown.on_flush(lambda: self.minted.close(FLUSH_S))
        self.shutdown.on_flush(lambda: self.claims.drain(FLUSH_S))
        self.shutdown.on_flush(self.budgets.return_unused)
        self.shutdown.on_flush(lambda: self.journal.close(FLUSH_S))

    def ready(self) -> bool:
        """Return whether the daemon may take requests."""
        return self.keeper.ready and not self.shutdown.leaving

    def _require_fresh(self) -> None:
        self.keeper.require_fresh(monotonic())

    async def start(self) -> Addresses:
        """Start the listeners and the tasks; returns when they run."""
        settings = self._settings
        peers_http = await self._peer_server.start(settings.peers.host, settings.peers.http_port)
        self._forwarded.address = peers_http
        control = await self.bus.start(settings.peers.host, settings.peers.control_port)
        self.membership.set_addresses(control, peers_http)
        self.directory.announce_as(peers_http, control)
        for part in (
            self.list_feed,
            self.membership,
            self.keeper,
            self.pool,
            self.sessions,
            self.rollouts,
            self.ratings,
            self.quarantine,
            self.burn,
            self.journal,
            self.buddies,
        ):
            self._start_task(part.run())
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

    def _drives_rollouts(self) -> bool:
        members = self.membership.view.member_by_id.values()
        names = [member.instance_id for member in members if not member.leaving]
        drivers = rendezvous_order(ROLLOUT_PREFIX, names)[:ROLLOUT_DRIVERS]
        return self._settings.instance.id in drivers

    async def _edit_for_rollout(self, change: Change, edit_id: str) -> None:
        await self.changes.apply(change, edit_id, self._settings.instance.id)

    async def _withdraw(self, version_id: str, edit_id: str) -> None:
        """Withdraw a version that failed its test."""
        await self.changes.apply(WithdrawVersion(version_id), edit_id, self._settings.instance.id)

    async def shut_down(self) -> None:
        """Carry out the planned stop: leave the balancer and the peers first."""
        await self.shutdown.run()
        await self._close()

    async def stop(self) -> None:
        """Stop without waiting for a balancer; running requests end first."""
        await self.shutdown.leave()
        await self.shutdown.finish()
        await self._close()

    async def _close(self) -> None:
        await self._operator_server.stop(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.claims.close()
        await self.bus.stop()
        await self.burn.flush(time())
        for client in self._clients:
            client.close()
        log.info("event=daemon_stopped instance=%s", self._settings.instance.id)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        log.critical("event=task_failed", exc_info=task.exception())
