"""Gauges of a daemon's parts, by name without the prefix of the project."""

import asyncio
from collections.abc import Callable

from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.exchange.peers import PeerListener
from comfreyhatch.exchange.rollouts import RolloutController
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.view import FleetView


def at_present(value_at: Callable[[float], float]) -> Callable[[], float]:
    """Return a function that gives a value at the present monotonic time, in seconds."""
    return lambda: value_at(asyncio.get_running_loop().time())


def add_view_gauges(registry: CollectorRegistry, view: FleetView) -> None:
    """Register what a daemon knows of the fleet, and how old that is."""

    def configuration_version() -> float:
        return view.catalog.version if view.catalog else 0

    def gauge(name: str, text: str, value: Callable[[], float]) -> None:
        add_gauge(registry, name, text, value)

    gauge("endpoints", "Endpoints known.", lambda: len(view.tracker_by_id))
    gauge("configuration", "Version of the configuration.", configuration_version)
    orders_age_s = at_present(view.operations_age_s)
    gauge("orders_age_seconds", "Age of the operators' orders.", orders_age_s)
    gauge("endpoints_age_seconds", "Age of the list.", at_present(view.endpoints_age_s))


def add_scheduler_gauges(registry: CollectorRegistry, scheduler: EndpointScheduler) -> None:
    """Register what waits for endpoints."""

    def gauge(name: str, text: str, value: Callable[[], float]) -> None:
        add_gauge(registry, name, text, value)

    policy = scheduler.admission.policy
    gauge("waiting_requests", "Requests that wait.", lambda: scheduler.queued)
    gauge("waiting_work_seconds", "Work of those that wait.", lambda: scheduler.queued_work_s)
    gauge("requests_displaced", "Requests refused for others.", lambda: policy.displaced)
    gauge("workspaces_over_share", "Workspaces over their share.", lambda: policy.over_share)


def add_rollout_gauges(registry: CollectorRegistry, rollouts: RolloutController) -> None:
    """Register the roll-outs that operators have to look at."""
    undecided, failing = rollouts.undecided_count, rollouts.failing_count
    add_gauge(registry, "rollouts_undecided", "Roll-outs not decided in time.", undecided)
    add_gauge(registry, "rollouts_failing", "Completed ones whose version fails.", failing)


def add_peer_gauges(registry: CollectorRegistry, peers: PeerListener) -> None:
    """Register what a daemon has answered to others."""
    add_gauge(registry, "peer_answers", "Queries of peers answered.", lambda: peers.answers)
    add_gauge(registry, "peer_bytes_sent", "Bytes of these answers.", lambda: peers.bytes_sent)
    add_gauge(registry, "peer_largest_bytes", "Largest of them.", lambda: peers.largest_bytes)
