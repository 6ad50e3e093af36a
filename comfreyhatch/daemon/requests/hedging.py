"""Hedged requests: a second attempt beside a slow first one, for idempotent calls."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


async def hedged(
    first: Callable[[], Awaitable[T]],
    second: Callable[[], Awaitable[T]],
    delay_s: float,
    may_start_second: Callable[[], bool],
) -> T:
    """Return the first answer of two attempts and cancel the other attempt.

    The second attempt starts when the first has failed or takes longer than the delay.

    Args:
        first: Starts the first attempt.
        second: Starts the second attempt.
        delay_s: Delay before the second attempt, in seconds.
        may_start_second: Returns whether the retry budget allows the second attempt; called once,
            when that attempt is due.

    Raises:
        ComfreyhatchError: The first attempt's error, if no attempt succeeds.
    """
    tasks = [asyncio.ensure_future(first())]
    try:
        done, _ = await asyncio.wait(tasks, timeout=delay_s)
        failed = any(task.exception() for task in done)
        if (failed or not done) and may_start_second():
            tasks.append(asyncio.ensure_future(second()))
        return await _first_answer(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_answer(tasks: Sequence[asyncio.Future[T]]) -> T:
    pending: set[asyncio.Future[T]] = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task.result()
    return tasks[0].result()
