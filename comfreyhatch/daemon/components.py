"""Construction and wiring of a daemon's components."""

import logging
from random import Random
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit
from time import monotonic, time

from msgspec.structs import replace
from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.metrics import (
    ClientMetrics,
    OddAnswerMetrics,
    PeerMetrics,
    RequestMetrics,
    add_gauge,
    add_process_metrics,
)
from comfreyhatch.adapters.objects_http import HttpObjectStore
from comfreyhatch.adapters.peer_bus import NngBus
from comfreyhatch.adapters.platform_http import HttpInstanceList, HttpRatingService, HttpWeightStore
from comfreyhatch.adapters.service_http import HttpPlainService
from comfreyhatch.adapters.settings import Settings
from comfreyhatch.adapters.table_http import HttpTable
from comfreyhatch.daemon.config.change_log import ChangeLog
from comfreyhatch.daemon.config.config_sync import ConfigSync
from comfreyhatch.daemon.config.editor import ConfigEditor
from comfreyhatch.daemon.dispatch.dispatcher import Dispatcher
from comfreyhatch.daemon.dispatch.slot_pool import SlotPool
from comfreyhatch.daemon.fleet_state import FleetReporter
from comfreyhatch.daemon.history.burn_store import BurnStore
from comfreyhatch.daemon.history.journal import Journal
from comfreyhatch.daemon.history.journal_copies import JournalCopies
from comfreyhatch.daemon.history.record_finder import RecordFinder
from comfreyhatch.daemon.history.records import RecordStore
from comfreyhatch.daemon.history.segments import SegmentStore
from comfreyhatch.daemon.idempotency.claims import ClaimManager
from comfreyhatch.daemon.idempotency.idempotency_router import IdempotencyRouter
from comfreyhatch.daemon.idempotency.minted import MintedKeys
from comfreyhatch.daemon.limits.budgets import Budgets
from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.list_feed import ListFeed
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.daemon.operators import OperatorHandler
from comfreyhatch.daemon.requests.callers import CallerHandler, outlives_caller
from comfreyhatch.daemon.requests.forwarding import MAX_HOPS, ForwardedRequestHandler, Forwarder
from comfreyhatch.daemon.requests.router import Router
from comfreyhatch.daemon.requests.services import ServiceRouter
from comfreyhatch.daemon.requests.sessions import SessionResolver
from comfreyhatch.daemon.shutdown import Shutdown
from comfreyhatch.daemon.versions.outcome_recorder import OutcomeRecorder
from comfreyhatch.daemon.versions.planner import Planner
from comfreyhatch.daemon.versions.quarantine import Quarantine
from comfreyhatch.daemon.versions.ratings import RatingCollector
from comfreyhatch.daemon.versions.rollout import ROLLOUT_PREFIX, RolloutDriver, RolloutStore
from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.decisions.configuration import Freshness
from comfreyhatch.decisions.connection_limits import (
    PROBE_CONNECTIONS,
    caller_connections,
    listener_connections,
)
from comfreyhatch.decisions.memory_account import MemoryAccount
from comfreyhatch.decisions.rendezvous import rendezvous_order
from comfreyhatch.decisions.shares import Peer
from comfreyhatch.domain.change import Change, WithdrawVersion
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.ports.peers import Member, MembershipView

# Time for one step of the flush at a shutdown to store its data.
FLUSH_STEP_S = 3.0
# Daemons that read the roll-outs and drive them under leases, the first in rendezvous order.
ROLLOUT_DRIVERS = 2

# A page of a table has at most 1,000 rows of 64 KiB.
PLATFORM_ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# Parts of the file descriptors for the connections of callers, other daemons and operators; what is
# left is for connections to endpoints and other daemons.
CALLERS_FDS_SHARE = 1 / 2
PEERS_FDS_SHARE = 1 / 4
OPERATORS_FDS_SHARE = 1 / 16

log = logging.getLogger("comfreyhatch.daemon")


