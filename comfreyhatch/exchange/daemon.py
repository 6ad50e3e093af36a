"""The daemon on the platform: wiring of its parts, start and graceful shutdown."""

import asyncio
import logging
import socket
from functools import partial
from random import Random
from time import monotonic

from prometheus_client import CollectorRegistry, generate_latest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.adapters.metrics import ClientMetrics, OddAnswerMetrics, add_gauge
from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.decisions.connection_limits import PROBE_CONNECTIONS
from comfreyhatch.decisions.former_attempts import FormerAttempts
from comfreyhatch.decisions.isolation import should_report_unready
from comfreyhatch.decisions.memory_account import MemoryAccount
from comfreyhatch.decisions.path_probes import PathProbes
from comfreyhatch.decisions.relay_choice import RelayChoice
from comfreyhatch.decisions.trial_shares import canary_share
from comfreyhatch.decisions.unread_attempts import UnreadAttempts
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.instance import Address
from comfreyhatch.exchange.billing import Billing
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.crash_probe import CrashProbe
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.endpoint_limits import EndpointLimits
from comfreyhatch.exchange.endpoint_notices import EndpointNotices
from comfreyhatch.exchange.endpoint_paths import EndpointPaths
from comfreyhatch.exchange.endpoint_rates import EndpointRates
from comfreyhatch.exchange.endpoint_reads import EndpointReads
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.extra_request_budgets import ExtraRequestBudgets
from comfreyhatch.exchange.gauges import (
    add_peer_gauges,
    add_rollout_gauges,
    add_scheduler_gauges,
    add_view_gauges,
    at_present,
)
from comfreyhatch.exchange.header_codec import HeaderCodec
from comfreyhatch.exchange.listener_limits import (
    caller_limits,
    configured_limits,
    relay_limits,
)
from comfreyhatch.exchange.liveness_probe import LivenessProbe
from comfreyhatch.exchange.load.load_probes import LoadProbes
from comfreyhatch.exchange.load.load_view import LoadView
from comfreyhatch.exchange.loop_lag import LoopLagMonitor
from comfreyhatch.exchange.lost_answers import LostAnswers
from comfreyhatch.exchange.part_guard import PartGuard
from comfreyhatch.exchange.path_monitor import PathMonitor
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.peers import PeerListener, PeerPermitChannel
from comfreyhatch.exchange.permits import PermitClient
from comfreyhatch.exchange.recovery import (
    SHARED_SPREAD_S,
    USAGE_SPREAD_S,
    LostRows,
    StoreRecovery,
)
from comfreyhatch.exchange.relay_client import RelayClient
from comfreyhatch.exchange.relay_listener import RelayListener, busy_refusal
from comfreyhatch.exchange.request_counter import RequestCounter
from comfreyhatch.exchange.request_guard import RequestGuard
from comfreyhatch.exchange.rollouts import RolloutController
from comfreyhatch.exchange.router import ExchangeRouter
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.sender import Sender
from comfreyhatch.exchange.session_pins import SessionPins
from comfreyhatch.exchange.silence_probes import SilenceProbes
from comfreyhatch.exchange.stream_proxy import StreamProxy
from comfreyhatch.exchange.telemetry import RequestTelemetry
from comfreyhatch.exchange.unary_proxy import UnaryProxy
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import Directory

ENDPOINT_CONNECT_TIMEOUT_S = 0.3
PEER_CONNECT_TIMEOUT_S = 0.2
# Time between the first failing readiness check and the close of the callers' listener, for the
# balancer to stop sending connections.
BALANCER_DRAIN_S = 2.4
# Part of `Bounds.grace_s` reserved for closing after the last running requests were cut.
CLOSE_MARGIN_S = 0.4
# Longest wait at the start for orders and endpoints, and the interval at which their arrival is
# checked. Callers that connect meanwhile wait instead of being refused for lack of a configuration.
START_DIRECTORY_WAIT_S = 0.7
START_CHECK_INTERVAL_S = 0.01
# Time for which a session is pinned after its last request began, in `Bounds.session_s`: its answer
# may take as long as the pause after it.
PIN_LIFE_SESSIONS = 2.0
METRICS_TYPE = "text/plain; version=0.0.4"

