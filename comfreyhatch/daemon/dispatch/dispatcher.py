"""Dispatches requests to endpoints of this daemon's zone, one slot per running request."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from contextlib import aclosing, contextmanager
from random import Random
from time import monotonic

from msgspec.structs import replace

from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.dispatch.admission import AdmissionController
from comfreyhatch.daemon.dispatch.slot_pool import (
    ENDPOINT_SAMPLE_SIZE,
    EndpointLoad,
    Slot,
    SlotPool,
)
from comfreyhatch.decisions.concurrency_limit import SlotOutcome
from comfreyhatch.decisions.configuration import DispatchIntent
from comfreyhatch.decisions.endpoint_choice import (
    CircuitBreakers,
    EndpointSnapshot,
    choose_endpoint,
)
from comfreyhatch.decisions.retries import RetryBudget
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance
from comfreyhatch.domain.policy import PolicySettings
from comfreyhatch.domain.request import Priority
from comfreyhatch.domain.version import VersionState
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    BackendRefusedError,
    ComfreyhatchError,
    RefusedError,
)
from comfreyhatch.ports.engine import (
    AnswerOrigin,
    Chunk,
    Engine,
    GenerateRequest,
    LoadReport,
    PlainService,
    ServiceAnswer,
    ServiceRequest,
)

MAX_RESUMES_PER_ANSWER = 2
# Time handed to an endpoint at the deadline.
MIN_TIME_S = 0.001
# Jitter adds up to as much again.
FULL_ENDPOINTS_RETRY_AFTER_S = 1.0
# Calls of plain services by these methods may run more than once.
SAFE_METHODS = frozenset({"GET", "HEAD"})
# Age up to which the cached number of engine slots is used.
SLOT_COUNT_MAX_AGE_S = 0.05
# A call that was given up after this time, as it lost to its hedge, counts against its endpoint.
UNANSWERED_S = 0.25
# Sessions whose last endpoint is remembered for prefix affinity.
MAX_SESSION_AFFINITIES = 8192

log = logging.getLogger("comfreyhatch.dispatch")


class Dispatcher:
    """Admits requests, assigns each to an endpoint of the zone and runs it there.

    Chat requests share one queue; each plain service has a queue of its own.
    """

    def __init__(
        self,
        instance_id: str,
        pool: SlotPool,
        engine: Engine,
        service: PlainService,
        confirm_config: Callable[[DispatchIntent], Awaitable[FleetConfig]],
        rng: Random,
        config: Callable[[], FleetConfig],
        policy: PolicySettings = PolicySettings(),
        quarantined: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Create a dispatcher.

        Args:
            instance_id: Id of this daemon, reported with each answer.
            pool: Slots of the zone's endpoints.
            engine: Client of model engines.
            service: Client of plain services.
            confirm_config: Returns the configuration to dispatch under, confirmed as the newest
                if need be; raises RefusedError if this daemon is cut off and may not serve the
                request.
            rng: Seeded source of the endpoint choice and of jitter.
            config: Returns the configuration in force, unconfirmed.
            policy: Queue length, reserved slots and the strategy of the endpoint choice.
            quarantined: Returns the ids of the versions in quarantine.
        """
        self._instance_id = instance_id
        self._pool = pool
        self._engine = engine
        self._service = service
        self._confirm_config = confirm_config
        self._rng = rng
        self.config = config
        self._policy = policy
        self._quarantined = quarantined
        self._circuits = CircuitBreakers()
        self._resume_budget = RetryBudget()
        self._chat_controller = AdmissionController(
            self._chat_slots, policy.queue, policy.reserved_percent, rng
        )
        self._controller_by_service: dict[str, AdmissionController] = {}
        self._slots = 0
        self._slots_valid_until = 0.0
        self._endpoint_by_session: OrderedDict[str, str] = OrderedDict()
        self._report_baseline_by_id: dict[str, tuple[LoadReport, int]] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[Chunk, None]:
        """Run a chat request on an endpoint of the zone that serves its version.

        Version and contract are checked against the confirmed configuration after the wait for
        a slot, so that a change made meanwhile applies.

        Raises:
            RefusedError: If no slot gets free in time, no endpoint serves the version, the
                version accepts no new requests, the contract does not allow it, or this daemon is
                cut off and may not serve it. The request has not run.
            BackendError: If the endpoint failed or the deadline passed.
        """
        deadline = monotonic() + request.deadline_s
        self._require_serving(self.config(), request.version_id)
        critical = request.priority >= Priority.CRITICAL
        admission = await self._chat_controller.acquire(critical, request.priority, deadline)
        try:
            config = await self._confirm_config(DispatchIntent(request.version_id, request.pinned))
            self._require_serving(config, request.version_id)
            check_contract(config, request.customer, request.version_id)
            with self._slot(request.version_id, config, request.session) as slot:
                async with aclosing(self._stream_from_endpoint(slot, request, deadline)) as chunks:
                    async for chunk in chunks:
                        yield chunk
        finally:
            self._chat_controller.release(admission)

    def has_free_slot(self, critical: bool = False) -> bool:
        """Return whether a chat request would get a slot without waiting."""
        return self._chat_controller.has_free_slot(critical)

    async def _stream_from_endpoint(
        self, slot: Slot, request: GenerateRequest, deadline: float
    ) -> AsyncGenerator[Chunk, None]:
        """Stream an answer from the slot's endpoint; cancel it there if it does not finish."""
        served = self._served(slot)
        endpoint_id, version_id = slot.endpoint.instance_id, request.version_id
        finished = False
        self._circuits.record_dispatch(endpoint_id, version_id, monotonic())
        try:
            request = replace(request, deadline_s=max(MIN_TIME_S, deadline - monotonic()))
            async with aclosing(self._stream_with_resumes(slot.endpoint, request)) as chunks:
                async for chunk in _with_deadline(chunks, deadline):
                    slot.record_chunk(chunk.load, monotonic())
                    finished = bool(chunk.finish)
                    yield replace(chunk, served=served) if finished else chunk
            self._circuits.record_success(endpoint_id, version_id)
        except ComfreyhatchError as error:
            if counts_as_endpoint_failure(error):
                self._circuits.record_failure(endpoint_id, version_id, monotonic())
            raise
        finally:
            self._circuits.end_trial(endpoint_id, version_id)
            if not finished:
                self._cancel(slot.endpoint, request.request_id)

    async def call(
        self, name: str, request: ServiceRequest, timeout_s: float
    ) -> tuple[ServiceAnswer, AnswerOrigin]:
        """Call a plain service of the zone once.

        Args:
            name: Name of the service.
            request: The call.
            timeout_s: Time for the wait for a slot and the call together, in seconds.

        Returns:
            The answer and the endpoint that gave it.

        Raises:
            RefusedError: If no slot gets free in time, no endpoint serves the call, or this
                daemon is cut off and may not serve it. The call has not run.
            BackendError: If the endpoint failed.
        """
        repeatable = request.method in SAFE_METHODS
        intent = DispatchIntent("", repeatable=repeatable, claimed=request.claimed)
        deadline = monotonic() + timeout_s
        controller = self._service_controller(name)
        admission = await controller.acquire(False, Priority.NORMAL, deadline)
        try:
            with self._slot(name, await self._confirm_config(intent)) as slot:
                remaining_s = max(MIN_TIME_S, deadline - monotonic())
                answer = await self._call_endpoint(slot, name, request, remaining_s)
                return answer, self._served(slot)
        finally:
            controller.release(admission)

    async def _call_endpoint(
        self, slot: Slot, name: str, request: ServiceRequest, timeout_s: float
    ) -> ServiceAnswer:
        endpoint_id = slot.endpoint.instance_id
        began = monotonic()
        self._circuits.record_dispatch(endpoint_id, name, began)
        try:
            answer = await self._service.call(slot.endpoint, request, timeout_s)
        except asyncio.CancelledError:
            if monotonic() - began >= UNANSWERED_S:
                self._circuits.record_failure(endpoint_id, name, monotonic())
            raise
        except ComfreyhatchError as error:
            if counts_as_endpoint_failure(error):
                self._circuits.record_failure(endpoint_id, name, monotonic())
            raise
        finally:
            self._circuits.end_trial(endpoint_id, name)
        self._circuits.record_success(endpoint_id, name)
        return answer

    def serves(self, target: str, config: FleetConfig) -> bool:
        """Return whether the zone has an endpoint for a version or a plain service."""
        return self._pool.serves(target, config)

    def holders(self, target: str, config: FleetConfig) -> set[str]:
        """Return the ids of the zone's other daemons that hold slots for a version or service."""
        return self._pool.holders(target, config, monotonic())

    def has_slots(self, target: str, config: FleetConfig) -> bool:
        """Return whether this daemon holds any slot for a version or a plain service."""
        return self._pool.has_slots(target, config, monotonic())

    @contextmanager
    def _slot(self, target: str, config: FleetConfig, session: str = "") -> Iterator[Slot]:
        """Hold a slot while the context is active, and record how the request ended.

        A random sample of the endpoints is tried first, then all if none of these has a slot.

        Args:
            target: Version id, or name of a plain service.
            config: Configuration in force.
            session: Session whose prompt prefix an endpoint may have cached; may be empty.

        Raises:
            RefusedError: If no endpoint serves the target or all of them are at their limits.
        """
        now = monotonic()
        affinity_id = self._endpoint_by_session.get(session, "") if session else ""
        loads = self._pool.sample(target, config, now, affinity_id, self._rng)
        if not loads:
            raise RefusedError(f"no endpoint in this zone serves {target}", ResultCode.NO_ENDPOINT)
        slot = self._acquire(loads, target, session, now)
        if slot is None and len(loads) >= ENDPOINT_SAMPLE_SIZE:
            loads = self._pool.candidates(target, config, now)
            slot = self._acquire(loads, target, session, now)
        if slot is None:
            raise RefusedError(
                f"no free slot: all endpoints of {target} are at their limits",
                retry_after_s=FULL_ENDPOINTS_RETRY_AFTER_S * (1 + self._rng.random()),
            )
        try:
            yield slot
            slot.outcome = SlotOutcome.OK
        except BackendRefusedError:
            slot.outcome = SlotOutcome.REFUSED
            raise
        except AnswerBrokenError:
            slot.outcome = SlotOutcome.FAILED
            raise
        finally:
            self._pool.release(slot, monotonic())

    def _acquire(
        self, loads: list[EndpointLoad], target: str, session: str, now: float
    ) -> Slot | None:
        """Take a slot of the preferred endpoint that has one left; None if none has."""
        snapshots = [self._snapshot(load) for load in loads]
        ids = [s.endpoint_id for s in snapshots]
        unhealthy = self._circuits.unhealthy(ids, target, now)
        affinity_id = self._endpoint_by_session.get(session, "") if session else ""
        uniform = self._policy.endpoints == "uniform"
        while snapshots:
            choice = choose_endpoint(snapshots, unhealthy, affinity_id, self._rng, uniform)
            if not choice.endpoint_id:
                return None
            slot = self._pool.acquire(choice.endpoint_id, now)
            if slot:
                self._record_affinity(session, choice.endpoint_id)
                return slot
            snapshots = [s for s in snapshots if s.endpoint_id != choice.endpoint_id]
        return None

    def _snapshot(self, load: EndpointLoad) -> EndpointSnapshot:
        """Return the figures for the choice of an endpoint.

        The baseline is the number of own requests when a report was first used; requests sent
        since then are not in the report.
        """
        endpoint_id, report = load.endpoint.instance_id, load.report
        baseline = self._report_baseline_by_id.get(endpoint_id)
        if baseline is None or baseline[0] is not report:
            baseline = self._report_baseline_by_id[endpoint_id] = (report, load.own_in_flight)
        return EndpointSnapshot(
            endpoint_id,
            load.own_in_flight,
            load.slots,
            report.in_flight + report.queued,
            baseline[1],
            load.limit,
            report.cold,
        )

    def _record_affinity(self, session: str, endpoint_id: str) -> None:
        """Record which endpoint has a session's prompt prefix cached."""
        if not session:
            return
        self._endpoint_by_session[session] = endpoint_id
        self._endpoint_by_session.move_to_end(session)
        while len(self._endpoint_by_session) > MAX_SESSION_AFFINITIES:
            self._endpoint_by_session.popitem(last=False)

    def _require_serving(self, config: FleetConfig, version_id: str) -> None:
        """Refuse a version that accepts no new requests.

        Raises:
            RefusedError: If the version is unknown, withdrawn or in quarantine.
        """
        check_version(config, version_id)
        if version_id in self._quarantined():
            raise RefusedError(
                f"version {version_id} is in quarantine", ResultCode.NO_HEALTHY_VERSION
            )

    def _chat_slots(self) -> int:
        """Return the number of slots held at all engines of the zone, cached for a short time."""
        now = monotonic()
        if now >= self._slots_valid_until:
            self._slots_valid_until = now + SLOT_COUNT_MAX_AGE_S
            self._slots = self._pool.engine_slots(self.config(), now)
        return self._slots

    def _service_controller(self, name: str) -> AdmissionController:
        controller = self._controller_by_service.get(name)
        if controller is None:
            controller = self._controller_by_service[name] = AdmissionController(
                lambda: self._service_slots(name), self._policy.queue, 0, self._rng
            )
        return controller

    def _service_slots(self, name: str) -> int:
        loads = self._pool.candidates(name, self.config(), monotonic())
        return sum(load.slots for load in loads)

    async def _stream_with_resumes(
        self, endpoint: Instance, request: GenerateRequest
    ) -> AsyncGenerator[Chunk, None]:
        """Stream an answer; resume a broken stream at the offset reached.

        Raises:
            AnswerBrokenError: If the stream breaks before its first token, too often or while the
                retry budget allows no resumption, or if it has to be resumed while the endpoint
                refuses requests or can't be reached, or while this daemon may not send requests.
            BackendRefusedError: If the endpoint refused the request or couldn't be reached; only
                before the first token.
            RefusedError: If this daemon may not send requests, because its configuration has to
                be confirmed first; only before the first token.
        """
        offset = request.resume_offset
        deadline = monotonic() + request.deadline_s
        self._resume_budget.request_started()
        for resume in range(MAX_RESUMES_PER_ANSWER + 1):
            try:
                remaining_s = max(MIN_TIME_S, deadline - monotonic())
                rest = replace(request, resume_offset=offset, deadline_s=remaining_s)
                async with aclosing(self._engine.generate(endpoint, rest)) as chunks:
                    async for chunk in chunks:
                        yield chunk
                        offset = chunk.offset + len(chunk.tokens)
                return
            except (RefusedError, BackendRefusedError) as error:
                if offset == request.resume_offset:
                    raise
                raise AnswerBrokenError(f"the answer cannot be resumed: {error}") from error
            except AnswerBrokenError as error:
                if offset == request.resume_offset or resume == MAX_RESUMES_PER_ANSWER:
                    raise
                if not self._resume_budget.take():
                    raise
                log.info(
                    "event=answer_cut request=%s endpoint=%s offset=%d reason=%r; resuming",
                    request.request_id,
                    endpoint.instance_id,
                    offset,
                    str(error),
                )

    def _served(self, slot: Slot) -> AnswerOrigin:
        endpoint = slot.endpoint
        return AnswerOrigin(endpoint.instance_id, endpoint.zone, self._instance_id, slot.label)

    def _cancel(self, endpoint: Instance, request_id: str) -> None:
        task = asyncio.create_task(self._send_cancel(endpoint, request_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancel(self, endpoint: Instance, request_id: str) -> None:
        try:
            await self._engine.cancel(endpoint, request_id)
        except ComfreyhatchError as error:
            log.info("event=cancel_failed request=%s reason=%r", request_id, str(error))


def check_version(config: FleetConfig, version_id: str) -> None:
    """Refuse a version that is unknown or withdrawn.

    Raises:
        RefusedError: If the version is unknown or withdrawn.
    """
    version = config.version_by_id.get(version_id)
    if version is None or version.state is VersionState.WITHDRAWN:
        raise RefusedError(f"version {version_id} is withdrawn", ResultCode.VERSION_WITHDRAWN)


def check_contract(config: FleetConfig, customer: str, version_id: str) -> None:
    """Refuse a version that the customer's contract does not allow.

    Raises:
        RefusedError: If the customer has no contract or it does not allow the version.
    """
    contract = config.contract_by_customer.get(customer)
    if contract is None or not contract.allows(version_id.partition("@")[0], version_id):
        raise RefusedError(
            f"the contract of {customer!r} does not allow {version_id}", ResultCode.NOT_ALLOWED
        )


def counts_as_endpoint_failure(error: ComfreyhatchError) -> bool:
    """Return whether the circuit breaker counts an error as a failure of the endpoint.

    A refusal by a full endpoint or by this daemon itself does not count.
    """
    own_refusal = isinstance(error, RefusedError)
    return not own_refusal and error.code is not ResultCode.ENDPOINT_REFUSED


async def _with_deadline(
    chunks: AsyncGenerator[Chunk, None], deadline: float
) -> AsyncGenerator[Chunk, None]:
    """Yield the chunks of an answer until it ends.

    Raises:
        BackendError: If the deadline passes first.
    """
    try:
        while True:
            async with asyncio.timeout_at(deadline):
                chunk = await anext(chunks)
            yield chunk
    except StopAsyncIteration:
        return
    except TimeoutError:
        raise BackendError(
            "the deadline passed before the answer was complete", ResultCode.DEADLINE_EXCEEDED
        ) from None