class Components:
    """The components of one daemon, built but not started."""

    def __init__(
        self,
        settings: Settings,
        key: bytes,
        seed: int | None = None,
        accepted_keys: tuple[bytes, ...] = (),
    ) -> None:
        """Build the components.

        Args:
            settings: Settings of the daemon.
            key: Fleet key that signs.
            seed: Seed of the random choices; None takes the one of the settings.
            accepted_keys: Further fleet keys whose signatures are accepted.
        """
        own = settings.instance
        self._settings = settings
        self._key = key
        self._keys = (key, *accepted_keys)
        self._own_id = own.id
        self.zone = own.zone
        self.incarnation = f"{own.id}-{int(time() * 1000):x}"
        self._rng = Random(seed if seed is not None else settings.policy.seed or None)
        self._build_metrics()
        self._build_clients()
        self._build_control_plane()
        self._build_records()
        self._build_version_choice()
        self._build_request_paths()
        self._build_operator_access()
        self._build_shutdown()

    def _view(self) -> MembershipView:
        return self.membership.view

    def _config(self) -> FleetConfig:
        return self.config_editor.config

    def _build_metrics(self) -> None:
        self.registry = CollectorRegistry()
        self.metrics = RequestMetrics(self.registry)
        add_process_metrics(self.registry)
        OddAnswerMetrics(self.registry, lambda: self._clients)
        add_gauge(
            self.registry,
            "configuration_revision",
            "Configuration revision in force.",
            lambda: self.config_sync.config.revision,
        )
        add_gauge(
            self.registry,
            "requests_waiting_for_slots",
            "Requests that every source refused as full and that are offered again.",
            lambda: self.router.waiting_for_slots,
        )

    def _build_clients(self) -> None:
        """Build the clients of the platform and of the endpoints."""
        platform = self._settings.platform
        client = HttpClient(whole_limit_bytes=PLATFORM_ANSWER_LIMIT_BYTES)
        work_client = HttpClient(self._require_fresh)
        self._clients: tuple[HttpClient, ...] = (client, work_client)
        self._engine = HttpEngine(client, work_client)
        memory_mb = self._settings.resources.memory_mb
        self._account = MemoryAccount(memory_mb)
        memory = AnswerMemory(memory_mb, self._account, monotonic)
        self._service = HttpPlainService(client, work_client, memory.hold)
        self._table = HttpTable(client, platform.address, platform.timeout_s)
        self._objects = HttpObjectStore(client, platform.address)
        self._rating_service = HttpRatingService(client, platform.address)
        self._weights = HttpWeightStore(client, platform.address)
        self._instances = HttpInstanceList(client, platform.address)

    def _build_control_plane(self) -> None:
        """Build membership, configuration and the slots of the endpoints."""
        unset_address = Address("", 0)
        own = Instance(self._own_id, Role.DAEMON, self.zone, unset_address)
        member = Member(self._own_id, self.incarnation, self.zone, unset_address, unset_address)
        seeds = tuple(self._settings.peers.seed_addresses)
        self.directory = InstanceDirectory(self._instances, own)
        self.bus = NngBus(self._own_id, self._keys)
        PeerMetrics(self.registry, self.bus.count_by_event)
        self.membership = Membership(self.bus, member, seeds, lambda: self.directory.members)
        self.list_feed = ListFeed(self.directory, self.bus, self.membership)
        change_log = ChangeLog(self._table, self._objects)
        self.config_sync = ConfigSync(change_log, self.bus, self.membership, rng=self._rng)
        self.config_editor = ConfigEditor(change_log, self.config_sync, self.membership)
        self.pool = SlotPool(
            self.directory,
            self._view,
            Peer(self._own_id, self.incarnation),
            self.zone,
            self._engine,
            self._service,
            self.bus,
            self._settings.endpoints.orphan_hold_s,
        )

    def _build_records(self) -> None:
        """Build the stores of request records, budgets and idempotency claims."""
        self._segments = SegmentStore(self._objects, self._table)
        self.journal = Journal(
            self.bus,
            self._view,
            self._segments,
            self._own_id,
            self.zone,
            self.incarnation,
            self.registry,
        )
        self.journal_copies = JournalCopies(
            self.bus, self._view, self._segments, self._own_id, self.registry
        )
        self.budgets = Budgets(
            self._table, self.incarnation, lambda: len(self._view().member_by_id), self.registry
        )
        self.claims = ClaimManager(
            self._table, self.bus, self._own_id, self.incarnation, self.registry
        )
        self.minted = MintedKeys(
            self._table, self._keys, self._own_id, self.incarnation, self.registry
        )
        self.records = RecordStore(self._observe_record, self.journal)

    def _build_version_choice(self) -> None:
        """Build the components that choose a version and record the outcomes of versions."""
        policy = self._settings.policy
        self.quarantine = Quarantine(
            self.incarnation,
            self._own_id,
            self._config,
            self._view,
            self.bus,
            enabled=policy.quarantine,
            withdraw=self._withdraw,
        )
        self.burn = BurnStore(
            self._objects,
            self.incarnation,
            lambda: self._config().contract_by_customer,
            self.quarantine.quarantined,
        )
        self.ratings = RatingCollector(
            self._rating_service,
            self.incarnation,
            policy.ratings_per_s,
            self._rng,
            self._own_id,
            self._view,
            self.bus,
        )
        self.sessions = SessionResolver(
            self._own_id,
            self._keys,
            self.bus,
            self._view,
            quarantined=self.quarantine.quarantined,
        )
        self.membership.on_change(self.sessions.on_view_change)
        self._planner = Planner(
            self._config, self.ratings, self.quarantine, self._rng, policy.plans
        )
        self._outcome_recorder = OutcomeRecorder(
            self._planner, self.ratings, self.quarantine, self._rng, self.burn.observe_rating
        )

    def _build_request_paths(self) -> None:
        """Build the request handlers and the listeners for callers and peers."""
        self.dispatcher = Dispatcher(
            self._own_id,
            self.pool,
            self._engine,
            self._service,
            self.config_sync.authorize_dispatch,
            self._rng,
            self._config,
            self._settings.policy,
            self.quarantine.quarantined,
        )
        forwarder = self._forwarder(hop=1)
        self.router = Router(
            self.dispatcher,
            forwarder,
            self.records,
            self._config,
            self._planner,
            self._outcome_recorder,
            self._rng,
            self.sessions,
            self.budgets,
        )
        idempotency = IdempotencyRouter(self.claims, self.minted, forwarder, self._view)
        services = ServiceRouter(
            self.dispatcher, forwarder, self.records, self._config, self._rng, idempotency
        )
        callers = CallerHandler(
            self._own_id,
            self.incarnation,
            self.router,
            services,
            lambda: self.config_sync.config,
            self.config_sync.latest,
            lambda: self.config_sync.ready,
            self.minted.mint,
        )
        self._forwarded = ForwardedRequestHandler(
            self.dispatcher, self._keys, self._forwarder(hop=MAX_HOPS)
        )
        self._forwarded.run_minted = services.run_minted
        self._caller_server = HttpServer(
            callers.handle,
            self._listener_limits(self._settings.limits, CALLERS_FDS_SHARE),
            cancel_on_disconnect=True,
            outlives_caller=outlives_caller,
            account=self._account,
        )
        self._peer_server = HttpServer(
            self._forwarded.handle,
            self._listener_limits(HttpLimits(), PEERS_FDS_SHARE),
            cancel_on_disconnect=True,
            account=self._account,
        )

    def _listener_limits(self, limits: HttpLimits, fds_share: float) -> HttpLimits:
        """Return limits with no more connections than the resources of the process allow.

        Args:
            limits: Limits by the settings.
            fds_share: Part of the file descriptors for the listener.
        """
        resources = self._settings.resources
        allowed = caller_connections(resources.memory_mb)
        max_fds = resources.max_fds or getrlimit(RLIMIT_NOFILE)[0]
        if max_fds != RLIM_INFINITY:
            allowed = min(allowed, listener_connections(max_fds, fds_share, PROBE_CONNECTIONS))
        return replace(limits, connections=min(limits.connections, allowed))

    def _forwarder(self, hop: int) -> Forwarder:
        forwarder = Forwarder(
            self._own_id,
            self.zone,
            self._key,
            self._view,
            self._rng,
            self._require_fresh,
            hop=hop,
        )
        self._clients += (forwarder.client,)
        return forwarder

    def _build_operator_access(self) -> None:
        """Build the operators' listener and the roll-out driver."""
        self.reporter = FleetReporter(
            self._own_id,
            self.zone,
            self.config_editor,
            self.membership,
            self.directory,
            self.pool,
            self.ready,
        )
        self.reporter.quarantined = self.quarantine.quarantined
        self.reporter.spent_by_customer = self.budgets.spent_by_customer
        self.reporter.journal_lag = lambda: self.journal.lag
        self.reporter.cut_off = lambda: self.config_sync.freshness(monotonic()) is Freshness.CUT_OFF
        record_finder = RecordFinder(
            self.bus,
            self._view,
            self._own_id,
            self.records,
            self.journal,
            self.journal_copies,
            self._segments,
        )
        operators = OperatorHandler(
            self.config_editor,
            record_finder,
            self.burn,
            self.reporter,
            self.registry,
            self.ready,
            RolloutStore(self._table),
        )
        self._operator_server = HttpServer(
            operators.handle,
            self._listener_limits(HttpLimits(), OPERATORS_FDS_SHARE),
            account=self._account,
        )
        servers = {
            "callers": self._caller_server,
            "peers": self._peer_server,
            "operators": self._operator_server,
        }
        ClientMetrics(self.registry, self._account, servers)
        self.rollouts = RolloutDriver(
            self.incarnation,
            self._table,
            self._weights,
            self._engine,
            lambda: self.directory.endpoint_by_id,
            self._edit_for_rollout,
            may_grow=self._may_increase_share,
            is_candidate=self._is_rollout_driver,
        )

    def _build_shutdown(self) -> None:
        self.shutdown = Shutdown(
            self._settings.shutdown,
            self.membership,
            self.directory,
            (self._caller_server, self._peer_server),
        )
        self.shutdown.on_flush(self.pool.leave)
        self.shutdown.on_flush(lambda: self.sessions.hand_over(leaving=True))
        self.shutdown.on_flush(lambda: self.minted.close(FLUSH_STEP_S))
        self.shutdown.on_flush(lambda: self.claims.drain(FLUSH_STEP_S))
        self.shutdown.on_flush(self.budgets.return_unused)
        self.shutdown.on_flush(lambda: self.journal.close(FLUSH_STEP_S))

    def _observe_record(self, record: RequestRecord) -> None:
        self.metrics.observe(record)
        self.burn.observe(record)

    def _may_increase_share(self, version_id: str) -> bool:
        blocker = self.quarantine.growth_blocker(version_id)
        if blocker:
            log.info("event=roll_out_held version=%s reason=%r", version_id, blocker)
        return not blocker

    def ready(self) -> bool:
        """Return whether the daemon is ready to accept requests."""
        return self.config_sync.ready and not self.shutdown.leaving

    def _require_fresh(self) -> None:
        self.config_sync.require_fresh(monotonic())

    def _is_rollout_driver(self) -> bool:
        members = self.membership.view.member_by_id.values()
        names = [member.instance_id for member in members if not member.leaving]
        drivers = rendezvous_order(ROLLOUT_PREFIX, names)[:ROLLOUT_DRIVERS]
        return self._settings.instance.id in drivers

    async def _edit_for_rollout(self, change: Change, edit_id: str) -> None:
        await self.config_editor.apply(change, edit_id, self._settings.instance.id)

    async def _withdraw(self, version_id: str, edit_id: str) -> None:
        """Withdraw a version for which the quarantine found a regression."""
        await self.config_editor.apply(
            WithdrawVersion(version_id), edit_id, self._settings.instance.id
        )
