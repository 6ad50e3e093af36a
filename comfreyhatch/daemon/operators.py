"""The operators' listener: health, readiness, metrics, state and changes."""

from collections.abc import Awaitable, Callable

from msgspec import Struct, ValidationError
from msgspec.json import decode
from prometheus_client import CollectorRegistry, generate_latest

from comfreyhatch.adapters.http_server import HttpRequest, HttpResponse, json_response
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.changes import ChangeLog
from comfreyhatch.daemon.directory import Directory
from comfreyhatch.daemon.records import RecordBook
from comfreyhatch.domain.change import Change
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import NotReadyError, RequestError

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
EXPLAIN_PREFIX = "/explain/"


class Edit(Struct, frozen=True):
    """A change that an operator asks for."""

    change: Change
    edit_id: str
    author: str = ""


class Accepted(Struct, frozen=True):
    """An accepted change."""

    revision: int


class Health(Struct, frozen=True):
    """Answer of the health and readiness checks."""

    status: str


class InstanceStatus(Struct, frozen=True):
    """State of one daemon.

    Attributes:
        instance_id: Name of the instance.
        zone: Its availability zone.
        revision: Configuration revision in force.
        ready: Whether it takes requests.
        endpoints: Endpoints that it knows of.
        members: Daemons that it knows of.
    """

    instance_id: str
    zone: str
    revision: int
    ready: bool
    endpoints: tuple[str, ...]
    members: tuple[str, ...]


class Bill(Struct, frozen=True):
    """What a customer owes for the requests that this daemon accepted."""

    customer: str
    requests: int
    cost_micros: int


Route = Callable[[HttpRequest], Awaitable[HttpResponse]]


class OperatorHandler:
    """Handler of the operators' listener."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        changes: ChangeLog,
        directory: Directory,
        records: RecordBook,
        registry: CollectorRegistry,
        ready: Callable[[], bool],
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._changes = changes
        self._directory = directory
        self._records = records
        self._registry = registry
        self._ready = ready
        self._route_by_key: dict[tuple[str, str], Route] = {
            ("GET", "/health"): self._health,
            ("GET", "/ready"): self._readiness,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._status,
            ("GET", "/bills"): self._bills,
            ("GET", "/config"): self._config,
            ("POST", "/changes"): self._change,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer an operator's request."""
        if request.method == "GET" and request.path.startswith(EXPLAIN_PREFIX):
            return json_response(await self._explain(request.path.removeprefix(EXPLAIN_PREFIX)))
        route = self._route_by_key.get((request.method, request.path))
        if route is None:
            raise RequestError(f"no resource at {request.path}", ResultCode.NOT_FOUND)
        return await route(request)

    async def _health(self, request: HttpRequest) -> HttpResponse:
        return json_response(Health("alive"))

    async def _readiness(self, request: HttpRequest) -> HttpResponse:
        if not self._ready():
            raise NotReadyError("the instance is not ready")
        return json_response(Health("ready"))

    async def _metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, generate_latest(self._registry), METRICS_TYPE)

    async def _status(self, request: HttpRequest) -> HttpResponse:
        status = InstanceStatus(
            instance_id=self._instance_id,
            zone=self._zone,
            revision=self._changes.config.revision,
            ready=self._ready(),
            endpoints=tuple(sorted(self._directory.endpoint_by_id)),
            members=tuple(sorted(self._directory.view.member_by_id)),
        )
        return json_response(status)

    async def _config(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._changes.config)

    async def _bills(self, request: HttpRequest) -> HttpResponse:
        bill_by_customer: dict[str, Bill] = {}
        for record in self._records.record_by_id.values():
            old = bill_by_customer.get(record.customer, Bill(record.customer, 0, 0))
            bill_by_customer[record.customer] = Bill(
                record.customer, old.requests + 1, old.cost_micros + record.cost_micros
            )
        return json_response(list(bill_by_customer.values()))

    async def _change(self, request: HttpRequest) -> HttpResponse:
        try:
            edit = decode(request.body, type=Edit)
        except (ValidationError, ValueError) as error:
            raise RequestError(f"the change does not fit: {error}") from error
        revision = await self._changes.apply(edit.change, edit.edit_id, edit.author)
        return json_response(Accepted(revision))

    async def _explain(self, request_id: str) -> RequestRecord:
        record = await self._records.find(request_id)
        if record is None:
            raise RequestError(f"no record of request {request_id}", ResultCode.NOT_FOUND)
        return record
