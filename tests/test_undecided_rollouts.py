"""Roll-outs of which it is not known, when their time is up, whether the version is worse."""

import asyncio
import logging

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.exchange.rollouts import SERVICE_CHECK_INTERVAL_S
from tests.platform_harness import WAIT_TIMEOUT_S, PlatformHarness
from tests.platform_worker import StandInWorker

OVER_S = 3
POLL_S = 0.02
Counts = dict[str, dict[str, int]]


async def start_rollout(harness: PlatformHarness) -> tuple[int, StandInWorker]:
    """Order a roll-out and wait until it runs; return the order's revision and a new endpoint."""
    new = await harness.add_worker("engine-3", "engines", "v2")
    order = {"service": "engines", "to": "v2", "over_s": OVER_S}
    revision = harness.store.put("op", "rollout/engines", order)
    await harness.wait_until(lambda: ("status", "rollout/engines") in harness.store.row_by_key)
    return revision, new


def put_evidence(harness: PlatformHarness, revision: int, target: Counts) -> None:
    """Publish evidence as another daemon of the version before does."""
    sound = {"answers": 300, "failures": 0, "slow": 0}
    row = {
        "service": "engines",
        "order_revision": revision,
        "daemon": "other",
        "target_by_route": target,
        "other_by_route": {"plan": sound, "ask": sound},
    }
    harness.store.put("comfreyhatch", "evidence/engines/other", row)


def counts(answers: int, failures: int = 0) -> dict[str, int]:
    return {"answers": answers, "failures": failures, "slow": 0}


def state(harness: PlatformHarness) -> str:
    found: str = harness.store.value("status", "rollout/engines")["state"]
    return found


async def gauge(harness: PlatformHarness, name: str) -> float:
    client = HttpClient()
    text = (await client.request(harness.metrics, "GET", "/metrics")).body.decode()
    client.close()
    (line,) = (m for m in text.splitlines() if m.startswith(f"comfreyhatch_{name} "))
    return float(line.split()[1])


@pytest.mark.parametrize(
    ("more", "ended"),
    [
        ({"plan": counts(40), "ask": counts(60, 1)}, "completed"),
        ({"plan": counts(40), "ask": counts(20, 6)}, "rolled_back"),
    ],
)
async def test_version_that_fails_a_few_requests_of_one_route_is_not_completed(
    harness: PlatformHarness, caplog: pytest.LogCaptureFixture, more: Counts, ended: str
) -> None:
    # A version that failed 15 in 100 requests of one route was completed, as one failure among six
    # answers of that route was one among many of all routes (review/4, trackline-th).
    caplog.set_level(logging.INFO)
    revision, _ = await start_rollout(harness)
    put_evidence(harness, revision, {"plan": counts(30), "ask": counts(6, 1)})
    await asyncio.sleep(OVER_S + 1.5)
    assert state(harness) == "running"
    assert "event=rollout_undecided service=engines version=v2 reason='ask: 1 failed" in caplog.text
    assert await gauge(harness, "rollouts_undecided") == 1
    put_evidence(harness, revision, more)
    await harness.wait_until(lambda: state(harness) == ended)
    await harness.wait_until(lambda: f"state={ended}" in caplog.text)
    # The line is logged just before the daemon reads what it has stored.
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while await gauge(harness, "rollouts_undecided"):
            await asyncio.sleep(POLL_S)


async def test_operators_are_told_of_a_completed_version_that_fails(
    harness: PlatformHarness, caplog: pytest.LogCaptureFixture
) -> None:
    # After its completion nothing was counted, and no log line or metric told of 2,000 failures
    # (review/4, trackline-th).
    caplog.set_level(logging.INFO)
    revision, new = await start_rollout(harness)
    put_evidence(harness, revision, {"plan": counts(60), "ask": counts(60)})
    await harness.wait_until(lambda: state(harness) == "completed")
    for number in range(30):
        await harness.send_draft(session=f"s{number}")
    assert await gauge(harness, "rollouts_failing") == 0
    new.status = 500
    for number in range(30):
        await harness.send_draft(session=f"t{number}")
    async with asyncio.timeout(2 * SERVICE_CHECK_INTERVAL_S):
        while "event=completed_version_fails" not in caplog.text:
            await asyncio.sleep(0.05)
    assert await gauge(harness, "rollouts_failing") == 1
