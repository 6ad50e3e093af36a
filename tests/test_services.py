"""Calls to plain services against sources that fail, refuse or stay silent."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic
from typing import Any

import pytest

from comfreyhatch.codes import Ran
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.services import MAX_FAILED_ATTEMPTS, ServiceRouter
from comfreyhatch.decisions.retries import MIN_QUANTILE_SAMPLES, RETRY_BURST
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import BackendError, ComfreyhatchError, RefusedError
from comfreyhatch.ports.engine import AnswerOrigin, ServiceAnswer, ServiceRequest
from comfreyhatch.ports.peers import Member

READ = ServiceRequest("r1", "GET", "/accounts", b"")
DEADLINE_S = 20.0
SHORT_DEADLINE_S = 0.02

Outcome = Callable[[], Awaitable[ServiceAnswer]]


class Sources:
    """A daemon's dispatcher and three peers; each attempt takes the next outcome.

    Attributes:
        started: Attempts so far.
        records: Records of the calls.
    """

    def __init__(self, outcomes: list[Outcome]) -> None:
        self.started = 0
        self.records: list[RequestRecord] = []
        self._outcomes = iter(outcomes)

    def router(self) -> ServiceRouter:
        parts: Any = self
        return ServiceRouter(parts, parts, parts, FleetConfig, Random(1), parts)

    def serves(self, name: str, config: FleetConfig) -> bool:
        return True

    has_slots = serves

    def holders(self, name: str, config: FleetConfig) -> set[str]:
        return set()

    def candidates(self, config: FleetConfig, holders: set[str]) -> list[Member]:
        nowhere = Address("", 0)
        return [Member(name, "1", "a", nowhere, nowhere) for name in ("x", "y", "z")]

    async def call(self, *arguments: object) -> tuple[ServiceAnswer, AnswerOrigin | None]:
        self.started += 1
        return await next(self._outcomes)(), None

    async def commit(self, record: RequestRecord) -> None:
        self.records.append(record)


async def refused() -> ServiceAnswer:
    raise RefusedError("full")


async def broken() -> ServiceAnswer:
    raise BackendError("the connection broke")


async def answered() -> ServiceAnswer:
    return ServiceAnswer(200, "text/plain", b"done")


async def broken_late() -> ServiceAnswer:
    await asyncio.sleep(SHORT_DEADLINE_S)
    raise BackendError("no answer in time")


async def read(router: ServiceRouter, deadline_s: float = DEADLINE_S) -> ServiceAnswer:
    now = monotonic()
    draft = RecordDraft(
        "r1", "c", "d", "d-1", 1, "service", "booking", "", False, 0.0, now, deadline_s
    )
    return await router.answer("booking", READ, now + deadline_s, draft)


async def error_of_read(router: ServiceRouter, deadline_s: float = DEADLINE_S) -> ComfreyhatchError:
    with pytest.raises(ComfreyhatchError) as caught:
        await read(router, deadline_s)
    return caught.value


async def hedging_router(sources: Sources) -> ServiceRouter:
    """Return a router that has answered so many calls that it hedges the next one."""
    router = sources.router()
    for _ in range(MIN_QUANTILE_SAMPLES):
        await read(router)
    return router


async def test_refusal_after_a_broken_attempt_is_not_told_as_not_run() -> None:
    sources = Sources([broken, refused, refused, refused])
    error = await error_of_read(sources.router())
    assert (error.ran, sources.records[-1].ran) == (Ran.UNKNOWN, Ran.UNKNOWN)


@pytest.mark.parametrize("outcomes", [[refused, broken], [broken, refused]])
async def test_refusal_of_one_hedged_attempt_is_not_told_for_both(outcomes: list[Outcome]) -> None:
    sources = Sources([answered] * MIN_QUANTILE_SAMPLES + outcomes)
    error = await error_of_read(await hedging_router(sources))
    assert (error.ran, sources.records[-1].ran) == (Ran.UNKNOWN, Ran.UNKNOWN)


async def test_call_that_every_source_refused_is_told_as_not_run() -> None:
    sources = Sources([refused, refused, refused, refused])
    assert (await error_of_read(sources.router())).ran is Ran.NO
    assert sources.started == 3


async def test_retry_that_may_not_follow_takes_nothing_from_the_budget() -> None:
    sources = Sources([broken] * MAX_FAILED_ATTEMPTS + [broken, answered])
    router = sources.router()
    await error_of_read(router)
    assert sources.started == MAX_FAILED_ATTEMPTS
    assert (await read(router)).status == 200


async def test_reads_past_their_deadlines_take_nothing_from_the_budget() -> None:
    reads = int(RETRY_BURST) + 1
    sources = Sources([broken_late] * reads + [broken, answered])
    router = sources.router()
    for _ in range(reads):
        await error_of_read(router, SHORT_DEADLINE_S)
    assert sources.started == reads
    assert (await read(router)).status == 200
