"""Measurement of the event loop's lag."""

import asyncio
import time

import pytest

from comfreyhatch.exchange.loop_lag import INTERVAL_S, LOGGED_LAG_S, REPORT_S, LoopLagMonitor


async def test_blocked_loop_is_reported_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    monitor = LoopLagMonitor()
    monitor.start()
    await asyncio.sleep(0)
    time.sleep(INTERVAL_S + LOGGED_LAG_S)
    await asyncio.sleep(0.01)
    now = asyncio.get_running_loop().time()
    monitor.stop()
    assert monitor.longest_s(now) >= LOGGED_LAG_S
    assert monitor.longest_s(now + REPORT_S) == 0.0
    assert "event=loop_lagged" in caplog.text