log = logging.getLogger("comfreyhatch.daemon")


class ExchangeDaemon:
    """One daemon on an entry instance; owns its listeners, tasks and connections."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Directory,
        codec: HeaderCodec,
        rng: Random,
        run: int,
        slack_from: float = 0.0,
    ) -> None:
        """Create a daemon; nothing is opened yet.

        Args:
            deployment: Settings of this daemon.
            directory: Source of orders, endpoints and the daemons' records.
            codec: Codec of callers' and endpoints' headers.
            rng: Seeded source of jitter and random choices.
            run: Number of this run of the process, for its usage.
            slack_from: Monotonic time in seconds from which it uses its part of
                `Bounds.retry_slack`.
        """
        self._deployment = deployment
        self._loop_lag = LoopLagMonitor()
        self.registry = CollectorRegistry()
        self.view = FleetView()
        self._unread = UnreadAttempts()
        former = FormerAttempts(deployment.bounds.retry_window_s, slack_from > monotonic())
        self._budgets = ExtraRequestBudgets(
            deployment,
            self.view.daemons,
            lambda service: self.view.trackers_by_service.get(service, ()),
            self._unread,
            former,
            self.registry,
            slack_from,
        )
        self._client = HttpClient(connect_timeout_s=ENDPOINT_CONNECT_TIMEOUT_S)
        liveness = LivenessProbe(self._client, lambda: self.view.catalog)
        self._evidence = EvidenceCollector(
            deployment.instance, self.view, LostAnswers(self.view, liveness)
        )
        self._rollouts = RolloutController(deployment, directory, self.view, self._evidence)
        self._reports = PeerReports(monotonic())
        self._pins = SessionPins(
            self.view,
            self._reports,
            canary_share(deployment.bounds.expose_share),
            PIN_LIFE_SESSIONS * deployment.bounds.session_s,
        )
        telemetry = RequestTelemetry(self.registry)
        self._account = MemoryAccount(deployment.memory_mb)
        memory = AnswerMemory(deployment.memory_mb, self._account, monotonic)
        self._limits = EndpointLimits(self._reports, self.registry)
        self._paths = EndpointPaths(self.view, self._client, self.registry)
        self._relays = RelayClient(
            deployment.instance,
            HttpClient(connect_timeout_s=PEER_CONNECT_TIMEOUT_S),
            lambda: self.view.relays_in(deployment.region),
            RelayChoice(rng),
            self.registry,
        )
        self._probes = SilenceProbes(self._client, lambda: self.view.catalog)
        sender = Sender(
            self._client,
            codec,
            telemetry.count_attempt,
            memory,
            self._limits,
            self._paths,
            self._relays,
            EndpointNotices(self.view, self._reports),
            EndpointReads(self._unread, former, self._probes.begin),
        )
        self._path_monitor = PathMonitor(
            self.view, self._client, self._paths, PathProbes(rng), sender.note_refused
        )
        self._billing = Billing(deployment.instance, run, directory)
        probe = CrashProbe(self.view, sender.is_down, sender.is_unreachable, rng)
        self._crashes = CrashGuard(
            PartGuard(deployment.instance, self.view.daemons, self.registry, self._reports, rng),
            RequestGuard(deployment.instance, self.view.daemons, self.registry, self._reports, rng),
            probe.has_crashed,
        )
        self._rates = EndpointRates(
            deployment,
            self.view,
            self._limits,
            PermitClient(self._connect_permits),
            self.registry,
            rng,
            monotonic(),
        )
        self._load_probes = LoadProbes(
            self._client, codec, lambda: self.view.catalog, self.registry
        )
        self._scheduler = EndpointScheduler(
            deployment,
            self.view,
            rng,
            self._rollouts.is_bad_version,
            self._pins,
            self._rates,
            self._crashes.refusal,
            LoadView(deployment, self.view, self._load_probes, rng),
        )
        self._relay_listener = RelayListener(
            self.view,
            self._client,
            codec,
            self._paths,
            sender.note_relayed_head,
            self._scheduler.in_service,
            self.registry,
        )
        self._relay_server = HttpServer(
            self._relay_listener.handle,
            relay_limits(caller_limits(deployment), deployment),
            True,
            account=self._account,
            refuse=busy_refusal,
        )
        self._sync = DirectorySync(
            deployment,
            directory,
            self.view,
            rng,
            self._on_view_change,
            self._reports,
            self._rates.answer,
            went_on_at=self._went_on_at,
        )
        self._counter = RequestCounter(
            self.view, self._budgets.of, self._went_on_at, deployment.bounds.retry_window_s
        )
        self._recovery = StoreRecovery(
            rng,
            self.registry,
            (
                LostRows("control", SHARED_SPREAD_S, self._sync.addresses.publish_again),
                LostRows("evidence", SHARED_SPREAD_S, self._rollouts.store_evidence_again),
                LostRows("rollouts", 0.0, self._rollouts.await_lost_steps),
                LostRows("usage", USAGE_SPREAD_S, self._billing.store_again),
            ),
        )
        self._router = ExchangeRouter(
            codec,
            self.view,
            UnaryProxy(
                self._scheduler,
                sender,
                self._budgets.of,
                self._evidence,
                self._billing.bill_request,
                self._crashes,
            ),
            StreamProxy(
                self._scheduler,
                sender,
                self._budgets.of,
                self._evidence,
                self._bill_stream,
                telemetry.count_cascade_answer,
                self._crashes,
                self._load_probes.verify,
            ),
            self._counter,
            telemetry,
        )
        self._callers = HttpServer(
            self._router.handle,
            caller_limits(deployment),
            True,
            account=self._account,
            refuse=codec.refusal,
        )
        probes = HttpLimits(connections=PROBE_CONNECTIONS)
        self._readiness = HttpServer(self._answer_readiness, probes, account=self._account)
        self._metrics = HttpServer(self._answer_metrics, probes, account=self._account)
        control = str(deployment.control) if deployment.control else ""
        self._peers = PeerListener(control, self._sync.answer) if control else None
        self.shutting_down = False
        self._unready_while_cut_off = False
        self._add_gauges()

    async def start(
        self, metrics: Address | None = None, callers: socket.socket | None = None
    ) -> None:
        """Start the tasks and open the listeners.

        Args:
            metrics: Address of the metrics listener; None for no such listener.
            callers: Socket that listens on the callers' address already; None to open one.
        """
        self._loop_lag.start()
        if self._peers:
            self._peers.start()
        self._sync.start()
        self._path_monitor.start()
        self._rollouts.start()
        self._billing.start()
        await self._wait_for_directory()
        if callers:
            await self._callers.start_on(callers)
        else:
            await self._listen(self._callers, self._deployment.callers)
        await self._listen(self._readiness, self._deployment.readiness)
        if self._deployment.relay:
            await self._listen(self._relay_server, self._deployment.relay)
        if metrics:
            await self._listen(self._metrics, metrics)
        log.info(
            "event=started instance=%s zone=%s callers=%s",
            self._deployment.instance,
            self._deployment.zone,
            self._deployment.callers,
        )

    def ready(self) -> bool:
        """Return the result of the readiness check: whether the daemon should get new connections.

        False before there are orders and endpoints, during shutdown, and while the daemon is cut
        off from the directory and its peers and has too few endpoints within reach.
        """
        if not self.view.ready() or self.shutting_down:
            return False
        now = asyncio.get_running_loop().time()
        before = self._unready_while_cut_off
        self._unready_while_cut_off = should_report_unready(
            self._sync.cut_off(now), self._scheduler.reachability(now), before
        )
        if self._unready_while_cut_off != before:
            log.warning("event=cut_off leaves_callers=%s", self._unready_while_cut_off)
        return not self._unready_while_cut_off

    async def shut_down(self) -> None:
        """Fail the readiness check, let running requests end within the grace period, and close."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._deployment.bounds.grace_s - CLOSE_MARGIN_S
        self.shutting_down = True
        log.info("event=stopping running=%d", self._callers.busy)
        self._callers.drain()
        await asyncio.sleep(BALANCER_DRAIN_S)
        self._router.stopping = True
        self._relay_listener.stopping = True
        await asyncio.gather(
            self._callers.stop(max(0.0, ends_at - loop.time())),
            self._relay_server.stop(max(0.0, ends_at - loop.time())),
        )
        await self.close()
        log.info("event=stopped")

    async def close(self) -> None:
        """Close all listeners, tasks and connections; running requests are cut."""
        self._loop_lag.stop()
        await self._callers.stop(0.0)
        await self._relay_server.stop(0.0)
        await self._path_monitor.stop()
        await self._probes.stop()
        await self._load_probes.stop()
        await self._recovery.stop()
        await self._billing.stop()
        await self._rollouts.stop()
        await self._evidence.stop()
        await self._sync.stop()
        await self._crashes.stop()
        await self._rates.stop()
        if self._peers:
            await self._peers.stop()
        await self._readiness.stop(0.0)
        await self._metrics.stop(0.0)
        self._client.close()
        self._relays.close()

    def _add_gauges(self) -> None:
        """Register the gauges of this daemon's current state."""
        view, client, callers = self.view, self._client, self._callers
        add_view_gauges(self.registry, view)
        add_scheduler_gauges(self.registry, self._scheduler)
        add_rollout_gauges(self.registry, self._rollouts)
        gauge = partial(add_gauge, self.registry)
        gauge("running_requests", "Requests under way.", lambda: callers.busy)
        gauge("connections_opened", "Connections to endpoints.", lambda: client.connections_opened)
        longest_lag_s = at_present(self._loop_lag.longest_s)
        gauge("loop_lag_seconds", "Longest lag of the event loop.", longest_lag_s)
        OddAnswerMetrics(self.registry, lambda: (client,))
        servers = {
            "callers": callers,
            "relay": self._relay_server,
            "readiness": self._readiness,
            "metrics": self._metrics,
        }
        ClientMetrics(self.registry, self._account, servers)
        if self._peers:
            add_peer_gauges(self.registry, self._peers)

    async def _wait_for_directory(self) -> None:
        """Wait up to START_DIRECTORY_WAIT_S for orders and endpoints."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + START_DIRECTORY_WAIT_S
        while not self.view.ready() and loop.time() < ends_at:
            await asyncio.sleep(START_CHECK_INTERVAL_S)

    async def _listen(self, server: HttpServer, address: Address) -> None:
        await server.start(address.host, address.port)

    def _connect_permits(self, daemon: str) -> PeerPermitChannel | None:
        """Return a connection over which a daemon is asked for permits; None without address."""
        address = self.view.control_by_daemon.get(daemon)
        return PeerPermitChannel(address) if address else None

    def _bill_stream(self, job: Job, model: str, events: int) -> None:
        self._billing.bill_stream(job, model, events, self.view.catalog)

    def _went_on_at(self) -> float:
        return self._loop_lag.went_on_at

    def _on_view_change(self) -> None:
        """Apply the limits of a new catalog, and serve the queues with the changed endpoints.

        A newer generation of the store begins its recovery.
        """
        if self.view.generation is not None:
            self._recovery.note_generation(self.view.generation)
        now = asyncio.get_running_loop().time()
        self._counter.count_waiting(now)
        self._pins.note_orders(now)
        catalog = self.view.catalog
        if catalog and catalog.limits:
            self._callers.limits = configured_limits(self._callers.limits, catalog.limits)
            self._relay_server.limits = relay_limits(self._callers.limits, self._deployment)
        for service in list(self.view.trackers_by_service):
            self._scheduler.serve_queue(service)

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if self.ready() else 503)

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, generate_latest(self.registry), METRICS_TYPE)
