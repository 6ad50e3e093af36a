"""A stand-in model engine with fault switches."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from random import Random
from time import monotonic
from typing import Literal

from msgspec import Struct, field
from msgspec.json import encode as encode_json
from msgspec.structs import replace

from comfreyhatch.adapters.engine_http import CancelRequest
from comfreyhatch.adapters.http_message import (
    EVENT_STREAM_TYPE,
    REQUEST_ID_HEADER,
    HttpRequest,
    HttpResponse,
    answer_with_id,
    json_response,
)
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.domain.request import Usage
from comfreyhatch.errors import (
    BackendError,
    BackendRefusedError,
    RequestError,
    StaleFenceError,
)
from comfreyhatch.ports.engine import Chunk, GenerateRequest, LoadReport, Order, OrderKind
from comfreyhatch.standins.batch import Batch, BatchTiming, Sequence
from comfreyhatch.standins.prefix_cache import AttentionState, PrefixCache, prompt_tokens
from comfreyhatch.standins.switches import Standin, cut_response, decode_body

DEFAULT_QUALITY = 0.9
FALL_OVER_S = 0.5
ARRIVALS_KEPT = 100_000
REPORTS_KEPT = 10_000


class VersionFault(Struct):
    """How a version is bad; None and the neutral numbers leave it as it was."""

    quality: float | None = None
    error_rate: float = 0.0
    slowdown: float = 1.0


class EngineFaults(Struct):
    """Fault switches of an engine.

    Attributes:
        cold: Whether it is in cold start.
        cold_bears: Requests it bears at once in cold start.
        cold_mode: What it does with more: refuse it, or break off all that runs.
        down: Whether it cuts every connection.
        late_s: Delay before the first token of an answer.
        cross_next: Number of next answers that carry another request's id.
        cut_next: Number of next answers that are cut.
        cut_after_tokens: Tokens sent before a cut.
        double_next: Number of next answers in which a piece comes twice.
        fault_by_version: Versions that are bad.
        load_lag_s: Age of the figures in load reports.
        load_delay_s: Time that a load report takes.
        event_lag_s: Delay of cache events.
        event_gap_rate: Share of cache events that are never published.
        order_s: Time that an order takes.
        lose_order_answers: Number of next orders that take effect but are not answered.
    """

    cold: bool = False
    cold_bears: int = 2
    cold_mode: Literal["refuse", "fall-over"] = "refuse"
    down: bool = False
    late_s: float = 0.0
    cross_next: int = 0
    cut_next: int = 0
    cut_after_tokens: int = 1
    double_next: int = 0
    fault_by_version: dict[str, VersionFault] = field(default_factory=dict)
    load_lag_s: float = 0.05
    load_delay_s: float = 0.0
    event_lag_s: float = 0.1
    event_gap_rate: float = 0.05
    order_s: float = 0.02
    lose_order_answers: int = 0


class Arrival(Struct, frozen=True):
    """A request as it arrived; `in_flight` counts it too."""

    at_s: float
    request_id: str
    version_id: str
    in_flight: int
    bears: int
    refused: bool


class OrderEvent(Struct, frozen=True):
    """An order as it arrived."""

    at_s: float
    order: Order
    refused: bool


class EngineWitness(Struct):
    """What the engine saw.

    Attributes:
        in_flight: Requests accepted and not ended.
        in_flight_peak: Highest number of requests in flight.
        excess_peak: Most requests above what it bore when one arrived, refused ones included.
        falls: Times that it fell over.
        run_count_by_id: Executions by request id.
        run_count_by_version: Executions by version.
        hit_tokens: Prompt tokens found in the prefix cache.
        arrivals: Latest arrivals, in order.
        orders: All orders, in order.
    """

    in_flight: int = 0
    in_flight_peak: int = 0
    excess_peak: int = 0
    falls: int = 0
    run_count_by_id: dict[str, int] = field(default_factory=dict)
    run_count_by_version: dict[str, int] = field(default_factory=dict)
    hit_tokens: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    orders: list[OrderEvent] = field(default_factory=list)


class EngineStandin(Standin[EngineFaults, EngineWitness]):
    """A model engine; `faults` and `witness` may be used in the same process."""

    def __init__(
        self,
        instance: Instance,
        versions: tuple[str, ...],
        seed: int = 0,
        bears: int = 32,
        queue_limit: int = 32,
        timing: BatchTiming | None = None,
        cache_tokens: int = 50_000,
        quality_by_version: dict[str, float] | None = None,
        quality_of: Callable[[GenerateRequest], float] | None = None,
    ) -> None:
        """Create an engine.

        Args:
            instance: Its row of the instance list.
            versions: Version ids loaded.
            seed: Seed of its faults.
            bears: Requests that it bears at once when warm.
            queue_limit: Requests that it queues above these.
            timing: Times of its steps.
            cache_tokens: Size of its prefix cache.
            quality_by_version: Share of good words by version.
            quality_of: Share of good words of one request's answer, instead of by version.
        """
        super().__init__(self._handle, EngineFaults(), EngineWitness())
        self.instance = instance
        self.versions = list(versions)
        self.role = "generate"
        self.bears = bears
        self.queue_limit = queue_limit
        self.quality_by_version = quality_by_version or {}
        self._quality_of = quality_of
        self.fence = 0
        self._random = Random(seed)
        self._batch = Batch(bears, timing or BatchTiming())
        self._cache = PrefixCache(cache_tokens, self._random)
        self._report_log: deque[tuple[float, LoadReport]] = deque(maxlen=REPORTS_KEPT)
        self._down_until_s = 0.0
        self._done_orders: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> Address:
        """Listen on the instance's address, or on a free port if its port is 0."""
        self._task = asyncio.create_task(self._batch.run())
        bound = await self._listen(self.instance.address)
        self.instance = replace(self.instance, address=bound)
        return bound

    async def stop(self) -> None:
        """Stop at once; running answers are cut."""
        for sequence in self._batch.all():
            sequence.break_off()
        await super().stop()
        if self._task:
            self._task.cancel()

    def close_listener(self) -> None:
        """Refuse new connections; answers that run go on."""
        self._server.close_listener()

    @property
    def bears_now(self) -> int:
        """Requests that it bears at once now."""
        return self.faults.cold_bears if self.faults.cold else self.bears

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        return await answer_with_id(self._route(request), request.header(REQUEST_ID_HEADER))

    async def _route(self, request: HttpRequest) -> HttpResponse:
        if self.faults.down or monotonic() < self._down_until_s:
            return cut_response()
        match (request.method, request.path):
            case ("POST", "/generate"):
                return self._generate(decode_body(request, GenerateRequest))
            case ("GET", "/load"):
                await asyncio.sleep(self.faults.load_delay_s)
                return json_response(self._lagging_report())
            case ("POST", "/cancel"):
                self._cancel(decode_body(request, CancelRequest).request_id)
                return HttpResponse(204)
            case ("POST", "/order"):
                return await self._order(decode_body(request, Order))
            case ("GET", "/cache-events"):
                until_s = monotonic() - self.faults.event_lag_s
                after = int(request.query.get("after", "0"))
                return json_response(self._cache.events(after, until_s))
            case ("GET", "/attention"):
                return json_response(self._cache.export(request.query.get("session", "")))
            case ("POST", "/attention"):
                self._cache.load(decode_body(request, AttentionState), monotonic())
                return HttpResponse(204)
        raise RequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)

    def _generate(self, request: GenerateRequest) -> HttpResponse:
        refusal = self._refusal(request)
        self._record_arrival(request, bool(refusal))
        if refusal:
            if self.faults.cold and self.faults.cold_mode == "fall-over":
                self._fall_over()
                return cut_response()
            raise BackendRefusedError(refusal, retry_after_s=1)
        fault = self.faults.fault_by_version.get(request.version_id, VersionFault())
        if self._random.random() < fault.error_rate:
            self._count_run(request)
            raise BackendError("the model failed")
        sequence = self._accept(request, fault)
        return HttpResponse(200, content_type=EVENT_STREAM_TYPE, stream=self._answer(sequence))

    def _refusal(self, request: GenerateRequest) -> str:
        if request.version_id not in self.versions:
            return f"version {request.version_id} is not loaded"
        queue = 0 if self.faults.cold else self.queue_limit
        if self.witness.in_flight >= self.bears_now + queue:
            return "the engine is full"
        return ""

    def _record_arrival(self, request: GenerateRequest, refused: bool) -> None:
        witness = self.witness
        offered = witness.in_flight + 1
        bears = self.bears_now
        witness.excess_peak = max(witness.excess_peak, offered - bears)
        del witness.arrivals[:-ARRIVALS_KEPT]
        witness.arrivals.append(
            Arrival(monotonic(), request.request_id, request.version_id, offered, bears, refused)
        )

    def _fall_over(self) -> None:
        self.witness.falls += 1
        self._down_until_s = monotonic() + FALL_OVER_S
        for sequence in self._batch.all():
            sequence.break_off()

    def _accept(self, request: GenerateRequest, fault: VersionFault) -> Sequence:
        self._count_run(request)
        self._cache.event_gap_rate = self.faults.event_gap_rate
        uncached = self._cache.use(request, monotonic())
        self.witness.hit_tokens = self._cache.hit_tokens
        quality = self._quality(request, fault)
        sequence = Sequence(request, request.max_tokens, quality, max(0, uncached), fault.slowdown)
        self._batch.add(sequence)
        self.witness.in_flight += 1
        self.witness.in_flight_peak = max(self.witness.in_flight_peak, self.witness.in_flight)
        self._log_report()
        return sequence

    def _quality(self, request: GenerateRequest, fault: VersionFault) -> float:
        if fault.quality is not None:
            return fault.quality
        if self._quality_of:
            return self._quality_of(request)
        return self.quality_by_version.get(request.version_id, DEFAULT_QUALITY)

    def _count_run(self, request: GenerateRequest) -> None:
        witness = self.witness
        runs, version_runs = witness.run_count_by_id, witness.run_count_by_version
        runs[request.request_id] = runs.get(request.request_id, 0) + 1
        version_runs[request.version_id] = version_runs.get(request.version_id, 0) + 1

    async def _answer(self, sequence: Sequence) -> AsyncIterator[bytes]:
        faults, request = self.faults, sequence.request
        crossed, cut, doubled = faults.cross_next > 0, faults.cut_next > 0, faults.double_next > 0
        faults.cross_next -= crossed
        faults.cut_next -= cut
        faults.double_next -= doubled
        echo = f"{request.request_id}-other" if crossed else request.request_id
        sent = 0
        try:
            if faults.late_s:
                await asyncio.sleep(faults.late_s)
            while True:
                chunk = await self._next_chunk(sequence, echo, request.resume_offset + sent)
                sent += len(chunk.tokens)
                piece = b"data: " + encode_json(chunk) + b"\n\n"
                yield piece
                if doubled:
                    yield piece
                if cut and sent >= faults.cut_after_tokens:
                    raise BackendError("the answer is cut by a fault switch")
                if chunk.finish:
                    return
        finally:
            self._batch.remove(sequence)
            self.witness.in_flight -= 1
            self._log_report()

    async def _next_chunk(self, sequence: Sequence, echo: str, offset: int) -> Chunk:
        if not sequence.produced and not sequence.complete:
            sequence.ready.clear()
            await sequence.ready.wait()
        if sequence.broken:
            raise BackendError("the engine broke off the answer")
        tokens = tuple(sequence.produced)
        sequence.produced.clear()
        if not sequence.complete:
            return Chunk(echo, offset, tokens)
        usage = Usage(prompt_tokens(sequence.request), sequence.end)
        return Chunk(echo, offset, tokens, "length", usage, self._lagging_report())

    def _cancel(self, request_id: str) -> None:
        for sequence in self._batch.all():
            if sequence.request.request_id == request_id:
                sequence.break_off()

    async def _order(self, order: Order) -> HttpResponse:
        refused = self.instance.checks_fencing and order.fence < self.fence
        self.witness.orders.append(OrderEvent(monotonic(), order, refused))
        if refused:
            raise StaleFenceError(f"fencing number {order.fence} is older than {self.fence}")
        self.fence = max(self.fence, order.fence)
        await asyncio.sleep(self.faults.order_s)
        if order.order_id not in self._done_orders:
            self._done_orders.add(order.order_id)
            self._carry_out(order)
        if self.faults.lose_order_answers > 0:
            self.faults.lose_order_answers -= 1
            return cut_response()
        return HttpResponse(204)

    def _carry_out(self, order: Order) -> None:
        match order.kind:
            case OrderKind.LOAD_VERSION:
                if order.argument not in self.versions:
                    self.versions.append(order.argument)
            case OrderKind.UNLOAD_VERSION:
                if order.argument in self.versions:
                    self.versions.remove(order.argument)
            case OrderKind.CHANGE_ROLE:
                self.role = order.argument
        self._log_report()

    def _report(self) -> LoadReport:
        queued = self._batch.queued
        return LoadReport(
            endpoint_id=self.instance.instance_id,
            in_flight=self.witness.in_flight - queued,
            queued=queued,
            bears=self.bears_now,
            cold=self.faults.cold,
            versions=tuple(self.versions),
        )

    def _log_report(self) -> None:
        self._report_log.append((monotonic(), self._report()))

    def _lagging_report(self) -> LoadReport:
        """Return the figures as they were a lag ago."""
        lag_s = self.faults.load_lag_s
        if lag_s <= 0:
            return self._report()
        now = monotonic()
        self._log_report()
        while len(self._report_log) > 1 and self._report_log[1][0] <= now - lag_s:
            self._report_log.popleft()
        at_s, report = self._report_log[0]
        return replace(report, age_s=round(now - at_s, 4))
