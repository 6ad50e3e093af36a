"""Metrics of the budgets of extra requests."""

from time import monotonic

from prometheus_client import CollectorRegistry, Gauge

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget


class ExtraRequestMetrics:
    """Shows what is left of each service's budget, and what is reserved in it."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create it without budgets.

        Args:
            registry: Registry of the metrics.
        """
        self._left = Gauge(
            "comfreyhatch_extra_requests_left",
            "Extra requests that this daemon may send now.",
            ["service"],
            registry=registry,
        )
        self._reserved = Gauge(
            "comfreyhatch_extra_requests_reserved",
            "Extra requests that may arrive yet.",
            ["service"],
            registry=registry,
        )

    def add(self, service: str, budget: ExtraRequestBudget) -> None:
        """Show the budget of a service."""
        self._left.labels(service).set_function(lambda: budget.remaining(monotonic()))
        self._reserved.labels(service).set_function(lambda: budget.reserved)
