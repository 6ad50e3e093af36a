"""The path of a call to a plain service."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import SAFE_METHODS, Dispatcher
from comfreyhatch.daemon.history.records import RecordBook
from comfreyhatch.daemon.idempotency.once import OnceRouter
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.forwarding import ForwardedMintedCall, Forwarder
from comfreyhatch.daemon.requests.hedging import hedged
from comfreyhatch.daemon.requests.member_hold_down import more_specific_error
from comfreyhatch.decisions.retries import (
    RetryBudget,
    SampleWindow,
    backoff_s,
    hedge_delay_s,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ComfreyhatchError, RefusedError
from comfreyhatch.ports.engine import Served, ServiceAnswer, ServiceRequest
from comfreyhatch.ports.peers import Member

RETRY_AFTER_S = 1.0
MAX_TRIES = 3


class ServiceRouter:
    """Answers calls to plain services."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordBook,
        config: Callable[[], FleetConfig],
        rng: Random,
        once: OnceRouter,
    ) -> None:
        self._rng = rng
        self._once = once
        self._retries = RetryBudget()
        self._times_by_service: dict[str, SampleWindow] = {}
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._config = config

    async def answer(
        self,
        name: str,
        request: ServiceRequest,
        deadline: float,
        draft: RecordDraft,
        first_attempt: bool = False,
    ) -> ServiceAnswer:
        """Call the service; only calls that may be repeated are tried again once sent.

        Args:
            name: Name of the service.
            request: The call.
            deadline: Monotonic time by which it must be answered, in seconds.
            draft: Record of the request.
            first_attempt: Whether the caller asserts that it sent the call nowhere before.

        Raises:
            RefusedError: If it cannot be served; it has not run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        try:
            if _idempotent(request) or not request.idempotency_key:
                answer = await self._attempts(name, request, deadline, draft)
            else:
                answer = await self._answer_once(name, request, deadline, draft, first_attempt)
            code = ResultCode.OK
            return answer
        except ComfreyhatchError as error:
            code = error.code
            raise
        finally:
            await self._records.commit(draft.record(monotonic(), code))

    async def run_minted(self, work: ForwardedMintedCall) -> ServiceAnswer:
        """Run a call under a minted key that a peer handed over to this process.

        Raises:
            ComfreyhatchError: If it is refused or failed.
        """
        deadline = monotonic() + work.timeout_s
        draft = self._forwarded_draft(work)
        claimed = replace(work.request, claimed=True)
        return await self._once.run_own(
            work, lambda: self._attempts(work.service, claimed, deadline, draft)
        )

    async def _answer_once(
        self,
        name: str,
        request: ServiceRequest,
        deadline: float,
        draft: RecordDraft,
        first_attempt: bool,
    ) -> ServiceAnswer:
        work = ForwardedMintedCall(draft.customer, name, request, deadline - monotonic())
        claimed = replace(request, claimed=True)
        answer = await self._once.run(
            work, first_attempt, lambda: self._attempts(name, claimed, deadline, draft)
        )
        draft.grounds = "first answer of the key" if answer.replayed else draft.grounds
        return answer

    def _forwarded_draft(self, work: ForwardedMintedCall) -> RecordDraft:
        """Return a draft for the attempts of a call whose record another daemon keeps."""
        return RecordDraft(
            request_id=work.request.request_id,
            customer=work.customer,
            daemon="",
            incarnation="",
            revision=self._config().revision,
            kind="service",
            task=work.service,
            session="",
            critical=False,
            started_unix_s=0.0,
            started=monotonic(),
            deadline_s=work.timeout_s,
        )

    async def _attempts(
        self, name: str, request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> ServiceAnswer:
        sources = self._sources(name)
        self._retries.request_started()
        delay_s = hedge_delay_s(_idempotent(request), self._times(name))
        if delay_s is not None and sources:
            attempts = [self._attempt(s, request, deadline, draft) for s in sources[:2]]
            return await hedged(attempts[0], attempts[-1], delay_s, self._retries.take)
        last: ComfreyhatchError | None = None
        tries = 0
        for source in sources:
            if last and last.ran is not Ran.NO:
                if not self._retries.take():
                    raise last
                await sleep(backoff_s(tries, self._rng))
            if last and tries >= MAX_TRIES:
                raise last
            try:
                return await self._attempt(source, request, deadline, draft)()
            except ComfreyhatchError as error:
                if not _may_try_again(request, error):
                    raise
                last = more_specific_error(last, error)
                tries += error.code is not ResultCode.NO_ENDPOINT
        raise last or RefusedError(
            f"no endpoint serves {name}",
            ResultCode.NO_ENDPOINT,
            retry_after_s=RETRY_AFTER_S * (1 + self._rng.random()),
        )

    def _attempt(
        self, source: "ServiceSource", request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> Callable[[], Awaitable[ServiceAnswer]]:
        """Return a function that calls one source and notes the attempt."""

        async def run() -> ServiceAnswer:
            started = monotonic()
            if started >= deadline:
                raise RefusedError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)
            try:
                answer, served = await source(request, deadline - started)
            except ComfreyhatchError as error:
                draft.add_attempt(None, None, started, monotonic(), error=error)
                raise
            self._times(draft.task).add(monotonic() - started)
            draft.add_attempt(None, served, started, monotonic())
            return answer

        return run

    def _times(self, name: str) -> SampleWindow:
        return self._times_by_service.setdefault(name, SampleWindow())

    def _sources(self, name: str) -> list["ServiceSource"]:
        config = self._config()
        members = self._forwarder.candidates(config, self._dispatcher.holders(name, config))
        remote = [self._remote(name, member) for member in members]
        if not self._dispatcher.serves(name, config):
            return remote
        local = self._local(name)
        return [local, *remote] if self._dispatcher.has_slots(name, config) else [*remote, local]

    def _local(self, name: str) -> "ServiceSource":
        return lambda request, timeout_s: self._dispatcher.call(name, request, timeout_s)

    def _remote(self, name: str, member: Member) -> "ServiceSource":
        return lambda request, timeout_s: self._forwarder.call(member, name, request, timeout_s)


ServiceSource = Callable[[ServiceRequest, float], Awaitable[tuple[ServiceAnswer, Served | None]]]


def _idempotent(request: ServiceRequest) -> bool:
    return request.method in SAFE_METHODS


def _may_try_again(request: ServiceRequest, error: ComfreyhatchError) -> bool:
    return _idempotent(request) or error.ran is Ran.NO
