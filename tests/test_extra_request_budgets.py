"""This daemon's part of the slack, and what it tells of its budgets."""

import pytest
from prometheus_client import CollectorRegistry

from comfreyhatch.decisions.former_attempts import FormerAttempts
from comfreyhatch.decisions.unread_attempts import UnreadAttempts
from comfreyhatch.domain.deployment import Bounds
from comfreyhatch.exchange.extra_request_budgets import (
    MIN_DAEMONS_SHARING_SLACK,
    ExtraRequestBudgets,
)
from tests.exchange_values import deployment

SLACK = 60.0
WINDOW_S = 10.0


def budgets(daemons: list[str], former: FormerAttempts) -> ExtraRequestBudgets:
    """Return budgets of a daemon that knows some daemons, and three endpoints of each service."""
    bounds = Bounds(retry_slack=SLACK, retry_window_s=WINDOW_S)
    return ExtraRequestBudgets(
        deployment(bounds),
        lambda: daemons,
        lambda service: "abc",
        UnreadAttempts(),
        former,
        CollectorRegistry(),
        0.0,
    )


@pytest.mark.parametrize(
    ("known", "sharing"),
    [(1, MIN_DAEMONS_SHARING_SLACK), (6, MIN_DAEMONS_SHARING_SLACK), (12, 12), (420, 420)],
)
def test_slack_is_shared_among_the_daemons_that_are_known(known: int, sharing: int) -> None:
    found = budgets([str(n) for n in range(known)], FormerAttempts(WINDOW_S, False))
    assert found.of("desk").slack == SLACK / sharing


def test_daemon_that_knows_no_daemons_uses_no_slack() -> None:
    # Each of a fleet that starts while the store is away would use a sixth of it.
    daemons: list[str] = []
    found = budgets(daemons, FormerAttempts(WINDOW_S, False))
    assert found.of("desk").slack == 0.0
    daemons += [str(n) for n in range(12)]
    assert found.of("desk").slack == SLACK / 12
