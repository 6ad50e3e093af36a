"""Requests are refused for parts under which endpoints have really ended."""

import asyncio

from msgspec.structs import replace

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.crashing_parts import MIN_CRASHES
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job, PromptPart
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import AnswerBrokenError, PromptBlockedError
from comfreyhatch.exchange.crash_guard import CrashGuard
from tests.exchange_values import crash_guard, crash_probe, job, record
from tests.platform_harness import free_port


def _job(request_id: str) -> Job:
    found = job(request_id=request_id)
    parts = (PromptPart("bad", 10), PromptPart(f"own-{request_id}", 10))
    return replace(found, exchange=replace(found.exchange, parts=parts))


async def _break_answers(guard: CrashGuard) -> None:
    """Let answers of several endpoints break right after their heads."""
    for number in range(MIN_CRASHES):
        now = asyncio.get_running_loop().time()
        endpoint = EndpointTracker(record(f"e{number}"), now)
        attempt = guard.begin(_job(f"r{number}"), endpoint, now)
        guard.note_head(attempt, now)
        await guard.end_failed(attempt, AnswerBrokenError("reset"))


async def test_prompts_under_which_endpoints_have_ended_are_refused() -> None:
    guard = crash_guard(crash_probe(down=True))
    await _break_answers(guard)
    refusal = guard.refusal(_job("r9"), asyncio.get_running_loop().time())
    assert isinstance(refusal, PromptBlockedError) and refusal.retry_after_s


async def test_answers_that_break_while_the_endpoint_goes_on_blame_nothing() -> None:
    # Behind a cut, or under a worker that loses answers, every part would be blamed.
    guard = crash_guard(crash_probe(down=False))
    await _break_answers(guard)
    assert guard.refusal(_job("r9"), asyncio.get_running_loop().time()) is None


async def test_endpoint_is_down_only_if_nothing_listens_at_its_address() -> None:
    client = HttpClient(connect_timeout_s=0.2)
    closed = Address("127.0.0.1", free_port())
    assert await client.is_refused(closed)
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    assert not await client.is_refused(Address(*server.sockets[0].getsockname()[:2]))
    server.close()
    client.close()
