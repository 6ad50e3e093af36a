"""Hedged requests."""

import asyncio

import pytest

from comfreyhatch.daemon.requests.hedging import hedged
from comfreyhatch.errors import BackendError


class Attempts:
    """Attempts that end with the result set in `future_by_name`; records starts and cancels."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.future_by_name = {name: asyncio.Future[str]() for name in ("first", "second")}

    async def run(self, name: str) -> str:
        self.started.append(name)
        try:
            return await self.future_by_name[name]
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    async def hedged(self, delay_s: float, allowed: bool = True) -> str:
        return await hedged(
            lambda: self.run("first"), lambda: self.run("second"), delay_s, lambda: allowed
        )


async def test_fast_first_attempt_is_not_hedged() -> None:
    attempts = Attempts()
    attempts.future_by_name["first"].set_result("answer")
    assert await attempts.hedged(60) == "answer"
    assert attempts.started == ["first"]


async def test_second_attempt_wins_and_first_is_cancelled() -> None:
    attempts = Attempts()
    attempts.future_by_name["second"].set_result("answer")
    assert await attempts.hedged(0.001) == "answer"
    assert attempts.cancelled == ["first"]


async def test_second_attempt_starts_at_once_after_a_failed_first() -> None:
    attempts = Attempts()
    attempts.future_by_name["first"].set_exception(BackendError("first failed"))
    attempts.future_by_name["second"].set_result("answer")
    assert await attempts.hedged(60) == "answer"


async def test_second_attempt_needs_the_retry_budget() -> None:
    attempts = Attempts()
    attempts.future_by_name["second"].set_result("answer")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(attempts.hedged(0.001, allowed=False), 0.05)
    assert attempts.started == ["first"]
    assert attempts.cancelled == ["first"]


async def test_failure_of_one_attempt_waits_for_the_other() -> None:
    attempts = Attempts()
    task = asyncio.create_task(attempts.hedged(0.001))
    async with asyncio.timeout(5):
        while len(attempts.started) < 2:
            await asyncio.sleep(0.001)
    attempts.future_by_name["second"].set_exception(BackendError("second failed"))
    await asyncio.sleep(0.01)
    attempts.future_by_name["first"].set_exception(BackendError("first failed"))
    with pytest.raises(BackendError, match="first failed"):
        await task
