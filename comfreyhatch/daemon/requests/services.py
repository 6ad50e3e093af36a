"""Routing of calls to plain services: sources, retries, hedging and the call's record."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import SAFE_METHODS, Dispatcher
from comfreyhatch.daemon.history.records import RecordStore
from comfreyhatch.daemon.idempotency.idempotency_router import IdempotencyRouter
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.forwarding import ForwardedMintedCall, Forwarder
from comfreyhatch.daemon.requests.hedging import hedged
from comfreyhatch.daemon.requests.refusals import (
    check_deadline,
    include_earlier_attempts,
    more_specific_error,
    no_endpoint_error,
)
from comfreyhatch.decisions.retries import (
    RetryBudget,
    SampleWindow,
    backoff_s,
    hedge_delay_s,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import AnswerOrigin, ServiceAnswer, ServiceRequest
from comfreyhatch.ports.peers import Member

# Failed attempts after which no further source is tried; NO_ENDPOINT does not count.
MAX_FAILED_ATTEMPTS = 3


class ServiceRouter:
    """Routes calls to plain services to this daemon's dispatcher or to other daemons."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordStore,
        config: Callable[[], FleetConfig],
        rng: Random,
        idempotency: IdempotencyRouter,
    ) -> None:
        """Create the router.

        Args:
            dispatcher: Dispatches to the endpoints of this zone.
            forwarder: Forwards calls to other daemons.
            records: Stores the records of calls.
            config: Returns the configuration in force.
            rng: Random source of jitter.
            idempotency: Runs calls with an idempotency key at most once.
        """
        self._rng = rng
        self._idempotency = idempotency
        self._retry_budget = RetryBudget()
        self._latencies_by_service: dict[str, SampleWindow] = {}
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
        """Call the service and store the record of the call.

        A call that may have run is retried only if its method is safe. A call with an idempotency
        key and an unsafe method runs at most once in the fleet.

        Args:
            name: Name of the service.
            request: The call.
            deadline: Monotonic time by which it must be answered, in seconds.
            draft: Collects the record of the call.
            first_attempt: Whether the caller asserts that it sent the call nowhere before.

        Raises:
            RefusedError: If it was refused; `ran` states whether an earlier attempt may have run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        try:
            if _is_idempotent(request) or not request.idempotency_key:
                answer = await self._call_with_retries(name, request, deadline, draft)
            else:
                answer = await self._answer_once(name, request, deadline, draft, first_attempt)
            code = ResultCode.OK
            return answer
        except ComfreyhatchError as error:
            code = error.code
            include_earlier_attempts(error, draft.attempts)
            raise
        finally:
            await self._records.commit(draft.record(monotonic(), code))

    async def run_minted(self, call: ForwardedMintedCall) -> ServiceAnswer:
        """Run a call under a minted key that a peer forwarded to this process.

        Raises:
            ComfreyhatchError: If the call was refused or failed.
        """
        deadline = monotonic() + call.timeout_s
        draft = self._forwarded_draft(call)
        claimed = replace(call.request, claimed=True)
        return await self._idempotency.run_forwarded(
            call, lambda: self._call_with_retries(call.service, claimed, deadline, draft)
        )

    async def _answer_once(
        self,
        name: str,
        request: ServiceRequest,
        deadline: float,
        draft: RecordDraft,
        first_attempt: bool,
    ) -> ServiceAnswer:
        """Run a call with an idempotency key at most once, or return its recorded answer."""
        call = ForwardedMintedCall(draft.customer, name, request, deadline - monotonic())
        claimed = replace(request, claimed=True)
        answer = await self._idempotency.run(
            call, first_attempt, lambda: self._call_with_retries(name, claimed, deadline, draft)
        )
        draft.grounds = "first answer of the key" if answer.replayed else draft.grounds
        return answer

    def _forwarded_draft(self, call: ForwardedMintedCall) -> RecordDraft:
        """Return a draft that is never stored; the daemon that forwarded the call records it."""
        return RecordDraft(
            request_id=call.request.request_id,
            customer=call.customer,
            daemon="",
            incarnation="",
            revision=self._config().revision,
            kind="service",
            task=call.service,
            session="",
            critical=False,
            started_unix_s=0.0,
            started_at=monotonic(),
            deadline_s=call.timeout_s,
        )

    async def _call_with_retries(
        self, name: str, request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> ServiceAnswer:
        """Call the first two sources as a hedged request, or one source after another.

        An idempotent call is hedged once enough latencies of the service are known; with a single
        source, both attempts go to it. Otherwise a refused call goes to the next source at once. A
        call that may have run goes there only if it is idempotent and the retry budget allows it,
        after a back-off.
        """
        sources = self._sources(name)
        self._retry_budget.request_started()
        delay_s = hedge_delay_s(_is_idempotent(request), self._latencies(name))
        if delay_s is not None and sources:
            attempts = [self._attempt(s, request, deadline, draft) for s in sources[:2]]
            return await hedged(attempts[0], attempts[-1], delay_s, self._retry_budget.take)
        last_error: ComfreyhatchError | None = None
        failed_attempts = 0
        for source in sources:
            check_deadline(deadline, monotonic())
            if last_error and failed_attempts >= MAX_FAILED_ATTEMPTS:
                raise last_error
            if last_error and last_error.ran is not Ran.NO:
                if not self._retry_budget.take():
                    raise last_error
                await sleep(backoff_s(failed_attempts, self._rng))
            try:
                return await self._attempt(source, request, deadline, draft)()
            except ComfreyhatchError as error:
                if not _may_retry(request, error):
                    raise
                last_error = more_specific_error(last_error, error)
                failed_attempts += error.code is not ResultCode.NO_ENDPOINT
        raise last_error or no_endpoint_error(name, self._rng)

    def _attempt(
        self, source: "ServiceSource", request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> Callable[[], Awaitable[ServiceAnswer]]:
        """Return a function that calls one source and adds the attempt to the draft."""

        async def run() -> ServiceAnswer:
            started_at = monotonic()
            check_deadline(deadline, started_at)
            try:
                answer, served = await source(request, deadline - started_at)
            except ComfreyhatchError as error:
                draft.add_attempt(None, None, started_at, monotonic(), error=error)
                raise
            self._latencies(draft.task).add(monotonic() - started_at)
            draft.add_attempt(None, served, started_at, monotonic())
            return answer

        return run

    def _latencies(self, name: str) -> SampleWindow:
        return self._latencies_by_service.setdefault(name, SampleWindow())

    def _sources(self, name: str) -> list["ServiceSource"]:
        """Return the sources in the order to try: the local one first only if it holds slots.

        Without slots it comes last; it is left out if the zone has no endpoint of the service.
        """
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


# Calls a service within a timeout in seconds, by this daemon's dispatcher or through a peer.
ServiceSource = Callable[
    [ServiceRequest, float], Awaitable[tuple[ServiceAnswer, AnswerOrigin | None]]
]


def _is_idempotent(request: ServiceRequest) -> bool:
    return request.method in SAFE_METHODS


def _may_retry(request: ServiceRequest, error: ComfreyhatchError) -> bool:
    return _is_idempotent(request) or error.ran is Ran.NO
