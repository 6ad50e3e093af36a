"""This daemon's budgets of extra requests, one a service, and what they show."""

import logging
from collections.abc import Callable, Sized
from time import monotonic

from prometheus_client import CollectorRegistry, Gauge

from comfreyhatch.adapters.metrics import add_gauge
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.former_attempts import FormerAttempts
from comfreyhatch.decisions.unread_attempts import UnreadAttempts
from comfreyhatch.domain.deployment import Deployment

# `Bounds.retry_slack` is divided among the known daemons, but among at least this many.
MIN_DAEMONS_SHARING_SLACK = 6

log = logging.getLogger("comfreyhatch.budget")


class ExtraRequestBudgets:
    """Creates the budgets, and keeps this daemon's part of the slack in them up to date."""

    def __init__(
        self,
        deployment: Deployment,
        daemons: Callable[[], Sized],
        endpoints: Callable[[str], Sized],
        unread: UnreadAttempts,
        former: FormerAttempts,
        registry: CollectorRegistry,
        slack_from: float,
    ) -> None:
        """Create it without budgets.

        Args:
            deployment: Settings of the daemon.
            daemons: Returns the daemons that are known.
            endpoints: Returns the endpoints of a service.
            unread: Attempts that may arrive yet; those that wait for too long are taken off.
            former: Which share of a budget is left to a former process.
            registry: Registry of the metrics.
            slack_from: Monotonic time in seconds from which the part of the slack is used.
        """
        self._deployment = deployment
        self._daemons = daemons
        self._endpoints = endpoints
        self._unread = unread
        self._former = former
        self._slack_from = slack_from
        self._budget_by_service: dict[str, ExtraRequestBudget] = {}
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
        self._oldest = Gauge(
            "comfreyhatch_extra_requests_oldest_seconds",
            "Age of the oldest extra request that may arrive yet.",
            ["service"],
            registry=registry,
        )
        self._held = Gauge(
            "comfreyhatch_extra_requests_held",
            "Share of the budget that is left to what a former process sent.",
            ["service"],
            registry=registry,
        )
        add_gauge(
            registry, "unread_attempts", "Attempts given up that may arrive yet.", unread.__len__
        )
        add_gauge(
            registry,
            "unread_attempts_oldest_seconds",
            "Time since the first of them was given up.",
            lambda: unread.oldest_s(monotonic()),
        )

    def of(self, service: str) -> ExtraRequestBudget:
        """Return the budget of a service."""
        now = monotonic()
        self._expire_unread(now)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._create(service)
        budget.slack = self._slack()
        self._hold(service, budget, now)
        return budget

    def _hold(self, service: str, budget: ExtraRequestBudget, now: float) -> None:
        """Leave a part of the budget to a former process while what it sent may wait."""
        share = self._former.held_share(service, len(self._endpoints(service)), now)
        if share != budget.held_share:
            log.info("event=budget_left_to_former service=%s share=%.2f", service, share)
        budget.held_share = share

    def _create(self, service: str) -> ExtraRequestBudget:
        bounds = self._deployment.bounds
        budget = ExtraRequestBudget(
            bounds.retry_window_s, bounds.retry_ratio, self._slack(), self._slack_from
        )
        self._budget_by_service[service] = budget
        self._left.labels(service).set_function(lambda: budget.remaining(monotonic()))
        self._reserved.labels(service).set_function(lambda: budget.reserved)
        self._oldest.labels(service).set_function(lambda: budget.oldest_reserved_s(monotonic()))
        self._held.labels(service).set_function(lambda: budget.held_share)
        return budget

    def _slack(self) -> float:
        """Return this daemon's part of `Bounds.retry_slack`; 0 while no daemons are known."""
        known = len(self._daemons())
        if not known:
            return 0.0
        daemons = max(MIN_DAEMONS_SHARING_SLACK, known, len(self._deployment.zones))
        return self._deployment.bounds.retry_slack / daemons

    def _expire_unread(self, now: float) -> None:
        """Stop counting attempts whose endpoints have been silent for too long."""
        expired = self._unread.expire(now)
        if expired:
            log.warning("event=unread_attempts_expired attempts=%d", expired)
