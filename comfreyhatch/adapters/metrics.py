"""Metrics of the daemon in the format of prometheus_client, with bounded label sets."""

from collections.abc import Callable, Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.gc_collector import GCCollector
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.process_collector import ProcessCollector
from prometheus_client.registry import Collector

from comfreyhatch.adapters.answer_identity import AnswerOwner
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_link import AnswerFault, AnswerPart
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.decisions.memory_account import MemoryAccount, MemoryPart
from comfreyhatch.domain.record import Attempt, RequestRecord

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.46, 0.6, 1.0, 2.0, 5.0, 15.0)
DURATION_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
NO_VERSION = "none"
OTHER_VERSIONS = "other"
VERSIONS_NAMED = 50


class RequestMetrics:
    """Counts finished requests and their attempts.

    Labels are result codes, kinds and versions; versions beyond a bound share one label, so that
    no caller or operator can grow the number of series.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._named_versions: set[str] = set()
        self._requests = Counter(
            "comfreyhatch_requests", "Requests that ended.", ("kind", "code"), registry=registry
        )
        self._attempts = Counter(
            "comfreyhatch_attempts",
            "Dispatches to endpoints that ended.",
            ("version", "code"),
            registry=registry,
        )
        self._tokens = Counter(
            "comfreyhatch_tokens",
            "Tokens of answers and prompts.",
            ("version", "direction"),
            registry=registry,
        )
        self._cost = Counter(
            "comfreyhatch_cost_micros", "Billed micros.", ("version",), registry=registry
        )
        self._first_token = Histogram(
            "comfreyhatch_first_token_seconds",
            "Time from acceptance to the first token.",
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
        self._duration = Histogram(
            "comfreyhatch_request_seconds",
            "Time from acceptance to the end.",
            ("kind",),
            buckets=DURATION_BUCKETS_S,
            registry=registry,
        )

    def observe(self, record: RequestRecord) -> None:
        """Count a finished request."""
        self._requests.labels(record.kind, str(int(record.code))).inc()
        self._duration.labels(record.kind).observe(record.duration_s)
        if record.first_token_s is not None:
            self._first_token.observe(record.first_token_s)
        for attempt in record.attempts:
            self._observe_attempt(attempt)

    def _observe_attempt(self, attempt: Attempt) -> None:
        version = self._version_label(attempt.version_id)
        self._attempts.labels(version, str(int(attempt.code))).inc()
        self._tokens.labels(version, "input").inc(attempt.usage.input_tokens)
        self._tokens.labels(version, "output").inc(attempt.usage.output_tokens)
        self._cost.labels(version).inc(attempt.cost_micros)

    def _version_label(self, version_id: str) -> str:
        if not version_id:
            return NO_VERSION
        if version_id in self._named_versions:
            return version_id
        if len(self._named_versions) >= VERSIONS_NAMED:
            return OTHER_VERSIONS
        self._named_versions.add(version_id)
        return version_id


def add_gauge(
    registry: CollectorRegistry, name: str, meaning: str, value: Callable[[], float]
) -> None:
    """Add a gauge that is read when the metrics are asked for.

    Args:
        registry: Where to add it.
        name: Name without the common prefix.
        meaning: What it shows.
        value: Gives the present value.
    """
    Gauge(f"comfreyhatch_{name}", meaning, registry=registry).set_function(value)


class PeerMetrics(Collector):
    """Shows what the peer bus has counted: frames, bytes, and refusals by reason."""

    def __init__(self, registry: CollectorRegistry, count_by_event: Mapping[str, int]) -> None:
        self._count_by_event = count_by_event
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counts."""
        family = CounterMetricFamily(
            "comfreyhatch_peer_events",
            "Frames, bytes and refusals of messages between daemons.",
            labels=("event",),
        )
        for event, count in sorted(self._count_by_event.items()):
            family.add_metric((event,), count)
        yield family


