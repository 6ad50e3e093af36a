"""A stand-in plain service that counts executions by idempotency key."""

import asyncio
from time import monotonic

from msgspec import Struct, field
from msgspec.structs import replace

from comfreyhatch.adapters.http_message import (
    REQUEST_ID_HEADER,
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
)
from comfreyhatch.adapters.service_http import KEY_HEADER
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.errors import BackendError, BackendRefusedError
from comfreyhatch.ports.engine import LoadReport
from comfreyhatch.standins.switches import Standin, cut_response


class ServiceFaults(Struct):
    """Fault switches of a plain service.

    Attributes:
        cold: Whether it is in cold start.
        cold_bears: Requests it bears at once in cold start.
        slow_s: Time that it takes for a call.
        refuse_next: Number of next calls that it refuses without executing them.
        crash_before_next: Number of next calls cut before their execution.
        lose_answer_next: Number of next calls that are executed and then cut.
        cross_next: Number of next answers that carry another request's id.
        fail_next: Number of next calls that are answered with an error after their execution.
    """

    cold: bool = False
    cold_bears: int = 1
    slow_s: float = 0.0
    refuse_next: int = 0
    crash_before_next: int = 0
    lose_answer_next: int = 0
    cross_next: int = 0
    fail_next: int = 0


class ServiceWitness(Struct):
    """What the service saw.

    Attributes:
        in_flight: Calls running.
        in_flight_peak: Highest number of calls running.
        excess_peak: Most calls above what it bore when one arrived, refused ones included.
        run_count_by_key: Executions by idempotency key.
        run_count_by_id: Executions by request id.
        reads: Reads answered.
        arrival_times_s: Monotonic times of the arrivals, in seconds.
    """

    in_flight: int = 0
    in_flight_peak: int = 0
    excess_peak: int = 0
    run_count_by_key: dict[str, int] = field(default_factory=dict)
    run_count_by_id: dict[str, int] = field(default_factory=dict)
    reads: int = 0
    arrival_times_s: list[float] = field(default_factory=list)


class Execution(Struct, frozen=True):
    """Body of the answer to a call; `run` counts the executions of its key."""

    request_id: str
    key: str
    run: int
    path: str


class ServiceStandin(Standin[ServiceFaults, ServiceWitness]):
    """A plain service; `faults` and `witness` may be used in the same process."""

    def __init__(self, instance: Instance, bears: int = 16) -> None:
        super().__init__(self._handle, ServiceFaults(), ServiceWitness())
        self.instance = instance
        self.bears = bears

    async def start(self) -> Address:
        """Listen on the instance's address, or on a free port if its port is 0."""
        bound = await self._listen(self.instance.address)
        self.instance = replace(self.instance, address=bound)
        return bound

    @property
    def bears_now(self) -> int:
        """Calls that it bears at once now."""
        return self.faults.cold_bears if self.faults.cold else self.bears

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method == "GET" and request.path == "/load":
            return json_response(self._report())
        try:
            self._refuse_excess()
        except BackendRefusedError as error:
            return error_response(error, request.header(REQUEST_ID_HEADER))
        witness = self.witness
        witness.in_flight += 1
        witness.in_flight_peak = max(witness.in_flight_peak, witness.in_flight)
        try:
            return await self._call(request)
        finally:
            witness.in_flight -= 1

    def _refuse_excess(self) -> None:
        witness = self.witness
        witness.arrival_times_s.append(monotonic())
        excess = witness.in_flight + 1 - self.bears_now
        witness.excess_peak = max(witness.excess_peak, excess)
        if excess > 0 or self._take("refuse_next"):
            raise BackendRefusedError("the service is full", retry_after_s=1)

    async def _call(self, request: HttpRequest) -> HttpResponse:
        if self._take("crash_before_next"):
            return cut_response()
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        run = self._execute(request)
        if self._take("lose_answer_next"):
            return cut_response()
        if self._take("fail_next"):
            raise BackendError("the service failed")
        request_id = request.header(REQUEST_ID_HEADER)
        response = json_response(
            Execution(request_id, request.header(KEY_HEADER), run, request.path)
        )
        echo = f"{request_id}-other" if self._take("cross_next") else request_id
        response.header_by_name[REQUEST_ID_HEADER] = echo
        return response

    def _execute(self, request: HttpRequest) -> int:
        witness = self.witness
        if request.method in ("GET", "HEAD"):
            witness.reads += 1
            return 0
        request_id = request.header(REQUEST_ID_HEADER)
        key = request.header(KEY_HEADER) or request_id
        witness.run_count_by_id[request_id] = witness.run_count_by_id.get(request_id, 0) + 1
        witness.run_count_by_key[key] = witness.run_count_by_key.get(key, 0) + 1
        return witness.run_count_by_key[key]

    def _take(self, switch: str) -> bool:
        """Count a switch down and return whether it was on."""
        left: int = getattr(self.faults, switch)
        if left <= 0:
            return False
        setattr(self.faults, switch, left - 1)
        return True

    def _report(self) -> LoadReport:
        return LoadReport(
            endpoint_id=self.instance.instance_id,
            in_flight=self.witness.in_flight,
            queued=0,
            bears=self.bears_now,
            cold=self.faults.cold,
        )
