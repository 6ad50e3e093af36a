"""The path of a chat request: plan, dispatch or forward, record."""

import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from time import monotonic

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatcher import Dispatcher
from comfreyhatch.daemon.draft import RecordDraft
from comfreyhatch.daemon.forwarding import Forwarder
from comfreyhatch.daemon.records import RecordBook
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.record import Candidate
from comfreyhatch.domain.request import ChatRequest, Usage
from comfreyhatch.domain.version import Version, VersionState, cost_micros
from comfreyhatch.errors import ComfreyhatchError, RefusedError, RequestError
from comfreyhatch.ports.engine import Chunk, GenerateRequest

RETRY_AFTER_S = 1.0

log = logging.getLogger("comfreyhatch.router")


class Source(Struct, frozen=True):
    """A way to get an answer: by this daemon itself or through a peer."""

    name: str
    open: Callable[[GenerateRequest], AsyncGenerator[Chunk, None]]


class Router:
    """Answers chat requests."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordBook,
        config: Callable[[], FleetConfig],
    ) -> None:
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._config = config

    async def answer(
        self, call: ChatRequest, contract: Contract, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Stream the answer; the record is stored before the last chunk is given.

        Raises:
            RequestError: If the contract does not allow what is asked.
            RefusedError: If it cannot be served; it has not run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        stored = False
        try:
            version = self._choose_version(call, contract, draft)
            async with aclosing(self._attempts(call, version, draft)) as chunks:
                async for chunk in chunks:
                    if draft.first_token_s is None:
                        draft.first_token_s = monotonic() - draft.started
                    if chunk.finish:
                        await self._store(draft, ResultCode.OK)
                        stored = True
                    yield chunk
        except ComfreyhatchError as error:
            code = error.code
            raise
        finally:
            if not stored:
                await self._store(draft, code)

    async def _store(self, draft: RecordDraft, code: ResultCode) -> None:
        record = draft.record(monotonic(), code)
        await self._records.commit(record)
        log.info(
            "event=request_done request=%s customer=%s code=%d ran=%s plan=%r cost_micros=%d",
            record.request_id,
            record.customer,
            record.code,
            record.ran.value,
            record.plan,
            record.cost_micros,
        )

    def _choose_version(self, call: ChatRequest, contract: Contract, draft: RecordDraft) -> Version:
        allowed = self._config().allowed_versions(contract)
        wanted = [v for v in allowed if call.model in ("", v.model, v.version_id)]
        if not wanted:
            raise RequestError(
                f"the contract allows no version of {call.model or 'any model'}",
                ResultCode.NOT_ALLOWED,
            )
        open_versions = [v for v in wanted if v.state is VersionState.ACTIVE] or wanted
        chosen = min(open_versions, key=lambda v: (v.output_price, v.version_id))
        draft.clause = f"allowed={','.join(contract.allowed)}"
        draft.plan = f"direct {chosen.version_id}"
        draft.grounds = "cheapest allowed version"
        draft.versions = tuple(
            Candidate(
                v.version_id,
                passed_over="" if v is chosen else "dearer or draining",
                cost_micros=cost_micros(v, 0, call.max_tokens),
            )
            for v in wanted
        )
        return chosen

    async def _attempts(
        self, call: ChatRequest, version: Version, draft: RecordDraft
    ) -> AsyncGenerator[Chunk, None]:
        """Try one source after another until one gives its first chunk."""
        last: ComfreyhatchError | None = None
        for source in self._sources(version.version_id):
            started = monotonic()
            if started >= call.deadline:
                raise RefusedError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)
            request = _generate_request(call, version, started)
            begun = False
            try:
                async with aclosing(source.open(request)) as chunks:
                    async for chunk in chunks:
                        begun = True
                        if chunk.finish:
                            usage = chunk.usage or Usage()
                            draft.add_attempt(version, chunk.served, started, monotonic(), usage)
                        yield chunk
                return
            except ComfreyhatchError as error:
                draft.add_attempt(version, None, started, monotonic(), error=error)
                if begun:
                    raise
                last = error
                log.info(
                    "event=attempt_failed request=%s source=%s code=%d reason=%r; trying the next",
                    call.request_id,
                    source.name,
                    error.code,
                    str(error),
                )
        raise last or RefusedError(
            f"no endpoint serves {version.version_id}",
            ResultCode.NO_ENDPOINT,
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )

    def _sources(self, version_id: str) -> list[Source]:
        sources = []
        if self._dispatcher.serves(version_id, self._config()):
            sources.append(Source("local", self._dispatcher.generate))
        for member in self._forwarder.members(self._config()):
            sources.append(Source(member.instance_id, self._forwarder.opener(member)))
        return sources


def _generate_request(call: ChatRequest, version: Version, now: float) -> GenerateRequest:
    return GenerateRequest(
        request_id=call.request_id,
        version_id=version.version_id,
        messages=call.messages,
        max_tokens=call.max_tokens,
        priority=call.priority,
        session=call.session,
        deadline_s=call.deadline - now,
    )