class OddAnswerMetrics(Collector):
    """Shows how many answers exceeded a limit, were no valid answers, or were skipped."""

    def __init__(
        self, registry: CollectorRegistry, clients: Callable[[], Iterable[HttpClient]]
    ) -> None:
        """Register the metrics.

        Args:
            registry: Where to add them.
            clients: Returns the clients whose counts are summed.
        """
        self._clients = clients
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counts."""
        family = CounterMetricFamily(
            "comfreyhatch_answers_too_large",
            "Answers cut for a part beyond its limit, and bytes after the end of an answer.",
            labels=("part",),
        )
        clients = list(self._clients())
        for part in AnswerPart:
            count = sum(client.too_large_by_part[part] for client in clients)
            family.add_metric((part.value,), count)
        yield family
        yield self._rejected(clients)
        yield self._skipped(clients)

    def _rejected(self, clients: list[HttpClient]) -> CounterMetricFamily:
        family = CounterMetricFamily(
            "comfreyhatch_answers_rejected",
            "Answers that ended before their request was sent, ended with a reset, or had a status"
            " outside 100 to 599.",
            labels=("reason",),
        )
        for fault in AnswerFault:
            count = sum(client.rejected_by_fault[fault] for client in clients)
            family.add_metric((fault.value,), count)
        return family

    def _skipped(self, clients: list[HttpClient]) -> CounterMetricFamily:
        family = CounterMetricFamily(
            "comfreyhatch_answers_skipped",
            "Answers to other requests that came before an answer, by the id that they name.",
            labels=("named",),
        )
        for owner in (AnswerOwner.OTHER, AnswerOwner.UNNAMED):
            count = sum(client.skipped_by_owner[owner] for client in clients)
            family.add_metric((owner.value,), count)
        return family


class ClientMetrics(Collector):
    """Shows the memory and connections held for clients, and how many were turned away."""

    def __init__(
        self,
        registry: CollectorRegistry,
        account: MemoryAccount,
        server_by_listener: Mapping[str, HttpServer],
    ) -> None:
        """Register the metrics.

        Args:
            registry: Where to add them.
            account: Memory held for clients.
            server_by_listener: Listeners of the daemon by their names.
        """
        self._account = account
        self._server_by_listener = server_by_listener
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the present values and the counts."""
        held = GaugeMetricFamily(
            "comfreyhatch_client_memory_bytes", "Memory held for clients.", labels=("part",)
        )
        turned_away = CounterMetricFamily(
            "comfreyhatch_clients_turned_away",
            "Clients refused or closed for the memory that they held or wanted.",
            labels=("part",),
        )
        for part in MemoryPart:
            held.add_metric((part.value,), self._account.used_by_part[part])
            turned_away.add_metric((part.value,), self._account.turned_away_by_part[part])
        limit = GaugeMetricFamily(
            "comfreyhatch_client_memory_limit_bytes",
            "Most memory that is held for clients.",
            self._account.total_bytes,
        )
        yield from (held, limit, turned_away, *self._connections())

    def _connections(self) -> Iterator[Metric]:
        count = GaugeMetricFamily(
            "comfreyhatch_client_connections", "Connections of clients.", labels=("listener",)
        )
        limit = GaugeMetricFamily(
            "comfreyhatch_client_connections_limit",
            "Most connections of clients.",
            labels=("listener",),
        )
        closed = CounterMetricFamily(
            "comfreyhatch_client_connections_turned_away",
            "Connections closed for the limits on connections.",
            labels=("listener",),
        )
        for name, server in self._server_by_listener.items():
            count.add_metric((name,), server.connections)
            limit.add_metric((name,), server.limits.connections)
            closed.add_metric((name,), server.turned_away)
        yield from (count, limit, closed)


def add_process_metrics(registry: CollectorRegistry) -> None:
    """Add processor time, memory, open files and garbage collection of the process."""
    ProcessCollector(registry=registry)
    GCCollector(registry=registry)
