"""Daemons that lose their paths to all endpoints, but not to peers, go on serving."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from comfreyhatch.adapters.http_reply import HttpReply
from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import PlatformHarness, running_harness

# Time from the begin of a cut from which callers have to be served as before.
CONTACT_S = 3.0
ROUNDS = 8
PATHS = ("/read/x", "/pay/x", "/draft/x")


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as running:
        await running.add_daemons(2)
        yield running


async def send_each(harness: PlatformHarness, daemon: int) -> list[HttpReply]:
    """Send one request of each kind to a daemon."""
    return await asyncio.gather(
        harness.send(PATHS[0], daemon),
        harness.send(PATHS[1], daemon),
        harness.send_draft(daemon),
    )


async def send_rounds(harness: PlatformHarness, daemon: int, at_once: int = 1) -> list[HttpReply]:
    """Send rounds of requests to a daemon, some at the same time."""
    replies: list[HttpReply] = []
    for _ in range(ROUNDS):
        found = await asyncio.gather(*(send_each(harness, daemon) for _ in range(at_once)))
        replies += [reply for each in found for reply in each]
    return replies


def served(replies: list[HttpReply]) -> int:
    return sum(reply.status == 200 for reply in replies)


@pytest.mark.parametrize("loss", Loss)
async def test_callers_of_a_daemon_without_paths_to_endpoints_are_served(
    harness: PlatformHarness, loss: Loss
) -> None:
    # Such a daemon refused its callers, or let them wait, for as long as its paths were lost.
    paths = LostPaths(harness.daemons[0])
    await send_rounds(harness, 0)
    paths.cut(loss)
    cut_at = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() < cut_at + CONTACT_S:
        # A caller that is not answered waits as long as its requests in the incident did.
        await asyncio.wait({asyncio.ensure_future(send_each(harness, 0))}, timeout=0.5)
    # More than before the cut, so that they need new connections.
    cut, others = await asyncio.gather(send_rounds(harness, 0, 2), send_rounds(harness, 1, 2))
    failed = len(cut) - served(cut)
    assert served(cut) >= served(others) * 2 / 3
    assert failed <= 1 + len(cut) / 50


async def test_most_daemons_without_paths_are_served_by_the_one_that_has_them(
    harness: PlatformHarness,
) -> None:
    for daemon in harness.daemons[:2]:
        LostPaths(daemon).cut(Loss.RESET)
    await asyncio.gather(send_each(harness, 0), send_each(harness, 1))
    found = await asyncio.gather(*(send_rounds(harness, daemon) for daemon in (0, 1, 2)))
    assert [served(replies) for replies in found] == [len(replies) for replies in found]


async def test_daemon_without_paths_stays_ready_and_reports_no_crash(
    harness: PlatformHarness, caplog: pytest.LogCaptureFixture
) -> None:
    LostPaths(harness.daemons[0]).cut(Loss.RESET)
    await send_rounds(harness, 0)
    assert harness.daemons[0].ready()
    assert "event=endpoint_crashed" not in caplog.text
