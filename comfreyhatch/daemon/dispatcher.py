"""Dispatch of work to endpoints of the own zone, under slots of their limits."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from contextlib import aclosing, contextmanager
from random import Random
from time import monotonic

from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.pool import EndpointLoad, EndpointPool, Slot
from comfreyhatch.decisions.configuration import Use
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance
from comfreyhatch.domain.version import VersionState
from comfreyhatch.errors import AnswerBrokenError, ComfreyhatchError, RefusedError
from comfreyhatch.ports.engine import (
    Chunk,
    Engine,
    GenerateRequest,
    PlainService,
    Served,
    ServiceAnswer,
    ServiceRequest,
)

RESUMES_PER_ANSWER = 2
RETRY_AFTER_S = 1.0
REPEATABLE_METHODS = frozenset({"GET", "HEAD"})

log = logging.getLogger("comfreyhatch.dispatch")


class Dispatcher:
    """Sends requests to the zone's endpoints."""

    def __init__(
        self,
        instance_id: str,
        pool: EndpointPool,
        engine: Engine,
        service: PlainService,
        admit: Callable[[Use], Awaitable[FleetConfig]],
        rng: Random,
    ) -> None:
        self._instance_id = instance_id
        self._pool = pool
        self._engine = engine
        self._service = service
        self._admit = admit
        self._rng = rng
        self._cancels: set[asyncio.Task[None]] = set()

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[Chunk, None]:
        """Run a request on an endpoint of the zone that serves its version.

        Raises:
            RefusedError: If no slot is free or the version is withdrawn; it has not run.
            BackendError: If the endpoint failed.
        """
        config = await self._admit(Use(request.version_id, request.pinned))
        check_version(config, request.version_id)
        with self._slot(request.version_id, config) as slot:
            served = self._served(slot)
            finished = False
            try:
                async with aclosing(self._resumed(slot.endpoint, request)) as chunks:
                    async for chunk in chunks:
                        finished = bool(chunk.finish)
                        yield replace(chunk, served=served) if finished else chunk
            finally:
                if not finished:
                    self._cancel(slot.endpoint, request.request_id)

    async def call(
        self, name: str, request: ServiceRequest, timeout_s: float
    ) -> tuple[ServiceAnswer, Served]:
        """Call a plain service of the zone once.

        Raises:
            RefusedError: If no slot is free; it has not run.
            BackendError: If the endpoint failed.
        """
        repeatable = request.method in REPEATABLE_METHODS
        use = Use("", repeatable=repeatable, claimed=request.claimed)
        with self._slot(name, await self._admit(use)) as slot:
            answer = await self._service.call(slot.endpoint, request, timeout_s)
            return answer, self._served(slot)

    def serves(self, wanted: str, config: FleetConfig) -> bool:
        """Return whether the zone has an endpoint for a version or a plain service."""
        return bool(self._pool.candidates(wanted, config, monotonic()))

    @contextmanager
    def _slot(self, wanted: str, config: FleetConfig) -> Iterator[Slot]:
        now = monotonic()
        loads = self._pool.candidates(wanted, config, now)
        if not loads:
            raise RefusedError(f"no endpoint of this zone serves {wanted}", ResultCode.NO_ENDPOINT)
        slot = self._acquire(loads, now)
        if slot is None:
            raise RefusedError(
                f"all endpoints for {wanted} are at their limits", retry_after_s=RETRY_AFTER_S
            )
        try:
            yield slot
        finally:
            self._pool.release(slot, monotonic())

    def _acquire(self, loads: list[EndpointLoad], now: float) -> Slot | None:
        self._rng.shuffle(loads)
        for load in sorted(loads, key=relative_load):
            slot = self._pool.acquire(load.endpoint.instance_id, now)
            if slot:
                return slot
        return None

    async def _resumed(
        self, endpoint: Instance, request: GenerateRequest
    ) -> AsyncGenerator[Chunk, None]:
        """Stream an answer; a cut stream is resumed at its offset."""
        offset = request.resume_offset
        for resume in range(RESUMES_PER_ANSWER + 1):
            try:
                rest = replace(request, resume_offset=offset)
                async with aclosing(self._engine.generate(endpoint, rest)) as chunks:
                    async for chunk in chunks:
                        yield chunk
                        offset = chunk.offset + len(chunk.tokens)
                return
            except RefusedError as error:
                if offset == request.resume_offset:
                    raise
                raise AnswerBrokenError(f"the answer cannot be resumed: {error}") from error
            except AnswerBrokenError as error:
                if offset == request.resume_offset or resume == RESUMES_PER_ANSWER:
                    raise
                log.info(
                    "event=answer_cut request=%s endpoint=%s offset=%d reason=%r; resuming",
                    request.request_id,
                    endpoint.instance_id,
                    offset,
                    str(error),
                )

    def _served(self, slot: Slot) -> Served:
        endpoint = slot.endpoint
        return Served(endpoint.instance_id, endpoint.zone, self._instance_id, slot.label)

    def _cancel(self, endpoint: Instance, request_id: str) -> None:
        task = asyncio.create_task(self._cancel_quietly(endpoint, request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel_quietly(self, endpoint: Instance, request_id: str) -> None:
        try:
            await self._engine.cancel(endpoint, request_id)
        except ComfreyhatchError as error:
            log.info("event=cancel_failed request=%s reason=%r", request_id, str(error))


def check_version(config: FleetConfig, version_id: str) -> None:
    """Refuse a version that takes no new work.

    Raises:
        RefusedError: If the version is unknown or withdrawn.
    """
    version = config.version_by_id.get(version_id)
    if version is None or version.state is VersionState.WITHDRAWN:
        raise RefusedError(f"version {version_id} is withdrawn", ResultCode.VERSION_WITHDRAWN)


def relative_load(load: EndpointLoad) -> float:
    """Return an endpoint's load as a share of what it bears."""
    return (load.own_in_flight + load.report.queued) / max(1, load.report.bears)


def refused(error: ComfreyhatchError) -> bool:
    """Return whether an error says that the work has not run."""
    return error.ran is Ran.NO
